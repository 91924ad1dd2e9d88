"""The HTTP server reports every request that it refuses or aborts itself, and reports it once."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.types import ServerExchange, ServerLimits, ServerRefusal
from tests.unit.node.http.raw_connections import TEST_TIMEOUT_S, running_server
from tests.unit.node.http.test_server import GET, OK, respond_ok

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
async def test_refusal_of_a_faulty_request_is_reported(
    sent: bytes, refusal: ServerRefusal, target: bytes | None
) -> None:
    async def handler(exchange: ServerExchange) -> None:
        await exchange.body()

    limits = ServerLimits(max_header_bytes=300, header_timeout_s=0.05)
    async with running_server(handler, limits) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        raw_connection = await server_under_test.connect()
        raw_connection.send(sent)
        await raw_connection.until(b"\r\n\r\n")
        assert server_under_test.refused == [(refusal, target)]


async def test_refusal_of_a_connection_over_the_limit_is_reported() -> None:
    async with (
        running_server(respond_ok, ServerLimits(max_connections=0)) as server_under_test,
        asyncio.timeout(TEST_TIMEOUT_S),
    ):
        raw_connection = await server_under_test.connect()
        await raw_connection.until(b"\r\n\r\n")
        assert server_under_test.refused == [(ServerRefusal.TOO_MANY_CONNECTIONS, None)]


@pytest.mark.parametrize("begun", [False, True])
async def test_failure_of_a_handler_is_reported(begun: bool) -> None:
    async def handler(exchange: ServerExchange) -> None:
        if begun:
            exchange.begin(200, (), None)
        raise ValueError("a fault")

    async with running_server(handler) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        await raw_connection.until(b"\r\n\r\n")
        while not server_under_test.refused:
            await asyncio.sleep(0)
        assert server_under_test.refused == [(ServerRefusal.HANDLER_FAILED, b"/a?b=c")]


async def test_request_aborted_by_the_close_of_the_server_is_reported() -> None:
    """Of an answered and an open request, only the open one is reported as aborted."""
    request_open = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        if exchange.head.method == b"GET":
            exchange.respond(200, (), b"ok")
            return
        request_open.set()
        await asyncio.Event().wait()

    async with running_server(handler) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        answered, aborted = await server_under_test.connect(), await server_under_test.connect()
        answered.send(GET)
        await answered.expect(OK)
        aborted.send(POST_HEAD + b"Content-Length: 0\r\n\r\n")
        await request_open.wait()
        server_under_test.server.close()
        assert server_under_test.refused == [(ServerRefusal.STOPPED, b"/a")]


async def test_answered_request_is_not_reported() -> None:
    async with running_server(respond_ok) as server_under_test, asyncio.timeout(TEST_TIMEOUT_S):
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        await raw_connection.expect(OK)
        raw_connection.end()
        await raw_connection.expect_end()
        assert server_under_test.refused == []
