"""A client's connection: it limits headers in size and time, sends typed errors, reports disconnections."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from springmux.node.client.error_responses import error_body, error_headers, refused_error
from springmux.node.client.limited_protocol import LimitedProtocol
from springmux.node.client.response_writer import ResponseWriter
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.process_resources import ProcessResources
from springmux.router.events import ClientDisconnected
from springmux.vocabulary.errors import ApiError, ErrorCode

if TYPE_CHECKING:
    from springmux.node.client.request_runner import RequestRunner

WRITE_BUFFER_BYTES = 512 << 10
"""Write buffer of a connection. It holds more than the longest ordinary stream (2048 tokens at about 200
bytes), so that a slow client does not delay reading from its engine and make that engine look slow."""
LINGERING_TIMEOUT_S = 1.0
"""Time for reading the rest of a body after an early error response, so that the response arrives."""
MAX_HEADERS = 100

quiet_logger = logging.getLogger("springmux.http")
"""Discards the log lines of aiohttp, which may quote headers and therefore keys."""
quiet_logger.addHandler(logging.NullHandler())
quiet_logger.propagate = False


class ConnectionOwner(Protocol):
    """Interface to :class:`springmux.node.client.listener.ClientListener`."""

    node: str
    max_header_bytes: int
    header_timeout_s: float
    resources: ProcessResources
    connections: ConnectionLimit

    def connection_begun(self, admitted: bool) -> None:
        """Handle a new connection."""

    def connection_ended(self) -> None:
        """Handle the end of an admitted connection."""

    def count_error(self, error: ApiError) -> None:
        """Count an error response sent outside any request."""


class ClientProtocol(LimitedProtocol):
    """One client's connection. ``runner`` runs the current request, if any."""

    __slots__ = ("_header_timer", "_owner", "_received_bytes", "runner")

    def __init__(self, manager: Any, owner: ConnectionOwner, keep_alive_s: float) -> None:
        super().__init__(
            manager,
            owner.resources,
            owner.connections,
            keepalive_timeout=keep_alive_s,
            logger=quiet_logger,
            access_log=None,
            max_line_size=owner.max_header_bytes,
            max_field_size=owner.max_header_bytes,
            max_headers=MAX_HEADERS,
            lingering_time=LINGERING_TIMEOUT_S,
            auto_decompress=False,
        )
        self._owner = owner
        self._header_timer: asyncio.TimerHandle | None = None
        self._received_bytes = 0
        self.runner: RequestRunner | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or respond 503 if the node has too many connections."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        self._owner.connection_begun(self.admitted)
        if self.admitted:
            self._arm_header_timer()

    def refuse_overload(self, message: str) -> None:
        """Respond 503, which promises that the request was not executed, and close."""
        self.reject(ErrorCode.OVERLOADED, 503, message, 1.0)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notify the running request that its client has disconnected."""
        self._stop_header_timer()
        runner = self.runner
        super().connection_lost(exc)
        if self.admitted:
            self.admitted = False
            self._owner.connection_ended()
        if runner is not None:
            runner.deliver(ClientDisconnected())

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a request's headers, and reject headers over the limit."""
        awaits_headers, requests_before = self._awaits_headers(), self._request_count
        if awaits_headers:
            self._received_bytes += len(data)
            if self._header_timer is None:
                self._arm_header_timer()
        super().data_received(data)
        if not awaits_headers:
            return
        if self._request_count > requests_before:
            self._stop_header_timer()
            self._received_bytes = 0
        elif self._received_bytes > self._owner.max_header_bytes:
            self.reject(ErrorCode.HEADERS_TOO_LARGE, 431, self._too_large_text())

    def _awaits_headers(self) -> bool:
        """Return whether the next bytes belong to headers; bytes of a body must never be counted as headers.

        aiohttp waits for headers before the first request, and later while ``_waiter`` is pending. Its other
        flags don't cover the loop iteration between the end of the headers and the handler's start.
        """
        return self._request_count == 0 or (self._waiter is not None and not self._waiter.done())

    def _too_large_text(self) -> str:
        return f"request line and headers are larger than {self._owner.max_header_bytes} bytes"

    def _arm_header_timer(self) -> None:
        self._header_timer = self._loop.call_later(self._owner.header_timeout_s, self._headers_timed_out)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _headers_timed_out(self) -> None:
        self._header_timer = None
        if self._received_bytes == 0:
            self.force_close()  # no request has begun, so none gets a response
            return
        self.reject(ErrorCode.REQUEST_TIMEOUT, 408, "the headers came too slowly")

    def reject(self, code: ErrorCode, status: int, message: str, retry_after_s: float | None = None) -> None:
        """Send an error response that belongs to no request, and close the connection."""
        self._stop_header_timer()
        error = ApiError(
            code=code, message=message, status=status, node=self._owner.node, retry_after_s=retry_after_s
        )
        self._owner.count_error(error)
        ResponseWriter(self, keep_alive=False, http_1_1=True, head_only=False).error(error)
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Turn aiohttp's errors into typed errors, which quote no header."""
        if self.runner is not None or request.writer.output_size > 0:
            raise ConnectionError("the response has begun")
        error = self._typed_error(status, exc, message or "")
        self._owner.count_error(error)
        response = web.Response(status=error.status, body=error_body(error), headers=error_headers(error))
        response.force_close()
        return response

    def _typed_error(self, status: int, exc: BaseException | None, message: str) -> ApiError:
        node = self._owner.node
        if isinstance(exc, LineTooLong) or "Too many headers" in message:
            return refused_error(ErrorCode.HEADERS_TOO_LARGE, self._too_large_text(), 431, node)
        if status == HTTPStatus.BAD_REQUEST:
            return refused_error(ErrorCode.INVALID_REQUEST, "the request is not HTTP/1.1", 400, node)
        return ApiError(code=ErrorCode.INTERNAL, message="the node failed", status=500, node=node)
