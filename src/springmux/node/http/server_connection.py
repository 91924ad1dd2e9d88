"""A client's connection at the server: requests one after another, timeouts, and the ways it ends."""

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

# What a body may take beyond the header timeout (the task's figure).
_BODY_EXTRA_S = 10.0
# How long a client's unread bytes are dropped, so that a close doesn't reset the answer away (task's figure).
_LINGER_S = 1.0
_HIGH_WATER_BYTES = 64 * 1024
# Pipelined bytes kept before reading stops. Reading goes on until then, so that the client's end is noticed.
_MAX_KEPT_BYTES = 64 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUSES = {
    ServerRefusal.MALFORMED: 400,
    ServerRefusal.TOO_SLOW: 408,
    ServerRefusal.HEADERS_TOO_LARGE: 431,
    ServerRefusal.TOO_MANY_CONNECTIONS: 503,
}


class _Phase(enum.Enum):
    IDLE = enum.auto()
    HEAD = enum.auto()
    EXCHANGE = enum.auto()
    LINGER = enum.auto()
    CLOSING = enum.auto()


class ServerConnection(asyncio.Protocol):
    """One connection of a client. At any time it has one phase and at most one timer."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._phase = _Phase.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._limits = owner.limits_now()
        self._reader: RequestHeadReader | None = None
        self._exchange: HttpServerExchange | None = None
        self._kept = b""
        self._keep_alive = True
        self._expects_continue = False
        self._reading = True
        self._gate = WriteGate()

    # Called by the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the transport; too many connections are answered 503."""
        self._transport = cast(asyncio.Transport, transport)
        send_without_delay(self._transport)
        self._transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        if self._owner.connected(self):
            # A first request has the header timeout: nothing says yet that the client will come again.
            self._set_timer(self._limits.header_timeout_s, self._close)
        else:
            self._refuse(ServerRefusal.TOO_MANY_CONNECTIONS, headers=((b"retry-after", b"1"),))

    def data_received(self, data: bytes) -> None:
        """Take bytes, in every phase."""
        if self._phase is _Phase.EXCHANGE:
            self._take_in_exchange(data)
        elif self._phase in (_Phase.IDLE, _Phase.HEAD):
            self._take_head(data)

    def eof_received(self) -> bool:
        """The client ended its side: a request under way is given up."""
        if self._phase is _Phase.EXCHANGE:
            self._transport.abort()
            self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over."""
        self._phase = _Phase.CLOSING
        self._set_timer(None)
        self._leave()
        self._gate.open()
        self._reader = None
        self._owner.disconnected(self)

    def pause_writing(self) -> None:
        """The client's socket is full."""
        self._gate.shut()

    def resume_writing(self) -> None:
        """The client's socket takes bytes again."""
        self._gate.open()

    # Called by the exchange.

    def send(self, data: bytes) -> None:
        """Write bytes now."""
        self._transport.write(data)

    async def drained(self) -> None:
        """Wait while the client's socket is full."""
        await self._gate.passed()

    def invite_body(self) -> None:
        """Answer ``Expect: 100-continue`` once the body is wanted."""
        if not self._expects_continue:
            return
        self._expects_continue = False
        self._transport.write(_CONTINUE)
        self._set_timer(self._limits.header_timeout_s + _BODY_EXTRA_S, self._body_is_late)

    def decide_close(self) -> bool:
        """Return whether the connection ends after the answer that begins now."""
        exchange = self._exchange
        if exchange is None or not exchange.body_complete or exchange.too_large:
            self._keep_alive = False
        if self._owner.stopping and not self._kept:
            self._keep_alive = False
        return not self._keep_alive

    def answered(self, exchange: HttpServerExchange) -> None:
        """The exchange's answer is written: go on with the next request, or close."""
        self._exchange = None
        self._set_timer(None)
        self._owner.closed()
        if not exchange.body_complete or exchange.too_large:
            self._linger()
        elif not self._keep_alive or (self._owner.stopping and not self._kept):
            self._linger() if self._kept else self._close()
        else:
            # Not at once: a handler's next answer would nest in this one's call.
            self._phase = _Phase.IDLE
            self._set_timer(self._owner.limits_now().idle_timeout_s, self._close)
            if self._kept:
                self._loop.call_soon(self._take_kept)

    def reset(self) -> None:
        """Reset the connection."""
        self._phase = _Phase.CLOSING
        reset(self._transport)
        self._leave()

    # Called by the server.

    def cut(self) -> None:
        """Reset the connection, whatever it is at."""
        if self._exchange is not None:
            self._owner.refused(ServerRefusal.STOPPED, self._exchange.head)
        self.reset()

    def close_if_idle(self) -> None:
        """Close if nothing of a request has come."""
        if self._phase is _Phase.IDLE and not self._kept:
            self._close()

    # Reading.

    def _take_kept(self) -> None:
        if self._phase is not _Phase.IDLE:
            return
        data, self._kept = self._kept, b""
        self._read_on(True)
        if data:
            self._take_head(data)
        if self._phase is _Phase.IDLE and self._owner.stopping:
            self._close()

    def _take_head(self, data: bytes) -> None:
        if self._kept:
            self._kept += data  # _take_kept is due
            return
        if self._phase is _Phase.IDLE:
            data = data.lstrip(b"\r\n")  # RFC 9112, 2.2
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
        old_version = reader.version == "1.0"
        self._keep_alive = reader.keep_alive and not old_version
        exchange = HttpServerExchange(
            self,
            head,
            decoder,
            self._loop.time(),
            old_version=old_version,
            max_body_bytes=self._limits.max_body_bytes,
            announced_bytes=length,
        )
        expectation = head.header(b"expect") or b""
        self._expects_continue = not old_version and expectation.lower() == b"100-continue"
        self._exchange = exchange
        self._phase = _Phase.EXCHANGE
        if decoder.done:
            self._set_timer(None)
        else:
            self._set_timer(self._limits.header_timeout_s + _BODY_EXTRA_S, self._body_is_late)
        self._owner.opened(exchange)
        if rest:
            self._take_in_exchange(rest)

    def _take_in_exchange(self, data: bytes) -> None:
        exchange = self._exchange
        assert exchange is not None
        if exchange.body_complete:
            self._keep(data)
            return
        self._expects_continue = False
        try:
            rest = exchange.feed(data)
        except MalformedMessageError:
            self._give_up(exchange, ServerRefusal.MALFORMED)
            return
        if exchange.too_large:
            self._read_on(False)
        if exchange.body_complete:
            self._set_timer(None)
            self._keep(rest)

    def _keep(self, data: bytes) -> None:
        self._kept += data
        if len(self._kept) > _MAX_KEPT_BYTES:
            self._read_on(False)

    def _read_on(self, wanted: bool) -> None:
        if wanted == self._reading or self._transport.is_closing():
            return
        self._reading = wanted
        if wanted:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    # Ends.

    def _body_is_late(self) -> None:
        if self._exchange is not None:
            self._give_up(self._exchange, ServerRefusal.TOO_SLOW)

    def _give_up(self, exchange: HttpServerExchange, refusal: ServerRefusal) -> None:
        """End an exchange for the client's fault; its handler sees the client gone."""
        if exchange.begun:
            self._owner.refused(refusal, exchange.head)
            self.reset()
            return
        self._leave()
        self._refuse(refusal, exchange.head)

    def _leave(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.leave()
            self._gate.open()
            self._owner.closed()

    def _refuse(
        self, refusal: ServerRefusal, head: RequestHead | None = None, headers: tuple[Header, ...] = ()
    ) -> None:
        self._owner.refused(refusal, head)
        framing = ((b"content-length", b"0"), (b"connection", b"close"))
        self._transport.write(encode_response_head(_STATUSES[refusal], headers, framing))
        self._linger()

    def _linger(self) -> None:
        """Send the end, and drop what the client still sends for a while."""
        self._phase = _Phase.LINGER
        self._kept = b""
        self._read_on(True)
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        self._set_timer(_LINGER_S, self._close)

    def _close(self) -> None:
        """Close once everything is written; a client that takes nothing is cut off after a while."""
        self._phase = _Phase.CLOSING
        self._transport.close()
        self._set_timer(self._limits.idle_timeout_s, self._transport.abort)

    def _set_timer(
        self, delay_s: float | None, call: Callable[..., None] = lambda: None, *args: ServerRefusal
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            self._timer = self._loop.call_later(delay_s, call, *args)
