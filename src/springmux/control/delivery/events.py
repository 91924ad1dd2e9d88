"""Events of state delivery.

State delivery also handles messages, ticks, ``control.events.LeadershipKnown`` and, from membership,
``ContactChanged`` and ``PeerUnreachable``.
"""

from __future__ import annotations

from springmux.coordination.consensus.types import Entry
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class CommandsCommitted(Event, frozen=True):
    """The node's own replica committed entries (effect ``Apply``): of every kind, in log order."""

    entries: tuple[Entry, ...]


class ReplicaRestored(Event, frozen=True):
    """The node's own replica recovered or installed a snapshot that covers the log up to ``index``.

    It precedes the first :class:`CommandsCommitted` with entries after ``index``.
    """

    index: LogIndex
    snapshot: bytes


class PeerRevisionObserved(Event, frozen=True):
    """The envelope of a peer's message carried that peer's term and revision."""

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
