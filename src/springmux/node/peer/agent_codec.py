"""Encode peer messages in this node's envelope and decode them (:mod:`springmux.agent.wire`)."""

from __future__ import annotations

from typing import Protocol

import msgspec

from springmux.agent import wire
from springmux.agent.events import LeaderObserved
from springmux.agent.log_position import LogPosition
from springmux.control.delivery.events import PeerRevisionObserved
from springmux.coordination.identifiers import NodeId, Revision
from springmux.coordination.state_machine import Event, MessageReceived, PeerMessage


class LogFollower(Protocol):
    """Interface to the agent: the log position that is sent in each envelope."""

    @property
    def log_position(self) -> LogPosition:
        """The node's position in the control log."""


class AgentCodec:
    """Codec of one node's peer transport. Remembers the last revision that each peer reported."""

    def __init__(self, agent: LogFollower) -> None:
        self._agent = agent
        self._reported: dict[NodeId, Revision] = {}

    def encode(self, message: PeerMessage) -> bytes:
        """Return the encoded message, with this node's current log position in its envelope."""
        position = self._agent.log_position
        return wire.encode(position.term, position.leader, position.revision, message)

    def decode(self, sender: NodeId, data: bytes) -> list[Event]:
        """Return the message's event, preceded by events about changes in its sender's log position.

        :raises ValueError: if ``data`` can't be decoded as a peer message.
        """
        try:
            envelope = wire.decode(data)
        except msgspec.DecodeError as error:
            raise ValueError(str(error)) from None
        position = self._agent.log_position
        events: list[Event] = []
        if envelope.leader and (envelope.term > position.term or position.leader is None):
            events.append(LeaderObserved(envelope.term, envelope.leader))
        # Every message from a peer that is ahead is reported, because the fetch from it may have been lost.
        if envelope.revision > position.revision or self._reported.get(sender) != envelope.revision:
            self._reported[sender] = envelope.revision
            events.append(PeerRevisionObserved(sender, envelope.term, envelope.revision))
        events.append(MessageReceived(sender, envelope.message))
        return events
