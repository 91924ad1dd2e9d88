"""Events that the embedding node passes to a replica, in addition to those of the replica's storage."""

from __future__ import annotations

import enum

from springmux.coordination.consensus.types import GroupMember
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Event


class FoundingCandidates(Event, frozen=True):
    """The controllers that the membership protocol reports now.

    ``established``: one of them is known to have a group. ``leader``: the node that is reported as the
    group's leader, if any. ``known``: all nodes of controllers that this node has heard of, absent ones
    included; ``None`` if it may have forgotten some.
    """

    members: tuple[GroupMember, ...]
    established: bool
    leader: NodeId | None = None
    known: frozenset[NodeId] | None = None


class StopAnnounced(Event, frozen=True):
    """The process is about to stop; the leader may already replace this voter by a learner."""


class MemberChangeKind(enum.StrEnum):
    """What :class:`ChangeMember` does to one member."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    DEMOTE = "demote"
    REMOVE = "remove"


class ChangeMember(Event, frozen=True):
    """Change one member (leader only); answered like a proposal under ``correlation_id``."""

    correlation_id: str
    kind: MemberChangeKind
    member: GroupMember
