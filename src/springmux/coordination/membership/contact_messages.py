"""Peer messages of the contact rule."""

from __future__ import annotations

from springmux.coordination.state_machine import PeerMessage


class ContactHeartbeat(PeerMessage, frozen=True, tag="ContactBeat"):
    """Heartbeat that proves a round trip.

    ``echo``: the newest sequence number that the sender received from the receiver.
    ``is_reply``: whether this is an immediate reply outside the sender's period; it gets no reply itself.
    """

    sequence: int
    echo: int = 0
    is_reply: bool = False


class ContactBeacon(PeerMessage, frozen=True, tag="ContactBeacon"):
    """The leader's evidence of contact, relayed down a tree.

    ``age_ms``: time since the leader, confirmed by its quorum, reached a majority of the nodes; -1 if
    it hasn't yet. The receiver relays to the nodes of its zone in ``[low, high)``; with ``counted`` it
    replies with the number of nodes reached.
    """

    term: int
    sequence: int
    age_ms: int
    low: int = 0
    high: int = 0
    counted: bool = False


class ContactCount(PeerMessage, frozen=True, tag="ContactCount"):
    """Number of nodes in the sender's subtree that received the beacon ``sequence`` of ``term``."""

    term: int
    sequence: int
    nodes: int


class ContactVector(PeerMessage, frozen=True, tag="ContactVector"):
    """Age of the evidence of each node of a roster, four bits each (see ``contact_freshness``)."""

    roster: int
    ages: bytes


MESSAGES: tuple[type[PeerMessage], ...] = (ContactHeartbeat, ContactBeacon, ContactCount, ContactVector)
