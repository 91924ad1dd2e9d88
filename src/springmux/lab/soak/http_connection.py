"""Minimal HTTP/1.1 client over one connection; its caller sees when and how the peer closes it."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec


class Response(msgspec.Struct, frozen=True):
    """A complete response. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Return whether the peer closes the connection after this response."""
        return self.headers.get("connection", "").lower() == "close"


class ConnectionClosedError(Exception):
    """The connection closed before a complete response."""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return a message's start line, its headers with names in lower case, and its body.

    :raises asyncio.IncompleteReadError: if the connection closes first.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *rest = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in rest)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return start_line, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class HttpConnection:
    """One connection. Requests are sent one after another, without pipelining."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @staticmethod
    async def open(host: str, port: int, timeout_s: float) -> HttpConnection:
        """Connect.

        :raises OSError: if that fails; :class:`TimeoutError`, a subclass, if it takes too long.
        """
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
        return HttpConnection(reader, writer)

    async def request(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Response:
        """Send a request and wait for its response.

        :raises ConnectionClosedError: if the connection closes first.
        :raises TimeoutError: if there is no complete response in time.
        """
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        lines.append(f"content-length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        try:
            self._writer.write(head.encode() + body)
            async with asyncio.timeout(timeout_s):
                return await self._read_response()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosedError(type(error).__name__) from error

    async def _read_response(self) -> Response:
        start_line, headers, body = await read_message(self._reader)
        return Response(int(start_line.split(" ")[1]), headers, body)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._writer.close()


async def request_once(
    host: str, port: int, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Response | None:
    """Send one request over a new connection; return ``None`` if there is no complete response."""
    try:
        connection = await HttpConnection.open(host, port, timeout_s)
        try:
            return await connection.request(method, target, headers, body, timeout_s)
        finally:
            connection.close()
    except (OSError, ConnectionClosedError):
        return None
