"""An engine answers before it has read a long body, keeps the connection, and reads on later."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from springmux.node.http.client import PooledEngineClient
from springmux.node.http.client_connection import EngineConnection
from springmux.node.http.types import ExchangeFailedError, RequestHead
from tests.unit.node.http.test_client import OK
from tests.unit.node.http.wires import TEST_TIMEOUT_S, Wire, accept_any_response, engine

READ_BYTES = 65_536
SHORT_BODY, LONG_BODY = 20_000, 8 << 20
"""The kernel takes the one whole at once, and the other only in part."""
HEAD = RequestHead(b"POST", b"/", ())


async def _ask(client: PooledEngineClient, address: str, body: bytes) -> None:
    exchange = await client.send(address, HEAD, body, TEST_TIMEOUT_S, accept_any_response)
    with contextlib.suppress(ExchangeFailedError):
        await exchange.head()
        while await exchange.read():
            pass
    exchange.release()


async def foreign_bytes(size: int, connections: int) -> bytes:
    """Return what an engine reads of a second request where the rest of the first one's body is due.

    :param connections: over which the two requests come.
    """
    asked_again = asyncio.Event()
    read_on: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def answers_early(wire: Wire) -> None:
        await wire.until(b"\r\n\r\n")
        wire.send(OK)
        await asked_again.wait()
        due, foreign = size, b""
        with contextlib.suppress(ConnectionError):
            while due > 0 and not foreign and (data := await wire.reader.read(min(READ_BYTES, due))):
                due -= len(data)
                foreign = data.strip(b"x")
        read_on.set_result(foreign)
        if due == 0 and not foreign:
            await answers(wire)

    async def answers(wire: Wire) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await wire.until(b"\r\n\r\n")
            wire.send(OK)

    scripts = (answers_early, answers)[:connections]
    async with engine(*scripts) as there, asyncio.timeout(TEST_TIMEOUT_S):
        client = PooledEngineClient()
        await _ask(client, there.address, b"x" * size)
        second = asyncio.create_task(_ask(client, there.address, b""))
        await asyncio.sleep(0)
        asked_again.set()
        foreign = await read_on
        if foreign:
            second.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await second
        client.close()
    return foreign


@pytest.mark.parametrize(("size", "connections"), [(SHORT_BODY, 1), (LONG_BODY, 2)], ids=["short", "long"])
async def test_no_other_bytes_come_where_the_rest_of_a_body_is_due(size: int, connections: int) -> None:
    assert await foreign_bytes(size, connections) == b""


async def test_the_checker_sees_a_body_left_unfinished_on_a_kept_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    write = EngineConnection.write
    monkeypatch.setattr(
        EngineConnection, "write", lambda connection, data: write(connection, data[:READ_BYTES])
    )
    assert b"POST / HTTP/1.1" in await foreign_bytes(LONG_BODY, 1)
