"""Events, effects and settings of the claims part."""

from __future__ import annotations

import msgspec

from springmux.coordination.claims.decision import ClaimDecision
from springmux.coordination.claims.journal import ClaimEntry
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.state_machine import Effect, Event


class HoldersChanged(Event, frozen=True):
    """A committed claim ring is in force; older versions are ignored."""

    ring: ClaimRing


class ClaimWanted(Event, frozen=True):
    """A request on a non-repeatable route is to run. ``correlation_id`` is unique within the node's run."""

    correlation_id: str
    key: str


class ClaimEnded(Event, frozen=True):
    """A granted claim ended. ``ran`` false only if no byte was dispatched, so that it may run elsewhere.

    A claim whose outcome is unknown is ended with ``ran`` true and no answer.
    """

    correlation_id: str
    key: str
    ran: bool
    answer: bytes = b""


class ClaimAbandoned(Event, frozen=True):
    """The caller went away before the decision: withdraw the claim, give no answer."""

    correlation_id: str


class PersistClaims(Effect, frozen=True):
    """Append ``records`` to the claim journal and fsync, then give back :class:`ClaimsPersisted`.

    Batches are in order, one at a time. Only a holder that was given recovered claims asks for it.
    """

    batch: int
    records: tuple[ClaimEntry, ...]


class ClaimsPersisted(Event, frozen=True):
    """The batch is on disk (fsync returned)."""

    batch: int


class ClaimsPersistFailed(Event, frozen=True):
    """Nothing of the batch counts. ``full``: for want of space, so it may be tried again."""

    batch: int
    full: bool
    reason: str


class ClaimResolved(Effect, frozen=True):
    """The decision for one correlation_id; given exactly once for each :class:`ClaimWanted` not abandoned."""

    correlation_id: str
    decision: ClaimDecision


class ClaimSettings(msgspec.Struct, frozen=True):
    """Limits and times of the claims part."""

    decision_timeout_s: float = 0.25
    """No two grants within this time: unavailable (a LAN round trip is a few milliseconds)."""
    resend_s: float = 0.08
    """Unanswered claims are resent twice within the decision timeout."""
    settle_resend_s: float = 0.5
    """Outcomes are resent at first at this pace, then ever slower, until each holder has acknowledged."""
    settle_resend_limit_s: float = 8.0
    settle_give_up_s: float = 60.0
    """A holder silent for longer misses the outcome; the two others keep it, and it can pull it."""
    window_s: float = 86_400.0
    """How long a key stays claimed."""
    max_entries: int = 200_000
    """Keys kept by a holder; the oldest finished go first. About 100 MB of Python objects."""
    max_answer_bytes: int = 8 * 1024
    """Larger answers are not kept: a resend then gets FINISHED without one."""
    max_answers_bytes: int = 64 * 1024 * 1024
    """Sum of kept answers at a holder; the oldest answers go first, their keys stay."""
    tombstone_s: float = 600.0
    """How long a withdrawn correlation_id is refused; far above any delay of a message."""
    max_tombstones: int = 50_000
    tick_s: float = 0.5
    """Pace of the own heartbeat by which a pause (freeze) is noticed."""
    pause_limit_s: float = 1.5
    """A silence of the own loop beyond this makes the node pull before it grants again."""
    pull_resend_s: float = 0.3
    page_records: int = 256
    """Records in one page: at most about 2 MiB with answers."""
    page_scan: int = 2048
    """Records looked at for one page; each costs a hash over the ring's members."""
    anchor_keys: int = 32
    """Newest finished keys by which a holder with an intact journal names what it has. So many, that
    some of them ended at the peer as early as here."""
    disk_stall_s: float = 1.0
    """A batch in flight for longer: the holder takes no new keys until the disk goes on."""
    disk_retry_s: float = 1.0
    """Pace at which a full disk is tried again."""
    forgetful_wait_s: float = 5.0
    """A peer whose memory is not whole counts as pulled only this long after the own start, so that
    claimants alive have told their claims; also the delay after a start of a whole fleet without disks.
    Where all holders have disks it isn't counted before ``window_s``, when all that it forgot has lapsed."""
    absent_wait_s: float = 30.0
    """A restarted holder without a disk does without one silent co-holder this long after its start."""
