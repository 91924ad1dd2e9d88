"""The HTTP client: encoding of requests, responses of every framing, and kinds of failures."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.client_connection import EngineConnection
from springmux.node.http.client_exchange import HttpEngineExchange
from springmux.node.http.types import ExchangeFailedError, FailureKind, RequestHead, ResponseHead
from tests.unit.node.http.raw_connections import (
    GET,
    GET_BYTES,
    TEST_TIMEOUT_S,
    RawConnection,
    Script,
    accept_any_response,
    fetch,
    scripted_engine,
)

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def respond_once(*parts: bytes, request: bytes = GET_BYTES, ending: str = "close") -> Script:
    """Expect one request, send each part in its own write, then close or reset the connection."""

    async def script(raw_connection: RawConnection) -> None:
        await raw_connection.expect(request)
        for part in parts:
            raw_connection.send(part)
            await raw_connection.writer.drain()
        if ending == "reset":
            raw_connection.reset()

    return script


async def failure_kind_of(client: PooledEngineClient, address: str) -> FailureKind:
    with pytest.raises(ExchangeFailedError) as caught:
        await fetch(client, address)
    return caught.value.kind


async def test_request_is_sent_unchanged_except_for_its_framing_headers() -> None:
    head = RequestHead(
        method=b"POST",
        target=b"/%7e?x",
        headers=(
            (b"host", b"h"),
            (b"content-length", b"99"),
            (b"transfer-encoding", b"chunked"),
            (b"connection", b"close"),
            (b"authorization", b"Bearer k"),
        ),
    )
    expected = (
        b"POST /%7e?x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer k\r\ncontent-length: 3\r\n\r\n\x00\r\n"
    )
    async with scripted_engine(respond_once(OK, request=expected)) as server:
        assert await fetch(PooledEngineClient(), server.address, head, b"\x00\r\n") == b"ok"


async def test_empty_post_has_a_content_length_and_a_get_has_none() -> None:
    post = RequestHead(method=b"POST", target=b"/", headers=())

    async def script(raw_connection: RawConnection) -> None:
        await raw_connection.expect(b"POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n")
        raw_connection.send(OK)
        await raw_connection.expect(GET_BYTES)
        raw_connection.send(OK)

    async with scripted_engine(script) as server:
        client = PooledEngineClient()
        await fetch(client, server.address, post)
        await fetch(client, server.address)


@pytest.mark.parametrize(
    "response",
    [
        OK,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x\r\nk\r\n0\r\nT: t\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        b"HTTP/1.0 200 OK\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" + OK,
    ],
)
@pytest.mark.parametrize("byte_by_byte", [False, True])
async def test_responses_of_every_framing_are_read_completely(response: bytes, byte_by_byte: bool) -> None:
    parts = [response[at : at + 1] for at in range(len(response))] if byte_by_byte else [response]
    async with scripted_engine(respond_once(*parts)) as server:
        assert await fetch(PooledEngineClient(), server.address) == b"ok"


@pytest.mark.parametrize("status", [204, 304])
async def test_response_with_a_status_without_body_ends_with_its_head(status: int) -> None:
    async def script(raw_connection: RawConnection) -> None:
        for _ in range(2):
            await raw_connection.expect(GET_BYTES)
            raw_connection.send(b"HTTP/1.1 %d x\r\ncontent-length: 5\r\n\r\n" % status)

    async with scripted_engine(script) as server:
        client = PooledEngineClient()
        assert await fetch(client, server.address) == b""
        assert await fetch(client, server.address) == b""


async def test_response_to_a_head_request_ends_with_its_head() -> None:
    head = RequestHead(method=b"HEAD", target=b"/", headers=())
    script = respond_once(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", request=b"HEAD / HTTP/1.1\r\n\r\n")
    async with scripted_engine(script) as server:
        assert await fetch(PooledEngineClient(), server.address, head) == b""


@pytest.mark.parametrize(
    ("response", "ending", "kind"),
    [
        (b"", "close", FailureKind.RESET),
        (b"", "reset", FailureKind.RESET),
        (b"HTTP/1.1 100 Continue\r\n\r\n", "close", FailureKind.RESET),
        (b"HTTP/1.1 200 OK\r\ncont", "close", FailureKind.TRUNCATED),
        (OK[:-1], "close", FailureKind.TRUNCATED),
        (OK[:-2], "reset", FailureKind.TRUNCATED),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", "close", FailureKind.TRUNCATED),
        (b"SSH-2.0-x\r\n", "close", FailureKind.MALFORMED),
        (b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n", "close", FailureKind.MALFORMED),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "close", FailureKind.MALFORMED),
        (
            b"HTTP/1.1 101 x\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n",
            "close",
            FailureKind.MALFORMED,
        ),
        (b"HTTP/1.1 200 OK\r\na: " + b"a" * 70_000, "close", FailureKind.MALFORMED),
    ],
)
async def test_failed_exchange_reports_the_kind_of_its_failure(
    response: bytes, ending: str, kind: FailureKind
) -> None:
    async with scripted_engine(respond_once(response, ending=ending)) as server:
        assert await failure_kind_of(PooledEngineClient(), server.address) is kind


async def test_reset_within_an_unframed_body_is_a_truncation() -> None:
    received = asyncio.Event()

    async def script(raw_connection: RawConnection) -> None:
        await raw_connection.expect(GET_BYTES)
        raw_connection.send(b"HTTP/1.1 200 OK\r\n\r\nok")
        await received.wait()
        raw_connection.reset()

    async with scripted_engine(script) as server, asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await PooledEngineClient().send(server.address, GET, b"", 1.0, accept_any_response)
        assert (await exchange.head()).length is None
        assert await exchange.read() == b"ok"
        received.set()
        with pytest.raises(ExchangeFailedError) as caught:
            await exchange.read()
        assert caught.value.kind is FailureKind.TRUNCATED


async def test_address_that_is_invalid_or_has_no_listener_is_a_connect_failure() -> None:
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{bound_socket.getsockname()[1]}"
        assert await failure_kind_of(PooledEngineClient(), address) is FailureKind.CONNECT
    assert await failure_kind_of(PooledEngineClient(), "no-port") is FailureKind.CONNECT


async def test_connect_timeout_is_a_connect_failure() -> None:
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = f"127.0.0.1:{full.getsockname()[1]}"
        with socket.socket() as one, socket.socket() as two:
            for filler in (one, two):
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            with pytest.raises(ExchangeFailedError) as caught:
                await PooledEngineClient().send(address, GET, b"", 0.05, accept_any_response)
            assert caught.value.kind is FailureKind.CONNECT


async def test_tcp_user_timeout_before_a_response_reports_an_unresponsive_peer() -> None:
    connection = EngineConnection("x:1", lambda _: None)
    user_timeout = OSError(errno.ETIMEDOUT, "timed out")
    exchange = HttpEngineExchange(connection, b"GET", accept_any_response, lambda *_: None)
    exchange.connection_lost(user_timeout)
    with pytest.raises(ExchangeFailedError) as caught:
        await exchange.head()
    assert caught.value.kind is FailureKind.UNRESPONSIVE


async def test_engine_sockets_have_nodelay_keepalive_and_user_timeout() -> None:
    async with scripted_engine(respond_once(OK)) as server, asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await PooledEngineClient().send(server.address, GET, b"", 1.0, accept_any_response)
        assert exchange._connection is not None
        sock = exchange._connection._transport.get_extra_info("socket")
        tcp = socket.IPPROTO_TCP
        options = (socket.TCP_NODELAY, socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
        assert [sock.getsockopt(tcp, option) for option in options] == [1, 1, 1, 2]
        assert sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) == 1500
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        exchange.abort()


async def test_response_to_another_request_is_skipped_and_the_next_is_returned() -> None:
    def is_own_response(head: ResponseHead) -> bool:
        return head.header(b"id") == b"2"

    late = b"HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n"
    mine = b"HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 4\r\n\r\nmine"
    async with scripted_engine(respond_once(late + mine)) as server, asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await PooledEngineClient().send(server.address, GET, b"", 1.0, is_own_response)
        assert (await exchange.head()).header(b"id") == b"2"
        assert await exchange.read() == b"mine"
        assert await exchange.read() == b""
        exchange.release()


async def test_close_after_only_a_response_to_another_request_is_a_reset() -> None:
    async with scripted_engine(respond_once(OK)) as server, asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await PooledEngineClient().send(server.address, GET, b"", 1.0, lambda _: False)
        with pytest.raises(ExchangeFailedError) as caught:
            await exchange.head()
        assert caught.value.kind is FailureKind.RESET


async def test_parts_of_a_body_are_returned_as_they_arrive() -> None:
    received = asyncio.Event()

    async def script(raw_connection: RawConnection) -> None:
        await raw_connection.expect(GET_BYTES)
        raw_connection.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n")
        await received.wait()
        raw_connection.send(b"3\r\ntwo\r\n0\r\n\r\n")

    async with scripted_engine(script) as server, asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await PooledEngineClient().send(server.address, GET, b"", 1.0, accept_any_response)
        assert (await exchange.head()).chunked
        assert await exchange.read() == b"one"
        received.set()
        assert await exchange.read() == b"two"
        assert await exchange.read() == b""
        exchange.release()


async def test_reading_pauses_while_unread_bytes_are_over_the_limit() -> None:
    size_bytes = 32 << 20
    sent = asyncio.Event()

    async def script(raw_connection: RawConnection) -> None:
        await raw_connection.expect(GET_BYTES)
        raw_connection.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size_bytes)
        for _ in range(size_bytes >> 20):
            raw_connection.send(b"x" * (1 << 20))
            await raw_connection.writer.drain()
        sent.set()

    async with scripted_engine(script) as server, asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await PooledEngineClient().send(server.address, GET, b"", 1.0, accept_any_response)
        await exchange.head()
        connection = exchange._connection
        assert connection is not None
        while connection._reading:
            await asyncio.sleep(0)
        assert exchange._unread_bytes <= 2 * 256 * 1024
        assert not sent.is_set()
        total = 0
        while part := await exchange.read():
            total += len(part)
        assert total == size_bytes
        exchange.release()


async def test_abort_closes_the_connection_and_ends_the_wait_for_the_head() -> None:
    async def script(raw_connection: RawConnection) -> None:
        await raw_connection.expect(GET_BYTES)
        await raw_connection.expect_closed_or_reset()

    async with scripted_engine(script) as server, asyncio.timeout(TEST_TIMEOUT_S):
        exchange = await PooledEngineClient().send(server.address, GET, b"", 1.0, accept_any_response)
        waiting = asyncio.create_task(exchange.head())
        await asyncio.sleep(0)
        exchange.abort()
        with pytest.raises(ExchangeFailedError):
            await waiting


async def test_cancelled_send_leaks_no_connection() -> None:
    client = PooledEngineClient()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        for iterations in range(12):
            connections_before = set(client._connections)
            sending = asyncio.create_task(client.send(address, GET, b"", 1.0, accept_any_response))
            for _ in range(iterations):
                await asyncio.sleep(0)
            sending.cancel()
            result = (await asyncio.gather(sending, return_exceptions=True))[0]
            if isinstance(result, HttpEngineExchange):
                result.abort()
            for _ in range(4):
                await asyncio.sleep(0)
            assert client._connections == connections_before
