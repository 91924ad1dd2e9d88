"""The HTTP server: disconnecting clients, timeouts, the limit of connections, and shutdown."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.types import ClientDisconnectedError, ServerExchange, ServerLimits
from tests.unit.node.http.raw_connections import TEST_TIMEOUT_S, running_server
from tests.unit.node.http.test_server import GET, OK, OK_CLOSE, respond_ok

TIMEOUT_408 = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"


@pytest.mark.parametrize("ending", ["end", "reset"])
@pytest.mark.parametrize("begun", [False, True])
async def test_client_disconnect_is_reported_once_to_the_handler(ending: str, begun: bool) -> None:
    calls: list[str] = []
    ready, disconnected, handler_done = asyncio.Event(), asyncio.Event(), asyncio.Event()

    def fail() -> None:
        raise ValueError("an exception in one callback must not affect the others")

    async def handler(exchange: ServerExchange) -> None:
        exchange.on_disconnect(lambda: calls.append("gone"))
        exchange.on_disconnect(fail)
        exchange.on_disconnect(disconnected.set)
        if begun:
            exchange.begin(200, (), None)
        ready.set()
        await disconnected.wait()
        with pytest.raises(ClientDisconnectedError):
            await exchange.write(b"a")
        late_callback_run = asyncio.Event()
        exchange.on_disconnect(late_callback_run.set)
        await late_callback_run.wait()
        exchange.respond(200, (), b"to nobody")
        handler_done.set()

    async with running_server(handler) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        await ready.wait()
        assert server_under_test.server.open_requests == 1
        raw_connection.end() if ending == "end" else raw_connection.reset()
        await handler_done.wait()
        assert server_under_test.server.open_requests == 0
    assert calls == ["gone"]


async def test_client_disconnect_within_the_body_ends_the_wait_for_it() -> None:
    handler_done = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        with pytest.raises(ClientDisconnectedError):
            await exchange.body()
        handler_done.set()

    async with running_server(handler) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        raw_connection.end()
        await handler_done.wait()


async def test_client_disconnect_ends_a_waiting_write() -> None:
    waiting, handler_done = asyncio.Event(), asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        exchange.begin(200, (), None)
        waiting.set()
        with pytest.raises(ClientDisconnectedError):
            while True:
                await exchange.write(b"x" * (1 << 20))
        handler_done.set()

    async with running_server(handler) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        await waiting.wait()
        raw_connection.reset()
        await handler_done.wait()


async def test_header_timeout_and_idle_timeout_close_the_connection() -> None:
    async with running_server(
        respond_ok, ServerLimits(header_timeout_s=0.05, idle_timeout_s=0.05)
    ) as server_under_test:
        unused = await server_under_test.connect()
        await unused.expect_end()
        partial = await server_under_test.connect()
        partial.send(GET[:-2])
        await partial.expect(TIMEOUT_408)
        await partial.expect_end()
        idle = await server_under_test.connect()
        idle.send(GET)
        await idle.expect(OK)
        await idle.expect_end()


async def test_body_timeout_is_a_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("springmux.node.http.server_connection._BODY_TIMEOUT_MARGIN_S", 0.05)
    handler_done = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        with pytest.raises(ClientDisconnectedError):
            await exchange.body()
        handler_done.set()

    async with (
        running_server(handler, ServerLimits(header_timeout_s=0.05)) as server_under_test,
        asyncio.timeout(TEST_TIMEOUT_S),
    ):
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        await raw_connection.expect(TIMEOUT_408)
        await raw_connection.expect_end()
        await handler_done.wait()


async def test_slow_handler_is_not_subject_to_the_read_timeouts() -> None:
    async def handler(exchange: ServerExchange) -> None:
        await asyncio.sleep(0.2)
        exchange.respond(200, (), b"ok")

    async with running_server(
        handler, ServerLimits(header_timeout_s=0.05, idle_timeout_s=0.05)
    ) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        await raw_connection.expect(OK)


async def test_connection_over_the_limit_gets_503_and_others_stay_usable() -> None:
    async with running_server(respond_ok, ServerLimits(max_connections=1)) as server_under_test:
        first = await server_under_test.connect()
        first.send(GET)
        await first.expect(OK)
        second = await server_under_test.connect()
        second.send(GET)
        await second.expect(
            b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
            b"content-length: 0\r\nconnection: close\r\n\r\n"
        )
        await second.expect_end()
        first.send(GET)
        await first.expect(OK)


async def test_finish_completes_begun_requests_and_closes_idle_connections() -> None:
    resume, ready = asyncio.Event(), asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        if exchange.head.target == b"/slow":
            ready.set()
            await resume.wait()
        await exchange.body()
        exchange.respond(200, (), b"ok")

    async with running_server(handler) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        idle, partial, busy = (
            await server_under_test.connect(),
            await server_under_test.connect(),
            await server_under_test.connect(),
        )
        idle.send(GET)
        await idle.expect(OK)
        partial.send(GET)
        await partial.expect(OK)
        busy.send(b"GET /slow HTTP/1.1\r\n\r\n" + GET)
        await ready.wait()
        partial.send(GET[:9])
        finishing = asyncio.create_task(server_under_test.server.finish(TEST_TIMEOUT_S))
        await idle.expect_end()
        with pytest.raises(ConnectionRefusedError):
            await server_under_test.connect()
        partial.send(GET[9:])
        await partial.expect(OK_CLOSE)
        await partial.expect_end()
        assert not finishing.done()
        resume.set()
        await busy.expect(OK + OK_CLOSE)
        await busy.expect_end()
        await finishing
        assert server_under_test.server.open_requests == 0


async def test_finish_resets_open_connections_after_the_grace_period() -> None:
    ready = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        exchange.begin(200, (), None)
        ready.set()
        await asyncio.Event().wait()

    async with running_server(handler) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        await ready.wait()
        await server_under_test.server.finish(0.01)
        with pytest.raises(ConnectionResetError):
            await raw_connection.until(b"0\r\n\r\n")
