"""One request on a client's connection and its answer: the server's side of an exchange."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from springmux.node.http.bodies import BodyDecoder
from springmux.node.http.framing import (
    LAST_CHUNK,
    describe_exception,
    encode_chunk,
    encode_response_head,
    has_no_body,
)
from springmux.node.http.types import BodyTooLargeError, ClientDisconnectedError, Header, RequestHead

_log = logging.getLogger(__name__)

_CLOSE: Header = (b"connection", b"close")


class ExchangeConnection(Protocol):
    """What an exchange needs of the connection that it runs on."""

    def send(self, data: bytes) -> None:
        """Write bytes of the response."""
        ...

    async def drained(self) -> None:
        """Wait until the client takes more bytes.

        :raises ClientDisconnectedError: if the client left.
        """
        ...

    def invite_body(self) -> None:
        """Send ``100 Continue`` if the client waits for it (RFC 9110, section 10.1.1)."""
        ...

    def decide_close(self) -> bool:
        """Return whether the connection closes after this response."""
        ...

    def answered(self, exchange: HttpServerExchange) -> None:
        """Go on to the next request: the response is complete."""
        ...

    def reset(self) -> None:
        """Reset the connection."""
        ...


class HttpServerExchange:
    """Implements :class:`~springmux.node.http.types.ServerExchange` on one connection.

    A handler's headers are sent as given; they must not hold Content-Length, Transfer-Encoding or Connection.
    """

    def __init__(
        self,
        connection: ExchangeConnection,
        head: RequestHead,
        decoder: BodyDecoder,
        received_at: float,
        *,
        old_version: bool,
        max_body_bytes: int,
        announced_bytes: int | None,
    ) -> None:
        self.head = head
        self.received_at = received_at
        self.finished = False
        self.gone = False
        self.too_large = announced_bytes is not None and announced_bytes > max_body_bytes
        self._connection = connection
        self._decoder = decoder
        self._old_version = old_version
        self._max_body_bytes = max_body_bytes
        self._parts: list[bytes] = []
        self._size_bytes = 0
        self._body: bytes | None = None
        self._waiters: list[asyncio.Future[None]] = []
        self._gone_callbacks: list[Callable[[], None]] = []
        self._begun = False
        self._bodiless = False
        self._chunked = False
        self._remaining: int | None = None

    # What the handler uses.

    @property
    def begun(self) -> bool:
        """Whether any byte of an answer was sent."""
        return self._begun

    @property
    def body_complete(self) -> bool:
        """Whether the request's body was read to its end."""
        return self._decoder.done

    async def body(self) -> bytes:
        """Return the whole body.

        :raises BodyTooLargeError: if it is over the limit; answer 413.
        :raises ClientDisconnectedError: if the client left before its end.
        """
        while True:
            if self.too_large:
                raise BodyTooLargeError
            if self._body is not None:
                return self._body
            if self._decoder.done:
                self._body = b"".join(self._parts)
                self._parts.clear()
                return self._body
            if self.gone or self.finished:
                raise ClientDisconnectedError
            self._connection.invite_body()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    def respond(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a whole answer with Content-Length, in one write."""
        if self._ended():
            return
        head = self._encode_head(status, headers, len(body))
        self._connection.send(head if self._bodiless else head + body)
        self._finish()

    def begin(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        """Begin an answer whose body follows; chunked where ``length`` is ``None``."""
        if self._ended():
            return
        self._remaining = length
        self._connection.send(self._encode_head(status, headers, length))

    async def write(self, data: bytes) -> None:
        """Send a part of the body at once; waits while the client's socket is full.

        :raises ClientDisconnectedError: if the client left.
        """
        if self.gone or self.finished:
            raise ClientDisconnectedError
        if not self._begun:
            raise RuntimeError("write before begin")
        if not data or self._bodiless:
            return
        if self._remaining is not None:
            if len(data) > self._remaining:
                raise RuntimeError("the body is longer than announced")
            self._remaining -= len(data)
        self._connection.send(encode_chunk(data) if self._chunked else data)
        await self._connection.drained()
        if self.gone:
            raise ClientDisconnectedError

    def end(self) -> None:
        """End the body properly; a body shorter than announced is a reset."""
        if self.gone or self.finished:
            return
        if not self._begun:
            raise RuntimeError("end before begin")
        if self._remaining and not self._bodiless:
            self.abort()
            return
        if self._chunked and not self._bodiless:
            self._connection.send(LAST_CHUNK)
        self._finish()

    def abort(self) -> None:
        """Reset the connection, so that an unfinished answer can't look complete."""
        if not self.finished and not self.gone:
            self._gone_callbacks.clear()  # the client didn't leave
            self._connection.reset()

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once if the client leaves before the answer's end."""
        if self.gone:
            asyncio.get_running_loop().call_soon(_call, callback)
        elif not self.finished:
            self._gone_callbacks.append(callback)

    # What the connection uses.

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the body; return those after its end.

        :raises MalformedMessageError: if its framing is broken.
        """
        part = self._decoder.feed(data)
        self._size_bytes += len(part)
        if self._size_bytes > self._max_body_bytes:
            self.too_large = True
            self._parts.clear()
        elif not self.too_large:
            self._parts.append(part)
        if self.too_large or self._decoder.done:
            self._wake()
        return self._decoder.rest

    def fail(self, status: int) -> bool:
        """Give the exchange up: with an answer if nothing of one was sent, else with a reset.

        Returns whether it hadn't ended already.
        """
        if self._ended():
            return False
        if self._begun:
            self.abort()
        else:
            self.respond(status, (), b"")
        return True

    def leave(self) -> None:
        """Note that the client is gone: whoever waits gets ClientDisconnectedError."""
        if self.gone or self.finished:
            return
        self.gone = True
        self._wake()
        callbacks, self._gone_callbacks = self._gone_callbacks, []
        for callback in callbacks:
            _call(callback)

    def _ended(self) -> bool:
        return self.gone or self.finished

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _finish(self) -> None:
        self.finished = True
        self._gone_callbacks.clear()
        self._wake()
        self._connection.answered(self)

    def _encode_head(self, status: int, headers: Sequence[Header], length: int | None) -> bytes:
        if self._begun:
            raise RuntimeError("the answer has begun already")
        self._begun = True
        without_body = has_no_body(status)
        self._bodiless = without_body or self.head.method == b"HEAD"
        framing: list[Header] = []
        if not without_body and length is not None:
            framing.append((b"content-length", b"%d" % length))
        elif not without_body and not self._old_version:
            self._chunked = True
            framing.append((b"transfer-encoding", b"chunked"))
        if self._connection.decide_close():
            framing.append(_CLOSE)
        return encode_response_head(status, headers, framing)


def _call(callback: Callable[[], None]) -> None:
    try:
        callback()
    except Exception as error:
        _log.error("http_gone_callback_failed error=%s", describe_exception(error))
