"""Peer messages of the contact rule."""

from __future__ import annotations

from springmux.coordination.state_machine import PeerMessage


class ContactHeartbeat(PeerMessage, frozen=True, tag="ContactBeat"):
    """Heartbeat that proves a round trip: ``echo`` is the receiver's newest sequence seen by the sender.

    ``is_reply`` marks one sent in reply, outside the sender's period; it gets no reply itself.
    """

    sequence: int
    echo: int = 0
    is_reply: bool = False


class ContactBeacon(PeerMessage, frozen=True, tag="ContactBeacon"):
    """The leader's evidence of contact, relayed down a tree.

    ``age_ms``: time since the leader, confirmed by its quorum, reached a majority of the nodes; -1 if
    it hasn't yet. The receiver relays to the nodes of its zone in ``[low, high)``; ``counted`` asks it
    to count them.
    """

    term: int
    sequence: int
    age_ms: int
    low: int = 0
    high: int = 0
    counted: bool = False


class ContactCount(PeerMessage, frozen=True, tag="ContactCount"):
    """``nodes`` nodes of the sender's subtree received the beacon ``sequence`` of ``term``."""

    term: int
    sequence: int
    nodes: int


class ContactVector(PeerMessage, frozen=True, tag="ContactVector"):
    """Ages of the evidence of all nodes of a roster, four bits each (see ``contact_freshness``)."""

    roster: int
    ages: bytes


MESSAGES: tuple[type[PeerMessage], ...] = (ContactHeartbeat, ContactBeacon, ContactCount, ContactVector)
