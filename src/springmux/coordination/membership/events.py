"""Events of membership, the contact rule and the engine directory, except ticks and peer messages."""

from __future__ import annotations

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import Event


class PeerReachable(Event, frozen=True):
    """The transport connected to a peer. This is a hint, not evidence that the node is alive."""

    node: NodeId


class PeerUnreachable(Event, frozen=True):
    """The transport lost a peer or can't connect. It isn't proof of death; the peer is only probed sooner."""

    node: NodeId


class OwnRecordChanged(Event, frozen=True):
    """This node's record changed (ready flag, replica). Incarnation and status of ``record`` are ignored."""

    record: NodeRecord


class SeedsChanged(Event, frozen=True):
    """The configured seeds (peer addresses) changed."""

    seeds: tuple[Address, ...]


class LeaveBegun(Event, frozen=True):
    """The node is stopping and leaves the fleet.

    The node announces that, so that the others needn't detect a failure.
    """


class MembershipUpdated(Event, frozen=True):
    """The view of membership changed; ``view`` is the newest."""

    view: MembershipView


class LeaderBeacon(Event, frozen=True):
    """This node leads the control group, and a quorum confirmed that ``age_s`` seconds ago."""

    term: int
    age_s: float = 0.0


class ContactChanged(Event, frozen=True):
    """The result of the contact rule (``ContactMonitor.connected``) changed.

    ``peers``: the other known nodes, including those that membership believes dead.
    """

    connected: bool
    peers: tuple[NodeId, ...] = ()
