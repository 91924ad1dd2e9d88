"""The HTTP server: disconnecting clients, timeouts, the limit of connections, and shutdown."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.types import ClientDisconnectedError, ServerExchange, ServerLimits
from tests.unit.node.http.test_server import GET, OK, OK_CLOSE, respond_ok
from tests.unit.node.http.wires import TEST_TIMEOUT_S, serving

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

    async with serving(handler) as site, asyncio.timeout(TEST_TIMEOUT_S):
        wire = await site.wire()
        wire.send(GET)
        await ready.wait()
        assert site.server.open_requests == 1
        wire.end() if ending == "end" else wire.reset()
        await handler_done.wait()
        assert site.server.open_requests == 0
    assert calls == ["gone"]


async def test_client_disconnect_within_the_body_ends_the_wait_for_it() -> None:
    handler_done = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        with pytest.raises(ClientDisconnectedError):
            await exchange.body()
        handler_done.set()

    async with serving(handler) as site, asyncio.timeout(TEST_TIMEOUT_S):
        wire = await site.wire()
        wire.send(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        wire.end()
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

    async with serving(handler) as site, asyncio.timeout(TEST_TIMEOUT_S):
        wire = await site.wire()
        wire.send(GET)
        await waiting.wait()
        wire.reset()
        await handler_done.wait()


async def test_header_timeout_and_idle_timeout_close_the_connection() -> None:
    async with serving(respond_ok, ServerLimits(header_timeout_s=0.05, idle_timeout_s=0.05)) as site:
        unused = await site.wire()
        await unused.expect_end()
        partial = await site.wire()
        partial.send(GET[:-2])
        await partial.expect(TIMEOUT_408)
        await partial.expect_end()
        idle = await site.wire()
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

    async with serving(handler, ServerLimits(header_timeout_s=0.05)) as site, asyncio.timeout(TEST_TIMEOUT_S):
        wire = await site.wire()
        wire.send(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        await wire.expect(TIMEOUT_408)
        await wire.expect_end()
        await handler_done.wait()


async def test_slow_handler_is_not_subject_to_the_read_timeouts() -> None:
    async def handler(exchange: ServerExchange) -> None:
        await asyncio.sleep(0.2)
        exchange.respond(200, (), b"ok")

    async with serving(handler, ServerLimits(header_timeout_s=0.05, idle_timeout_s=0.05)) as site:
        wire = await site.wire()
        wire.send(GET)
        await wire.expect(OK)


async def test_connection_over_the_limit_gets_503_and_others_stay_usable() -> None:
    async with serving(respond_ok, ServerLimits(max_connections=1)) as site:
        first = await site.wire()
        first.send(GET)
        await first.expect(OK)
        second = await site.wire()
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

    async with serving(handler) as site, asyncio.timeout(TEST_TIMEOUT_S):
        idle, partial, busy = await site.wire(), await site.wire(), await site.wire()
        idle.send(GET)
        await idle.expect(OK)
        partial.send(GET)
        await partial.expect(OK)
        busy.send(b"GET /slow HTTP/1.1\r\n\r\n" + GET)
        await ready.wait()
        partial.send(GET[:9])
        finishing = asyncio.create_task(site.server.finish(TEST_TIMEOUT_S))
        await idle.expect_end()
        with pytest.raises(ConnectionRefusedError):
            await site.wire()
        partial.send(GET[9:])
        await partial.expect(OK_CLOSE)
        await partial.expect_end()
        assert not finishing.done()
        resume.set()
        await busy.expect(OK + OK_CLOSE)
        await busy.expect_end()
        await finishing
        assert site.server.open_requests == 0


async def test_finish_resets_open_connections_after_the_grace_period() -> None:
    ready = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        exchange.begin(200, (), None)
        ready.set()
        await asyncio.Event().wait()

    async with serving(handler) as site, asyncio.timeout(TEST_TIMEOUT_S):
        wire = await site.wire()
        wire.send(GET)
        await ready.wait()
        await site.server.finish(0.01)
        with pytest.raises(ConnectionResetError):
            await wire.until(b"0\r\n\r\n")
