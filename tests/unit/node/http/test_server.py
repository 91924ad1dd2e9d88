"""The HTTP server: requests, bodies, responses and backpressure."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.types import BodyTooLargeError, ClientDisconnectedError, ServerExchange, ServerLimits
from tests.unit.node.http.raw_connections import TEST_TIMEOUT_S, running_server

GET = b"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
OK_CLOSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok"


async def respond_ok(exchange: ServerExchange) -> None:
    await exchange.body()
    exchange.respond(200, (), b"ok")


async def echo(exchange: ServerExchange) -> None:
    exchange.respond(200, ((b"x-target", exchange.head.target),), await exchange.body())


async def test_connection_serves_successive_requests_and_sends_headers_unchanged() -> None:
    async with running_server(echo) as server_under_test:
        raw_connection = await server_under_test.connect()
        for _ in range(3):
            raw_connection.send(GET)
            await raw_connection.expect(b"HTTP/1.1 200 OK\r\nx-target: /a?b=c\r\ncontent-length: 0\r\n\r\n")


async def test_header_names_are_in_lower_case_and_the_target_is_unchanged() -> None:
    heads = []

    async def handler(exchange: ServerExchange) -> None:
        heads.append(exchange.head)
        exchange.respond(204, (), b"")

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"\r\nDELETE /%7e//x?q#f HTTP/1.1\r\nHost: X\r\nA: 1\r\na: 2\r\n\r\n")
        await raw_connection.expect(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert heads[0].method == b"DELETE"
    assert heads[0].target == b"/%7e//x?q#f"
    assert heads[0].headers == ((b"host", b"X"), (b"a", b"1"), (b"a", b"2"))


CHUNKED_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_BODY = b"3;x=y\r\nabc\r\n00A\r\n0\r\n\r\n\x00\xff345\r\n0\r\nTrailer: t\r\n\r\n"
LENGTH_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 13\r\n\r\n"
BODY = b"abc0\r\n\r\n\x00\xff345"


@pytest.mark.parametrize("request_bytes", [CHUNKED_HEAD + CHUNKED_BODY, LENGTH_HEAD + BODY])
@pytest.mark.parametrize("piece_bytes", [1, 7, 1000])
async def test_bodies_are_read_completely_for_any_content_and_segmentation(
    request_bytes: bytes, piece_bytes: int
) -> None:
    response = b"HTTP/1.1 200 OK\r\nx-target: /a\r\ncontent-length: 13\r\n\r\n" + BODY
    async with running_server(echo) as server_under_test:
        raw_connection = await server_under_test.connect()
        twice = request_bytes * 2
        for start in range(0, len(twice), piece_bytes):
            raw_connection.send(twice[start : start + piece_bytes])
            await asyncio.sleep(0)
        await raw_connection.expect(response * 2)


async def test_pipelined_request_waits_for_the_previous_response() -> None:
    started: list[bytes] = []
    resume = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        started.append(exchange.head.target)
        if exchange.head.target == b"/1":
            await resume.wait()
        exchange.respond(200, (), exchange.head.target)

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % number for number in (1, 2, 3)))
        other = await server_under_test.connect()
        other.send(b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
        await other.expect(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n/other")
        assert b"/2" not in started
        resume.set()
        for target in (b"/1", b"/2", b"/3"):
            await raw_connection.expect(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n" + target)


@pytest.mark.parametrize(
    ("request_bytes", "status_line"),
    [
        (b"\x16\x03\x01 hello\r\n\r\n", b"HTTP/1.1 400 Bad Request\r\n"),
        (b"GET / HTTP/1.1\nHost: x\n\n", b"HTTP/1.1 400 Bad Request\r\n"),
        (b"GET / HTTP/2.0\r\nHost: x\r\n\r\n", b"HTTP/1.1 400 Bad Request\r\n"),
        (b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", b"HTTP/1.1 400 Bad Request\r\n"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 400 Bad Request\r\n",
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            b"HTTP/1.1 400 Bad Request\r\n",
        ),
        (CHUNKED_HEAD + b"0x3\r\nabc\r\n", b"HTTP/1.1 400 Bad Request\r\n"),
        (CHUNKED_HEAD + b"3\r\nabcd\r\n", b"HTTP/1.1 400 Bad Request\r\n"),
        (CHUNKED_HEAD + b"3\nabc\n", b"HTTP/1.1 400 Bad Request\r\n"),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 500, b"HTTP/1.1 431 Request Header Fields Too Large\r\n"),
        (
            b"GET / HTTP/1.1\r\nA: %b\r\n\r\n" % (b"a" * 500),
            b"HTTP/1.1 431 Request Header Fields Too Large\r\n",
        ),
    ],
)
async def test_malformed_or_too_long_request_is_refused_and_the_connection_closes(
    request_bytes: bytes, status_line: bytes
) -> None:
    async with running_server(respond_ok, ServerLimits(max_header_bytes=200)) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(request_bytes)
        await raw_connection.expect(status_line + b"content-length: 0\r\nconnection: close\r\n\r\n")
        await raw_connection.expect_end()
        assert server_under_test.server.open_requests == 0


async def test_limits_are_read_for_each_request_of_an_open_connection() -> None:
    async with running_server(respond_ok) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        await raw_connection.expect(OK)
        server_under_test.limits = ServerLimits(max_header_bytes=10)
        raw_connection.send(GET)
        await raw_connection.expect(b"HTTP/1.1 431 ")


@pytest.mark.parametrize("request_bytes", [LENGTH_HEAD, CHUNKED_HEAD + CHUNKED_BODY])
async def test_body_over_the_limit_raises_in_the_handler(request_bytes: bytes) -> None:
    async def handler(exchange: ServerExchange) -> None:
        with pytest.raises(BodyTooLargeError):
            await exchange.body()
        exchange.respond(413, (), b"no")

    async with running_server(handler, ServerLimits(max_body_bytes=12)) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(request_bytes)
        await raw_connection.expect(
            b"HTTP/1.1 413 Request Entity Too Large\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno"
        )
        await raw_connection.expect_end()


async def test_response_before_the_body_was_read_reaches_a_client_that_still_sends() -> None:
    async def handler(exchange: ServerExchange) -> None:
        exchange.respond(401, (), b"no")

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"POST / HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n")
        raw_connection.send(b"x" * 2_000_000)
        await raw_connection.writer.drain()
        await raw_connection.expect(
            b"HTTP/1.1 401 Unauthorized\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno"
        )
        await raw_connection.expect_end()


async def test_100_continue_is_sent_when_the_handler_reads_the_body() -> None:
    async with running_server(echo) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"POST /a HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n")
        await raw_connection.expect(b"HTTP/1.1 100 Continue\r\n\r\n")
        raw_connection.send(b"hi")
        await raw_connection.expect(b"HTTP/1.1 200 OK\r\nx-target: /a\r\ncontent-length: 2\r\n\r\nhi")


async def test_offered_upgrade_is_ignored_and_the_body_is_read() -> None:
    async with running_server(echo) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(
            b"POST /a HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            b"Content-Length: 2\r\n\r\nhi" + GET
        )
        await raw_connection.expect(b"HTTP/1.1 200 OK\r\nx-target: /a\r\ncontent-length: 2\r\n\r\nhi")
        await raw_connection.expect(b"HTTP/1.1 200 OK\r\nx-target: /a?b=c\r\n")


async def test_streamed_response_is_chunked_for_http_1_1_and_unframed_for_http_1_0() -> None:
    async def handler(exchange: ServerExchange) -> None:
        assert not exchange.begun
        exchange.begin(200, ((b"a", b"b"),), None)
        assert exchange.begun
        await exchange.write(b"one")
        await exchange.write(b"")
        await exchange.write(b"twotwotwotwotwotwo")
        exchange.end()

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        chunked = (
            b"HTTP/1.1 200 OK\r\na: b\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\none\r\n12\r\ntwotwotwotwotwotwo\r\n0\r\n\r\n"
        )
        raw_connection.send(GET + GET)
        await raw_connection.expect(chunked * 2)
        raw_connection.send(b"HEAD / HTTP/1.1\r\n\r\n" + GET)
        await raw_connection.expect(
            b"HTTP/1.1 200 OK\r\na: b\r\ntransfer-encoding: chunked\r\n\r\n" + chunked
        )
        old = await server_under_test.connect()
        old.send(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        await old.expect(b"HTTP/1.1 200 OK\r\na: b\r\nconnection: close\r\n\r\nonetwotwotwotwotwotwo")
        await old.expect_end()


async def test_response_to_head_has_no_body_and_connection_close_is_honoured() -> None:
    async with running_server(respond_ok) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"HEAD / HTTP/1.1\r\n\r\n")
        await raw_connection.expect(OK.removesuffix(b"ok"))
        raw_connection.send(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        await raw_connection.expect(OK_CLOSE)
        await raw_connection.expect_end()


async def test_response_shorter_than_its_announced_length_is_reset() -> None:
    async def handler(exchange: ServerExchange) -> None:
        exchange.begin(200, (), 4)
        await exchange.write(b"ab")
        if exchange.head.target == b"/whole":
            await exchange.write(b"cd")
        exchange.end()

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(b"GET /whole HTTP/1.1\r\n\r\nGET /short HTTP/1.1\r\n\r\n")
        await raw_connection.expect(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd")
        with pytest.raises(ConnectionResetError):
            await raw_connection.until(b"never")


async def test_failed_handler_is_a_500_or_a_reset_and_its_message_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def handler(exchange: ServerExchange) -> None:
        if exchange.head.target == b"/silent":
            return
        if exchange.head.target == b"/begun":
            exchange.begin(200, (), None)
        raise ValueError("sk-key")

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        for target in (b"/new", b"/silent"):
            raw_connection.send(b"GET %b HTTP/1.1\r\n\r\n" % target)
            await raw_connection.expect(b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n")
        raw_connection.send(b"GET /begun HTTP/1.1\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            await raw_connection.until(b"0\r\n\r\n")
    assert "ValueError" in caplog.text
    assert "sk-key" not in caplog.text


async def test_aborted_response_is_a_reset_and_runs_no_disconnect_callback() -> None:
    calls: list[str] = []

    async def handler(exchange: ServerExchange) -> None:
        exchange.on_disconnect(lambda: calls.append("gone"))
        exchange.begin(200, (), None)
        await exchange.write(b"a")
        exchange.abort()
        with pytest.raises(ClientDisconnectedError):
            await exchange.write(b"b")

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        with pytest.raises(ConnectionResetError):
            await raw_connection.until(b"0\r\n\r\n")
    assert calls == []


async def test_write_waits_while_the_client_does_not_read() -> None:
    size_bytes = 32 << 20
    written: list[int] = []
    write_blocked = asyncio.Event()

    async def handler(exchange: ServerExchange) -> None:
        exchange.begin(200, (), size_bytes)
        for _ in range(size_bytes >> 20):
            asyncio.get_running_loop().call_soon(write_blocked.set)
            await exchange.write(b"x" * (1 << 20))
            written.append(1)
        exchange.end()

    async with running_server(handler) as server_under_test:
        raw_connection = await server_under_test.connect()
        raw_connection.send(GET)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await write_blocked.wait()
            await raw_connection.until(b"\r\n\r\n")
            assert len(written) < size_bytes >> 20
            assert len(await raw_connection.reader.readexactly(size_bytes)) == size_bytes
