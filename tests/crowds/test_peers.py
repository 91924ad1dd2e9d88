"""Crowds at the peer listener of a gateway node.

Guards against connections that complete no handshake, or announce large messages and never end them.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from springmux.node.peer.frames import frame_header
from springmux.node.peer.handshake import (
    Challenge,
    HandshakeAuthenticator,
    decode_handshake,
    encode_handshake,
)
from tests.crowds.crowd import crowd
from tests.crowds.gateway import BODY_BYTES, running_gateway
from tests.crowds.processes import HOST
from tests.crowds.requests import CONNECTIONS, MAX_DESCRIPTORS

SENDERS = 16
MESSAGE_BYTES = 15 << 20
ANNOUNCED_BYTES = 16 << 20
SETTLE_S = 2.0


async def send_unfinished_message(port: int, number: int) -> asyncio.StreamWriter:
    """Complete the handshake as a node that the fleet does not know, and stop within a large message."""
    reader, writer = await asyncio.open_connection(HOST, port)
    size_bytes = int.from_bytes(await reader.readexactly(4), "big")
    challenge = decode_handshake(await reader.readexactly(size_bytes))
    assert isinstance(challenge, Challenge)
    hello = HandshakeAuthenticator("springmux", f"stranger-{number}", "boot", None).hello(challenge, "large")
    payload = encode_handshake(hello)
    writer.write(frame_header(len(payload)) + payload)
    await reader.readexactly(4)
    writer.write(frame_header(ANNOUNCED_BYTES) + b"x" * MESSAGE_BYTES)
    return writer


async def test_messages_stop_short_of_their_end(tmp_path: Path) -> None:
    async with running_gateway(tmp_path) as gateway:
        port = gateway.ports.peer
        writers = await asyncio.gather(*(send_unfinished_message(port, number) for number in range(SENDERS)))
        try:
            await asyncio.sleep(SETTLE_S)
            await gateway.check_ordinary_caller()
        finally:
            for writer in writers:
                writer.transport.abort()
        await gateway.check_ordinary_caller(BODY_BYTES)


@pytest.mark.parametrize("sent", [b"\0", frame_header(4000) + b"x" * 3999])
async def test_more_connections_than_descriptors(sent: bytes, tmp_path: Path) -> None:
    async with running_gateway(tmp_path, MAX_DESCRIPTORS) as gateway:
        async with crowd(gateway.system, gateway.ports.peer, CONNECTIONS, [sent]):
            gateway.check_descriptors(MAX_DESCRIPTORS)
            await gateway.check_ordinary_caller()
        await gateway.check_ordinary_caller(BODY_BYTES)
