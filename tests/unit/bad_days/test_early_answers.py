"""An engine responds before it has read a long body, keeps the connection open, and reads the rest later.

Guards against a second request sent on a connection on which the first one's body is incomplete.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.client_connection import EngineConnection
from springmux.node.http.types import ExchangeFailedError, RequestHead
from tests.unit.node.http.raw_connections import (
    TEST_TIMEOUT_S,
    RawConnection,
    accept_any_response,
    scripted_engine,
)
from tests.unit.node.http.test_client import OK

READ_BYTES = 65_536
SHORT_BODY, LONG_BODY = 20_000, 8 << 20
"""The kernel's buffers hold the short body completely, and only a part of the long one."""
HEAD = RequestHead(b"POST", b"/", ())


async def _send_request(client: PooledEngineClient, address: str, body: bytes) -> None:
    exchange = await client.send(address, HEAD, body, TEST_TIMEOUT_S, accept_any_response)
    with contextlib.suppress(ExchangeFailedError):
        await exchange.head()
        while await exchange.read():
            pass
    exchange.release()


async def foreign_bytes(size: int, connections: int) -> bytes:
    """Return the bytes of a second request that an engine reads where it expects the rest of the first body.

    :param connections: number of connections over which the two requests arrive.
    """
    second_request_sent = asyncio.Event()
    foreign_bytes_read: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def respond_early(raw_connection: RawConnection) -> None:
        await raw_connection.until(b"\r\n\r\n")
        raw_connection.send(OK)
        await second_request_sent.wait()
        remaining, foreign = size, b""
        with contextlib.suppress(ConnectionError):
            while (
                remaining > 0
                and not foreign
                and (data := await raw_connection.reader.read(min(READ_BYTES, remaining)))
            ):
                remaining -= len(data)
                foreign = data.strip(b"x")
        foreign_bytes_read.set_result(foreign)
        if remaining == 0 and not foreign:
            await respond(raw_connection)

    async def respond(raw_connection: RawConnection) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await raw_connection.until(b"\r\n\r\n")
            raw_connection.send(OK)

    scripts = (respond_early, respond)[:connections]
    async with scripted_engine(*scripts) as model_engine, asyncio.timeout(TEST_TIMEOUT_S):
        client = PooledEngineClient()
        await _send_request(client, model_engine.address, b"x" * size)
        second = asyncio.create_task(_send_request(client, model_engine.address, b""))
        await asyncio.sleep(0)
        second_request_sent.set()
        foreign = await foreign_bytes_read
        if foreign:
            second.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await second
        client.close()
    return foreign


@pytest.mark.parametrize(("size", "connections"), [(SHORT_BODY, 1), (LONG_BODY, 2)], ids=["short", "long"])
async def test_no_foreign_bytes_arrive_in_place_of_the_rest_of_a_body(size: int, connections: int) -> None:
    assert await foreign_bytes(size, connections) == b""


async def test_checker_detects_an_incomplete_body_on_a_reused_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    write = EngineConnection.write
    monkeypatch.setattr(
        EngineConnection, "write", lambda connection, data: write(connection, data[:READ_BYTES])
    )
    assert b"POST / HTTP/1.1" in await foreign_bytes(LONG_BODY, 1)
