"""Transport of peer messages: length-prefixed frames over TCP, in one direction per connection.

A node sends over the connections that it opened and receives over those that other nodes opened. Large
messages use a separate connection, so that a 12 MiB configuration does not delay heartbeats.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from springmux.agent.events import PeerReachable, PeerUnreachable
from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event, LogLevel, MessageReceived, PeerMessage, message_name
from springmux.node.addresses import split_address
from springmux.node.http.sockets import accept_gradually
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.peer.channel import OutgoingMessage, PeerChannel
from springmux.node.peer.frames import MAX_MESSAGE_BYTES
from springmux.node.peer.handshake import HandshakeAuthenticator
from springmux.node.peer.inbound_connection import InboundConnection
from springmux.node.peer.unknown_peers import UnknownPeerLog
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.process_resources import ProcessResources

LARGE_MESSAGE_BYTES = 64 << 10
"""Messages of at least this size (about one socket buffer) use the connection for large messages."""
CHECK_PERIOD_S = 0.25
"""Period at which all connections are checked. A timer per message would cost more."""
BACKLOG = 1024
"""Listen backlog: all nodes of a fleet may connect at the same time, each with two connections."""
MAX_CHANNELS = 2048
"""Number of channels from which idle ones are dropped, to bound those to addresses of departed nodes."""


_ChannelKey = tuple[Address, str]
"""Address and lane of a channel."""


class Codec(Protocol):
    """Encodes and decodes peer messages in this node's envelope."""

    def encode(self, message: PeerMessage) -> bytes:
        """Return the encoded message, with this node's current term and revision in its envelope.

        :raises OverflowError, UnicodeError: if a value in the message can't be encoded.
        """

    def decode(self, sender: NodeId, data: bytes) -> list[Event]:
        """Return the events of the message in ``data``.

        :raises ValueError: if ``data`` can't be decoded as a peer message.
        """


class PeerTransport:
    """Sends and receives peer messages. ``membership`` maps node names to addresses.

    While ``partitioned()`` returns true (fault injection), messages are dropped in both directions.
    """

    def __init__(
        self,
        codec: Codec,
        authenticator: HandshakeAuthenticator,
        membership: Callable[[], MembershipView],
        deliver: Callable[[Event], None],
        log: EventLog,
        metrics: NodeMetrics,
        randomness: random.Random,
        resources: ProcessResources | None = None,
        partitioned: Callable[[], bool] = lambda: False,
    ) -> None:
        self._codec = codec
        self._authenticator = authenticator
        self._membership = membership
        self._deliver = deliver
        self._log = log
        self._metrics = metrics
        self._random = randomness
        self._partitioned = partitioned
        resources = resources or ProcessResources()
        max_inbound = resources.connections.peers
        self._memory = resources.memory
        self._inbound_limit = ConnectionLimit(lambda: max_inbound, asyncio.get_running_loop().time)
        self._unknown = UnknownPeerLog(log)
        self._channels: dict[_ChannelKey, PeerChannel] = {}
        self._server: asyncio.Server | None = None
        self._inbound_connections: set[InboundConnection] = set()
        self._check_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Accept peers at ``address``.

        :raises OSError: if the address can't be bound.
        """
        host, port = split_address(address)
        self._server = await accept_gradually(self._accept, host, port, BACKLOG)

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        if self._server is not None:
            self._server.close()
        for inbound in list(self._inbound_connections):
            inbound.close()
        await asyncio.gather(*(channel.close() for channel in self._channels.values()))
        if self._server is not None:
            await self._server.wait_closed()
        await asyncio.sleep(0)  # lets the connections run their last callbacks

    def send(self, to: NodeId, message: PeerMessage) -> None:
        """Queue a message for a node. If its address is unknown, the message is dropped and counted."""
        record = self._membership().nodes.get(to)
        if record is None:
            self._metrics.count("peer_dropped_messages_total", "unknown_node")
            self._unknown.dropped(to, message_name(type(message)), asyncio.get_running_loop().time())
            return
        self.send_to_address(record.peer_address, message)

    def send_to_address(self, address: Address, message: PeerMessage) -> None:
        """Queue a message for the node that listens at ``address``."""
        if self._partitioned():
            self._metrics.count("peer_dropped_messages_total", "injected_cut")
            return
        try:
            data = self._codec.encode(message)
        except (OverflowError, UnicodeError) as error:
            # The value may originate from a peer, so it must not end this node.
            self._metrics.count("peer_dropped_messages_total", "unencodable")
            name = message_name(type(message))
            self._log.write("peer_message_unencodable", LogLevel.ERROR, message=name, error=str(error))
            return
        if len(data) > MAX_MESSAGE_BYTES:
            self._metrics.count("peer_dropped_messages_total", "too_large")
            return
        lane = "large" if len(data) >= LARGE_MESSAGE_BYTES else "small"
        self._channel(address, lane).send(OutgoingMessage(message_name(type(message)), data))

    def _channel(self, address: Address, lane: str) -> PeerChannel:
        key = (address, lane)
        channel = self._channels.get(key)
        if channel is not None:
            return channel
        if len(self._channels) >= MAX_CHANNELS:
            self._drop_idle()
        channel = PeerChannel(
            address,
            lane,
            self._authenticator,
            self._log,
            self._metrics,
            self._random,
            on_connected=lambda node: self._deliver(PeerReachable(node=NodeId(node))),
            on_lost=lambda node: self._lost(address, node),
        )
        self._channels[key] = channel
        if self._check_timer is None:
            self._check_channels()
        return channel

    def _check_channels(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for channel in self._channels.values():
            channel.check(now)
        self._check_timer = loop.call_later(CHECK_PERIOD_S, self._check_channels)

    def _drop_idle(self) -> None:
        for key, channel in list(self._channels.items()):
            if not channel.active:
                del self._channels[key]

    def _lost(self, address: Address, node: str) -> None:
        record = self._membership().nodes.get(NodeId(node))
        if record is not None and record.peer_address == address:
            self._deliver(PeerUnreachable(node=NodeId(node)))

    def _accept(self) -> asyncio.Protocol:
        inbound = InboundConnection(
            self._authenticator,
            self._receive,
            self._inbound_connections.discard,
            self._log,
            self._metrics,
            self._partitioned,
            self._memory,
            self._inbound_limit,
        )
        self._inbound_connections.add(inbound)
        return inbound.connection

    def _receive(self, inbound: InboundConnection, sender: NodeId, data: bytes) -> None:
        try:
            events = self._codec.decode(sender, data)
        except (ValueError, RecursionError) as error:
            self._metrics.count("peer_dropped_messages_total", "undecodable")
            # One line per connection, because a peer of a newer version sends many such messages.
            if not inbound.undecodable_logged:
                inbound.undecodable_logged = True
                self._log.write("peer_message_undecodable", LogLevel.WARNING, sender=sender, error=str(error))
            return
        for event in events:
            self._count_received(event, len(data))
            self._deliver(event)

    def _count_received(self, event: Event, size_bytes: int) -> None:
        if isinstance(event, MessageReceived):
            name = message_name(type(event.message))
            self._metrics.count("peer_received_messages_total", name)
            self._metrics.count("peer_received_bytes_total", name, amount=size_bytes)
