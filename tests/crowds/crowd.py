"""A crowd of clients: connections that send bytes and then stay open without reading."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from tests.crowds.processes import HOST, SystemProcess

PIECE_BYTES = 64 << 10
RECEIVE_BUFFER_BYTES = 4096
"""Small, so that responses that the crowd does not read stay at the process."""
SETTLED_AFTER_S = 1.0
"""The process has handled the crowd once nothing was sent, and it was idle, for so long."""
BUSY_SHARE = 0.4
"""Share of a core from which on the process still handles the crowd."""
SETTLE_TIMEOUT_S = 120.0
"""Timeout that ends a hanging test. No result depends on it."""
CONNECT_TIMEOUT_S = 5.0


class Member:
    """One connection of a crowd. Sending ends early if the process refuses or closes the connection."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    async def run(self, port: int, pieces: Iterable[bytes]) -> None:
        """Connect and send the pieces."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(self._socket, (HOST, port))
            for piece in pieces:
                for begin in range(0, len(piece), PIECE_BYTES):
                    part = piece[begin : begin + PIECE_BYTES]
                    await loop.sock_sendall(self._socket, part)
                    self.sent_bytes += len(part)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


@asynccontextmanager
async def crowd(system: SystemProcess, port: int, size: int, pieces: list[bytes]) -> AsyncIterator[None]:
    """Connect ``size`` clients that send ``pieces``; they stay connected until the end of the context.

    The body of the context runs once the process has taken all that it will take.
    """
    members = [Member() for _ in range(size)]
    tasks = [asyncio.create_task(member.run(port, pieces)) for member in members]
    try:
        await _settled(system, members, tasks)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for member in members:
            member.close()


async def _settled(system: SystemProcess, members: list[Member], tasks: list[asyncio.Task[None]]) -> None:
    sent_bytes, processor_s = -1, -SETTLED_AFTER_S
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        while True:
            sent_before, sent_bytes = sent_bytes, sum(member.sent_bytes for member in members)
            busy_before, processor_s = processor_s, system.processor_s
            busy = processor_s - busy_before > BUSY_SHARE * SETTLED_AFTER_S
            if sent_bytes == sent_before and not busy and _connected(members, tasks):
                return
            await asyncio.sleep(SETTLED_AFTER_S)


def _connected(members: list[Member], tasks: list[asyncio.Task[None]]) -> bool:
    pairs = zip(members, tasks, strict=True)
    return all(task.done() or member.sent_bytes for member, task in pairs)
