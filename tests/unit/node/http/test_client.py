"""The client: requests as written, answers of every framing, and failures."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.client_connection import EngineConnection
from springmux.node.http.client_exchange import HttpEngineExchange
from springmux.node.http.types import ExchangeFailedError, FailureKind, RequestHead, ResponseHead
from tests.unit.node.http.wires import GET, GET_BYTES, PATIENCE_S, Script, Wire, any_answer, ask, engine

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def answers(*parts: bytes, request: bytes = GET_BYTES, way: str = "close") -> Script:
    """Expect one request, then send the parts each in its own write, then close or reset."""

    async def script(wire: Wire) -> None:
        await wire.expect(request)
        for part in parts:
            wire.send(part)
            await wire.writer.drain()
        if way == "reset":
            wire.reset()

    return script


async def failure_of(client: PooledEngineClient, address: str) -> FailureKind:
    with pytest.raises(ExchangeFailedError) as caught:
        await ask(client, address)
    return caught.value.kind


async def test_a_request_is_written_as_given_with_its_framing_made_anew() -> None:
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
    async with engine(answers(OK, request=expected)) as there:
        assert await ask(PooledEngineClient(), there.address, head, b"\x00\r\n") == b"ok"


async def test_an_empty_post_says_its_length_and_a_get_does_not() -> None:
    post = RequestHead(method=b"POST", target=b"/", headers=())

    async def script(wire: Wire) -> None:
        await wire.expect(b"POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n")
        wire.send(OK)
        await wire.expect(GET_BYTES)
        wire.send(OK)

    async with engine(script) as there:
        client = PooledEngineClient()
        await ask(client, there.address, post)
        await ask(client, there.address)


@pytest.mark.parametrize(
    "answer",
    [
        OK,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x\r\nk\r\n0\r\nT: t\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        b"HTTP/1.0 200 OK\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" + OK,
    ],
)
@pytest.mark.parametrize("cut", [False, True])
async def test_answers_of_every_framing_come_whole(answer: bytes, cut: bool) -> None:
    parts = [answer[at : at + 1] for at in range(len(answer))] if cut else [answer]
    async with engine(answers(*parts)) as there:
        assert await ask(PooledEngineClient(), there.address) == b"ok"


@pytest.mark.parametrize("status", [204, 304])
async def test_answers_without_a_body_end_with_their_head(status: int) -> None:
    async def script(wire: Wire) -> None:
        for _ in range(2):
            await wire.expect(GET_BYTES)
            wire.send(b"HTTP/1.1 %d x\r\ncontent-length: 5\r\n\r\n" % status)

    async with engine(script) as there:
        client = PooledEngineClient()
        assert await ask(client, there.address) == b""
        assert await ask(client, there.address) == b""


async def test_an_answer_to_head_ends_with_its_head() -> None:
    head = RequestHead(method=b"HEAD", target=b"/", headers=())
    script = answers(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", request=b"HEAD / HTTP/1.1\r\n\r\n")
    async with engine(script) as there:
        assert await ask(PooledEngineClient(), there.address, head) == b""


@pytest.mark.parametrize(
    ("answer", "way", "kind"),
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
async def test_failures_say_their_kind(answer: bytes, way: str, kind: FailureKind) -> None:
    async with engine(answers(answer, way=way)) as there:
        assert await failure_of(PooledEngineClient(), there.address) is kind


async def test_an_unframed_body_that_is_reset_is_cut_short() -> None:
    got = asyncio.Event()

    async def script(wire: Wire) -> None:
        await wire.expect(GET_BYTES)
        wire.send(b"HTTP/1.1 200 OK\r\n\r\nok")
        await got.wait()
        wire.reset()

    async with engine(script) as there, asyncio.timeout(PATIENCE_S):
        exchange = await PooledEngineClient().send(there.address, GET, b"", 1.0, any_answer)
        assert (await exchange.head()).length is None
        assert await exchange.read() == b"ok"
        got.set()
        with pytest.raises(ExchangeFailedError) as caught:
            await exchange.read()
        assert caught.value.kind is FailureKind.TRUNCATED


async def test_nobody_at_the_address_is_a_failure_to_connect() -> None:
    with socket.socket() as unheard:
        unheard.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unheard.getsockname()[1]}"
        assert await failure_of(PooledEngineClient(), address) is FailureKind.CONNECT
    assert await failure_of(PooledEngineClient(), "no-port") is FailureKind.CONNECT


async def test_a_connect_that_takes_too_long_is_a_failure_to_connect() -> None:
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = f"127.0.0.1:{full.getsockname()[1]}"
        with socket.socket() as one, socket.socket() as two:
            for filler in (one, two):
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            with pytest.raises(ExchangeFailedError) as caught:
                await PooledEngineClient().send(address, GET, b"", 0.05, any_answer)
            assert caught.value.kind is FailureKind.CONNECT


async def test_the_kernels_timeout_before_an_answer_is_silence() -> None:
    connection = EngineConnection("x:1", lambda _: None)
    silence = OSError(errno.ETIMEDOUT, "timed out")
    before = HttpEngineExchange(connection, b"GET", any_answer, lambda *_: None)
    before.connection_lost(silence)
    with pytest.raises(ExchangeFailedError) as caught:
        await before.head()
    assert caught.value.kind is FailureKind.UNRESPONSIVE


async def test_engine_sockets_have_their_options() -> None:
    async with engine(answers(OK)) as there, asyncio.timeout(PATIENCE_S):
        exchange = await PooledEngineClient().send(there.address, GET, b"", 1.0, any_answer)
        assert exchange._connection is not None
        sock = exchange._connection._transport.get_extra_info("socket")
        tcp = socket.IPPROTO_TCP
        options = (socket.TCP_NODELAY, socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
        assert [sock.getsockopt(tcp, option) for option in options] == [1, 1, 1, 2]
        assert sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) == 1500
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        exchange.abort()


async def test_answers_that_are_not_ours_are_skipped_whole_and_the_next_is_given() -> None:
    def ours(head: ResponseHead) -> bool:
        return head.header(b"id") == b"2"

    late = b"HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n"
    mine = b"HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 4\r\n\r\nmine"
    async with engine(answers(late + mine)) as there, asyncio.timeout(PATIENCE_S):
        exchange = await PooledEngineClient().send(there.address, GET, b"", 1.0, ours)
        assert (await exchange.head()).header(b"id") == b"2"
        assert await exchange.read() == b"mine"
        assert await exchange.read() == b""
        exchange.release()


async def test_only_an_answer_that_is_not_ours_is_a_reset() -> None:
    async with engine(answers(OK)) as there, asyncio.timeout(PATIENCE_S):
        exchange = await PooledEngineClient().send(there.address, GET, b"", 1.0, lambda _: False)
        with pytest.raises(ExchangeFailedError) as caught:
            await exchange.head()
        assert caught.value.kind is FailureKind.RESET


async def test_parts_come_at_once_each_as_it_arrived() -> None:
    got = asyncio.Event()

    async def script(wire: Wire) -> None:
        await wire.expect(GET_BYTES)
        wire.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n")
        await got.wait()
        wire.send(b"3\r\ntwo\r\n0\r\n\r\n")

    async with engine(script) as there, asyncio.timeout(PATIENCE_S):
        exchange = await PooledEngineClient().send(there.address, GET, b"", 1.0, any_answer)
        assert (await exchange.head()).chunked
        assert await exchange.read() == b"one"
        got.set()
        assert await exchange.read() == b"two"
        assert await exchange.read() == b""
        exchange.release()


async def test_reading_stops_while_too_much_waits_unread() -> None:
    size_bytes = 32 << 20
    sent = asyncio.Event()

    async def script(wire: Wire) -> None:
        await wire.expect(GET_BYTES)
        wire.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size_bytes)
        for _ in range(size_bytes >> 20):
            wire.send(b"x" * (1 << 20))
            await wire.writer.drain()
        sent.set()

    async with engine(script) as there, asyncio.timeout(PATIENCE_S):
        exchange = await PooledEngineClient().send(there.address, GET, b"", 1.0, any_answer)
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


async def test_an_abort_closes_at_once_and_ends_the_wait() -> None:
    async def script(wire: Wire) -> None:
        await wire.expect(GET_BYTES)
        await wire.expect_gone()

    async with engine(script) as there, asyncio.timeout(PATIENCE_S):
        exchange = await PooledEngineClient().send(there.address, GET, b"", 1.0, any_answer)
        waiting = asyncio.create_task(exchange.head())
        await asyncio.sleep(0)
        exchange.abort()
        with pytest.raises(ExchangeFailedError):
            await waiting


async def test_a_cancelled_send_leaves_no_connection() -> None:
    client = PooledEngineClient()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        for rounds in range(12):
            before = set(client._connections)
            sending = asyncio.create_task(client.send(address, GET, b"", 1.0, any_answer))
            for _ in range(rounds):
                await asyncio.sleep(0)
            sending.cancel()
            result = (await asyncio.gather(sending, return_exceptions=True))[0]
            if isinstance(result, HttpEngineExchange):
                result.abort()
            for _ in range(4):
                await asyncio.sleep(0)
            assert client._connections == before
