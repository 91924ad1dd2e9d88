"""What one node holds against one engine: suspicion, fullness, a stale entry, failures and pace.

Suspicion is a circuit breaker with half-open trials (Nygard, "Release It!", 2007). An engine that answers
but fails or dawdles is compared with its like in :mod:`springmux.gateway.outlier_detection`.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

FIRST_SUSPICION_S = 1.0
"""About the time in which the directory learns of a loss."""
LONGEST_SUSPICION_S = 8.0
CUT_WINDOW_S = 2.0
"""Two cut connections within this time, with no good answer between, make a suspect."""
SILENCE_S = 0.5
"""An engine that answered something this recently is slow at most, not dark."""
FULL_STEP_S = 0.1
"""Pause after one refusal for fullness; each further one adds as much."""
LONGEST_FULL_S = 0.3
STALE_NEWS_S = 1.0
"""News of an engine that comes sooner after a misdirection may be older than the misdirection."""
TRIAL_INTERVAL_S = 0.5
"""Pause between the trials of an engine that is held out: enough for a verdict within some seconds."""
UNSAFE_TRIAL_FACTOR = 2.0
"""An overdue trial is open to any request after this many times the suspicion, or a service with only
at-most-once requests would never get its engine back."""
SAMPLE_DECAY = 0.93
"""Weight of a sample after one more: about the last 14 count."""
HALF_LIFE_S = 10.0
"""Half-life of what isn't confirmed by new samples."""
PACE_WEIGHT = 0.1
"""Weight of a new sample of the pace; the mean is geometric, so one long wait says little."""


class ExchangeOutcome(enum.StrEnum):
    """How one forwarded exchange ended."""

    OK = "ok"
    DECLINED_FULL = "declined_full"
    """The engine is full and surely did not run the request."""
    MISDIRECTED = "misdirected"
    """Another engine has this address."""
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
    """No first byte in time."""
    ERROR_STATUS = "error_status"
    ABANDONED = "abandoned"
    """The client left; says nothing."""
    TRUNCATED = "cut_short"
    MALFORMED = "garbled"


UNREACHABLE = frozenset({ExchangeOutcome.CONNECT_FAILED, ExchangeOutcome.SILENT})
CUT = frozenset({ExchangeOutcome.RESET, ExchangeOutcome.TRUNCATED})
ANSWERED = frozenset(
    {
        ExchangeOutcome.OK,
        ExchangeOutcome.DECLINED_FULL,
        ExchangeOutcome.ERROR_STATUS,
        ExchangeOutcome.MALFORMED,
    }
)
"""Outcomes that prove the engine alive."""
_FAILURES = frozenset(
    {
        ExchangeOutcome.RESET,
        ExchangeOutcome.TIMED_OUT,
        ExchangeOutcome.ERROR_STATUS,
        ExchangeOutcome.TRUNCATED,
        ExchangeOutcome.MALFORMED,
    }
)
_NEVER = -math.inf


@dataclass(eq=False, slots=True)
class EngineHealth:
    """One engine's state at this node; times are monotonic seconds.

    ``closed_until``: ordinary requests don't go there before (infinite: not until something changes).
    ``held_out`` and ``share`` (0..1 of its usual requests) are set by the comparison with other engines.
    """

    closed_until: float = _NEVER
    suspect_until: float = _NEVER
    suspected_at: float = _NEVER
    suspicion_s: float = 0.0
    unreachable: bool = False
    trial_running: bool = False
    trial_due_at: float = _NEVER
    cut_at: float = _NEVER
    full_until: float = _NEVER
    full_s: float = 0.0
    stale_until: float = _NEVER
    misdirected_at: float = _NEVER
    heard_at: float = _NEVER
    held_out: bool = False
    share: float = 1.0
    failures: float = 0.0
    samples: float = 0.0
    counted: int = 0
    counted_at: float = 0.0
    log_pace: float = 0.0
    paced: int = 0
    paced_at: float = 0.0

    @property
    def suspect(self) -> bool:
        """Whether the engine may be dark; a good answer ends it."""
        return self.suspect_until > _NEVER

    def stale(self, now: float) -> bool:
        """Say whether the entry in the directory leads to another engine."""
        return self.stale_until > now

    def trial_open(self, now: float, trial_allowed: bool) -> bool:
        """Say whether the next request may be this engine's trial."""
        if self.trial_running or self.stale(now) or self.full_until > now or now < self.trial_due_at:
            return False
        if self.suspect:
            return trial_allowed or now >= self.suspect_until + UNSAFE_TRIAL_FACTOR * self.suspicion_s
        return self.held_out and trial_allowed

    def began(self, now: float) -> bool:
        """Note a request that is sent; return whether it is the trial."""
        if not (self.suspect or self.held_out) or self.trial_running or now < self.trial_due_at:
            return False
        self.trial_running = True
        return True

    def heard(self, now: float) -> None:
        """Take a sign of life (first byte of an answer): an engine that seemed dark isn't."""
        self.heard_at = now
        if self.suspect and self.unreachable:
            self._trust()

    def ended(self, outcome: ExchangeOutcome, trial: bool, began_at: float, now: float) -> None:
        """Take an exchange's end. A timeout's suspicion depends on others: see :meth:`suspect_dark`."""
        if trial:
            self.trial_running = False
            self.trial_due_at = now + TRIAL_INTERVAL_S
        if outcome in ANSWERED:
            self.heard(now)
        if outcome is ExchangeOutcome.OK:
            self._succeeded(now)
        elif outcome in _FAILURES:
            self._count(1.0, now)
        if outcome in UNREACHABLE:
            self._suspect(True, began_at, now)
        elif outcome in CUT:
            self._cut(trial, began_at, now)
        elif outcome is ExchangeOutcome.DECLINED_FULL:
            self.full_s = min(LONGEST_FULL_S, self.full_s + FULL_STEP_S)
            self.full_until = now + self.full_s
        elif outcome is ExchangeOutcome.MISDIRECTED:
            self.misdirected_at = now
            self.stale_until = math.inf
        self.settle()

    def suspect_dark(self, began_at: float, now: float) -> None:
        """Suspect an engine that let a request time out while others answered."""
        self._suspect(True, began_at, now)
        self.settle()

    def record_changed(self, moved: bool) -> None:
        """Take a newer record of the engine; ``moved``: it has another address."""
        if self.stale_until == math.inf:
            self.stale_until = _NEVER if moved else self.misdirected_at + STALE_NEWS_S
        self.settle()

    def settle(self) -> None:
        """Bring ``closed_until`` up to date."""
        out = self.held_out or self.suspect
        self.closed_until = math.inf if out else max(self.full_until, self.stale_until)

    def failure_rate(self, now: float) -> float:
        """Return the recent share of failures (0..1)."""
        if self.samples <= 0.0:
            return 0.0
        return self.failures / self.samples * _fade(now - self.counted_at)

    def pace(self, seconds: float, tokens: float, now: float) -> None:
        """Take the time to a first event, for the prompt tokens that it had to wait for."""
        sample = math.log(max(seconds, 1e-6) / tokens)
        self.log_pace += (sample - self.log_pace) * (PACE_WEIGHT if self.paced else 1.0)
        self.paced += 1
        self.paced_at = now

    def pace_excess(self, log_median: float, now: float) -> float:
        """Return how much slower than the median it is, as a factor that fades with its samples' age."""
        return math.exp((self.log_pace - log_median) * _fade(now - self.paced_at))

    def _succeeded(self, now: float) -> None:
        self._count(0.0, now)
        self.cut_at = _NEVER
        self.full_s = 0.0
        self._trust()

    def _cut(self, trial: bool, began_at: float, now: float) -> None:
        if trial or now - self.cut_at <= CUT_WINDOW_S:
            self._suspect(False, began_at, now)
        self.cut_at = now

    def _suspect(self, unreachable: bool, began_at: float, now: float) -> None:
        # Requests that were under way when the suspicion arose tell nothing new.
        if self.suspect and began_at < self.suspected_at:
            return
        self.suspicion_s = min(LONGEST_SUSPICION_S, max(FIRST_SUSPICION_S, 2.0 * self.suspicion_s))
        self.suspected_at = now
        self.suspect_until = self.trial_due_at = now + self.suspicion_s
        self.unreachable = unreachable

    def _trust(self) -> None:
        self.suspect_until = self.suspected_at = _NEVER
        self.suspicion_s = 0.0
        self.settle()

    def _count(self, failure: float, now: float) -> None:
        self.failures = self.failures * SAMPLE_DECAY * _fade(now - self.counted_at) + failure
        self.samples = self.samples * SAMPLE_DECAY + 1.0
        self.counted += 1
        self.counted_at = now


def _fade(age_s: float) -> float:
    return 1.0 if age_s <= 0.0 else float(0.5 ** (age_s / HALF_LIFE_S))
