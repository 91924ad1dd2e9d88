"""Writes one response to a client's connection, synchronously, so that chunks keep their order.

Framing is HTTP/1.1 (RFC 9112): ``Content-Length`` or chunked. An HTTP/1.0 client gets a stream that ends when
the connection closes.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

from springmux.node.client.error_responses import error_body, error_headers
from springmux.router.effects import Headers
from springmux.vocabulary.errors import ApiError

_REASONS = {status.value: status.phrase for status in HTTPStatus}


class Connection(Protocol):
    """Interface to :class:`springmux.node.client.protocol.ClientProtocol`."""

    transport: asyncio.Transport | None

    @property
    def writing_paused(self) -> bool:
        """Whether the socket is full."""

    async def _drain_helper(self) -> None: ...

    def count_unread(self) -> int:
        """Count, and return, the bytes that the client has not read and the kernel has no room for."""


class ResponseWriter:
    """The response to one request. ``keep_alive`` may become false, and then stays so.

    Head, chunks and end that one event causes are sent together by :meth:`flush`: one system call, one
    packet.
    """

    def __init__(self, connection: Connection, keep_alive: bool, http_1_1: bool, head_only: bool) -> None:
        self._connection = connection
        self._http_1_1 = http_1_1
        self._head_only = head_only
        self._chunked = False
        self._pending: list[bytes] = []
        self.keep_alive = keep_alive
        self.begun = False
        self.status = 0

    def head(self, status: int, headers: Headers | list[tuple[str, str]], length: int | None) -> None:
        """Begin the response; it is a stream if ``length`` is ``None``."""
        self._write(self._head_bytes(status, headers, length))

    def _head_bytes(self, status: int, headers: Headers | list[tuple[str, str]], length: int | None) -> bytes:
        self.begun = True
        self.status = status
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
        lines.extend(f"{name}: {_replace_line_breaks(value)}" for name, value in headers)
        if length is not None:
            lines.append(f"Content-Length: {length}")
        elif self._http_1_1:
            self._chunked = True
            lines.append("Transfer-Encoding: chunked")
        else:
            self.keep_alive = False
        if not self.keep_alive:
            lines.append("Connection: close")
        elif not self._http_1_1:
            lines.append("Connection: keep-alive")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def data(self, data: bytes) -> None:
        """Write a chunk of the body."""
        if self._head_only or not data:
            return
        if self._chunked:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._write(data)

    def end(self) -> None:
        """Finish the response."""
        if self._chunked and not self._head_only:
            self._write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Stop without ending the body, and close, so that the client sees that the response is incomplete.

        Data written before, such as an error event, is still sent.
        """
        self.keep_alive = False
        self.flush()

    def error(self, error: ApiError) -> None:
        """Write a complete typed error response."""
        body = error_body(error)
        self.complete(error.status, error_headers(error), body)

    def complete(self, status: int, headers: Headers | list[tuple[str, str]], body: bytes) -> None:
        """Write a complete response and flush it."""
        self._write(self._head_bytes(status, headers, len(body)))
        if not self._head_only:
            self._write(body)
        self.flush()

    def paused(self) -> bool:
        """Return whether the client's socket is full."""
        return self._connection.writing_paused

    async def drain(self) -> None:
        """Wait until the socket accepts more."""
        try:
            await self._connection._drain_helper()  # noqa: SLF001 - aiohttp writes without it
        except ConnectionError:
            return  # the protocol reports ClientDisconnected

    def _write(self, data: bytes) -> None:
        self._pending.append(data)

    def flush(self) -> None:
        """Pass the data written so far to the socket."""
        pending = self._pending
        if not pending:
            return
        transport = self._connection.transport
        if transport is not None and not transport.is_closing():
            transport.write(pending[0] if len(pending) == 1 else b"".join(pending))
            self._connection.count_unread()
        pending.clear()


def _replace_line_breaks(value: str) -> str:
    """Replace line breaks, so that a value from an engine or a client can't begin another header."""
    return value.replace("\r", " ").replace("\n", " ")
