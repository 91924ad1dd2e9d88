"""Puts peer messages into this node's envelope and takes them out (:mod:`springmux.agent.wire`)."""

from __future__ import annotations

from typing import Protocol

import msgspec

from springmux.agent import wire
from springmux.agent.events import LeaderObserved
from springmux.control.delivery.events import PeerRevisionObserved
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.state_machine import Event, MessageReceived, PeerMessage


class Placed(Protocol):
    """What the envelope needs of the agent."""

    @property
    def place(self) -> tuple[Term, NodeId | None, Revision]:
        """Newest term, its leader, and the state revision."""


class AgentCodec:
    """Codec of one node's transport."""

    def __init__(self, agent: Placed) -> None:
        self._agent = agent
        self._told: dict[NodeId, Revision] = {}

    def encode(self, message: PeerMessage) -> bytes:
        """Return the wire bytes, with this node's present place."""
        term, leader, revision = self._agent.place
        return wire.encode(term, leader, revision, message)

    def decode(self, sender: NodeId, data: bytes) -> list[Event]:
        """Return what the bytes mean; before the message, what is news of its sender's place.

        :raises ValueError: if they are no message of this fleet.
        """
        try:
            envelope = wire.decode(data)
        except msgspec.DecodeError as error:
            raise ValueError(str(error)) from None
        term, leader, revision = self._agent.place
        events: list[Event] = []
        if envelope.leader and (envelope.term > term or leader is None):
            events.append(LeaderObserved(envelope.term, envelope.leader))
        # Of a peer that is ahead every message counts: the fetch from it may have been lost.
        if envelope.revision > revision or self._told.get(sender) != envelope.revision:
            self._told[sender] = envelope.revision
            events.append(PeerRevisionObserved(sender, envelope.term, envelope.revision))
        events.append(MessageReceived(sender, envelope.message))
        return events
