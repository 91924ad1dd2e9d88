"""Unfinished messages of peers are counted from their announcement to their end."""

from __future__ import annotations

from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.peer.frames import frame_header
from springmux.node.peer.handshake import HandshakeAuthenticator, encode_handshake
from springmux.node.peer.inbound_connection import MESSAGE_COPIES, InboundConnection
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.memory_budget import STALLED_AFTER_S, MemoryBudget, MemoryClass
from tests.unit.node.client.test_bad_requests import RecordingTransport

MESSAGE_BYTES = 30_000
CAPACITY = 200_000


class FakeSocket:
    def setsockopt(self, *_: object) -> None: ...


class FakeTransport(RecordingTransport):
    def get_extra_info(self, name: str, default: object = None) -> object:
        return FakeSocket() if name == "socket" else default

    def get_write_buffer_size(self) -> int:
        return 0


class Other:
    def yield_memory(self) -> None: ...


class Peer:
    """A peer that has completed the handshake, and a clock that the test moves."""

    def __init__(self) -> None:
        self.now = 100.0
        self.budget = MemoryBudget(CAPACITY, lambda: self.now)
        self.received: list[bytes] = []
        self.transport = FakeTransport()
        self._inbound = InboundConnection(
            HandshakeAuthenticator("fleet", "n1", "boot", None),
            lambda _inbound, _sender, payload: self.received.append(payload),
            lambda _inbound: None,
            EventLog("n1"),
            NodeMetrics(),
            lambda: False,
            self.budget,
            ConnectionLimit(lambda: 1, lambda: self.now),
        )
        self._inbound.connection.connection_made(self.transport)
        challenge = self._inbound._challenge
        assert challenge is not None
        hello = HandshakeAuthenticator("fleet", "n2", "boot", None).hello(challenge, "large")
        self.send(encode_handshake(hello), MESSAGE_BYTES)

    def send(self, payload: bytes, size_bytes: int) -> None:
        """Send the frame of a payload, but no more than its first ``size_bytes``."""
        self.feed((frame_header(len(payload)) + payload)[:size_bytes])

    def feed(self, data: bytes) -> None:
        self._inbound.connection.data_received(data)


async def test_a_message_is_counted_when_it_is_announced_and_released_at_its_end() -> None:
    peer, message = Peer(), b"m" * MESSAGE_BYTES
    peer.send(message, 100)
    assert peer.budget.held_bytes == MESSAGE_COPIES * (MESSAGE_BYTES + 4)
    peer.feed(message[96:])
    assert peer.received == [message] and peer.budget.held_bytes == 0


async def test_a_peer_that_stalls_within_a_message_is_reset_for_another() -> None:
    peer = Peer()
    peer.send(b"m" * MESSAGE_BYTES, 100)
    peer.now += STALLED_AFTER_S
    assert peer.budget.open(Other(), MemoryClass.FLEET).try_hold(CAPACITY // 2 + MESSAGE_BYTES)
    assert peer.transport.closed and peer.budget.held_bytes == CAPACITY // 2 + MESSAGE_BYTES


async def test_a_message_that_begins_after_a_long_pause_has_not_stalled() -> None:
    peer, message = Peer(), b"m" * MESSAGE_BYTES
    peer.send(message, 100)
    peer.feed(message[96:])
    peer.now += 100.0
    peer.send(message, 100)
    assert not peer.budget.open(Other(), MemoryClass.FLEET).try_hold(CAPACITY // 2 + 2 * MESSAGE_BYTES)
    assert not peer.transport.closed


async def test_a_message_without_room_ends_its_connection() -> None:
    peer = Peer()
    assert peer.budget.open(Other(), MemoryClass.FLEET).try_hold(CAPACITY // 2 + 2 * MESSAGE_BYTES)
    peer.send(b"m" * MESSAGE_BYTES, 100)
    assert peer.transport.closed and peer.received == []
