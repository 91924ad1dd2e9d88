"""Peer messages and records of the claims protocol."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import PeerMessage


class ClaimAttempt(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one attempt: the claimant's node, its boot (random a start) and its own attempt."""

    node: NodeId
    boot: int
    name: str


class ClaimState(enum.IntEnum):
    """What a holder knows of a key."""

    RUNNING = 0
    """Granted; the claimant has not reported an end (or never will: the key is burnt)."""
    FINISHED = 1
    """It ran."""


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One key at a holder. ``answer`` is kept where it was small enough.

    ``attempts``: all that may have the key. A holder grants to one, but learns others' grants by pulling;
    the key is free again only when each of them was withdrawn.
    """

    key: str
    attempts: tuple[ClaimAttempt, ...]
    state: ClaimState
    answer: bytes = b""


class HolderStatus(enum.IntEnum):
    """A holder's answer to a claim."""

    GRANTED = 0
    HELD = 1
    """Another attempt has the key; the reply says in which state."""
    NOT_READY = 2
    """The holder is not in step (ring, synchronization or memory) and decides nothing."""
    WITHDRAWN = 3
    """This attempt was withdrawn before."""


class ClaimRequest(PeerMessage, frozen=True, tag="ClaimRequest"):
    """Ask a holder for a key; ``since``..``until`` are the ring versions with the same holders."""

    attempt: ClaimAttempt
    key: str
    since: int
    until: int


class ClaimReply(PeerMessage, frozen=True, tag="ClaimReply"):
    """A holder's answer to :class:`ClaimRequest`.

    ``boot``: the holder's own; ``peer_boots``: those of the other holders as it knows them. Two grants
    count together only if each names the other's boot: a holder that forgot its grant in a restart
    has pulled from the others since, which then name its new boot.
    """

    attempt: ClaimAttempt
    status: HolderStatus
    boot: int = 0
    peer_boots: tuple[tuple[NodeId, int], ...] = ()
    state: ClaimState = ClaimState.RUNNING
    answer: bytes = b""


class ClaimSettle(PeerMessage, frozen=True, tag="ClaimSettle"):
    """The claimant's last word on a attempt, resent until acknowledged.

    ``ran`` false: withdrawn or never dispatched, the key is free for others.
    """

    attempt: ClaimAttempt
    key: str
    ran: bool
    answer: bytes = b""


class ClaimSettleAck(PeerMessage, frozen=True, tag="ClaimSettleTaken"):
    """A holder has taken a :class:`ClaimSettle`."""

    attempt: ClaimAttempt


class ClaimPull(PeerMessage, frozen=True, tag="ClaimPull"):
    """Ask a peer for its records of keys that the sender holds under ring ``version``.

    ``peer_boot`` and ``after``: the peer's boot and journal position that the sender already has.
    ``anchors``: newest finished keys of a sender whose journal is intact. A peer that has another boot
    than ``peer_boot`` begins at the oldest of them that it knows.
    """

    version: int
    boot: int
    peer_boot: int
    after: int
    round: int
    anchors: tuple[str, ...] = ()


class ClaimPage(PeerMessage, frozen=True, tag="ClaimPage"):
    """Part of the answer to :class:`ClaimPull`; ``upto`` is the journal position reached.

    ``intact`` false: the peer's own memory began after its last start (or its disk was wiped) and is not
    yet refilled.
    """

    version: int
    boot: int
    round: int
    upto: int
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
