"""One request to one engine over one connection: the client's side of an exchange."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from springmux.node.http.bodies import BodyDecoder, ChunkedDecoder, LengthDecoder, UntilCloseDecoder
from springmux.node.http.client_connection import EngineConnection
from springmux.node.http.framing import has_no_body
from springmux.node.http.heads import MalformedMessageError, ResponseHeadReader
from springmux.node.http.sockets import UNRESPONSIVE_PEER_ERRNOS
from springmux.node.http.types import ExchangeFailedError, FailureKind, ResponseHead

# Received bytes that may be buffered for the consumer before reading from the engine pauses.
_MAX_UNREAD_BYTES = 32 * 1024
# A response's head has a few hundred bytes; a head over this limit is rejected as malformed.
_MAX_HEAD_BYTES = 65_536


class HttpEngineExchange:
    """Implements :class:`~springmux.node.http.types.EngineExchange` on one connection.

    :param return_connection: called with the connection and the response's head if the connection may be
        reused.
    """

    def __init__(
        self,
        connection: EngineConnection,
        method: bytes,
        accept: Callable[[ResponseHead], bool],
        return_connection: Callable[[EngineConnection, ResponseHead], None],
    ) -> None:
        self._connection: EngineConnection | None = connection
        self._method = method
        self._accept = accept
        self._return_connection = return_connection
        self._reader: ResponseHeadReader | None = ResponseHeadReader()
        self._decoder: BodyDecoder | None = None
        self._head: ResponseHead | None = None
        self._complete = False
        self._reusable = method != b"HEAD"
        self._failure: Exception | None = None
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._waiter: asyncio.Future[None] | None = None

    # Called by the user of the exchange.

    async def head(self) -> ResponseHead:
        """Return the response's head; responses that ``accept`` rejects are skipped completely.

        :raises ExchangeFailedError: see :class:`FailureKind`.
        """
        while self._head is None:
            if self._failure is not None:
                raise self._failure
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the body as they arrive; empty at the end of a complete body.

        :raises ExchangeFailedError: ``TRUNCATED`` or ``MALFORMED``.
        """
        while not self._chunks:
            if self._failure is not None:
                raise self._failure
            if self._complete:
                return b""
            await self._wait()
        chunk = self._chunks.popleft()
        self._unread_bytes -= len(chunk)
        if self._connection is not None and self._unread_bytes <= _MAX_UNREAD_BYTES:
            self._connection.set_reading(True)
        return chunk

    def release(self) -> None:
        """End the exchange; the connection is reused if the response is complete and allows it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        complete = self._complete and self._failure is None
        if complete and self._reusable and self._head is not None and not connection.closing:
            self._return_connection(connection, self._head)
        else:
            connection.exchange = None
            connection.abort()
        self._fail(FailureKind.RESET, "released")

    def abort(self) -> None:
        """Close the connection immediately, so that the engine drops the request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.exchange = None
            connection.abort()
            self._fail(FailureKind.RESET, "aborted")

    # Called by the connection.

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the engine."""
        try:
            while data and self._failure is None:
                data = self._receive(data)
        except MalformedMessageError as error:
            self._fail(FailureKind.MALFORMED, str(error))
            self._drop_connection()

    def eof_received(self) -> None:
        """Handle the engine's EOF, which completes only an unframed body; otherwise the exchange fails."""
        self._reusable = False
        if self._head is not None and isinstance(self._decoder, UntilCloseDecoder):
            self._complete = True
            self._wake()
        else:
            self._fail(self._disconnect_kind(None), "the engine closed the connection")

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection."""
        self._reusable = False
        self._fail(self._disconnect_kind(error), type(error).__name__ if error else "closed")

    def _disconnect_kind(self, error: Exception | None) -> FailureKind:
        head_begun = self._reader is not None and self._reader.size_bytes > 0
        if self._head is not None or head_begun:
            return FailureKind.TRUNCATED
        if isinstance(error, OSError) and error.errno in UNRESPONSIVE_PEER_ERRNOS:
            return FailureKind.UNRESPONSIVE
        return FailureKind.RESET

    # Reading a response.

    def _receive(self, data: bytes) -> bytes:
        """Consume the next part of ``data``, a head or a piece of a body; return the rest."""
        if self._complete:
            self._reusable = False  # unsolicited bytes
            return b""
        if self._reader is not None:
            return self._receive_head(self._reader, data)
        return self._receive_body(data)

    def _receive_head(self, reader: ResponseHeadReader, data: bytes) -> bytes:
        used = reader.feed(data)
        if reader.size_bytes > _MAX_HEAD_BYTES:
            raise MalformedMessageError("the response's head is too long")
        if used is None:
            return b""
        head = reader.head()
        if head.status < 200:
            self._reader = ResponseHeadReader()
        else:
            self._begin_response(head, reader.keep_alive)
        return data[used:]

    def _begin_response(self, head: ResponseHead, keep_alive: bool) -> None:
        connection = self._connection
        if not keep_alive or connection is None or connection.unsent_bytes:
            self._reusable = False
        try:
            accepted = self._accept(head)
        except Exception as error:  # noqa: BLE001 - an exception of ``accept`` is raised to the caller that awaits the head
            self._failure = error
            self._wake()
            self._drop_connection()
            return
        if not accepted and self._method == b"HEAD":
            raise MalformedMessageError(
                "a response to another request arrived for HEAD; its framing is unknown"
            )
        self._reader = None
        self._decoder = self._make_decoder(head)
        if accepted:
            self._head = head
            self._wake()
        if self._decoder.done:
            self._end_response()

    def _make_decoder(self, head: ResponseHead) -> BodyDecoder:
        if self._method == b"HEAD" or has_no_body(head.status):
            return LengthDecoder(0)
        if head.chunked:
            return ChunkedDecoder()
        if head.length is not None:
            return LengthDecoder(head.length)
        self._reusable = False
        return UntilCloseDecoder()

    def _receive_body(self, data: bytes) -> bytes:
        decoder = self._decoder
        assert decoder is not None
        chunk = decoder.feed(data)
        if chunk and self._head is not None:
            self._append(chunk)
        if not decoder.done:
            return b""
        self._end_response()
        return decoder.rest

    def _append(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self._unread_bytes += len(chunk)
        if self._unread_bytes > _MAX_UNREAD_BYTES and self._connection is not None:
            self._connection.set_reading(False)
        self._wake()

    def _end_response(self) -> None:
        self._decoder = None
        if self._head is not None:
            self._complete = True
            self._wake()
        else:
            self._reader = ResponseHeadReader()  # the skipped response belongs to another request

    # Waiting, failure and close.

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _fail(self, kind: FailureKind, reason: str) -> None:
        if self._complete or self._failure is not None:
            return
        self._failure = ExchangeFailedError(kind, reason)
        self._reader = None
        self._wake()

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.exchange = None
            connection.abort()
