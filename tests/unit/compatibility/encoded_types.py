"""All types that nodes send to each other or store on disk, by the name of their example."""

from __future__ import annotations

import msgspec

from springmux.agent import wire
from springmux.control.commands import AnyCommand
from springmux.control.state_snapshot import StateSnapshot
from springmux.coordination.claims.journal import ClaimEntry
from springmux.coordination.consensus.types import GroupMembers, SnapshotMeta
from springmux.coordination.membership.remembered import RememberedPeer
from springmux.node.peer.handshake import Handshake
from springmux.storage.claim_journal_file import JournalStart
from springmux.storage.records import BatchRecord, SegmentStart

UNTAGGED: dict[str, type[msgspec.Struct]] = {
    "log/segment-start": SegmentStart,
    "log/batch": BatchRecord,
    "log/group-members": GroupMembers,
    "snapshot/meta": SnapshotMeta,
    "snapshot/state": StateSnapshot,
    "claims/start": JournalStart,
    "peers/peer": RememberedPeer,
}
"""Untagged types by the kind of file that holds them and their role in it."""


def tag_of(encoded_type: type[msgspec.Struct]) -> str:
    """Return the tag that identifies a type in its encoded form."""
    tag = encoded_type.__struct_config__.tag
    assert isinstance(tag, str), f"{encoded_type.__name__} has no tag"
    return tag


def encoded_types() -> dict[str, type[msgspec.Struct]]:
    """Return the types by name; the name of a tagged type ends in its tag."""
    types_by_name = dict(UNTAGGED)
    groups: dict[str, tuple[type[msgspec.Struct], ...]] = {
        "message": wire.ALL_MESSAGES,
        "handshake": Handshake.__args__,
        "command": AnyCommand.__args__,
        "claims": ClaimEntry.__args__,
    }
    for group, members in groups.items():
        for member in members:
            name = f"{group}/{tag_of(member)}"
            assert name not in types_by_name, f"two types have the tag of {name}"
            types_by_name[name] = member
    return types_by_name
