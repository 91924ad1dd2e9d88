"""Raw TCP connections for tests on the level of bytes: clients of the server under test, scripted engines."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.server import HttpServer
from springmux.node.http.types import Handler, RequestHead, ResponseHead, ServerLimits, ServerRefusal

TEST_TIMEOUT_S = 10.0
"""Time after which a test counts as stuck; a test that passes never waits this long."""


class RawConnection:
    """One raw connection, used byte by byte."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def expect(self, data: bytes) -> None:
        """Read as many bytes as ``data`` has, and check that they are equal."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                received = await self.reader.readexactly(len(data))
            except asyncio.IncompleteReadError as error:
                received = error.partial
        assert received == data

    async def expect_end(self) -> None:
        """Check that the other side closes regularly and sends no more bytes."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await self.reader.read() == b""

    async def expect_closed_or_reset(self) -> None:
        """Check that the other side closes or resets the connection and sends no more bytes."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                assert await self.reader.read() == b""

    async def until(self, mark: bytes) -> bytes:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self.reader.readuntil(mark)

    def end(self) -> None:
        self.writer.write_eof()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ServerUnderTest:
    """A server under test, its limits, and the raw connections to it."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.limits = limits
        self.refused: list[tuple[ServerRefusal, bytes | None]] = []
        """Refusals that the server reported, with the request's target if its head was read."""
        self.server = HttpServer(handler, lambda: self.limits, self._on_refused)
        self.port = 0
        self.raw_connections: list[RawConnection] = []

    def _on_refused(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        self.refused.append((refusal, head.target if head is not None else None))

    async def connect(self) -> RawConnection:
        raw_connection = RawConnection(*await asyncio.open_connection("127.0.0.1", self.port))
        self.raw_connections.append(raw_connection)
        return raw_connection

    async def close(self) -> None:
        """Abort the connections, close the server, and wait until the sockets are closed."""
        for raw_connection in self.raw_connections:
            raw_connection.writer.transport.abort()
        self.server.close()
        for raw_connection in self.raw_connections:
            with contextlib.suppress(ConnectionError):
                await raw_connection.writer.wait_closed()


@contextlib.asynccontextmanager
async def running_server(
    handler: Handler, limits: ServerLimits | None = None
) -> AsyncIterator[ServerUnderTest]:
    """Serve ``handler``, and check that no error reaches the event loop's exception handler."""
    loop_errors: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_errors.append(context))
    server_under_test = ServerUnderTest(handler, limits or ServerLimits())
    server_under_test.port = await server_under_test.server.listen("127.0.0.1", 0)
    try:
        yield server_under_test
    finally:
        await server_under_test.close()
    assert loop_errors == []


Script = Callable[[RawConnection], Awaitable[None]]


class ScriptedEngine:
    """An engine whose connections follow scripts: the first connection the first script, and so on."""

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
            assert script is not None, "more connections than scripts"
            await script(RawConnection(reader, writer))
        except BaseException as error:
            self.failures.append(error)
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def scripted_engine(*scripts: Script) -> AsyncIterator[ScriptedEngine]:
    """Serve the scripts, and check that each ran to its end without a failure."""
    state = ScriptedEngine(scripts)
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
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await done.wait()
    finally:
        listener.close()
    assert state.failures == []
    assert state.accepted == len(scripts)


GET = RequestHead(method=b"GET", target=b"/v1/models?a=b", headers=((b"host", b"engine"),))
GET_BYTES = b"GET /v1/models?a=b HTTP/1.1\r\nhost: engine\r\n\r\n"


def accept_any_response(_: ResponseHead) -> bool:
    return True


async def fetch(
    client: PooledEngineClient, address: str, head: RequestHead = GET, body: bytes = b""
) -> bytes:
    """Run one complete exchange, release its connection, and return the response's body."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await client.send(address, head, body, 5.0, accept_any_response)
        await exchange.head()
        parts = []
        while part := await exchange.read():
            parts.append(part)
        exchange.release()
        return b"".join(parts)
