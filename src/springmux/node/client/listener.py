"""The listener for clients: reads complete requests within limits and runs a request flow for each."""

from __future__ import annotations

import asyncio
import uuid
from typing import Any, NoReturn, cast

import msgspec
from aiohttp import HttpVersion11, web

from springmux.coordination.state_machine import Tick
from springmux.node.addresses import split_address
from springmux.node.client.body_reader import BodyRejectedError, read_body
from springmux.node.client.error_responses import JSON_TYPE, refused_error
from springmux.node.client.protocol import ClientProtocol
from springmux.node.client.request_runner import RequestRunner, RunnerServices
from springmux.node.client.response_writer import ResponseWriter
from springmux.node.health import HEALTH_BODY, HEALTH_PATH, READY_PATH, NodeHealth
from springmux.node.http.sockets import accept_gradually
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.process_resources import ProcessResources
from springmux.node.settings import NodeSettings
from springmux.router.events import ClientRequest, KeyRevoked, StopRequested
from springmux.vocabulary.errors import ApiError, ApiResponseError, ErrorCode
from springmux.vocabulary.names import RequestId

LISTEN_BACKLOG = 1024
OVERLOAD_RETRY_S = 1.0
STOP_MARGIN_S = 1.0
"""Time to send the last bytes of aborted streams after the grace period."""


class _SentResponse:
    """Placeholder that aiohttp gets for a response that :class:`ResponseWriter` has already sent."""

    def __init__(self, keep_alive: bool) -> None:
        self.keep_alive = keep_alive

    async def prepare(self, _: web.BaseRequest) -> None:
        """Do nothing, as the head was sent."""

    async def write_eof(self) -> None:
        """Do nothing, as the body was sent."""


class _ClientServer(web.Server):
    """Creates :class:`ClientProtocol` connections."""

    def __init__(self, handler: Any, listener: ClientListener, keep_alive_s: float) -> None:
        super().__init__(handler)
        self._listener = listener
        self._keep_alive_s = keep_alive_s

    def __call__(self) -> ClientProtocol:
        return ClientProtocol(self, self._listener, self._keep_alive_s)


class ClientListener:
    """Accepts clients at one address, and runs their requests."""

    def __init__(
        self,
        settings: NodeSettings,
        services: RunnerServices,
        health: NodeHealth,
        resources: ProcessResources | None = None,
    ) -> None:
        self.resources = resources or ProcessResources(settings.memory_mb, settings.max_descriptors)
        max_connections = min(settings.max_connections, self.resources.connections.front)
        self.connections = ConnectionLimit(lambda: max_connections, asyncio.get_running_loop().time)
        self.node = settings.node
        self.max_header_bytes = settings.max_header_bytes
        self.header_timeout_s = settings.header_timeout_s
        self._settings = settings
        self._services = services
        self._health = health
        self._metrics = services.metrics
        self._runners: dict[RequestId, RequestRunner] = {}
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._protocols: _ClientServer | None = None
        self._server: asyncio.Server | None = None
        # Request ids are a random prefix of the process and a counter, which is cheaper than a UUID for each.
        self._id_prefix = uuid.uuid4().hex[:16]
        self._next_id = 0
        services.router.set_wake_listener(self._wake)

    async def listen(self) -> None:
        """Accept clients.

        :raises OSError: the address can't be bound.
        """
        host, port = split_address(self._settings.client_address)
        self._protocols = _ClientServer(self._serve, self, self._settings.keep_alive_s)
        self._server = await accept_gradually(self._protocols, host, port, LISTEN_BACKLOG)

    def stop_accepting(self) -> None:
        """Close the listening socket; each open connection closes after its next response."""
        self._stopping = True
        if self._server is not None:
            self._server.close()

    async def finish(self, grace_s: float) -> None:
        """Wait at most ``grace_s`` for running requests, then end the remaining ones with an error."""
        if not await self._wait_idle(grace_s):
            for runner in list(self._runners.values()):
                runner.deliver(StopRequested())
            await self._wait_idle(STOP_MARGIN_S)
        if self._protocols is not None:
            await self._protocols.shutdown(timeout=STOP_MARGIN_S)

    async def _wait_idle(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def end_revoked(self, requests: tuple[RequestId, ...]) -> None:
        """End running requests whose key is no longer valid."""
        for request_id in requests:
            runner = self._runners.get(request_id)
            if runner is not None:
                runner.deliver(KeyRevoked())

    def paused_requests(self) -> int:
        """Return how many running requests wait for their client to read."""
        return sum(runner.paused() for runner in self._runners.values())

    def connection_begun(self, admitted: bool) -> None:
        """Count a new connection."""
        if not admitted:
            self._metrics.count("client_connections_refused_total")
        self._metrics.set("client_connections", len(self.connections))

    def connection_ended(self) -> None:
        """Record the end of an admitted connection."""
        self._metrics.set("client_connections", len(self.connections))

    def count_error(self, error: ApiError) -> None:
        """Count an error response that was sent outside a request flow."""
        self._metrics.count("request_errors_total", error.code)
        self._metrics.count("requests_total", str(error.status))

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = cast(ClientProtocol, request.protocol)
        # A client that pipelines requests and does not read its responses gets no further ones.
        await protocol._drain_helper()  # noqa: SLF001 - aiohttp writes without it
        protocol.begin_request()
        try:
            return await self._serve_request(request, protocol)
        finally:
            protocol.end_request()

    async def _serve_request(self, request: web.BaseRequest, protocol: ClientProtocol) -> web.StreamResponse:
        writer = ResponseWriter(
            cast(Any, protocol),
            keep_alive=request.keep_alive and not self._stopping,
            http_1_1=request.version >= HttpVersion11,
            head_only=request.method == "HEAD",
        )
        if request.path in (HEALTH_PATH, READY_PATH) and request.method in ("GET", "HEAD"):
            return self._health_response(request, writer)
        self._next_id += 1
        request_id = RequestId(f"{self._id_prefix}-{self._next_id}")
        try:
            self._check_head(request, request_id)
            body = await self._read_body(request, request_id)
            await self._run(request, request_id, body, writer, protocol)
        except ApiResponseError as raised:
            self._metrics.count("request_errors_total", raised.error.code)
            if not request.content.is_eof():
                writer.keep_alive = False
            writer.error(raised.error)
        self._metrics.count("requests_total", str(writer.status))
        return cast(web.StreamResponse, _SentResponse(writer.keep_alive))

    def _health_response(self, request: web.BaseRequest, writer: ResponseWriter) -> web.StreamResponse:
        """Respond to the platform's health check, which needs no key and is not counted as a request."""
        if not request.content.is_eof():
            writer.keep_alive = False
        if request.path == HEALTH_PATH:
            writer.complete(200, [("Content-Type", "text/plain; charset=utf-8")], HEALTH_BODY)
        else:
            readiness = self._health.readiness()
            status = 200 if readiness.ready else 503
            writer.complete(status, [("Content-Type", JSON_TYPE)], msgspec.json.encode(readiness))
        return cast(web.StreamResponse, _SentResponse(writer.keep_alive))

    async def _run(
        self,
        request: web.BaseRequest,
        request_id: RequestId,
        body: bytes,
        writer: ResponseWriter,
        protocol: ClientProtocol,
    ) -> None:
        headers = {name.lower(): value for name, value in request.headers.items()}
        client_request = ClientRequest(
            request_id=request_id, method=request.method, path=request.path, headers=headers, body=body
        )
        runner = RequestRunner(self._services, client_request, writer, self._runner_finished)
        protocol.runner = runner
        self._runners[request_id] = runner
        self._idle.clear()
        self._metrics.set("requests_in_flight", len(self._runners))
        if protocol.transport is None:  # the client disconnected while its body was read
            protocol.runner = None
            runner.abandon()
            raise ConnectionResetError("the client has disconnected")
        try:
            await runner.run()
        finally:
            protocol.runner = None

    def _wake(self, request_id: RequestId) -> None:
        # Deferred by one loop iteration: the router is still handling an event of another flow.
        asyncio.get_running_loop().call_soon(self._deliver_tick, request_id)

    def _deliver_tick(self, request_id: RequestId) -> None:
        runner = self._runners.get(request_id)
        if runner is not None:
            runner.deliver(Tick())

    def _runner_finished(self, runner: RequestRunner) -> None:
        self._runners.pop(runner.request.request_id, None)
        self._metrics.set("requests_in_flight", len(self._runners))
        if not self._runners:
            self._idle.set()

    def _raise_refusal(self, code: ErrorCode, status: int, message: str, request_id: str) -> NoReturn:
        raise ApiResponseError(refused_error(code, message, status, self.node, request_id))

    def _check_head(self, request: web.BaseRequest, request_id: str) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in request._message.raw_headers)  # noqa: SLF001 - aiohttp has no public access to the size as sent
        if size > self.max_header_bytes:
            text = f"the headers are larger than {self.max_header_bytes} bytes"
            self._raise_refusal(ErrorCode.HEADERS_TOO_LARGE, 431, text, request_id)
        if self._stopping:
            raise ApiResponseError(
                ApiError(
                    code=ErrorCode.STOPPING,
                    message="this node is stopping; use another one",
                    status=503,
                    request_id=request_id,
                    node=self.node,
                    retry_after_s=1.0,
                )
            )

    async def _read_body(self, request: web.BaseRequest, request_id: str) -> bytes:
        if (request.content_length or 0) <= self._settings.max_body_bytes:
            self._send_continue(request)
        if not request.body_exists:
            return b""
        protocol = cast(ClientProtocol, request.protocol)
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                return await read_body(request, protocol, self._settings.max_body_bytes)
        except BodyRejectedError as rejected:
            raise ApiResponseError(self._rejection(rejected, request_id)) from None
        except TimeoutError:
            self._raise_refusal(ErrorCode.REQUEST_TIMEOUT, 408, "the body came too slowly", request_id)
        except (web.RequestPayloadError, ValueError):
            self._raise_refusal(ErrorCode.INVALID_REQUEST, 400, "the body's framing is broken", request_id)

    def _send_continue(self, request: web.BaseRequest) -> None:
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _rejection(self, rejected: BodyRejectedError, request_id: str) -> ApiError:
        error = refused_error(rejected.code, rejected.message, rejected.status, self.node, request_id)
        retry_after_s = OVERLOAD_RETRY_S if rejected.code is ErrorCode.OVERLOADED else None
        return msgspec.structs.replace(error, retry_after_s=retry_after_s)
