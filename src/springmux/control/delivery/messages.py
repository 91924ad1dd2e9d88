"""Messages of the delivery between nodes."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.state_machine import PeerMessage


class DeliveredCommand(msgspec.Struct, frozen=True, array_like=True):
    """A committed command with its place.

    Log indexes of commands have gaps (members, barriers), so each names the one before it: a copy at
    ``previous_index`` may apply it, an older copy misses something.
    """

    previous_index: Revision
    index: Revision
    data: bytes


class TransferKind(enum.StrEnum):
    """What a transfer's bytes are."""

    DELTA = "delta"
    """Encoded commands after the asker's revision."""
    SNAPSHOT = "snapshot"
    """An image of the whole control state."""


class PushCommands(PeerMessage, frozen=True, tag="PushCommands"):
    """New commands from the leader, to be passed on to ``relay_to``.

    Without ``commands`` it says only that ``revision`` is there to be fetched.
    """

    term: Term
    revision: Revision
    commands: tuple[DeliveredCommand, ...] = ()
    relay_to: tuple[NodeId, ...] = ()


class FetchState(PeerMessage, frozen=True, tag="FetchState"):
    """Ask for what follows ``revision``; with ``kind``, for a transfer's bytes from ``offset`` on."""

    request: int
    revision: Revision
    kind: TransferKind | None = None
    target: Revision = Revision(0)
    offset: int = 0


class StateChunk(PeerMessage, frozen=True, tag="StateChunk"):
    """Bytes of a transfer that brings the asker to ``target``.

    ``checksum`` is of all its bytes; after ``window_end`` the asker asks for more.
    """

    request: int
    kind: TransferKind
    target: Revision
    total_bytes: int
    checksum: int
    offset: int
    data: bytes
    window_end: int


class NothingNewer(PeerMessage, frozen=True, tag="NothingNewer"):
    """The asked node is at ``revision`` itself, no further than the asker."""

    request: int
    revision: Revision


class RevisionRequest(PeerMessage, frozen=True, tag="AskRevision"):
    """Ask the leader which revision is the newest acknowledged, confirmed by a quorum after this."""

    request: int


class RevisionConfirmed(PeerMessage, frozen=True, tag="RevisionConfirmed"):
    """Answer to :class:`RevisionRequest`: nothing newer than ``revision`` had been acknowledged then."""

    request: int
    revision: Revision


MESSAGES: tuple[type[PeerMessage], ...] = (
    PushCommands,
    FetchState,
    StateChunk,
    NothingNewer,
    RevisionRequest,
    RevisionConfirmed,
)
