"""One request to one engine over one connection: the client's side of an exchange."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from springmux.node.http.bodies import BodyDecoder, ChunkedDecoder, LengthDecoder, UntilEndDecoder
from springmux.node.http.client_connection import EngineConnection
from springmux.node.http.framing import has_no_body
from springmux.node.http.heads import MalformedMessageError, ResponseHeadReader
from springmux.node.http.sockets import SILENT_ERRORS
from springmux.node.http.types import ExchangeFailedError, FailureKind, ResponseHead

# Bytes that may wait unread before reading from the engine stops (the task's figure).
_MAX_UNREAD_BYTES = 256 * 1024
# Engines' heads are a few hundred bytes; a longer one than this is no answer.
_MAX_HEAD_BYTES = 65_536


class HttpEngineExchange:
    """Implements :class:`~springmux.node.http.types.EngineExchange` on one connection.

    :param give_back: takes the connection when it may serve another exchange; gets the answer's head.
    """

    def __init__(
        self,
        connection: EngineConnection,
        method: bytes,
        accept: Callable[[ResponseHead], bool],
        give_back: Callable[[EngineConnection, ResponseHead], None],
    ) -> None:
        self._connection: EngineConnection | None = connection
        self._method = method
        self._accept = accept
        self._give_back = give_back
        self._reader: ResponseHeadReader | None = ResponseHeadReader()
        self._decoder: BodyDecoder | None = None
        self._head: ResponseHead | None = None
        self._done = False
        self._reusable = method != b"HEAD"
        self._failure: Exception | None = None
        self._pieces: deque[bytes] = deque()
        self._unread_bytes = 0
        self._waiter: asyncio.Future[None] | None = None

    # What the caller uses.

    async def head(self) -> ResponseHead:
        """Return the answer's head; answers that ``accept`` refuses are skipped whole.

        :raises ExchangeFailedError: see :class:`FailureKind`.
        """
        while self._head is None:
            if self._failure is not None:
                raise self._failure
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the body as they come; empty at its proper end.

        :raises ExchangeFailedError: ``CUT_SHORT`` or ``MALFORMED``.
        """
        while not self._pieces:
            if self._failure is not None:
                raise self._failure
            if self._done:
                return b""
            await self._wait()
        piece = self._pieces.popleft()
        self._unread_bytes -= len(piece)
        if self._connection is not None and self._unread_bytes <= _MAX_UNREAD_BYTES:
            self._connection.read_on(True)
        return piece

    def release(self) -> None:
        """Leave a finished exchange: the connection is kept if the answer ended properly and allows it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        whole = self._done and self._failure is None
        if whole and self._reusable and self._head is not None and not connection.closing:
            self._give_back(connection, self._head)
        else:
            connection.user = None
            connection.abort()
        self._fail(FailureKind.RESET, "released")

    def abort(self) -> None:
        """Close the connection at once; the engine drops the request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.user = None
            connection.abort()
            self._fail(FailureKind.RESET, "aborted")

    # What the connection uses.

    def data_came(self, data: bytes) -> None:
        """Take bytes of the engine."""
        try:
            while data and self._failure is None:
                data = self._take(data)
        except MalformedMessageError as error:
            self._fail(FailureKind.MALFORMED, str(error))
            self._drop_connection()

    def end_came(self) -> None:
        """The engine ended its side: the proper end of an unframed body only."""
        self._reusable = False
        if self._head is not None and isinstance(self._decoder, UntilEndDecoder):
            self._done = True
            self._wake()
        else:
            self._fail(self._kind_of_end(None), "the engine closed the connection")

    def connection_ended(self, error: Exception | None) -> None:
        """The connection is over."""
        self._reusable = False
        self._fail(self._kind_of_end(error), type(error).__name__ if error else "closed")

    def _kind_of_end(self, error: Exception | None) -> FailureKind:
        began = self._reader is not None and self._reader.size_bytes > 0
        if self._head is not None or began:
            return FailureKind.CUT_SHORT
        if isinstance(error, OSError) and error.errno in SILENT_ERRORS:
            return FailureKind.SILENT
        return FailureKind.RESET

    # Reading an answer.

    def _take(self, data: bytes) -> bytes:
        """Take the next part of ``data``; return what is left of it."""
        if self._done:
            self._reusable = False  # nobody asked for these bytes
            return b""
        if self._reader is not None:
            return self._take_head(self._reader, data)
        return self._take_body(data)

    def _take_head(self, reader: ResponseHeadReader, data: bytes) -> bytes:
        used = reader.feed(data)
        if reader.size_bytes > _MAX_HEAD_BYTES:
            raise MalformedMessageError("the answer's head is too long")
        if used is None:
            return b""
        head = reader.head()
        if head.status < 200:
            self._reader = ResponseHeadReader()
        else:
            self._begin_answer(head, reader.keep_alive)
        return data[used:]

    def _begin_answer(self, head: ResponseHead, keep_alive: bool) -> None:
        connection = self._connection
        if not keep_alive or connection is None or connection.unsent_bytes:
            self._reusable = False
        try:
            accepted = self._accept(head)
        except Exception as error:
            self._failure = error
            self._wake()
            self._drop_connection()
            return
        if not accepted and self._method == b"HEAD":
            raise MalformedMessageError("an answer of unknown framing in place of one to HEAD")
        self._reader = None
        self._decoder = self._make_decoder(head)
        if accepted:
            self._head = head
            self._wake()
        if self._decoder.done:
            self._end_answer()

    def _make_decoder(self, head: ResponseHead) -> BodyDecoder:
        if self._method == b"HEAD" or has_no_body(head.status):
            return LengthDecoder(0)
        if head.chunked:
            return ChunkedDecoder()
        if head.length is not None:
            return LengthDecoder(head.length)
        self._reusable = False
        return UntilEndDecoder()

    def _take_body(self, data: bytes) -> bytes:
        decoder = self._decoder
        assert decoder is not None
        piece = decoder.feed(data)
        if piece and self._head is not None:
            self._add(piece)
        if not decoder.done:
            return b""
        self._end_answer()
        return decoder.rest

    def _add(self, piece: bytes) -> None:
        self._pieces.append(piece)
        self._unread_bytes += len(piece)
        if self._unread_bytes > _MAX_UNREAD_BYTES and self._connection is not None:
            self._connection.read_on(False)
        self._wake()

    def _end_answer(self) -> None:
        self._decoder = None
        if self._head is not None:
            self._done = True
            self._wake()
        else:
            self._reader = ResponseHeadReader()  # the skipped one was somebody else's

    # Waiting and ends.

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _fail(self, kind: FailureKind, reason: str) -> None:
        if self._done or self._failure is not None:
            return
        self._failure = ExchangeFailedError(kind, reason)
        self._reader = None
        self._wake()

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.user = None
            connection.abort()
