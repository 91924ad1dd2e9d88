"""The client: which connections are kept, and which never serve again."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.types import ExchangeFailedError, FailureKind, RequestHead
from tests.unit.node.http.test_client import OK, answers
from tests.unit.node.http.wires import GET, GET_BYTES, PATIENCE_S, Script, Wire, any_answer, ask, engine


def serves(count: int, answer: bytes = OK) -> Script:
    """Answer ``count`` requests on one connection; the client then closes it."""

    async def script(wire: Wire) -> None:
        for _ in range(count):
            await wire.expect(GET_BYTES)
            wire.send(answer)
        await wire.expect_gone()

    return script


async def test_a_connection_is_kept_and_close_ends_it() -> None:
    async with engine(serves(3)) as there:
        client = PooledEngineClient()
        for _ in range(3):
            assert await ask(client, there.address) == b"ok"
        client.close()
        with pytest.raises(ExchangeFailedError):
            await ask(client, there.address)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=0\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
        OK + b"x",
        OK + OK,
        b"HTTP/1.1 204 x\r\n\r\nok",
    ],
)
async def test_connections_that_never_serve_again(answer: bytes) -> None:
    async with engine(serves(1, answer), serves(1)) as there:
        client = PooledEngineClient()
        assert await ask(client, there.address) in (b"ok", b"")
        assert await ask(client, there.address) == b"ok"
        client.close()


async def test_the_engines_idle_time_is_honoured_with_a_margin() -> None:
    answer = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2, max=9\r\ncontent-length: 2\r\n\r\nok"
    async with engine(serves(1, answer)) as there:
        client = PooledEngineClient()
        await ask(client, there.address)
        (kept,) = client._idle[there.address]
        remaining_s = kept.idle_until - asyncio.get_running_loop().time()
        assert 1.0 < remaining_s <= 1.5


async def test_the_newest_is_taken_first_and_the_oldest_goes_over_the_bound() -> None:
    async with engine(serves(1), serves(1), serves(2)) as there, asyncio.timeout(PATIENCE_S):
        client = PooledEngineClient(max_idle_per_address=2)
        exchanges = [await client.send(there.address, GET, b"", 1.0, any_answer) for _ in range(3)]
        for exchange in exchanges:
            await exchange.head()
            assert await exchange.read() == b"ok"
            assert await exchange.read() == b""
            exchange.release()
            exchange.abort()
        assert len(client._idle[there.address]) == 2
        assert await ask(client, there.address) == b"ok"
        client.close()
        assert client._idle == {}


@pytest.mark.parametrize("event", ["end", "reset", "stray"])
@pytest.mark.parametrize("seen_by_loop", [False, True])
async def test_a_kept_connection_on_which_something_came_is_never_used(
    event: str, seen_by_loop: bool
) -> None:
    go_on, happened = asyncio.Event(), asyncio.Event()

    async def first(wire: Wire) -> None:
        await wire.expect(GET_BYTES)
        wire.send(OK)
        await go_on.wait()
        if event == "reset":
            wire.reset()
            await asyncio.sleep(0)
        elif event == "end":
            wire.end()
        else:
            wire.send(b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n")
        happened.set()
        if event != "reset":
            await wire.expect_gone()

    async with engine(first, serves(1)) as there, asyncio.timeout(PATIENCE_S):
        client = PooledEngineClient()
        await ask(client, there.address)
        (kept,) = client._idle[there.address]
        go_on.set()
        await happened.wait()
        while seen_by_loop and not kept.lost:
            await asyncio.sleep(0)
        assert await ask(client, there.address) == b"ok"
        client.close()


async def test_an_answer_before_the_request_was_written_is_given_but_the_connection_ends() -> None:
    head = RequestHead(method=b"POST", target=b"/", headers=())

    async def early(wire: Wire) -> None:
        wire.send(OK)
        await wire.until(b"\r\n\r\n")
        await got.wait()
        async with asyncio.timeout(PATIENCE_S):
            try:
                while await wire.reader.read(1 << 20):
                    pass
            except ConnectionError:
                pass

    got = asyncio.Event()
    async with engine(early, serves(1)) as there:
        client = PooledEngineClient()
        assert await ask(client, there.address, head, b"x" * (32 << 20)) == b"ok"
        assert client._idle == {}
        got.set()
        assert await ask(client, there.address) == b"ok"
        client.close()


async def test_an_exchange_left_early_ends_its_connection() -> None:
    async def script(wire: Wire) -> None:
        await wire.expect(GET_BYTES)
        wire.send(OK[:-1])
        await wire.expect_gone()

    async with engine(script) as there, asyncio.timeout(PATIENCE_S):
        client = PooledEngineClient()
        exchange = await client.send(there.address, GET, b"", 1.0, any_answer)
        await exchange.head()
        exchange.release()
        assert client._idle == {}


async def test_a_connection_refused_by_the_kernel_before_its_first_byte_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with engine(serves(1), serves(1)) as there:
        client = PooledEngineClient()
        await ask(client, there.address)
        (kept,) = client._idle[there.address]
        monkeypatch.setattr(kept, "write", lambda _: False)
        assert await ask(client, there.address) == b"ok"
        client.close()


async def test_closing_the_client_fails_what_is_under_way() -> None:
    async with engine(answers(OK[:-1])) as there, asyncio.timeout(PATIENCE_S):
        client = PooledEngineClient()
        exchange = await client.send(there.address, GET, b"", 1.0, any_answer)
        await exchange.head()
        client.close()
        with pytest.raises(ExchangeFailedError) as caught:
            while await exchange.read():
                pass
        assert caught.value.kind is FailureKind.TRUNCATED
