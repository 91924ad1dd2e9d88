"""The peers' channel: hello, secrets, lanes, bounded queues, reconnecting."""

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
from tests.unit.node.support import LONG_S, free_address, until


class TransportProbe(PeerMessage, frozen=True, tag="TransportProbe"):
    """Message of these tests."""

    number: int
    filling: bytes = b""


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
        self.cut = False
        records = {
            NodeId(node): NodeRecord(
                NodeId(node), ZoneName("z"), Address(place), Address(place), Address(place)
            )
            for node, place in members.items()
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
            partitioned=lambda: self.cut,
        )
        self.address = address

    def received(self) -> list[TransportProbe]:
        return [event.message for event in self.events if isinstance(event, MessageReceived)]  # type: ignore[misc]


@asynccontextmanager
async def two_peers(
    secret_a: str | None = None, secret_b: str | None = None, fleet_b: str = "f"
) -> AsyncIterator[tuple[Peer, Peer]]:
    place_a, place_b = free_address(), free_address()
    members = {"a": place_a, "b": place_b}
    a, b = Peer("a", place_a, members, "f", secret_a), Peer("b", place_b, members, fleet_b, secret_b)
    await a.transport.listen(place_a)
    await b.transport.listen(place_b)
    try:
        yield a, b
    finally:
        await a.transport.close()
        await b.transport.close()


async def test_messages_arrive_in_order_with_the_sender_of_the_hello() -> None:
    async with two_peers("s", "s") as (a, b):
        for number in range(20):
            a.transport.send(NodeId("b"), TransportProbe(number))
        await until(lambda: len(b.received()) == 20)
        assert [message.number for message in b.received()] == list(range(20))
        assert {event.sender for event in b.events if isinstance(event, MessageReceived)} == {"a"}
        assert PeerReachable(NodeId("b")) in a.events
        assert a.metrics.value("peer_sent_messages_total", "TransportProbe") == 20


async def test_an_address_without_a_known_node_gets_messages_too() -> None:
    async with two_peers() as (a, b):
        a.transport.send_to_address(Address(b.address), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)


async def test_large_messages_use_a_connection_of_their_own() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1, bytes(12 << 20)))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 2)
        assert a.metrics.value("peer_connections") == 2
        assert LARGE_MESSAGE_BYTES < 12 << 20


async def test_another_secret_or_fleet_is_refused_by_both_sides() -> None:
    for kwargs in ({"secret_a": "x", "secret_b": "y"}, {"secret_b": "y"}, {"fleet_b": "other"}):
        async with two_peers(**kwargs) as (a, b):  # type: ignore[arg-type]
            a.transport.send(NodeId("b"), TransportProbe(1))
            reason = "fleet" if "fleet_b" in kwargs else "secret"
            await until(lambda b=b, r=reason: b.metrics.value("peer_refused_hellos_total", r) > 0)  # type: ignore[misc]
            assert not b.received()


class RawPeer:
    """A connection that speaks frames by hand."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    def send(self, payload: bytes) -> None:
        self._writer.write(len(payload).to_bytes(4, "big") + payload)

    def send_raw(self, data: bytes) -> None:
        self._writer.write(data)

    async def receive(self) -> bytes | None:
        """Return the next frame, or nothing after the end of the connection."""
        async with asyncio.timeout(LONG_S):
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

    async def greet(self, authenticator: HandshakeAuthenticator) -> None:
        self.send(encode_handshake(authenticator.hello(await self.challenge(), "small")))
        assert await self.receive() is not None


@asynccontextmanager
async def raw_peer(address: str) -> AsyncIterator[RawPeer]:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield RawPeer(reader, writer)
    finally:
        writer.close()


async def test_a_hello_heard_before_proves_nothing_later() -> None:
    async with two_peers("s", "s") as (_, b):
        authenticator = HandshakeAuthenticator("f", "a", "boot", "s")

        async def attempt(recorded: Hello | None) -> tuple[Hello, bytes | None]:
            async with raw_peer(b.address) as peer:
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
async def test_what_is_no_hello_ends_the_connection(sent: bytes, reason: str) -> None:
    async with two_peers() as (_, b), raw_peer(b.address) as peer:
        await peer.challenge()
        peer.send_raw(sent)
        assert await peer.receive() is None
        await until(lambda: b.metrics.value("peer_refused_hellos_total", reason) == 1)
        assert b.log_lines.getvalue().count('"event": "peer_refused"') == 1
        assert not b.events


async def test_messages_before_the_hello_are_not_taken() -> None:
    async with two_peers() as (_, b), raw_peer(b.address) as peer:
        await peer.challenge()
        peer.send(msgspec.msgpack.encode(TransportProbe(1)))
        assert await peer.receive() is None
        assert not b.received()


async def test_frames_arrive_whole_however_the_network_cuts_them() -> None:
    async with two_peers() as (_, b), raw_peer(b.address) as peer:
        await peer.greet(HandshakeAuthenticator("f", "a", "boot", None))
        data = msgspec.msgpack.encode(TransportProbe(1, b"filling"))
        stream = (frame_header(len(data)) + data) * 3
        for place in range(0, len(stream), 3):
            peer.send_raw(stream[place : place + 3])
            await asyncio.sleep(0)
        await until(lambda: len(b.received()) == 3)


async def test_a_frame_over_the_limit_ends_the_connection_unread() -> None:
    async with two_peers() as (_, b), raw_peer(b.address) as peer:
        await peer.greet(HandshakeAuthenticator("f", "a", "boot", None))
        peer.send_raw(frame_header(MAX_MESSAGE_BYTES + 1))
        assert await peer.receive() is None


async def test_a_message_over_the_limit_is_dropped_and_does_not_cost_the_connection() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1, bytes(MAX_MESSAGE_BYTES)))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 1)
        assert a.metrics.value("peer_dropped_messages_total", "too_large") == 1


async def test_an_injected_cut_drops_messages_both_ways_and_contact_returns_after_it() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)
        b.cut = True
        a.transport.send(NodeId("b"), TransportProbe(2))
        b.transport.send(NodeId("a"), TransportProbe(3))
        await until(lambda: b.metrics.value("peer_dropped_messages_total", "injected_cut") == 2)
        b.cut = False
        a.transport.send(NodeId("b"), TransportProbe(4))
        await until(lambda: len(b.received()) == 2)
        assert [message.number for message in b.received()] == [1, 4]
        assert not a.received()


async def test_a_connection_made_during_a_cut_goes_on_after_it() -> None:
    async with two_peers() as (_, b):
        b.cut = True
        async with raw_peer(b.address) as peer:
            await until(lambda: len(b.transport._inbound_connections) == 1)
            b.cut = False
            await peer.greet(HandshakeAuthenticator("f", "a", "boot", None))


async def test_peer_connections_find_dead_machines_by_themselves() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)
        (channel,) = a.transport._channels.values()
        (inbound,) = b.transport._inbound_connections
        assert channel._connection is not None
        for connection in (channel._connection, inbound.connection):
            assert connection._transport is not None
            ends = connection._transport.get_extra_info("socket")
            level = socket.IPPROTO_TCP
            assert ends.getsockopt(level, socket.TCP_NODELAY) == 1
            assert ends.getsockopt(level, socket.TCP_USER_TIMEOUT) == 3000
            assert ends.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            assert ends.getsockopt(level, socket.TCP_KEEPIDLE) == 1
            assert ends.getsockopt(level, socket.TCP_KEEPINTVL) == 1
            assert ends.getsockopt(level, socket.TCP_KEEPCNT) == 2


def test_attempts_follow_each_other_closely_enough_to_find_the_end_of_a_cut() -> None:
    assert CONNECT_TIMEOUT_S <= 0.5
    assert BACKOFF_LIMIT_S <= 0.5
    assert ATTEMPT_TIMEOUT_S <= 1.0


async def test_messages_of_one_turn_go_out_in_one_write(monkeypatch: pytest.MonkeyPatch) -> None:
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
    """Accept connections, and never read or write."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def test_an_attempt_at_a_silent_peer_is_given_up_and_what_waited_dropped() -> None:
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


async def test_an_idle_connection_is_closed_without_a_report_and_made_again_on_demand() -> None:
    async with two_peers() as (a, b):
        channel = await connected_channel(a, b)
        now = asyncio.get_running_loop().time()
        channel.check(now + IDLE_CLOSE_S - 1)
        assert channel._connection is not None
        channel.check(now + IDLE_CLOSE_S + 1)
        a.transport.send(NodeId("b"), TransportProbe(2))  # while it closes
        await until(lambda: len(b.received()) == 2)
        assert PeerUnreachable(NodeId("b")) not in a.events
        assert a.events.count(PeerReachable(NodeId("b"))) == 2


async def test_a_connection_that_takes_nothing_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async with two_peers() as (a, b):
        channel = await connected_channel(a, b)
        connection = channel._connection
        assert connection is not None
        unsent = 100
        monkeypatch.setattr(type(connection), "unsent_bytes", property(lambda _: unsent))
        now = asyncio.get_running_loop().time()
        channel.check(now)
        unsent = 90  # progress, however slow, is no reason to begin anew
        channel.check(now + SEND_TIMEOUT_S)
        channel.check(now + 2 * SEND_TIMEOUT_S - 1)
        await asyncio.sleep(0)
        assert channel._connection is connection
        channel.check(now + 2 * SEND_TIMEOUT_S)
        await until(lambda: PeerUnreachable(NodeId("b")) in a.events)


async def test_a_connection_that_nobody_answers_is_replaced_once_a_second_one_gets_through(
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


async def test_a_connection_that_nobody_answers_is_kept_while_no_second_one_gets_through(
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


async def test_a_second_connection_is_not_needed_once_the_first_is_answered_again(
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


async def test_a_peer_that_speaks_after_its_welcome_is_dropped() -> None:
    authenticator = HandshakeAuthenticator("f", "b", "boot", None)

    async def talkative(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = RawPeer(reader, writer)
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

    server = await asyncio.start_server(talkative, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    a = Peer("a", "", {"b": address}, "f", None)
    a.transport.send(NodeId("b"), TransportProbe(1))
    await until(lambda: PeerUnreachable(NodeId("b")) in a.events)
    await a.transport.close()
    server.close()


def test_a_reader_cuts_a_stream_at_every_place_into_the_same_frames() -> None:
    payloads = [b"", b"a", bytes(300), b"last"]
    stream = b"".join(frame_header(len(payload)) + payload for payload in payloads)
    for step in (1, 2, 3, 5, 7, 150, len(stream)):
        reader, found = FrameReader(300), []
        for place in range(0, len(stream), step):
            reader.feed(stream[place : place + step])
            while (payload := reader.next_payload()) is not None:
                found.append(payload)
        assert found == payloads


def test_a_reader_refuses_a_frame_over_its_limit_by_the_header_alone() -> None:
    reader = FrameReader(3)
    reader.feed(frame_header(3) + b"abc" + frame_header(4))
    assert reader.next_payload() == b"abc"
    with pytest.raises(FrameTooLargeError):
        reader.next_payload()


async def test_a_peer_that_comes_back_is_reached_again() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1))
        await until(lambda: len(b.received()) == 1)
        await b.transport.close()
        await until(lambda: PeerUnreachable(NodeId("b")) in a.events)
        again = Peer("b", b.address, {"a": a.address, "b": b.address}, "f", None)
        await again.transport.listen(b.address)

        def send_until_heard() -> bool:
            a.transport.send(NodeId("b"), TransportProbe(2))
            return bool(again.received())

        await until(send_until_heard)
        await again.transport.close()


async def test_an_undecodable_message_is_dropped_and_the_connection_goes_on() -> None:
    async with two_peers() as (a, b):

        class Strange(PeerMessage, frozen=True, tag="Strange"):
            number: int

        a.transport.send(NodeId("b"), Strange(1))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 1)
        assert b.metrics.value("peer_dropped_messages_total", "undecodable") == 1


async def test_what_has_no_form_on_the_wire_is_dropped_and_counted() -> None:
    async with two_peers() as (a, b):
        a.transport.send(NodeId("b"), TransportProbe(1 << 70))
        a.transport.send(NodeId("b"), TransportProbe(2))
        await until(lambda: len(b.received()) == 1)
        assert a.metrics.value("peer_dropped_messages_total", "unencodable") == 1


async def test_another_node_under_the_own_name_is_refused() -> None:
    async with two_peers() as (a, _):
        twin = Peer("a", "", {"x": a.address}, "f", None)
        twin.transport.send(NodeId("x"), TransportProbe(1))
        await until(lambda: a.metrics.value("peer_refused_hellos_total", "own_name") > 0)
        assert not a.received()
        await twin.transport.close()


async def test_messages_for_unknown_nodes_are_counted() -> None:
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


def test_a_first_connection_is_tried_again_sooner_than_tcp_would() -> None:
    """What reaches a machine before it is up, as after a loss of power, is lost: TCP repeats it after 1 s."""
    assert [connect_timeout_s(failures) for failures in range(5)] == [0.15, 0.3, 0.5, 0.5, 0.5]
