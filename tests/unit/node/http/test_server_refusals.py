"""The server tells its owner of every request that it refuses or cuts itself, once."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.types import ServerExchange, ServerLimits, ServerRefusal
from tests.unit.node.http.test_server import GET, OK, say_ok
from tests.unit.node.http.wires import PATIENCE_S, serving

POST_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize(
    ("sent", "refusal", "target"),
    [
        (b"\x16\x03\x01 hello\r\n\r\n", ServerRefusal.MALFORMED, None),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 500, ServerRefusal.HEADERS_TOO_LARGE, None),
        (b"GET / HTT", ServerRefusal.TOO_SLOW, None),
        (POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0x3\r\n", ServerRefusal.MALFORMED, b"/a"),
    ],
    ids=["not http", "large head", "slow head", "broken body"],
)
async def test_what_a_client_did_wrong(sent: bytes, refusal: ServerRefusal, target: bytes | None) -> None:
    async def handler(exchange: ServerExchange) -> None:
        await exchange.body()

    limits = ServerLimits(max_header_bytes=300, header_timeout_s=0.05)
    async with serving(handler, limits) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(sent)
        await wire.until(b"\r\n\r\n")
        assert site.refused == [(refusal, target)]


async def test_a_connection_too_many() -> None:
    async with serving(say_ok, ServerLimits(max_connections=0)) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        await wire.until(b"\r\n\r\n")
        assert site.refused == [(ServerRefusal.TOO_MANY_CONNECTIONS, None)]


@pytest.mark.parametrize("begun", [False, True])
async def test_a_handler_that_fails(begun: bool) -> None:
    async def handler(exchange: ServerExchange) -> None:
        if begun:
            exchange.begin(200, (), None)
        raise ValueError("a fault")

    async with serving(handler) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(GET)
        await wire.until(b"\r\n\r\n")
        while not site.refused:
            await asyncio.sleep(0)
        assert site.refused == [(ServerRefusal.HANDLER_FAILED, b"/a?b=c")]


async def test_a_request_that_is_cut_by_the_end_of_serving() -> None:
    """Given one answered and one open request, only the open one counts as cut."""
    open_now = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        if exchange.head.method == b"GET":
            exchange.respond(200, (), b"ok")
            return
        open_now.set()
        await asyncio.Event().wait()

    async with serving(handler) as site, asyncio.timeout(PATIENCE_S):
        answered, cut = await site.wire(), await site.wire()
        answered.send(GET)
        await answered.expect(OK)
        cut.send(POST_HEAD + b"Content-Length: 0\r\n\r\n")
        await open_now.wait()
        site.server.close()
        assert site.refused == [(ServerRefusal.STOPPED, b"/a")]


async def test_an_answered_request_is_no_refusal() -> None:
    async with serving(say_ok) as site, asyncio.timeout(PATIENCE_S):
        wire = await site.wire()
        wire.send(GET)
        await wire.expect(OK)
        wire.end()
        await wire.expect_end()
        assert site.refused == []
