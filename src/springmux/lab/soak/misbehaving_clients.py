"""Clients of a soak that don't behave: they send parts of requests to any listener, and read little."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from collections.abc import Callable

import msgspec

from springmux.lab.soak.configurations import HOST, MOVING_PATH, PROBE_REQUEST_ID
from springmux.lab.soak.fleet import CONTROL_PORT, FRONT_PORT, PEER_PORT, READY_PORT, SoakNode

BODY_BYTES = 4 << 20
"""Limit of a body in the soak's configurations, which set none of their own."""
CONTROL_BODY_BYTES = 16 << 20
PIECE_BYTES = 32 << 10
STAY_S = (0.2, 6.0)
"""Range of the time that a connection stays open after its last byte."""
CONNECT_TIMEOUT_S = 1.0
RETRY_S = 0.1
DRIP_PERIOD_S = 0.05
DRIPPED_BYTES = 100


class Misbehavior(enum.StrEnum):
    """What a connection does."""

    IDLE = "idle"
    """It sends nothing."""
    UNFINISHED_HEAD = "unfinished_head"
    """Thousands of short header lines, without an end."""
    UNFINISHED_BODY = "unfinished_body"
    """A body of the largest size but for its last byte."""
    TINY_CHUNKS = "tiny_chunks"
    """A chunked body of 16 bytes a chunk, without an end."""
    TOO_LARGE = "too_large"
    """A chunked body of four times the limit."""
    UNREAD = "unread"
    """Thousands of requests, none of whose responses it reads."""
    DRIP = "drip"
    """Single bytes of a large body, one after another."""


LISTENER_PORTS = (FRONT_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT)
"""Ports in the frequency in which they are used."""
_PATHS = {
    FRONT_PORT: MOVING_PATH,
    READY_PORT: "/readyz",
    CONTROL_PORT: "/v1/gateway/configuration",
    PEER_PORT: "/",
}


class Script(msgspec.Struct, frozen=True):
    """What one connection sends, and the time between the pieces in seconds."""

    pieces: list[bytes]
    pause_s: float = 0.0


def make_script(kind: Misbehavior, port: int, key: str) -> Script:
    """Return what a connection of a kind sends to a listener."""
    body_bytes = CONTROL_BODY_BYTES if port == CONTROL_PORT else BODY_BYTES
    unfinished = _head("POST", port, key)
    announced = unfinished + b"content-length: %d\r\n\r\n" % body_bytes
    chunked = unfinished + b"transfer-encoding: chunked\r\n\r\n"
    match kind:
        case Misbehavior.IDLE:
            return Script([])
        case Misbehavior.UNFINISHED_HEAD:
            return Script([unfinished + b"a:\r\n" * 3900])
        case Misbehavior.UNFINISHED_BODY:
            return Script([announced, b"x" * (body_bytes - 1)])
        case Misbehavior.TINY_CHUNKS:
            return Script([chunked, b"10\r\nxxxxxxxxxxxxxxxx\r\n" * 20_000])
        case Misbehavior.TOO_LARGE:
            return Script([chunked, b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES) * 512])
        case Misbehavior.UNREAD:
            return Script([(_head("GET", port, key) + b"\r\n") * 5000])
        case Misbehavior.DRIP:
            return Script([announced, *[b"x"] * DRIPPED_BYTES], DRIP_PERIOD_S)


def _head(method: str, port: int, key: str) -> bytes:
    """Return a request's head without its last line; peers take it for the size of a too large frame."""
    headers = f"host: {HOST}\r\nx-api-key: {key}\r\nx-request-id: {PROBE_REQUEST_ID}\r\n"
    return f"{method} {_PATHS[port]} HTTP/1.1\r\n{headers}".encode()


class MisbehavingClient:
    """Opens one connection after another to nodes drawn at random.

    :param key: returns an API key that is valid now.
    """

    def __init__(
        self,
        nodes: list[SoakNode],
        key: Callable[[], str],
        source: random.Random,
        count: Callable[[str], None],
    ) -> None:
        self._nodes = nodes
        self._key = key
        self._random = source
        self._count = count

    async def run(self) -> None:
        """Open connections until cancelled."""
        while True:
            node = self._random.choice(self._nodes)
            port = self._random.choice(LISTENER_PORTS)
            kind = self._random.choice(list(Misbehavior))
            stay_s = self._random.uniform(*STAY_S)
            script = make_script(kind, port, self._key())
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(node.host, port)
            except OSError:
                await asyncio.sleep(RETRY_S)
                continue
            self._count(f"misbehaving {kind.value}")
            await _misbehave(writer, script, stay_s)


async def _misbehave(writer: asyncio.StreamWriter, script: Script, stay_s: float) -> None:
    """Send the pieces, then stay; the process may close the connection at any time.

    Nobody reads what the process sends: asyncio takes a little of it, and then leaves it to the kernel.
    """
    try:
        with contextlib.suppress(OSError):
            async with asyncio.timeout(stay_s):
                for piece in script.pieces:
                    for begin in range(0, len(piece), PIECE_BYTES):
                        writer.write(piece[begin : begin + PIECE_BYTES])
                        await writer.drain()
                    await asyncio.sleep(script.pause_s)
                await asyncio.sleep(stay_s)
    finally:
        writer.transport.abort()
