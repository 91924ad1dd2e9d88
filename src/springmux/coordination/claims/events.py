"""Events, effects and settings of the claims protocol."""

from __future__ import annotations

import msgspec

from springmux.coordination.claims.decision import ClaimDecision
from springmux.coordination.claims.journal import ClaimEntry
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.state_machine import Effect, Event


class HoldersChanged(Event, frozen=True):
    """A claim ring was committed and is in force; older versions are ignored."""

    ring: ClaimRing


class ClaimWanted(Event, frozen=True):
    """A request on a non-repeatable route needs a claim.

    ``correlation_id``: unique within this incarnation of the node.
    """

    correlation_id: str
    key: str


class ClaimEnded(Event, frozen=True):
    """A granted claim ended.

    ``ran``: false only if no byte was dispatched, so that the action may run elsewhere. A claim with an
    unknown outcome ends with ``ran`` true and no answer.
    """

    correlation_id: str
    key: str
    ran: bool
    answer: bytes = b""


class ClaimAbandoned(Event, frozen=True):
    """The client disconnected before the decision; the claim is withdrawn without being resolved."""

    correlation_id: str


class PersistClaims(Effect, frozen=True):
    """Append ``records`` to the claim journal, fsync, then reply with :class:`ClaimsPersisted`.

    Batches come in order, and only one is in flight at a time. Only a coordinator of a node with a disk emits
    this effect.
    """

    batch: int
    records: tuple[ClaimEntry, ...]


class ClaimsPersisted(Event, frozen=True):
    """The batch is durable: fsync returned."""

    batch: int


class ClaimsPersistFailed(Event, frozen=True):
    """Writing the batch failed, and none of it is durable.

    ``full``: whether the cause is a full disk, so that the batch may be retried.
    """

    batch: int
    full: bool
    reason: str


class ClaimResolved(Effect, frozen=True):
    """The decision on the claim of ``correlation_id``; emitted once for each claim that isn't abandoned."""

    correlation_id: str
    decision: ClaimDecision


class ClaimSettings(msgspec.Struct, frozen=True):
    """Limits and timing of the claims protocol."""

    decision_timeout_s: float = 0.25
    """Time without two grants after which a claim is resolved as unavailable; a LAN round trip takes
    milliseconds."""
    resend_s: float = 0.08
    """Interval at which unanswered requests are resent; twice within the decision timeout."""
    settle_resend_s: float = 0.5
    """First interval at which an outcome is resent until each holder has acknowledged it. The interval
    doubles up to ``settle_resend_limit_s``."""
    settle_resend_limit_s: float = 8.0
    settle_give_up_s: float = 60.0
    """Time after which an outcome is no longer resent. A holder that is unresponsive for longer misses it,
    but can pull it from the two others."""
    window_s: float = 86_400.0
    """Time for which a key stays claimed."""
    max_entries: int = 200_000
    """Maximum number of keys at a holder, about 100 MB of memory; the oldest finished keys are evicted
    first."""
    max_answer_bytes: int = 8 * 1024
    """Maximum size of a stored response. A larger one isn't stored, and a resent request gets FINISHED
    without a response."""
    max_answers_bytes: int = 64 * 1024 * 1024
    """Maximum total size of the stored responses at a holder; the oldest are evicted first, but their keys
    stay."""
    tombstone_s: float = 600.0
    """Time for which a withdrawn attempt is rejected; far above any delay of a message."""
    max_tombstones: int = 50_000
    tick_s: float = 0.5
    """Maximum interval of ticks; a tick that comes much later reveals a pause of the process."""
    pause_limit_s: float = 1.5
    """Time by which a tick may be late; after a longer pause the node pulls before it grants again."""
    pull_resend_s: float = 0.3
    page_records: int = 256
    """Maximum number of records in one page; at most about 2 MiB with responses."""
    page_scan: int = 2048
    """Maximum number of records examined for one page; each costs a hash over the ring's members."""
    anchor_keys: int = 32
    """Number of newest finished keys by which a holder with an intact journal indicates its position to a
    peer; enough that some of them finished at the peer as early as at the holder."""
    disk_stall_s: float = 1.0
    """Time in flight after which a batch counts as stalled; the holder grants no new keys until the batch is
    written."""
    disk_retry_s: float = 1.0
    """Delay of a retry on a full disk."""
    incomplete_peer_wait_s: float = 5.0
    """Time after this node's start until a peer with incomplete records counts as pulled; by then live
    claimants have sent their claims. It is also the delay after the start of a whole fleet without disks. If
    all holders have disks, such a peer counts only after ``window_s``, when all lost claims have expired."""
    absent_wait_s: float = 30.0
    """Time after its start from which a holder without a disk proceeds without one unresponsive co-holder."""
