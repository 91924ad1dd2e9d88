"""Messages of state delivery between nodes."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.state_machine import PeerMessage


class DeliveredCommand(msgspec.Struct, frozen=True, array_like=True):
    """A committed command with its log position.

    Log indexes of commands have gaps (members, barriers), so each names its predecessor: a state at
    ``previous_index`` may apply it, an older one lacks commands in between.
    """

    previous_index: Revision
    index: Revision
    data: bytes


class TransferKind(enum.StrEnum):
    """Content of a transfer."""

    DELTA = "delta"
    """Encoded commands after the requester's revision."""
    SNAPSHOT = "snapshot"
    """A snapshot of the whole control state."""


class PushCommands(PeerMessage, frozen=True, tag="PushCommands"):
    """New commands from the leader, to be forwarded to ``relay_to``.

    Without ``commands`` it only announces that ``revision`` can be fetched.
    """

    term: Term
    revision: Revision
    commands: tuple[DeliveredCommand, ...] = ()
    relay_to: tuple[NodeId, ...] = ()


class FetchState(PeerMessage, frozen=True, tag="FetchState"):
    """Request what follows ``revision``; with ``kind``, a transfer's bytes from ``offset`` on."""

    request: int
    revision: Revision
    kind: TransferKind | None = None
    target: Revision = Revision(0)
    offset: int = 0


class StateChunk(PeerMessage, frozen=True, tag="StateChunk"):
    """Bytes of a transfer that brings the requester to ``target``.

    ``checksum`` covers all of its bytes. After ``window_end`` the requester sends its next request.
    """

    request: int
    kind: TransferKind
    target: Revision
    total_bytes: int
    checksum: int
    offset: int
    data: bytes
    window_end: int


class NoNewerRevision(PeerMessage, frozen=True, tag="NothingNewer"):
    """Reply to :class:`FetchState`: the node is at ``revision`` itself, no further than the requester."""

    request: int
    revision: Revision


class RevisionRequest(PeerMessage, frozen=True, tag="AskRevision"):
    """Request the newest acknowledged revision from the leader, confirmed by a quorum after this request."""

    request: int


class RevisionConfirmed(PeerMessage, frozen=True, tag="RevisionConfirmed"):
    """Reply to :class:`RevisionRequest`: nothing newer than ``revision`` had been acknowledged then."""

    request: int
    revision: Revision


MESSAGES: tuple[type[PeerMessage], ...] = (
    PushCommands,
    FetchState,
    StateChunk,
    NoNewerRevision,
    RevisionRequest,
    RevisionConfirmed,
)
