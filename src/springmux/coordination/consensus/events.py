"""Events that the embedding node gives a replica beside those of its storage."""

from __future__ import annotations

import enum

from springmux.coordination.consensus.types import GroupMember
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Event


class FoundingCandidates(Event, frozen=True):
    """The controllers that membership sees now. ``established``: one of them is known to have a group.

    ``leader``: the node that is said to lead the group, if one is named.
    """

    members: tuple[GroupMember, ...]
    established: bool
    leader: NodeId | None = None


class StopAnnounced(Event, frozen=True):
    """The process is about to stop: the leader may give this replica's vote to a learner meanwhile."""


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
