"""Connections that wait for their clients yield memory and places to others; complete requests don't.

Guards against a promise that a request was not executed, given to one that may have been.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from springmux.node.http.types import ClientDisconnectedError, ServerExchange, ServerLimits, ServerRefusal
from springmux.node.resources import connection_limit, memory_budget
from springmux.node.resources.memory_budget import MemoryBudget
from tests.unit.node.http.raw_connections import TEST_TIMEOUT_S, ServerUnderTest, running_server

CAPACITY = 100_000
BODY_BYTES = 20_000
REFUSAL_503 = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
UNFINISHED = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)
WHOLE = UNFINISHED + b"x"
LARGE_RESPONSE = b"r" * 8_000_000
LOOP_ITERATIONS = 100
"""More than a server needs from one request to the next."""


class Requests:
    """Handles requests: it holds those to ``/held`` until released, and responds to the others."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.began = asyncio.Event()
        self.disconnected = 0
        self.executed = 0

    async def handle(self, exchange: ServerExchange) -> None:
        try:
            await exchange.body()
        except ClientDisconnectedError:
            self.disconnected += 1
            raise
        self.executed += 1
        if exchange.head.target == b"/held":
            self.began.set()
            await self.release.wait()
        body = LARGE_RESPONSE if exchange.head.target == b"/large" else b"ok"
        exchange.respond(200, (), body)


@asynccontextmanager
async def small_server(
    requests: Requests, limits: ServerLimits | None = None
) -> AsyncIterator[ServerUnderTest]:
    async with running_server(requests.handle, limits) as server, asyncio.timeout(TEST_TIMEOUT_S):
        clock = asyncio.get_running_loop().time
        server.server.resources.memory = MemoryBudget(CAPACITY, clock)
        yield server


@pytest.fixture
def stalls_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every connection that waits for its client yields at once."""
    monkeypatch.setattr(memory_budget, "STALLED_AFTER_S", 0.0)
    monkeypatch.setattr(connection_limit, "IDLE_AFTER_S", 0.0)


async def until_held(server: ServerUnderTest, held_bytes: int) -> None:
    while server.server.resources.memory.held_bytes < held_bytes:
        await asyncio.sleep(0)


async def test_a_request_for_which_there_is_no_memory_is_refused_and_not_executed() -> None:
    """Guards against a chunked request that is refused with 503 and handled with an empty body."""
    requests = Requests()
    async with small_server(requests) as server:
        holder, client = await server.connect(), await server.connect()
        holder.send(WHOLE.replace(b"POST /", b"POST /held"))
        await requests.began.wait()
        chunk = b"x" * 2 * BODY_BYTES
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        client.send(head + b"%x\r\n" % len(chunk) + chunk + b"\r\n0\r\n\r\n")
        await client.expect(REFUSAL_503)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        assert (requests.disconnected, requests.executed) == (1, 1), "only the held request is executed"
        requests.release.set()


@pytest.mark.usefixtures("stalls_at_once")
async def test_an_unfinished_body_yields_with_the_promise_that_it_has_not_run() -> None:
    requests = Requests()
    async with small_server(requests) as server:
        stalled = await server.connect()
        stalled.send(UNFINISHED)
        await until_held(server, 2 * BODY_BYTES)
        other = await server.connect()
        other.send(WHOLE)
        await other.expect(OK)
        await stalled.expect(REFUSAL_503)
        assert server.refused == [(ServerRefusal.OVERLOADED, b"/")] and requests.disconnected == 1
        assert server.server.resources.memory.held_bytes == 0


async def test_a_head_that_begins_after_a_long_pause_has_not_stalled() -> None:
    requests, now = Requests(), 100.0
    async with small_server(requests) as server:
        server.server.resources.memory = MemoryBudget(CAPACITY, lambda: now)
        client = await server.connect()
        client.send(b"GET / HTTP/1.1\r\n\r\n")
        await client.expect(OK)
        now += 100.0  # the client is idle, and holds nothing
        client.send(b"GET / HTTP/1.1\r\n")
        await until_held(server, 1)
        other = await server.connect()
        other.send(b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n")
        await other.expect(REFUSAL_503)
        client.send(b"\r\n")
        await client.expect(OK)


async def test_a_body_without_room_is_refused_while_no_other_yields() -> None:
    requests = Requests()
    async with small_server(requests) as server:
        held = await server.connect()
        held.send(WHOLE.replace(b"POST /", b"POST /held"))
        await requests.began.wait()
        refused = await server.connect()
        refused.send(UNFINISHED[:100])
        await refused.expect(REFUSAL_503)
        small = await server.connect()
        small.send(b"GET / HTTP/1.1\r\n\r\n")
        await small.expect(OK)
        requests.release.set()
        await held.expect(OK)


@pytest.mark.usefixtures("stalls_at_once")
async def test_a_complete_request_that_must_yield_is_reset_without_any_status() -> None:
    requests = Requests()
    async with small_server(requests) as server:
        held = await server.connect()
        held.send(b"POST /held HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + b"G" * 70_000)
        await requests.began.wait()
        await until_held(server, 70_000)
        other = await server.connect()
        other.send(WHOLE)
        await other.expect(OK)
        assert server.refused == [(ServerRefusal.OVERLOADED, b"/held")]
        await held.expect_closed_or_reset()


@pytest.mark.usefixtures("stalls_at_once")
async def test_a_response_that_is_not_read_yields() -> None:
    requests = Requests()
    async with small_server(requests) as server:
        unread = await server.connect()
        unread.send(b"GET /large HTTP/1.1\r\n\r\n")
        await until_held(server, 1)
        other = await server.connect()
        other.send(WHOLE)
        await other.expect(OK)


async def test_requests_behind_an_unread_response_are_not_begun() -> None:
    requests = Requests()
    begun = 0

    async def handle(exchange: ServerExchange) -> None:
        nonlocal begun
        begun += 1
        await requests.handle(exchange)

    async with running_server(handle) as server, asyncio.timeout(TEST_TIMEOUT_S):
        client = await server.connect()
        client.send(b"GET /large HTTP/1.1\r\n\r\n" * 2)
        await client.until(b"\r\n\r\n")
        client.send(b"GET /large HTTP/1.1\r\n\r\n" * 3)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        assert begun == 1
        await client.expect(LARGE_RESPONSE)
        for _ in range(4):
            await client.until(b"\r\n\r\n")
            await client.expect(LARGE_RESPONSE)
        assert begun == 5


@pytest.mark.usefixtures("stalls_at_once")
async def test_the_connection_idle_longest_closes_for_a_new_one() -> None:
    requests = Requests()
    async with small_server(requests, ServerLimits(max_connections=2)) as server:
        first, second = await server.connect(), await server.connect()
        for connection in (first, second):
            connection.send(b"GET / HTTP/1.1\r\n\r\n")
            await connection.expect(OK)
        third = await server.connect()
        third.send(b"GET / HTTP/1.1\r\n\r\n")
        await third.expect(OK)
        await first.expect_end()
        second.send(b"GET / HTTP/1.1\r\n\r\n")
        await second.expect(OK)


async def test_a_request_in_flight_keeps_its_place() -> None:
    requests = Requests()
    async with small_server(requests, ServerLimits(max_connections=1)) as server:
        held = await server.connect()
        held.send(b"GET /held HTTP/1.1\r\n\r\n")
        await requests.began.wait()
        rejected = await server.connect()
        await rejected.expect(REFUSAL_503)
        requests.release.set()
        await held.expect(OK)
