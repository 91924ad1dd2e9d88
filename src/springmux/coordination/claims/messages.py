"""Peer messages and records of the claims protocol."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import PeerMessage


class ClaimAttempt(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one attempt: the claimant's node, its incarnation (random at each start) and a name."""

    node: NodeId
    incarnation: int
    name: str


class ClaimState(enum.IntEnum):
    """State of a key at a holder."""

    RUNNING = 0
    """Granted; the claimant has not reported an end, and after a crash never will."""
    FINISHED = 1
    """It ran."""


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One key at a holder. ``answer``: the stored response, if it was small enough.

    ``attempts``: all that may have the key. A holder grants it to one, but learns other holders' grants by
    pulling; the key is free again only when all of them were withdrawn.
    """

    key: str
    attempts: tuple[ClaimAttempt, ...]
    state: ClaimState
    answer: bytes = b""


class HolderStatus(enum.IntEnum):
    """A holder's reply to a claim."""

    GRANTED = 0
    HELD = 1
    """Another attempt has the key; the reply says in which state."""
    NOT_READY = 2
    """The holder's ring or memory is not up to date, so it decides nothing."""
    WITHDRAWN = 3
    """This attempt was withdrawn before."""


class ClaimRequest(PeerMessage, frozen=True, tag="ClaimRequest"):
    """Request of a key from a holder; ``since``..``until``: the ring versions with the same holders."""

    attempt: ClaimAttempt
    key: str
    since: int
    until: int


class ClaimReply(PeerMessage, frozen=True, tag="ClaimReply"):
    """A holder's reply to :class:`ClaimRequest`.

    ``incarnation``: the holder's own; ``peer_incarnations``: those of the other holders as known to it. Two
    grants count together only if each names the other's incarnation: a holder that lost a grant in a restart
    has since pulled from the others, which then name its new incarnation.
    """

    attempt: ClaimAttempt
    status: HolderStatus
    incarnation: int = 0
    peer_incarnations: tuple[tuple[NodeId, int], ...] = ()
    state: ClaimState = ClaimState.RUNNING
    answer: bytes = b""


class ClaimSettle(PeerMessage, frozen=True, tag="ClaimSettle"):
    """Outcome of an attempt, resent by the claimant until acknowledged.

    ``ran`` false: withdrawn or never dispatched, so the key is free for others.
    """

    attempt: ClaimAttempt
    key: str
    ran: bool
    answer: bytes = b""


class ClaimSettleAck(PeerMessage, frozen=True, tag="ClaimSettleTaken"):
    """Acknowledgement of a :class:`ClaimSettle`."""

    attempt: ClaimAttempt


class ClaimPull(PeerMessage, frozen=True, tag="ClaimPull"):
    """Request of a peer's records of the keys that the sender holds under ring ``version``.

    ``peer_incarnation`` and ``after``: the peer's incarnation and change log position that the sender has
    reached. ``anchors``: newest finished keys of a sender whose journal is intact. A peer with another
    incarnation than ``peer_incarnation`` begins at the oldest of them that it knows.
    """

    version: int
    incarnation: int
    peer_incarnation: int
    after: int
    round: int
    anchors: tuple[str, ...] = ()


class ClaimPage(PeerMessage, frozen=True, tag="ClaimPage"):
    """One page of the reply to :class:`ClaimPull`; ``end_position``: the change log position reached.

    ``intact`` false: the peer lost its own memory in a restart (or a wipe of its disk) and has not restored
    it yet.
    """

    version: int
    incarnation: int
    round: int
    end_position: int
    done: bool
    intact: bool
    records: tuple[ClaimRecord, ...] = ()


MESSAGES: tuple[type[PeerMessage], ...] = (
    ClaimRequest,
    ClaimReply,
    ClaimSettle,
    ClaimSettleAck,
    ClaimPull,
    ClaimPage,
)
