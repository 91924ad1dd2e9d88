"""The server's side of a client's connection: sequential requests, their timeouts, and the close."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from functools import partial
from typing import cast

from springmux.node.http.bodies import request_body_decoder
from springmux.node.http.client_usage import ClientUsage
from springmux.node.http.connection_owner import ConnectionOwner
from springmux.node.http.framing import encode_response_head
from springmux.node.http.heads import MalformedMessageError, RequestHeadReader
from springmux.node.http.request_body import MemoryExhaustedError, RequestBody
from springmux.node.http.server_exchange import HttpServerExchange
from springmux.node.http.sockets import limit_read_size, reset, send_without_delay
from springmux.node.http.types import Header, RequestHead, ServerRefusal
from springmux.node.http.write_gate import WriteGate

# Time that a body may take in addition to the header timeout.
_BODY_TIMEOUT_MARGIN_S = 10.0
# How long received bytes are discarded before closing: unread bytes would turn the close into a reset,
# and the client may lose the response (RFC 9112, section 9.6).
_LINGERING_TIMEOUT_S = 1.0
# Most bytes that one read takes from the kernel; it bounds what is parsed at once.
_MAX_READ_BYTES = 64 * 1024
# Pipelined bytes buffered before reading pauses. Reading continues until then to detect a disconnection.
_MAX_BUFFERED_BYTES = 64 * 1024
_SERVICE_UNAVAILABLE = 503
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REFUSAL_STATUSES = {
    ServerRefusal.MALFORMED: 400,
    ServerRefusal.TOO_SLOW: 408,
    ServerRefusal.HEADERS_TOO_LARGE: 431,
    ServerRefusal.TOO_MANY_CONNECTIONS: 503,
    ServerRefusal.OVERLOADED: 503,
}


# A 503 promises that the request was not executed, so its client may come back.
_RETRY_LATER: tuple[Header, ...] = ((b"retry-after", b"1"),)


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
        self._usage = ClientUsage(self, owner)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its options; respond 503 if there are too many connections."""
        self._transport = cast(asyncio.Transport, transport)
        send_without_delay(self._transport)
        # Writing pauses as soon as the kernel takes no more, so that every byte that it leaves is counted.
        self._transport.set_write_buffer_limits(high=0)
        limit_read_size(self._transport, _MAX_READ_BYTES)
        if self._owner.connection_opened(self):
            self._usage.begin_wait()
            # Not the idle timeout: no request has shown yet that the client reuses the connection.
            self._set_timer(self._limits.header_timeout_s, self._close)
        else:
            self._refuse(ServerRefusal.TOO_MANY_CONNECTIONS)

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
        self._usage.release_all()
        self._owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Make writers wait: the client's socket is full."""
        self._write_gate.close()
        self._usage.begin_wait()
        self._count_unread()

    def resume_writing(self) -> None:
        """Let writers continue: the client's socket accepts bytes again."""
        self._usage.all_read()
        self._write_gate.open()
        if self._phase is _Phase.EXCHANGE and self._exchange is not None and self._exchange.body_complete:
            self._usage.end_wait()
        elif self._phase is _Phase.IDLE and self._buffered:
            self._loop.call_soon(self._process_buffered)

    # Called by the exchange.

    def send(self, data: bytes) -> None:
        """Write bytes without waiting."""
        self._transport.write(data)
        if self._write_gate.closed:
            self._count_unread()

    async def drain(self) -> None:
        """Wait while the client's socket is full."""
        await self._write_gate.wait_open()

    def try_hold(self, size_bytes: int) -> bool:
        """Count bytes of a response that are held until it ends; return whether there is room for them."""
        return self._usage.memory.try_hold(size_bytes, reserved=False)

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
        if self._exchange is not exchange:
            return
        self._exchange = None
        if self._write_gate.closed:
            self._count_unread()
        self._usage.release_request(len(self._buffered))
        self._set_timer(None)
        self._owner.request_ended()
        if not exchange.body_complete or exchange.body_too_large:
            self._close_lingering()
        elif not self._keep_alive or (self._owner.stopping and not self._buffered):
            self._close_lingering() if self._buffered else self._close()
        else:
            # Deferred by one loop iteration, or the next handler's response would be nested in this call.
            self._phase = _Phase.IDLE
            self._usage.begin_wait()
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

    def yield_memory(self) -> None:
        """End what the client left unfinished: another connection needs the memory that it holds."""
        self._yield(ServerRefusal.OVERLOADED)

    def yield_place(self) -> None:
        """Close, because a new connection needs the place of this one, which waits for its client."""
        if self._phase in (_Phase.HEAD, _Phase.EXCHANGE):
            self._yield(ServerRefusal.TOO_MANY_CONNECTIONS)
        self._transport.abort() if self._write_gate.closed else self._transport.close()

    def _yield(self, refusal: ServerRefusal) -> None:
        exchange = self._exchange
        if self._phase is _Phase.HEAD:
            self._refuse(refusal)
        elif exchange is not None and not exchange.body_complete:
            self._abort_exchange(exchange, refusal)
        else:
            # A complete request may have been executed, so no status may promise that it was not.
            self._owner.request_refused(refusal, exchange.head if exchange is not None else None)
            self.reset()

    def close_if_idle(self) -> None:
        """Close unless a byte of a request has been received."""
        if self._phase is _Phase.IDLE and not self._buffered:
            self._close()

    # Reading.

    def _process_buffered(self) -> None:
        # A client that does not read its responses gets no further ones.
        if self._phase is not _Phase.IDLE or self._write_gate.closed:
            return
        data, self._buffered = self._buffered, b""
        self._usage.memory.release(len(data))
        self._set_reading(True)
        if data:
            self._receive_head(data)
        if self._phase is _Phase.IDLE and self._owner.stopping:
            self._close()

    def _receive_head(self, data: bytes) -> None:
        if self._buffered or self._write_gate.closed:
            self._buffer(data)  # _process_buffered is scheduled, or will be once the responses are read
            return
        if self._phase is _Phase.IDLE:
            data = data.lstrip(b"\r\n")  # RFC 9112, section 2.2
            if not data:
                return
            self._begin_head()
        reader = self._reader
        assert reader is not None
        try:
            # One byte over the limit shows that the head is too large; the others need no parsing.
            used = reader.feed(data[: self._limits.max_header_bytes + 1 - reader.size_bytes])
            if reader.size_bytes > self._limits.max_header_bytes:
                self._refuse(ServerRefusal.HEADERS_TOO_LARGE)
            elif used is not None:
                self._begin_exchange(reader, data[used:])
            else:
                self._usage.hold_partial_head(len(data), first=reader.size_bytes == len(data))
        except MalformedMessageError:
            self._refuse(ServerRefusal.MALFORMED)
        except MemoryExhaustedError:
            self._refuse(ServerRefusal.OVERLOADED)

    def _begin_head(self) -> None:
        self._phase = _Phase.HEAD
        self._limits = self._owner.limits_now()
        self._reader = RequestHeadReader()
        self._set_timer(self._limits.header_timeout_s, self._refuse, ServerRefusal.TOO_SLOW)

    def _begin_exchange(self, reader: RequestHeadReader, rest: bytes) -> None:
        head = reader.head()
        decoder, announced_bytes = request_body_decoder(head)
        self._usage.begin_wait() if not decoder.done else self._usage.end_wait()
        self._usage.hold_head(reader.size_bytes)
        body = RequestBody(decoder, announced_bytes, self._limits.max_body_bytes, self._usage.memory)
        self._reader = None
        http_1_0 = reader.version == "1.0"
        self._keep_alive = reader.keep_alive and not http_1_0
        exchange = HttpServerExchange(self, head, body, self._loop.time(), http_1_0=http_1_0)
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
        self._usage.memory.record_progress(len(data))
        try:
            exchange.feed(data)
        except MalformedMessageError:
            self._abort_exchange(exchange, ServerRefusal.MALFORMED)
            return
        except MemoryExhaustedError:
            self._abort_exchange(exchange, ServerRefusal.OVERLOADED)
            return
        if exchange.body_too_large:
            self._set_reading(False)
        elif exchange.body_complete:
            self._body_complete(exchange)
        elif exchange.undecoded_bytes:
            self._set_reading(False)
            self._owner.resources.deferred_work.add(partial(self._continue_decoding, exchange))
        else:
            self._set_reading(True)

    def _continue_decoding(self, exchange: HttpServerExchange) -> None:
        if self._exchange is exchange and not exchange.body_too_large:
            self._receive_in_exchange(b"")

    def _body_complete(self, exchange: HttpServerExchange) -> None:
        self._set_timer(None)
        self._set_reading(True)
        if not self._write_gate.closed:
            self._usage.end_wait()
        if exchange.body_rest:
            self._buffer(exchange.body_rest)

    def _buffer(self, data: bytes) -> None:
        if not self._usage.memory.try_hold(len(data), reserved=False):
            self._yield(ServerRefusal.OVERLOADED)
            return
        self._buffered += data
        if len(self._buffered) > _MAX_BUFFERED_BYTES:
            # While reading is paused, a disconnection is not detected, so the connection yields to others.
            self._set_reading(False)
            self._usage.begin_wait()

    def _set_reading(self, enabled: bool) -> None:
        if enabled == self._reading or self._transport.is_closing():
            return
        self._reading = enabled
        if enabled:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _count_unread(self) -> None:
        """Count what the client has not read; without room for it, the connection yields."""
        buffered_bytes = self._transport.get_write_buffer_size()
        if not self._usage.count_unread(buffered_bytes, relaying=self._exchange is not None):
            # Later, because the exchange is still writing.
            self._loop.call_soon(self._yield_unread)

    def _yield_unread(self) -> None:
        if self._write_gate.closed and self._phase is not _Phase.CLOSING:
            self._yield(ServerRefusal.OVERLOADED)

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
        self._usage.release_all()
        if exchange is not None:
            exchange.client_disconnected()
            self._write_gate.open()
            self._owner.request_ended()

    def _refuse(self, refusal: ServerRefusal, head: RequestHead | None = None) -> None:
        self._owner.request_refused(refusal, head)
        self._reader = None
        self._usage.release_all()
        status = _REFUSAL_STATUSES[refusal]
        headers = _RETRY_LATER if status == _SERVICE_UNAVAILABLE else ()
        framing = ((b"content-length", b"0"), (b"connection", b"close"))
        self._transport.write(encode_response_head(status, headers, framing))
        self._close_lingering()

    def _close_lingering(self) -> None:
        """Send EOF, then discard what the client still sends until the lingering timeout."""
        self._phase = _Phase.LINGERING
        self._usage.memory.release(len(self._buffered))
        self._buffered = b""
        self._usage.begin_wait()
        self._set_reading(True)
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        self._set_timer(_LINGERING_TIMEOUT_S, self._close)

    def _close(self) -> None:
        """Close once everything is written, or abort if the client doesn't read it in time."""
        self._phase = _Phase.CLOSING
        self._usage.begin_wait()
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
