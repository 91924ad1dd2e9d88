"""HTTP client for engines: runs one exchange per dispatch, and reports it to the flow as events.

It does not retry, follow redirects or decompress. A connection is reused only after ``CloseUpstream``
confirmed that its response ended properly. ``UpstreamFailed.sent`` is exact: it is false only if no
connection was established.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Protocol

import aiohttp
import msgspec
from yarl import URL

from springmux.node.metrics.registry import NodeMetrics
from springmux.node.service_rates import ServiceRates
from springmux.router.effects import Dispatch
from springmux.router.events import (
    UpstreamCause,
    UpstreamData,
    UpstreamEnd,
    UpstreamFailed,
    UpstreamHead,
)

UpstreamEvent = UpstreamHead | UpstreamData | UpstreamEnd | UpstreamFailed

READ_BUFFER_BYTES = 64 << 10
MAX_ENGINE_LINE_BYTES = 8190
"""Longest status or header line accepted from an engine (aiohttp's own default)."""
POOL_IDLE_TIMEOUT_S = 15.0
"""Idle connections are closed after this time, before ordinary servers (20 s and more) close them."""
OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that aiohttp would otherwise add to each request."""


class UpstreamEventSink(Protocol):
    """Receives an exchange's events, and applies backpressure."""

    def upstream_event(self, event: UpstreamEvent) -> None:
        """Handle one event; synchronous."""

    def paused(self) -> bool:
        """Whether the client's socket is full."""

    async def drain(self) -> None:
        """Wait until the client's socket accepts more."""


class _Progress(msgspec.Struct):
    """State of an exchange that aiohttp's trace callbacks update."""

    connected: bool = False


async def _record_connection(_: aiohttp.ClientSession, context: SimpleNamespace, __: object) -> None:
    progress = context.trace_request_ctx
    if isinstance(progress, _Progress):
        progress.connected = True


def _trace_config() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_record_connection)
    trace.on_connection_reuseconn.append(_record_connection)
    return trace


class _ConnectionEndedError(aiohttp.ClientPayloadError):
    """The connection ended inside a body that aiohttp's parser had rejected."""


class _DeferredReleaseResponse(aiohttp.ClientResponse):
    """A response that keeps its connection after the end of the body, until the flow has checked all of it.

    aiohttp would return the connection to the pool at the end of the body, even of a malformed response.
    """

    def _response_eof(self) -> None:
        """Do nothing, as :meth:`Exchange.close` releases or closes the connection."""


class UpstreamClient:
    """The node's connections to engines, in two sessions: one pools connections, the other reuses none."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self.rates = ServiceRates()
        self._pooled = self._session(force_close=False)
        self._unpooled = self._session(force_close=True)

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        if force_close:
            connector = aiohttp.TCPConnector(limit=0, force_close=True, use_dns_cache=False)
        else:
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=POOL_IDLE_TIMEOUT_S, use_dns_cache=False
            )
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            response_class=_DeferredReleaseResponse,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[_trace_config()],
            skip_auto_headers=OMITTED_HEADERS,
            max_line_size=MAX_ENGINE_LINE_BYTES,
            max_field_size=MAX_ENGINE_LINE_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
        )

    def begin(self, dispatch: Dispatch, sink: UpstreamEventSink) -> Exchange:
        """Start an exchange that reports its events to ``sink``."""
        self._metrics.count("upstream_attempts_total", dispatch.engine.service, dispatch.engine.version)
        self.rates.record_dispatch(dispatch.engine.service)
        session = self._unpooled if dispatch.fresh else self._pooled
        return Exchange(session, dispatch, sink, self._metrics)

    async def close(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._unpooled.close()


class Exchange:
    """One request to one engine."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dispatch: Dispatch,
        sink: UpstreamEventSink,
        metrics: NodeMetrics,
    ) -> None:
        self._session = session
        self._dispatch = dispatch
        self._attempt = dispatch.attempt
        self._sink = sink
        self._metrics = metrics
        self._progress = _Progress()
        self._response: aiohttp.ClientResponse | None = None
        self._connection_end: asyncio.Future[None] | None = None
        self._closed = False
        self._ended = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self, reusable: bool) -> None:
        """End the exchange without further events. The connection is reused only if ``reusable``."""
        if self._closed:
            return
        self._closed = True
        self._stop_observing_connection()
        if self._response is not None:
            if reusable and self._ended:
                self._response.release()
            else:
                self._response.close()
        if not self._ended:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            await self._exchange()
        except asyncio.CancelledError:
            self._stop_observing_connection()
            if self._response is not None:
                self._response.close()
            raise
        except Exception as error:  # noqa: BLE001 - any exception of aiohttp is a failed attempt and must not end the node
            self._stop_observing_connection()
            if self._response is not None:
                self._response.close()
            self._report_failure(_failure_cause(error))

    async def _exchange(self) -> None:
        dispatch = self._dispatch
        response = await self._session.request(
            "POST",
            URL.build(scheme="http", authority=dispatch.engine.address, path=dispatch.path),
            data=dispatch.body,
            headers=dispatch.headers,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=dispatch.connect_timeout_s),
            trace_request_ctx=self._progress,
        )
        self._response = response
        if self._closed:
            response.close()
            return
        self._observe_connection_end(response)
        headers = {name.lower(): value for name, value in response.headers.items()}
        self._emit(UpstreamHead(attempt=self._attempt, status=response.status, headers=headers))
        await self._read_body(response.content)
        if not self._closed:
            self._report_end(response)

    def _observe_connection_end(self, response: aiohttp.ClientResponse) -> None:
        """Observe the connection's end, because aiohttp leaves readers waiting after a malformed chunk."""
        protocol = response.connection.protocol if response.connection is not None else None
        end = protocol.closed if protocol is not None else None
        if end is None:
            self._connection_ended(None)
            return
        self._connection_end = end
        end.add_done_callback(self._connection_ended)

    def _stop_observing_connection(self) -> None:
        if self._connection_end is not None:
            self._connection_end.remove_done_callback(self._connection_ended)
            self._connection_end = None

    def _connection_ended(self, _: asyncio.Future[None] | None) -> None:
        content = self._response.content if self._response is not None else None
        if content is not None and not content.is_eof() and content.exception() is None:
            content.set_exception(_ConnectionEndedError("the body's framing is malformed"))

    def _report_end(self, response: aiohttp.ClientResponse) -> None:
        self._ended = True
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        if not chunked and "Content-Length" not in response.headers:
            # The end of the connection ended the body, so its length can't be verified.
            response.close()
            self._report_failure(UpstreamCause.PROTOCOL)
            return
        self._emit(UpstreamEnd(attempt=self._attempt))

    async def _read_body(self, content: aiohttp.StreamReader) -> None:
        sink, attempt, read = self._sink, self._attempt, content.readany
        while not self._closed:
            data = await read()
            if self._closed:
                return
            if not data:
                if content.at_eof():
                    return
                continue
            sink.upstream_event(UpstreamData(attempt=attempt, data=data))
            if sink.paused():
                await sink.drain()

    def _emit(self, event: UpstreamEvent) -> None:
        if not self._closed:
            self._sink.upstream_event(event)

    def _report_failure(self, cause: UpstreamCause) -> None:
        self._metrics.count("upstream_failures_total", cause)
        self._ended = True
        self._emit(UpstreamFailed(attempt=self._attempt, cause=cause, sent=self._progress.connected))


def _failure_cause(error: Exception) -> UpstreamCause:
    """Return why an exchange failed; any unknown error counts as a protocol fault of the engine."""
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return UpstreamCause.CONNECT_TIMEOUT
    if isinstance(error, aiohttp.ClientConnectorError):
        return UpstreamCause.REFUSED
    if isinstance(error, aiohttp.ServerDisconnectedError | aiohttp.ClientOSError | OSError):
        return UpstreamCause.RESET
    if isinstance(error, aiohttp.ClientPayloadError) and not isinstance(error, _ConnectionEndedError):
        # Closed before the announced length or the last chunk; a malformed chunk is not a reset.
        ended_early = "Not enough data" in repr(error.__cause__) or error.__cause__ is None
        return UpstreamCause.RESET if ended_early else UpstreamCause.PROTOCOL
    return UpstreamCause.PROTOCOL
