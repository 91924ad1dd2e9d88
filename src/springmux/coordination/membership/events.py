"""Events of membership, the contact rule and the engine directory, beside ticks and peer messages."""

from __future__ import annotations

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import Event


class PeerReachable(Event, frozen=True):
    """The transport connected to a peer: a hint only."""

    node: NodeId


class PeerUnreachable(Event, frozen=True):
    """The transport lost a peer or can't connect: not proof of death, it only brings a probe forward."""

    node: NodeId


class OwnRecordChanged(Event, frozen=True):
    """Own facts changed (ready flag, replica). Incarnation and status of ``record`` are ignored."""

    record: NodeRecord


class SeedsChanged(Event, frozen=True):
    """The settings name other seeds (peer addresses) from now on."""

    seeds: tuple[Address, ...]


class LeaveBegun(Event, frozen=True):
    """The node stops for good; it announces that, so that the fleet needn't detect a failure."""


class MembershipUpdated(Event, frozen=True):
    """The newest view of membership, for the components that depend on it."""

    view: MembershipView


class LeaderBeacon(Event, frozen=True):
    """This node leads the control group and a quorum confirmed it ``age_s`` seconds ago."""

    term: int
    age_s: float = 0.0


class ContactChanged(Event, frozen=True):
    """The result of the contact rule changed (``ContactMonitor.connected``).

    ``peers``: the other known nodes, also those that membership believes dead.
    """

    connected: bool
    peers: tuple[NodeId, ...] = ()
