"""The HTTP client's pool: which connections are reused and which are closed."""

from __future__ import annotations

import asyncio

import pytest

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.types import ExchangeFailedError, FailureKind, RequestHead
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
from tests.unit.node.http.test_client import OK, respond_once


def respond_to_requests(count: int, response: bytes = OK) -> Script:
    """Respond to ``count`` requests on one connection, then expect the client to close it."""

    async def script(raw_connection: RawConnection) -> None:
        for _ in range(count):
            await raw_connection.expect(GET_BYTES)
            raw_connection.send(response)
        await raw_connection.expect_closed_or_reset()

    return script


async def test_connection_is_reused_until_the_client_is_closed() -> None:
    async with scripted_engine(respond_to_requests(3)) as server:
        client = PooledEngineClient()
        for _ in range(3):
            assert await fetch(client, server.address) == b"ok"
        client.close()
        with pytest.raises(ExchangeFailedError):
            await fetch(client, server.address)


@pytest.mark.parametrize(
    "response",
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
async def test_connection_is_not_reused_after_a_response_that_forbids_it_or_extra_bytes(
    response: bytes,
) -> None:
    async with scripted_engine(respond_to_requests(1, response), respond_to_requests(1)) as server:
        client = PooledEngineClient()
        assert await fetch(client, server.address) in (b"ok", b"")
        assert await fetch(client, server.address) == b"ok"
        client.close()


async def test_keep_alive_timeout_of_the_engine_is_applied_with_a_margin() -> None:
    response = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2, max=9\r\ncontent-length: 2\r\n\r\nok"
    async with scripted_engine(respond_to_requests(1, response)) as server:
        client = PooledEngineClient()
        await fetch(client, server.address)
        (idle_connection,) = client._idle[server.address]
        remaining_s = idle_connection.idle_until - asyncio.get_running_loop().time()
        assert 1.0 < remaining_s <= 1.5


async def test_newest_idle_connection_is_reused_and_the_oldest_over_the_limit_is_closed() -> None:
    async with (
        scripted_engine(respond_to_requests(1), respond_to_requests(1), respond_to_requests(2)) as server,
        asyncio.timeout(TEST_TIMEOUT_S),
    ):
        client = PooledEngineClient(max_idle_per_address=2)
        exchanges = [await client.send(server.address, GET, b"", 1.0, accept_any_response) for _ in range(3)]
        for exchange in exchanges:
            await exchange.head()
            assert await exchange.read() == b"ok"
            assert await exchange.read() == b""
            exchange.release()
            exchange.abort()
        assert len(client._idle[server.address]) == 2
        assert await fetch(client, server.address) == b"ok"
        client.close()
        assert client._idle == {}


@pytest.mark.parametrize("event", ["end", "reset", "stray"])
@pytest.mark.parametrize("seen_by_loop", [False, True])
async def test_idle_connection_that_received_bytes_eof_or_reset_is_not_reused(
    event: str, seen_by_loop: bool
) -> None:
    resume, event_sent = asyncio.Event(), asyncio.Event()

    async def first(raw_connection: RawConnection) -> None:
        await raw_connection.expect(GET_BYTES)
        raw_connection.send(OK)
        await resume.wait()
        if event == "reset":
            raw_connection.reset()
            await asyncio.sleep(0)
        elif event == "end":
            raw_connection.end()
        else:
            raw_connection.send(b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n")
        event_sent.set()
        if event != "reset":
            await raw_connection.expect_closed_or_reset()

    async with scripted_engine(first, respond_to_requests(1)) as server, asyncio.timeout(TEST_TIMEOUT_S):
        client = PooledEngineClient()
        await fetch(client, server.address)
        (idle_connection,) = client._idle[server.address]
        resume.set()
        await event_sent.wait()
        while seen_by_loop and not idle_connection.lost:
            await asyncio.sleep(0)
        assert await fetch(client, server.address) == b"ok"
        client.close()


async def test_response_before_the_end_of_the_request_is_returned_and_its_connection_closed() -> None:
    head = RequestHead(method=b"POST", target=b"/", headers=())

    async def respond_early(raw_connection: RawConnection) -> None:
        raw_connection.send(OK)
        await raw_connection.until(b"\r\n\r\n")
        await received.wait()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                while await raw_connection.reader.read(1 << 20):
                    pass
            except ConnectionError:
                pass

    received = asyncio.Event()
    async with scripted_engine(respond_early, respond_to_requests(1)) as server:
        client = PooledEngineClient()
        assert await fetch(client, server.address, head, b"x" * (32 << 20)) == b"ok"
        assert client._idle == {}
        received.set()
        assert await fetch(client, server.address) == b"ok"
        client.close()


async def test_release_before_the_end_of_the_response_closes_the_connection() -> None:
    async def script(raw_connection: RawConnection) -> None:
        await raw_connection.expect(GET_BYTES)
        raw_connection.send(OK[:-1])
        await raw_connection.expect_closed_or_reset()

    async with scripted_engine(script) as server, asyncio.timeout(TEST_TIMEOUT_S):
        client = PooledEngineClient()
        exchange = await client.send(server.address, GET, b"", 1.0, accept_any_response)
        await exchange.head()
        exchange.release()
        assert client._idle == {}


async def test_idle_connection_whose_write_fails_before_the_first_byte_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with scripted_engine(respond_to_requests(1), respond_to_requests(1)) as server:
        client = PooledEngineClient()
        await fetch(client, server.address)
        (idle_connection,) = client._idle[server.address]
        monkeypatch.setattr(idle_connection, "write", lambda _: False)
        assert await fetch(client, server.address) == b"ok"
        client.close()


async def test_closing_the_client_fails_exchanges_in_flight() -> None:
    async with scripted_engine(respond_once(OK[:-1])) as server, asyncio.timeout(TEST_TIMEOUT_S):
        client = PooledEngineClient()
        exchange = await client.send(server.address, GET, b"", 1.0, accept_any_response)
        await exchange.head()
        client.close()
        with pytest.raises(ExchangeFailedError) as caught:
            while await exchange.read():
                pass
        assert caught.value.kind is FailureKind.TRUNCATED
