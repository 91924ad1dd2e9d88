"""The server's side of a client's connection: sequential requests, their timeouts, and the close."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from typing import cast

from springmux.node.http.bodies import request_body_decoder
from springmux.node.http.connection_owner import ConnectionOwner
from springmux.node.http.framing import encode_response_head
from springmux.node.http.heads import MalformedMessageError, RequestHeadReader
from springmux.node.http.server_exchange import HttpServerExchange
from springmux.node.http.sockets import reset, send_without_delay
from springmux.node.http.types import Header, RequestHead, ServerRefusal
from springmux.node.http.write_gate import WriteGate

# Time that a body may take in addition to the header timeout.
_BODY_TIMEOUT_MARGIN_S = 10.0
# How long received bytes are discarded before closing: unread bytes would turn the close into a reset,
# and the client may lose the response (RFC 9112, section 9.6).
_LINGERING_TIMEOUT_S = 1.0
_WRITE_HIGH_WATER_BYTES = 64 * 1024
# Pipelined bytes buffered before reading pauses. Reading continues until then to detect a disconnection.
_MAX_BUFFERED_BYTES = 64 * 1024
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REFUSAL_STATUSES = {
    ServerRefusal.MALFORMED: 400,
    ServerRefusal.TOO_SLOW: 408,
    ServerRefusal.HEADERS_TOO_LARGE: 431,
    ServerRefusal.TOO_MANY_CONNECTIONS: 503,
}


class _Phase(enum.Enum):
    IDLE = enum.auto()
    """No byte of the next request has been received."""
    HEAD = enum.auto()
    """A part of a request's head has been received."""
    EXCHANGE = enum.auto()
    """A request is in flight."""
    LINGERING = enum.auto()
    """The server has sent EOF, and discards what it receives."""
    CLOSING = enum.auto()
    """The connection is closed, or closes once everything is written."""


class ServerConnection(asyncio.Protocol):
    """One connection of a client, which is always in one phase and has at most one timer."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._phase = _Phase.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._limits = owner.limits_now()
        self._reader: RequestHeadReader | None = None
        self._exchange: HttpServerExchange | None = None
        self._buffered = b""
        self._keep_alive = True
        self._expects_continue = False
        self._reading = True
        self._write_gate = WriteGate()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its options; respond 503 if there are too many connections."""
        self._transport = cast(asyncio.Transport, transport)
        send_without_delay(self._transport)
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        if self._owner.connection_opened(self):
            # Not the idle timeout: no request has shown yet that the client reuses the connection.
            self._set_timer(self._limits.header_timeout_s, self._close)
        else:
            self._refuse(ServerRefusal.TOO_MANY_CONNECTIONS, headers=((b"retry-after", b"1"),))

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the client."""
        if self._phase is _Phase.EXCHANGE:
            self._receive_in_exchange(data)
        elif self._phase in (_Phase.IDLE, _Phase.HEAD):
            self._receive_head(data)

    def eof_received(self) -> bool:
        """Handle the client's EOF, which aborts the connection if a request is in flight."""
        if self._phase is _Phase.EXCHANGE:
            self._transport.abort()
            self._disconnect_exchange()
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """Wake everything that waits for the connection, and unregister it."""
        self._phase = _Phase.CLOSING
        self._set_timer(None)
        self._disconnect_exchange()
        self._write_gate.open()
        self._reader = None
        self._owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Make writers wait: the client's socket is full."""
        self._write_gate.close()

    def resume_writing(self) -> None:
        """Let writers continue: the client's socket accepts bytes again."""
        self._write_gate.open()

    # Called by the exchange.

    def send(self, data: bytes) -> None:
        """Write bytes without waiting."""
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait while the client's socket is full."""
        await self._write_gate.wait_open()

    def send_continue(self) -> None:
        """Send ``100 Continue`` if the client expects it, once the handler reads the body."""
        if not self._expects_continue:
            return
        self._expects_continue = False
        self._transport.write(_CONTINUE_RESPONSE)
        self._set_timer(self._limits.header_timeout_s + _BODY_TIMEOUT_MARGIN_S, self._body_timed_out)

    def decide_close(self) -> bool:
        """Decide and return whether the connection closes after the response that begins now."""
        exchange = self._exchange
        if exchange is None or not exchange.body_complete or exchange.body_too_large:
            self._keep_alive = False
        if self._owner.stopping and not self._buffered:
            self._keep_alive = False
        return not self._keep_alive

    def response_complete(self, exchange: HttpServerExchange) -> None:
        """Continue with the next request, or close, after the exchange's response was written."""
        self._exchange = None
        self._set_timer(None)
        self._owner.request_ended()
        if not exchange.body_complete or exchange.body_too_large:
            self._close_lingering()
        elif not self._keep_alive or (self._owner.stopping and not self._buffered):
            self._close_lingering() if self._buffered else self._close()
        else:
            # Deferred by one loop iteration, or the next handler's response would be nested in this call.
            self._phase = _Phase.IDLE
            self._set_timer(self._owner.limits_now().idle_timeout_s, self._close)
            if self._buffered:
                self._loop.call_soon(self._process_buffered)

    def reset(self) -> None:
        """Reset the connection."""
        self._phase = _Phase.CLOSING
        reset(self._transport)
        self._disconnect_exchange()

    # Called by the server.

    def abort(self) -> None:
        """Reset the connection in any phase."""
        if self._exchange is not None:
            self._owner.request_refused(ServerRefusal.STOPPED, self._exchange.head)
        self.reset()

    def close_if_idle(self) -> None:
        """Close unless a byte of a request has been received."""
        if self._phase is _Phase.IDLE and not self._buffered:
            self._close()

    # Reading.

    def _process_buffered(self) -> None:
        if self._phase is not _Phase.IDLE:
            return
        data, self._buffered = self._buffered, b""
        self._set_reading(True)
        if data:
            self._receive_head(data)
        if self._phase is _Phase.IDLE and self._owner.stopping:
            self._close()

    def _receive_head(self, data: bytes) -> None:
        if self._buffered:
            self._buffered += data  # _process_buffered is scheduled
            return
        if self._phase is _Phase.IDLE:
            data = data.lstrip(b"\r\n")  # RFC 9112, section 2.2
            if not data:
                return
            self._begin_head()
        assert self._reader is not None
        try:
            used = self._reader.feed(data)
            if self._reader.size_bytes > self._limits.max_header_bytes:
                self._refuse(ServerRefusal.HEADERS_TOO_LARGE)
            elif used is not None:
                self._begin_exchange(self._reader, data[used:])
        except MalformedMessageError:
            self._refuse(ServerRefusal.MALFORMED)

    def _begin_head(self) -> None:
        self._phase = _Phase.HEAD
        self._limits = self._owner.limits_now()
        self._reader = RequestHeadReader()
        self._set_timer(self._limits.header_timeout_s, self._refuse, ServerRefusal.TOO_SLOW)

    def _begin_exchange(self, reader: RequestHeadReader, rest: bytes) -> None:
        head = reader.head()
        decoder, length = request_body_decoder(head)
        self._reader = None
        http_1_0 = reader.version == "1.0"
        self._keep_alive = reader.keep_alive and not http_1_0
        exchange = HttpServerExchange(
            self,
            head,
            decoder,
            self._loop.time(),
            http_1_0=http_1_0,
            max_body_bytes=self._limits.max_body_bytes,
            announced_bytes=length,
        )
        expectation = head.header(b"expect") or b""
        self._expects_continue = not http_1_0 and expectation.lower() == b"100-continue"
        self._exchange = exchange
        self._phase = _Phase.EXCHANGE
        if decoder.done:
            self._set_timer(None)
        else:
            self._set_timer(self._limits.header_timeout_s + _BODY_TIMEOUT_MARGIN_S, self._body_timed_out)
        self._owner.request_started(exchange)
        if rest:
            self._receive_in_exchange(rest)

    def _receive_in_exchange(self, data: bytes) -> None:
        exchange = self._exchange
        assert exchange is not None
        if exchange.body_complete:
            self._buffer(data)
            return
        self._expects_continue = False
        try:
            rest = exchange.feed(data)
        except MalformedMessageError:
            self._abort_exchange(exchange, ServerRefusal.MALFORMED)
            return
        if exchange.body_too_large:
            self._set_reading(False)
        if exchange.body_complete:
            self._set_timer(None)
            self._buffer(rest)

    def _buffer(self, data: bytes) -> None:
        self._buffered += data
        if len(self._buffered) > _MAX_BUFFERED_BYTES:
            self._set_reading(False)

    def _set_reading(self, enabled: bool) -> None:
        if enabled == self._reading or self._transport.is_closing():
            return
        self._reading = enabled
        if enabled:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    # Closing.

    def _body_timed_out(self) -> None:
        if self._exchange is not None:
            self._abort_exchange(self._exchange, ServerRefusal.TOO_SLOW)

    def _abort_exchange(self, exchange: HttpServerExchange, refusal: ServerRefusal) -> None:
        """End an exchange for a fault of the client; its handler gets ClientDisconnectedError."""
        if exchange.begun:
            self._owner.request_refused(refusal, exchange.head)
            self.reset()
            return
        self._disconnect_exchange()
        self._refuse(refusal, exchange.head)

    def _disconnect_exchange(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.client_disconnected()
            self._write_gate.open()
            self._owner.request_ended()

    def _refuse(
        self, refusal: ServerRefusal, head: RequestHead | None = None, headers: tuple[Header, ...] = ()
    ) -> None:
        self._owner.request_refused(refusal, head)
        framing = ((b"content-length", b"0"), (b"connection", b"close"))
        self._transport.write(encode_response_head(_REFUSAL_STATUSES[refusal], headers, framing))
        self._close_lingering()

    def _close_lingering(self) -> None:
        """Send EOF, then discard what the client still sends until the lingering timeout."""
        self._phase = _Phase.LINGERING
        self._buffered = b""
        self._set_reading(True)
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        self._set_timer(_LINGERING_TIMEOUT_S, self._close)

    def _close(self) -> None:
        """Close once everything is written, or abort if the client doesn't read it in time."""
        self._phase = _Phase.CLOSING
        self._transport.close()
        self._set_timer(self._limits.idle_timeout_s, self._transport.abort)

    def _set_timer(
        self, delay_s: float | None, callback: Callable[..., None] = lambda: None, *args: ServerRefusal
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            self._timer = self._loop.call_later(delay_s, callback, *args)
