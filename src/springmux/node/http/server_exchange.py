"""The server's side of an exchange: one request on a client's connection, and its response."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from springmux.node.http.framing import (
    LAST_CHUNK,
    describe_exception,
    encode_chunk,
    encode_response_head,
    has_no_body,
)
from springmux.node.http.request_body import RequestBody
from springmux.node.http.types import BodyTooLargeError, ClientDisconnectedError, Header, RequestHead

_log = logging.getLogger(__name__)

_CLOSE: Header = (b"connection", b"close")


class ExchangeConnection(Protocol):
    """Interface of the connection, as an exchange uses it."""

    def send(self, data: bytes) -> None:
        """Write bytes of the response."""
        ...

    async def drain(self) -> None:
        """Wait until the client's socket accepts more bytes.

        :raises ClientDisconnectedError: the client has disconnected.
        """
        ...

    def try_hold(self, size_bytes: int) -> bool:
        """Count bytes of a response that are held until it ends; return whether there is room for them."""
        ...

    def send_continue(self) -> None:
        """Send ``100 Continue`` if the client waits for it (RFC 9110, section 10.1.1)."""
        ...

    def decide_close(self) -> bool:
        """Return whether the connection closes after this response."""
        ...

    def response_complete(self, exchange: HttpServerExchange) -> None:
        """Continue with the next request after the complete response."""
        ...

    def reset(self) -> None:
        """Reset the connection."""
        ...


class HttpServerExchange:
    """Implements :class:`~springmux.node.http.types.ServerExchange` on one connection.

    A handler's headers are sent unchanged; they must not include Content-Length, Transfer-Encoding or
    Connection.
    """

    def __init__(
        self,
        connection: ExchangeConnection,
        head: RequestHead,
        body: RequestBody,
        received_at: float,
        *,
        http_1_0: bool,
    ) -> None:
        self.head = head
        self.received_at = received_at
        self.finished = False
        self.disconnected = False
        self._connection = connection
        self._body = body
        self._http_1_0 = http_1_0
        self._waiters: list[asyncio.Future[None]] = []
        self._disconnect_callbacks: list[Callable[[], None]] = []
        self._begun = False
        self._without_body = False
        self._chunked = False
        self._remaining_bytes: int | None = None

    # Called by the handler.

    @property
    def begun(self) -> bool:
        """Whether any byte of a response was sent."""
        return self._begun

    @property
    def body_complete(self) -> bool:
        """Whether the request's body was read to its end."""
        return self._body.complete

    @property
    def body_too_large(self) -> bool:
        """Whether the request's body is over the limit."""
        return self._body.too_large

    @property
    def body_rest(self) -> bytes:
        """The received bytes after the body's end, once it is complete."""
        return self._body.rest

    @property
    def undecoded_bytes(self) -> int:
        """Received bytes of the body that the next call of :meth:`feed` will decode."""
        return self._body.undecoded_bytes

    async def body(self) -> bytes:
        """Return the complete body.

        :raises BodyTooLargeError: the body is over the limit; respond 413.
        :raises ClientDisconnectedError: the client disconnected before the end of the body.
        """
        while True:
            # Checked first: a refused request, to which this applies too, must not be executed.
            if self.disconnected or self.finished:
                raise ClientDisconnectedError
            if self.body_too_large:
                raise BodyTooLargeError
            if self._body.complete:
                return self._body.whole()
            self._connection.send_continue()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    def try_hold(self, size_bytes: int) -> bool:
        """Count bytes of a response that are held until it ends; return whether there is room for them."""
        return not self._ended() and self._connection.try_hold(size_bytes)

    def respond(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a complete response with Content-Length, in one write."""
        if self._ended():
            return
        head = self._encode_head(status, headers, len(body))
        self._connection.send(head if self._without_body else head + body)
        self._finish()

    def begin(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        """Begin a response whose body follows; chunked if ``length`` is ``None``."""
        if self._ended():
            return
        self._remaining_bytes = length
        self._connection.send(self._encode_head(status, headers, length))

    async def write(self, data: bytes) -> None:
        """Send a part of the body immediately, then wait while the client's socket is full.

        :raises ClientDisconnectedError: the client has disconnected.
        """
        if self.disconnected or self.finished:
            raise ClientDisconnectedError
        if not self._begun:
            raise RuntimeError("write() was called before begin()")
        if not data or self._without_body:
            return
        if self._remaining_bytes is not None:
            if len(data) > self._remaining_bytes:
                raise RuntimeError("the body is longer than announced")
            self._remaining_bytes -= len(data)
        self._connection.send(encode_chunk(data) if self._chunked else data)
        await self._connection.drain()
        if self.disconnected:
            raise ClientDisconnectedError

    def end(self) -> None:
        """End the body; resets the connection if the body is shorter than announced."""
        if self.disconnected or self.finished:
            return
        if not self._begun:
            raise RuntimeError("end() was called before begin()")
        if self._remaining_bytes and not self._without_body:
            self.abort()
            return
        if self._chunked and not self._without_body:
            self._connection.send(LAST_CHUNK)
        self._finish()

    def abort(self) -> None:
        """Reset the connection, so that a truncated response can't look complete."""
        if not self.finished and not self.disconnected:
            self._disconnect_callbacks.clear()  # the client didn't disconnect
            self._connection.reset()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once if the client disconnects before the end of the response."""
        if self.disconnected:
            asyncio.get_running_loop().call_soon(_run_callback, callback)
        elif not self.finished:
            self._disconnect_callbacks.append(callback)

    # Called by the connection.

    def feed(self, data: bytes) -> None:
        """Consume bytes of the request's body.

        :raises MalformedMessageError: the body's framing is not valid.
        :raises MemoryExhaustedError: there is no room for them.
        """
        self._body.feed(data)
        if self.body_too_large or self.body_complete:
            self._wake()

    def fail(self, status: int) -> bool:
        """Abort the exchange: with an error response if no response has begun, else with a reset.

        Returns whether the exchange was still open.
        """
        if self._ended():
            return False
        if self._begun:
            self.abort()
        else:
            self.respond(status, (), b"")
        return True

    def client_disconnected(self) -> None:
        """Record the disconnection; waiting handlers get ClientDisconnectedError."""
        if self.disconnected or self.finished:
            return
        self.disconnected = True
        self._wake()
        callbacks, self._disconnect_callbacks = self._disconnect_callbacks, []
        for callback in callbacks:
            _run_callback(callback)

    def _ended(self) -> bool:
        return self.disconnected or self.finished

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _finish(self) -> None:
        self.finished = True
        self._disconnect_callbacks.clear()
        self._wake()
        self._connection.response_complete(self)

    def _encode_head(self, status: int, headers: Sequence[Header], length: int | None) -> bytes:
        if self._begun:
            raise RuntimeError("the response has begun already")
        self._begun = True
        without_body = has_no_body(status)
        self._without_body = without_body or self.head.method == b"HEAD"
        framing: list[Header] = []
        if not without_body and length is not None:
            framing.append((b"content-length", b"%d" % length))
        elif not without_body and not self._http_1_0:
            self._chunked = True
            framing.append((b"transfer-encoding", b"chunked"))
        if self._connection.decide_close():
            framing.append(_CLOSE)
        return encode_response_head(status, headers, framing)


def _run_callback(callback: Callable[[], None]) -> None:
    try:
        callback()
    except Exception as error:  # noqa: BLE001 - an exception in one callback must not prevent the others
        _log.error("http_gone_callback_failed error=%s", describe_exception(error))
