"""The peer transport: handshake, lanes, bounded queues, reconnecting.

Guards against messages from strangers, against connections that hang after a partition or a power failure,
and against one message that blocks or ends a connection.
"""

import asyncio
import io
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest

from springmux.agent.events import PeerReachable, PeerUnreachable
from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import Event, MessageReceived, PeerMessage
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.peer.channel import (
    ATTEMPT_TIMEOUT_S,
    BACKOFF_LIMIT_S,
    IDLE_CLOSE_S,
    MAX_QUEUED_MESSAGES,
    SEND_TIMEOUT_S,
    URGENT_BYTES,
    OutgoingMessage,
    PeerChannel,
    SendQueue,
    connect_timeout_s,
)
from springmux.node.peer.frames import (
    MAX_HANDSHAKE_BYTES,
    MAX_MESSAGE_BYTES,
    FrameConnection,
    FrameReader,
    FrameTooLargeError,
    frame_header,
)
from springmux.node.peer.handshake import (
    Challenge,
    HandshakeAuthenticator,
    Hello,
    Welcome,
    decode_handshake,
    encode_handshake,
)
from springmux.node.peer.link import CONNECT_TIMEOUT_S
from springmux.node.peer.transport import LARGE_MESSAGE_BYTES, PeerTransport
from tests.unit.node.support import TEST_TIMEOUT_S, free_address, until


class TransportProbe(PeerMessage, frozen=True, tag="TransportProbe"):
    """A peer message of these tests."""

    number: int
    payload: bytes = b""


class PlainCodec:
    """Codec without an envelope."""

    def encode(self, message: PeerMessage) -> bytes:
        return msgspec.msgpack.encode(message)

    def decode(self, sender: NodeId, data: bytes) -> list[Event]:
        return [MessageReceived(sender, msgspec.msgpack.decode(data, type=TransportProbe))]


class Peer:
    """One node's transport and what it received."""

    def __init__(
        self, name: str, address: str, members: dict[str, str], fleet: str, secret: str | None
    ) -> None:
        self.events: list[Event] = []
        self.metrics = NodeMetrics()
        self.log_lines = io.StringIO()
        self.partitioned = False
        records = {
            NodeId(node): NodeRecord(
                NodeId(node),
                ZoneName("z"),
                Address(peer_address),
                Address(peer_address),
                Address(peer_address),
            )
            for node, peer_address in members.items()
        }
        view = MembershipView(own=NodeId(name), nodes=records)
        self.transport = PeerTransport(
            PlainCodec(),
            HandshakeAuthenticator(fleet, name, f"boot-{name}", secret),
            lambda: view,
            self.events.append,
            EventLog(name, output=self.log_lines),
            self.metrics,
            random.Random(1),
            partitioned=lambda: self.partitioned,
        )
        self.address = address

    def received(self) -> list[TransportProbe]:
        return [event.message for event in self.events if isinstance(event, MessageReceived)]  # type: ignore[misc]


@asynccontextmanager
async def two_peers(
    secret_a: str | None = None, secret_b: str | None = None, fleet_b: str = "f"
) -> AsyncIterator[tuple[Peer, Peer]]:
    address_a, address_b = free_address(), free_address()
    members = {"a": address_a, "b": address_b}
    a, b = Peer("a", address_a, members, "f", secret_a), Peer("b", address_b, members, fleet_b, secret_b)
    await a.transport.listen(address_a)
    await b.transport.listen(address_b)
    try:
        yield a, b
    finally:
        await a.transport.close()
        await b.transport.close()


async def test_messages_arrive_in_order_with_the_sender_named_in_the_hello() -> None:
    async with two_peers("s", "s") as (a, b):
        for number in range(20):
            a.transport.send(NodeId("b"), TransportProbe(number))
        await until(lambda: len(b.received()) == 20)
        assert [message.number for message in b.received()] == list(range(20))
        assert {event.sender for event in b.events if isinstance(event, MessageReceived)} == {"a"}
        assert PeerReachable(NodeId("b")) in a.events
        assert a.metrics.value("peer_sent_messages_total", "TransportProbe") == 20


async def test_messages_can_be_sent_to_the_address_of_an_unknown_node() -> None:
    async with two_peers() as (a, b):
        a.transport.send_to_address(Address(b.address), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)


async def test_large_messages_use_a_separate_connection() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1, bytes(12 << 20)))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 2)
        assert a.metrics.value("peer_connections") == 2
        assert LARGE_MESSAGE_BYTES < 12 << 20


async def test_peers_with_another_secret_or_fleet_are_rejected() -> None:
    for kwargs in ({"secret_a": "x", "secret_b": "y"}, {"secret_b": "y"}, {"fleet_b": "other"}):
        async with two_peers(**kwargs) as (a, b):  # type: ignore[arg-type]
            a.transport.send(NodeId("b"), TransportProbe(1))
            reason = "fleet" if "fleet_b" in kwargs else "secret"
            await until(lambda b=b, r=reason: b.metrics.value("peer_refused_hellos_total", r) > 0)  # type: ignore[misc]
            assert not b.received()


class FramePeer:
    """A client that sends and receives single frames."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    def send(self, payload: bytes) -> None:
        self._writer.write(len(payload).to_bytes(4, "big") + payload)

    def send_raw(self, data: bytes) -> None:
        self._writer.write(data)

    async def receive(self) -> bytes | None:
        """Return the payload of the next frame, or ``None`` at the end of the connection."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                size = int.from_bytes(await self._reader.readexactly(4), "big")
                return await self._reader.readexactly(size)
            except (asyncio.IncompleteReadError, ConnectionError):
                return None

    async def challenge(self) -> Challenge:
        frame = await self.receive()
        assert frame is not None
        challenge = decode_handshake(frame)
        assert isinstance(challenge, Challenge)
        return challenge

    async def perform_handshake(self, authenticator: HandshakeAuthenticator) -> None:
        self.send(encode_handshake(authenticator.hello(await self.challenge(), "small")))
        assert await self.receive() is not None


@asynccontextmanager
async def frame_peer(address: str) -> AsyncIterator[FramePeer]:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield FramePeer(reader, writer)
    finally:
        writer.close()


async def test_a_replayed_hello_is_rejected() -> None:
    async with two_peers("s", "s") as (_, b):
        authenticator = HandshakeAuthenticator("f", "a", "boot", "s")

        async def attempt(recorded: Hello | None) -> tuple[Hello, bytes | None]:
            async with frame_peer(b.address) as peer:
                hello = recorded or authenticator.hello(await peer.challenge(), "small")
                if recorded is not None:
                    await peer.challenge()
                peer.send(encode_handshake(hello))
                return hello, await peer.receive()

        recorded, first = await attempt(None)
        _, second = await attempt(recorded)
        assert first is not None
        assert isinstance(decode_handshake(first), Welcome)
        assert second is None
        assert b.metrics.value("peer_refused_hellos_total", "secret") == 1


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        (frame_header(3) + b"\xc1\xc1\xc1", "malformed"),
        (frame_header(0), "malformed"),
        (b"GET / HTTP/1.1\r\n\r\n", "closed"),
        (frame_header(MAX_HANDSHAKE_BYTES + 1), "closed"),
    ],
)
async def test_invalid_bytes_in_place_of_a_hello_end_the_connection(sent: bytes, reason: str) -> None:
    async with two_peers() as (_, b), frame_peer(b.address) as peer:
        await peer.challenge()
        peer.send_raw(sent)
        assert await peer.receive() is None
        await until(lambda: b.metrics.value("peer_refused_hellos_total", reason) == 1)
        assert b.log_lines.getvalue().count('"event": "peer_refused"') == 1
        assert not b.events


async def test_messages_before_the_hello_are_rejected() -> None:
    async with two_peers() as (_, b), frame_peer(b.address) as peer:
        await peer.challenge()
        peer.send(msgspec.msgpack.encode(TransportProbe(1)))
        assert await peer.receive() is None
        assert not b.received()


async def test_frames_that_arrive_in_small_segments_are_reassembled() -> None:
    async with two_peers() as (_, b), frame_peer(b.address) as peer:
        await peer.perform_handshake(HandshakeAuthenticator("f", "a", "boot", None))
        data = msgspec.msgpack.encode(TransportProbe(1, b"filling"))
        stream = (frame_header(len(data)) + data) * 3
        for offset in range(0, len(stream), 3):
            peer.send_raw(stream[offset : offset + 3])
            await asyncio.sleep(0)
        await until(lambda: len(b.received()) == 3)


async def test_a_frame_header_over_the_limit_ends_the_connection() -> None:
    async with two_peers() as (_, b), frame_peer(b.address) as peer:
        await peer.perform_handshake(HandshakeAuthenticator("f", "a", "boot", None))
        peer.send_raw(frame_header(MAX_MESSAGE_BYTES + 1))
        assert await peer.receive() is None


async def test_a_message_over_the_limit_is_dropped_without_closing_the_connection() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1, bytes(MAX_MESSAGE_BYTES)))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 1)
        assert a.metrics.value("peer_dropped_messages_total", "too_large") == 1


async def test_an_injected_partition_drops_messages_in_both_directions_until_it_ends() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)
        b.partitioned = True
        a.transport.send(NodeId("b"), TransportProbe(2))
        b.transport.send(NodeId("a"), TransportProbe(3))
        await until(lambda: b.metrics.value("peer_dropped_messages_total", "injected_cut") == 2)
        b.partitioned = False
        a.transport.send(NodeId("b"), TransportProbe(4))
        await until(lambda: len(b.received()) == 2)
        assert [message.number for message in b.received()] == [1, 4]
        assert not a.received()


async def test_a_handshake_begun_during_an_injected_partition_completes_after_it() -> None:
    async with two_peers() as (_, b):
        b.partitioned = True
        async with frame_peer(b.address) as peer:
            await until(lambda: len(b.transport._inbound_connections) == 1)
            b.partitioned = False
            await peer.perform_handshake(HandshakeAuthenticator("f", "a", "boot", None))


async def test_peer_connections_use_socket_options_that_detect_dead_machines() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)
        (channel,) = a.transport._channels.values()
        (inbound,) = b.transport._inbound_connections
        assert channel._connection is not None
        for connection in (channel._connection, inbound.connection):
            assert connection._transport is not None
            connected = connection._transport.get_extra_info("socket")
            level = socket.IPPROTO_TCP
            assert connected.getsockopt(level, socket.TCP_NODELAY) == 1
            assert connected.getsockopt(level, socket.TCP_USER_TIMEOUT) == 3000
            assert connected.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            assert connected.getsockopt(level, socket.TCP_KEEPIDLE) == 1
            assert connected.getsockopt(level, socket.TCP_KEEPINTVL) == 1
            assert connected.getsockopt(level, socket.TCP_KEEPCNT) == 2


def test_connect_attempts_are_frequent_enough_to_detect_the_end_of_a_partition() -> None:
    assert CONNECT_TIMEOUT_S <= 0.5
    assert BACKOFF_LIMIT_S <= 0.5
    assert ATTEMPT_TIMEOUT_S <= 1.0


async def test_messages_of_one_loop_iteration_are_sent_in_one_write(monkeypatch: pytest.MonkeyPatch) -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(0))
        await until(lambda: len(b.received()) == 1)
        (channel,) = a.transport._channels.values()
        connection = channel._connection
        assert connection is not None
        assert connection._transport is not None
        writes: list[bytes] = []
        write = connection._transport.write
        monkeypatch.setattr(connection._transport, "write", lambda data: (writes.append(data), write(data)))
        for number in range(1, 21):
            a.transport.send(NodeId("b"), TransportProbe(number))
        await until(lambda: len(b.received()) == 21)
        assert [message.number for message in b.received()] == list(range(21))
        assert len(writes) == 1


async def silent_server() -> tuple[asyncio.Server, str]:
    """Start a server that accepts connections but never reads or writes."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def test_an_attempt_at_a_silent_peer_times_out_and_drops_the_queue() -> None:
    server, address = await silent_server()
    a = Peer("a", "", {"b": address}, "f", None)
    a.transport.send(NodeId("b"), TransportProbe(1))
    await until(lambda: a.metrics.value("peer_dropped_messages_total", "queue_full") == 1)
    assert '"event": "peer_unreachable"' in a.log_lines.getvalue()
    assert a.metrics.value("peer_connections") == 0
    await a.transport.close()
    server.close()


async def connected_channel(a: Peer, b: Peer) -> PeerChannel:
    a.transport.send(NodeId("b"), TransportProbe(1))
    await until(lambda: len(b.received()) == 1)
    (channel,) = a.transport._channels.values()
    return channel


async def test_an_idle_connection_is_closed_silently_and_reopened_on_demand() -> None:
    async with two_peers() as (a, b):
        channel = await connected_channel(a, b)
        now = asyncio.get_running_loop().time()
        channel.check(now + IDLE_CLOSE_S - 1)
        assert channel._connection is not None
        channel.check(now + IDLE_CLOSE_S + 1)
        a.transport.send(NodeId("b"), TransportProbe(2))  # while the connection closes
        await until(lambda: len(b.received()) == 2)
        assert PeerUnreachable(NodeId("b")) not in a.events
        assert a.events.count(PeerReachable(NodeId("b"))) == 2


async def test_a_connection_without_send_progress_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    async with two_peers() as (a, b):
        channel = await connected_channel(a, b)
        connection = channel._connection
        assert connection is not None
        unsent = 100
        monkeypatch.setattr(type(connection), "unsent_bytes", property(lambda _: unsent))
        now = asyncio.get_running_loop().time()
        channel.check(now)
        unsent = 90  # progress, however slow, keeps the connection
        channel.check(now + SEND_TIMEOUT_S)
        channel.check(now + 2 * SEND_TIMEOUT_S - 1)
        await asyncio.sleep(0)
        assert channel._connection is connection
        channel.check(now + 2 * SEND_TIMEOUT_S)
        await until(lambda: PeerUnreachable(NodeId("b")) in a.events)


async def test_an_unacknowledged_connection_is_replaced_once_a_second_is_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with two_peers() as (a, b):
        channel = await connected_channel(a, b)
        first = channel._connection
        monkeypatch.setattr(
            FrameConnection, "unacknowledged", property(lambda connection: connection is first)
        )
        channel.check(asyncio.get_running_loop().time())
        await until(lambda: channel._connection not in (first, None))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 2)
        await until(lambda: len(b.transport._inbound_connections) == 1)
        assert a.metrics.value("peer_connections") == 1
        assert PeerUnreachable(NodeId("b")) not in a.events


async def test_an_unacknowledged_connection_is_kept_if_no_second_can_be_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with two_peers() as (a, b):
        channel = await connected_channel(a, b)
        first = channel._connection
        assert b.transport._server is not None
        b.transport._server.close()
        monkeypatch.setattr(FrameConnection, "unacknowledged", True)
        channel.check(asyncio.get_running_loop().time())
        assert channel._replacing is not None
        await channel._replacing
        assert channel._connection is first
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 2)


async def test_a_connection_that_is_acknowledged_again_is_not_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with two_peers() as (a, b):
        channel = await connected_channel(a, b)
        first = channel._connection
        monkeypatch.setattr(FrameConnection, "unacknowledged", True)
        channel.check(asyncio.get_running_loop().time())
        monkeypatch.setattr(FrameConnection, "unacknowledged", False)
        assert channel._replacing is not None
        await channel._replacing
        assert channel._connection is first
        await until(lambda: len(b.transport._inbound_connections) == 1)


async def test_a_connection_whose_accepting_side_sends_after_the_welcome_is_aborted() -> None:
    authenticator = HandshakeAuthenticator("f", "b", "boot", None)

    async def serve_then_send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = FramePeer(reader, writer)
        challenge = authenticator.challenge()
        peer.send(encode_handshake(challenge))
        frame = await peer.receive()
        assert frame is not None
        hello = decode_handshake(frame)
        assert isinstance(hello, Hello)
        peer.send(encode_handshake(authenticator.welcome(challenge, hello)))
        peer.send(b"more")
        while await peer.receive() is not None:
            pass
        writer.close()

    server = await asyncio.start_server(serve_then_send, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    a = Peer("a", "", {"b": address}, "f", None)
    a.transport.send(NodeId("b"), TransportProbe(1))
    await until(lambda: PeerUnreachable(NodeId("b")) in a.events)
    await a.transport.close()
    server.close()


def test_a_reader_splits_a_stream_into_the_same_frames_for_every_chunk_size() -> None:
    payloads = [b"", b"a", bytes(300), b"last"]
    stream = b"".join(frame_header(len(payload)) + payload for payload in payloads)
    for step in (1, 2, 3, 5, 7, 150, len(stream)):
        reader, found = FrameReader(300), []
        for offset in range(0, len(stream), step):
            reader.feed(stream[offset : offset + step])
            while (payload := reader.next_payload()) is not None:
                found.append(payload)
        assert found == payloads


def test_a_reader_rejects_a_frame_over_its_limit_from_the_header() -> None:
    reader = FrameReader(3)
    reader.feed(frame_header(3) + b"abc" + frame_header(4))
    assert reader.next_payload() == b"abc"
    with pytest.raises(FrameTooLargeError):
        reader.next_payload()


async def test_a_restarted_peer_is_reached_again() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)
        await b.transport.close()
        await until(lambda: PeerUnreachable(NodeId("b")) in a.events)
        restarted = Peer("b", b.address, {"a": a.address, "b": b.address}, "f", None)
        await restarted.transport.listen(b.address)

        def sent_message_arrived() -> bool:
            a.transport.send(NodeId("b"), TransportProbe(2))
            return bool(restarted.received())

        await until(sent_message_arrived)
        await restarted.transport.close()


async def test_an_undecodable_message_is_dropped_without_closing_the_connection() -> None:
    async with two_peers() as (a, b):

        class UnknownMessage(PeerMessage, frozen=True, tag="UnknownMessage"):
            number: int

        a.transport.send(NodeId("b"), UnknownMessage(1))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 1)
        assert b.metrics.value("peer_dropped_messages_total", "undecodable") == 1


async def test_a_message_that_cannot_be_encoded_is_dropped_and_counted() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1 << 70))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 1)
        assert a.metrics.value("peer_dropped_messages_total", "unencodable") == 1


async def test_a_peer_with_the_own_node_name_is_rejected() -> None:
    async with two_peers() as (a, _):
        twin = Peer("a", "", {"x": a.address}, "f", None)
        twin.transport.send(NodeId("x"), TransportProbe(1))
        await until(lambda: a.metrics.value("peer_refused_hellos_total", "own_name") > 0)
        assert not a.received()
        await twin.transport.close()


async def test_messages_to_unknown_nodes_are_dropped_and_counted() -> None:
    async with two_peers() as (a, _):
        a.transport.send(NodeId("nobody"), TransportProbe(1))
        assert a.metrics.value("peer_dropped_messages_total", "unknown_node") == 1


def test_a_full_queue_drops_the_oldest_large_message_before_urgent_ones() -> None:
    dropped: list[int] = []
    queue = SendQueue(lambda: dropped.append(1))
    queue.put(OutgoingMessage("urgent", b"0"))
    queue.put(OutgoingMessage("large", bytes(URGENT_BYTES + 1)))
    for _ in range(MAX_QUEUED_MESSAGES - 2):
        queue.put(OutgoingMessage("filler", b"1"))
    assert not dropped
    queue.put(OutgoingMessage("newer", b"2"))
    assert len(dropped) == 1
    first = queue.pop()
    assert first.name == "urgent"
    names = [queue.pop().name for _ in range(len(queue))]
    assert "large" not in names
    assert names[-1] == "newer"


def test_a_queue_full_of_urgent_messages_drops_the_oldest() -> None:
    queue = SendQueue(lambda: None)
    for number in range(MAX_QUEUED_MESSAGES + 1):
        queue.put(OutgoingMessage(str(number), b"0"))
    assert queue.pop().name == "1"


def test_first_connect_timeouts_are_shorter_than_tcps_retransmission() -> None:
    """A SYN to a machine that is starting, as after a power failure, is lost. TCP repeats it after 1 s."""
    assert [connect_timeout_s(failures) for failures in range(5)] == [0.15, 0.3, 0.5, 0.5, 0.5]
