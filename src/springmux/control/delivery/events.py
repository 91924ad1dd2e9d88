"""What the delivery is told, beside messages, ticks and ``control.events.LeadershipKnown``."""

from __future__ import annotations

from springmux.coordination.consensus.types import Entry
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class CommandsCommitted(Event, frozen=True):
    """The own replica's ``Apply``: entries of every kind, in order."""

    entries: tuple[Entry, ...]


class ReplicaRestored(Event, frozen=True):
    """The own replica has a snapshot (recovered at start, or installed): the log up to ``index``.

    It comes before the first :class:`CommandsCommitted` after that snapshot.
    """

    index: LogIndex
    snapshot: bytes


class PeerLost(Event, frozen=True):
    """The transport lost the connection to a peer: what it was sending won't come."""

    node: NodeId


class PeerRevisionObserved(Event, frozen=True):
    """A peer's message carried its term and revision in the envelope."""

    node: NodeId
    term: Term
    revision: Revision


class MembershipChanged(Event, frozen=True):
    """The picture of the fleet's nodes changed."""

    view: MembershipView


class ConfirmedRevision(Event, frozen=True):
    """Answer to ``ConfirmLeaderRevision`` (the replica's ``ReadConfirmed``); ``None``: refused."""

    correlation_id: str
    index: LogIndex | None


class SnapshotProvided(Event, frozen=True):
    """Answer to ``ProvideSnapshot``: the state's image."""

    revision: Revision
    snapshot: bytes
