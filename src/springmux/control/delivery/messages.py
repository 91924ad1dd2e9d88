"""Messages of state delivery between nodes."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.coordination.state_machine import PeerMessage


class DeliveredCommand(msgspec.Struct, frozen=True, array_like=True):
    """A committed command with its log position.

    Membership and barrier entries leave gaps between the log indexes of commands, so each command names its
    predecessor. A state at ``previous_index`` may apply the command; an older one lacks commands in between.
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
    """New commands from the leader, which the receiver forwards to ``relay_to``.

    Without ``commands`` the message only announces that ``revision`` can be fetched.
    """

    term: Term
    revision: Revision
    commands: tuple[DeliveredCommand, ...] = ()
    relay_to: tuple[NodeId, ...] = ()


class FetchState(PeerMessage, frozen=True, tag="FetchState"):
    """Requests the state after ``revision``; with ``kind``, the rest of a transfer from ``offset`` on."""

    request: int
    revision: Revision
    kind: TransferKind | None = None
    target: Revision = Revision(0)
    offset: int = 0


class StateChunk(PeerMessage, frozen=True, tag="StateChunk"):
    """Bytes of a transfer that brings the requester to ``target``.

    ``checksum`` covers the whole transfer. The requester sends its next request when it has all bytes before
    the offset ``window_end``.
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
    """Reply to :class:`FetchState`: the sender is at ``revision``, which the requester has already."""

    request: int
    revision: Revision


class RevisionRequest(PeerMessage, frozen=True, tag="AskRevision"):
    """Requests the newest acknowledged revision from the leader, confirmed by a quorum after the request."""

    request: int


class RevisionConfirmed(PeerMessage, frozen=True, tag="RevisionConfirmed"):
    """Reply to :class:`RevisionRequest`: at the time of the request no newer revision was acknowledged."""

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
