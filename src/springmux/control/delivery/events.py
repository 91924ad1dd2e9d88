"""Events of state delivery.

It also handles messages, ticks, ``control.events.LeadershipKnown`` and membership's ``PeerUnreachable``.
"""

from __future__ import annotations

from springmux.coordination.consensus.types import Entry
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class CommandsCommitted(Event, frozen=True):
    """The node's own replica committed entries (its ``Apply``), of every kind and in order."""

    entries: tuple[Entry, ...]


class ReplicaRestored(Event, frozen=True):
    """The node's own replica recovered or installed a snapshot that covers the log up to ``index``.

    It comes before the first :class:`CommandsCommitted` after that snapshot.
    """

    index: LogIndex
    snapshot: bytes


class PeerRevisionObserved(Event, frozen=True):
    """A peer's message carried its term and revision in the envelope."""

    node: NodeId
    term: Term
    revision: Revision


class MembershipChanged(Event, frozen=True):
    """The membership view changed."""

    view: MembershipView


class ConfirmedRevision(Event, frozen=True):
    """Reply to ``ConfirmLeaderRevision``. ``index`` is ``None`` if the replica refused."""

    correlation_id: str
    index: LogIndex | None


class SnapshotProvided(Event, frozen=True):
    """Reply to ``ProvideSnapshot``."""

    revision: Revision
    snapshot: bytes
