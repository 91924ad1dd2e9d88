"""Events, effects and settings of the claims."""

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
    """A request on a non-repeatable route needs a claim. ``correlation_id`` is unique per incarnation."""

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
    """The client disconnected before the decision: withdraw the claim without resolving it."""

    correlation_id: str


class PersistClaims(Effect, frozen=True):
    """Append ``records`` to the claim journal and fsync, then reply with :class:`ClaimsPersisted`.

    Batches are in order, one at a time. Only a coordinator with recovered claims emits it.
    """

    batch: int
    records: tuple[ClaimEntry, ...]


class ClaimsPersisted(Event, frozen=True):
    """The batch is on disk (fsync returned)."""

    batch: int


class ClaimsPersistFailed(Event, frozen=True):
    """Nothing of the batch is durable. ``full``: the disk is full, so it may be retried."""

    batch: int
    full: bool
    reason: str


class ClaimResolved(Effect, frozen=True):
    """The decision for one ``correlation_id``, emitted once for each :class:`ClaimWanted` not abandoned."""

    correlation_id: str
    decision: ClaimDecision


class ClaimSettings(msgspec.Struct, frozen=True):
    """Limits and times of the claims."""

    decision_timeout_s: float = 0.25
    """Time without two grants after which a claim is unavailable; a LAN round trip takes milliseconds."""
    resend_s: float = 0.08
    """Unanswered claims are resent twice within the decision timeout."""
    settle_resend_s: float = 0.5
    """First interval of resent outcomes; it doubles up to the limit until each holder has acknowledged."""
    settle_resend_limit_s: float = 8.0
    settle_give_up_s: float = 60.0
    """A holder unresponsive for longer misses the outcome, but can pull it from the two others."""
    window_s: float = 86_400.0
    """How long a key stays claimed."""
    max_entries: int = 200_000
    """Keys stored by a holder, about 100 MB of memory; the oldest finished ones are evicted first."""
    max_answer_bytes: int = 8 * 1024
    """Larger responses are not stored: a resend then gets FINISHED without one."""
    max_answers_bytes: int = 64 * 1024 * 1024
    """Total of stored responses at a holder; the oldest are evicted first, their keys stay."""
    tombstone_s: float = 600.0
    """How long a withdrawn attempt is rejected; far above any delay of a message."""
    max_tombstones: int = 50_000
    tick_s: float = 0.5
    """Interval of the ticks by which a pause of the process is detected."""
    pause_limit_s: float = 1.5
    """A pause beyond this makes the node pull before it grants again."""
    pull_resend_s: float = 0.3
    page_records: int = 256
    """Records in one page: at most about 2 MiB with answers."""
    page_scan: int = 2048
    """Records examined for one page; each costs a hash over the ring's members."""
    anchor_keys: int = 32
    """Newest finished keys by which a holder with an intact journal names its position; enough that some of
    them finished at the peer as early as here."""
    disk_stall_s: float = 1.0
    """Time in flight after which a batch has stalled; the holder takes no new keys until it is written."""
    disk_retry_s: float = 1.0
    """Interval of retries on a full disk."""
    incomplete_peer_wait_s: float = 5.0
    """A peer with incomplete memory counts as pulled only this long after this node's start, when live
    claimants have sent their claims; also the delay after the start of a complete fleet without disks.
    Where all holders have disks, it counts only after ``window_s``, when all lost claims have expired."""
    absent_wait_s: float = 30.0
    """Time after its start when a holder without a disk proceeds without one unresponsive co-holder."""
