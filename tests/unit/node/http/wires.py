"""Raw ends of connections for the transcripts: a client that speaks bytes, an engine that speaks bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.server import HttpServer
from springmux.node.http.types import Handler, RequestHead, ResponseHead, ServerLimits, ServerRefusal

PATIENCE_S = 10.0
"""After this a test is stuck; no test waits for it in good order."""


class Wire:
    """One raw connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def expect(self, data: bytes) -> None:
        """Read as many bytes as ``data`` has; they must be the same."""
        async with asyncio.timeout(PATIENCE_S):
            try:
                got = await self.reader.readexactly(len(data))
            except asyncio.IncompleteReadError as error:
                got = error.partial
        assert got == data

    async def expect_end(self) -> None:
        """The other side must end properly, with no more bytes."""
        async with asyncio.timeout(PATIENCE_S):
            assert await self.reader.read() == b""

    async def expect_gone(self) -> None:
        """The other side must be gone, by an end or a reset, with no more bytes."""
        async with asyncio.timeout(PATIENCE_S):
            with contextlib.suppress(ConnectionError):
                assert await self.reader.read() == b""

    async def until(self, mark: bytes) -> bytes:
        async with asyncio.timeout(PATIENCE_S):
            return await self.reader.readuntil(mark)

    def end(self) -> None:
        self.writer.write_eof()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Site:
    """A server under test, its limits, and wires to it."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.limits = limits
        self.refused: list[tuple[ServerRefusal, bytes | None]] = []
        """Refusals of the server with the request's target, if its head was read."""
        self.server = HttpServer(handler, lambda: self.limits, self._on_refused)
        self.port = 0
        self.wires: list[Wire] = []

    def _on_refused(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        self.refused.append((refusal, head.target if head is not None else None))

    async def wire(self) -> Wire:
        wire = Wire(*await asyncio.open_connection("127.0.0.1", self.port))
        self.wires.append(wire)
        return wire

    async def close(self) -> None:
        """End the wires and the server, and wait until their sockets are closed."""
        for wire in self.wires:
            wire.writer.transport.abort()
        self.server.close()
        for wire in self.wires:
            with contextlib.suppress(ConnectionError):
                await wire.writer.wait_closed()


@contextlib.asynccontextmanager
async def serving(handler: Handler, limits: ServerLimits | None = None) -> AsyncIterator[Site]:
    """Serve ``handler``; nothing may reach the loop's exception handler."""
    leaks: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: leaks.append(context))
    site = Site(handler, limits or ServerLimits())
    site.port = await site.server.listen("127.0.0.1", 0)
    try:
        yield site
    finally:
        await site.close()
    assert leaks == []


Script = Callable[[Wire], Awaitable[None]]


class Engine:
    """An engine whose connections follow scripts, one each in their order."""

    def __init__(self, scripts: tuple[Script, ...]) -> None:
        self.scripts = list(scripts)
        self.accepted = 0
        self.failures: list[BaseException] = []
        self.running: set[asyncio.Task[None]] = set()
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        script = self.scripts[self.accepted] if self.accepted < len(self.scripts) else None
        self.accepted += 1
        try:
            assert script is not None, "a connection too many"
            await script(Wire(reader, writer))
        except BaseException as error:
            self.failures.append(error)
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def engine(*scripts: Script) -> AsyncIterator[Engine]:
    """Serve the scripts; each must have run to its end without a failure."""
    state = Engine(scripts)
    done = asyncio.Event()
    finished = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal finished
        await state.serve(reader, writer)
        finished += 1
        if finished >= len(scripts):
            done.set()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    state.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    try:
        yield state
        async with asyncio.timeout(PATIENCE_S):
            await done.wait()
    finally:
        listener.close()
    assert state.failures == []
    assert state.accepted == len(scripts)


GET = RequestHead(method=b"GET", target=b"/v1/models?a=b", headers=((b"host", b"engine"),))
GET_BYTES = b"GET /v1/models?a=b HTTP/1.1\r\nhost: engine\r\n\r\n"


def any_answer(_: ResponseHead) -> bool:
    return True


async def ask(client: PooledEngineClient, address: str, head: RequestHead = GET, body: bytes = b"") -> bytes:
    """One whole exchange: returns the body; the connection is released."""
    async with asyncio.timeout(PATIENCE_S):
        exchange = await client.send(address, head, body, 5.0, any_answer)
        await exchange.head()
        parts = []
        while part := await exchange.read():
            parts.append(part)
        exchange.release()
        return b"".join(parts)
