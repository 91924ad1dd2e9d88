"""The server: clients that leave, timeouts, too many connections, and the end of serving."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.types import ClientDisconnectedError, ServerExchange, ServerLimits
from tests.unit.node.http.test_server import GET, OK, OK_CLOSE, say_ok
from tests.unit.node.http.wires import PATIENCE_S, serving

TIMEOUT_408 = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"


@pytest.mark.parametrize("way", ["end", "reset"])
@pytest.mark.parametrize("begun", [False, True])
async def test_a_client_that_leaves_is_reported_once_to_the_handler(way: str, begun: bool) -> None:
    calls: list[str] = []
    ready, gone, seen = asyncio.Event(), asyncio.Event(), asyncio.Event()

    def fail() -> None:
        raise ValueError("a callback's fault reaches nobody else")

    async def handler(exchange: ServerExchange) -> None:
        exchange.on_disconnect(lambda: calls.append("gone"))
        exchange.on_disconnect(fail)
        exchange.on_disconnect(gone.set)
        if begun:
            exchange.begin(200, (), None)
        ready.set()
        await gone.wait()
        with pytest.raises(ClientDisconnectedError):
            await exchange.write(b"a")
        late = asyncio.Event()
        exchange.on_disconnect(late.set)
        await late.wait()
        exchange.respond(200, (), b"to nobody")
        seen.set()

    async with serving(handler) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(GET)
        await ready.wait()
        assert site.server.open_requests == 1
        wire.end() if way == "end" else wire.reset()
        await seen.wait()
        assert site.server.open_requests == 0
    assert calls == ["gone"]


async def test_a_client_that_leaves_within_its_body_ends_the_wait_for_it() -> None:
    seen = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        with pytest.raises(ClientDisconnectedError):
            await exchange.body()
        seen.set()

    async with serving(handler) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        wire.end()
        await seen.wait()


async def test_a_client_that_leaves_ends_a_write_that_waits() -> None:
    waiting, seen = asyncio.Event(), asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        exchange.begin(200, (), None)
        waiting.set()
        with pytest.raises(ClientDisconnectedError):
            while True:
                await exchange.write(b"x" * (1 << 20))
        seen.set()

    async with serving(handler) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(GET)
        await waiting.wait()
        wire.reset()
        await seen.wait()


async def test_timeouts_of_the_head_and_between_requests() -> None:
    async with serving(say_ok, ServerLimits(header_timeout_s=0.05, idle_timeout_s=0.05)) as site:
        silent = await site.wire()
        await silent.expect_end()
        partial = await site.wire()
        partial.send(GET[:-2])
        await partial.expect(TIMEOUT_408)
        await partial.expect_end()
        kept = await site.wire()
        kept.send(GET)
        await kept.expect(OK)
        await kept.expect_end()


async def test_a_body_that_is_late_is_a_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("springmux.node.http.server_connection._BODY_TIMEOUT_MARGIN_S", 0.05)
    seen = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        with pytest.raises(ClientDisconnectedError):
            await exchange.body()
        seen.set()

    async with serving(handler, ServerLimits(header_timeout_s=0.05)) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        await wire.expect(TIMEOUT_408)
        await wire.expect_end()
        await seen.wait()


async def test_a_slow_handler_is_not_held_to_the_timeouts_of_reading() -> None:
    async def handler(exchange: ServerExchange) -> None:
        await asyncio.sleep(0.2)
        exchange.respond(200, (), b"ok")

    async with serving(handler, ServerLimits(header_timeout_s=0.05, idle_timeout_s=0.05)) as site:
        wire = await site.wire()
        wire.send(GET)
        await wire.expect(OK)


async def test_a_connection_too_many_is_a_503_and_others_go_on() -> None:
    async with serving(say_ok, ServerLimits(max_connections=1)) as site:
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


async def test_finish_answers_what_was_read_or_is_being_read_and_closes_the_idle() -> None:
    go_on, ready = asyncio.Event(), asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        if exchange.head.target == b"/slow":
            ready.set()
            await go_on.wait()
        await exchange.body()
        exchange.respond(200, (), b"ok")

    async with serving(handler) as site, asyncio.timeout(PATIENCE_S):
        idle, partial, busy = await site.wire(), await site.wire(), await site.wire()
        idle.send(GET)
        await idle.expect(OK)
        partial.send(GET)
        await partial.expect(OK)
        busy.send(b"GET /slow HTTP/1.1\r\n\r\n" + GET)
        await ready.wait()
        partial.send(GET[:9])
        finishing = asyncio.create_task(site.server.finish(PATIENCE_S))
        await idle.expect_end()
        with pytest.raises(ConnectionRefusedError):
            await site.wire()
        partial.send(GET[9:])
        await partial.expect(OK_CLOSE)
        await partial.expect_end()
        assert not finishing.done()
        go_on.set()
        await busy.expect(OK + OK_CLOSE)
        await busy.expect_end()
        await finishing
        assert site.server.open_requests == 0


async def test_finish_resets_what_is_open_after_its_grace() -> None:
    ready = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        exchange.begin(200, (), None)
        ready.set()
        await asyncio.Event().wait()

    async with serving(handler) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(GET)
        await ready.wait()
        await site.server.finish(0.01)
        with pytest.raises(ConnectionResetError):
            await wire.until(b"0\r\n\r\n")
