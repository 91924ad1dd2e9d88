"""Peer messages of the claims protocol, and the records that they carry."""

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
    """The key is granted. The claimant has not reported an outcome, and after a crash never will."""
    FINISHED = 1
    """The action ran."""


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of one key at a holder.

    ``attempts``: all attempts that may have the key. A holder grants it to one, but learns the grants of
    other holders by pulling; the key is free again only when all these attempts were withdrawn.
    ``answer``: the stored response, if it was small enough.
    """

    key: str
    attempts: tuple[ClaimAttempt, ...]
    state: ClaimState
    answer: bytes = b""


class HolderStatus(enum.IntEnum):
    """Status in a holder's reply to a claim request."""

    GRANTED = 0
    HELD = 1
    """Another attempt has the key; the reply contains the key's state."""
    NOT_READY = 2
    """The ring or the records of the holder aren't up to date, so it can't decide."""
    WITHDRAWN = 3
    """This attempt was withdrawn earlier."""


class ClaimRequest(PeerMessage, frozen=True, tag="ClaimRequest"):
    """Request for a key, sent to its holders.

    ``since``, ``until``: the first and last version of the consecutive rings in which, as far as the claimant
    knows, the key has these holders.
    """

    attempt: ClaimAttempt
    key: str
    since: int
    until: int


class ClaimReply(PeerMessage, frozen=True, tag="ClaimReply"):
    """A holder's reply to :class:`ClaimRequest`.

    ``incarnation``: that of the holder. ``peer_incarnations``: those of the other holders as far as it knows
    them. Two grants count together only if each contains the other's incarnation: a holder that lost a grant
    in a restart has since pulled from the others, whose replies then contain its new incarnation.
    """

    attempt: ClaimAttempt
    status: HolderStatus
    incarnation: int = 0
    peer_incarnations: tuple[tuple[NodeId, int], ...] = ()
    state: ClaimState = ClaimState.RUNNING
    answer: bytes = b""


class ClaimSettle(PeerMessage, frozen=True, tag="ClaimSettle"):
    """Outcome of an attempt, resent by the claimant until the holder acknowledges it.

    ``ran``: false if the attempt was withdrawn or never dispatched, so that the key is free for others.
    """

    attempt: ClaimAttempt
    key: str
    ran: bool
    answer: bytes = b""


class ClaimSettleAck(PeerMessage, frozen=True, tag="ClaimSettleTaken"):
    """Acknowledgement of a :class:`ClaimSettle`."""

    attempt: ClaimAttempt


class ClaimPull(PeerMessage, frozen=True, tag="ClaimPull"):
    """Request for the receiver's records of the keys that the sender holds under ring ``version``.

    ``peer_incarnation`` and ``after``: the receiver's incarnation, and the position in its change log that
    the sender has reached. ``anchors``: the newest finished keys of a sender with an intact journal. If the
    receiver's incarnation differs from ``peer_incarnation``, its reply begins at the oldest anchor that it
    knows.
    """

    version: int
    incarnation: int
    peer_incarnation: int
    after: int
    round: int
    anchors: tuple[str, ...] = ()


class ClaimPage(PeerMessage, frozen=True, tag="ClaimPage"):
    """One page of the reply to :class:`ClaimPull`.

    ``end_position``: the position in the sender's change log that the page reaches. ``intact``: false if the
    sender lost its records in a restart (or a wipe of its disk) and has not restored them yet.
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
