"""Health of one engine as seen by one node: suspicion, overload, stale record, failure rate and speed.

Suspicion is a circuit breaker with half-open trials (Nygard, "Release It!", 2007). An engine that responds
but fails often or is slow is compared with others in :mod:`springmux.gateway.outlier_detection`.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

MIN_SUSPICION_S = 1.0
"""Duration of a first suspicion: about the time in which the directory learns of a lost engine."""
MAX_SUSPICION_S = 8.0
RESET_WINDOW_S = 2.0
"""Two broken connections within this time, with no success between, make an engine suspect."""
UNRESPONSIVE_AFTER_S = 0.5
"""An engine that sent anything within this time may be slow but is not unresponsive."""
OVERLOAD_BACKOFF_STEP_S = 0.1
"""Backoff after a declined request, added again for each further one."""
MAX_OVERLOAD_BACKOFF_S = 0.3
RECORD_DELAY_S = 1.0
"""An engine record that arrives within this time after a misdirection may be older than the misdirection."""
TRIAL_INTERVAL_S = 0.5
"""Interval between the trials of an ejected engine: short enough for a decision within a few seconds."""
OPEN_TRIAL_FACTOR = 2.0
"""Multiple of the suspicion's duration, counted from its end, after which any request may be the trial.
Otherwise a service with only at-most-once requests would never use the engine again."""
SAMPLE_DECAY = 0.93
"""Factor on the weight of older samples at each new one: about the last 14 samples count."""
HALF_LIFE_S = 10.0
"""Half-life of the failure rate and of the pace excess without new samples."""
PACE_SMOOTHING = 0.1
"""Weight of a new pace sample. The mean is geometric, so that one long wait has little effect."""


class ExchangeOutcome(enum.StrEnum):
    """How one attempt at an engine ended."""

    OK = "ok"
    DECLINED_FULL = "declined_full"
    """The engine is full and did not execute the request."""
    MISDIRECTED = "misdirected"
    """Another engine has this address now."""
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
    """No first byte in time."""
    ERROR_STATUS = "error_status"
    ABANDONED = "abandoned"
    """The client disconnected, which says nothing about the engine."""
    TRUNCATED = "cut_short"
    MALFORMED = "garbled"


UNREACHABLE = frozenset({ExchangeOutcome.CONNECT_FAILED, ExchangeOutcome.SILENT})
BROKEN_CONNECTION = frozenset({ExchangeOutcome.RESET, ExchangeOutcome.TRUNCATED})
RESPONDED = frozenset(
    {
        ExchangeOutcome.OK,
        ExchangeOutcome.DECLINED_FULL,
        ExchangeOutcome.ERROR_STATUS,
        ExchangeOutcome.MALFORMED,
    }
)
"""Outcomes that show that the engine responds."""
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
    """Health of one engine at this node; times are monotonic seconds.

    ``closed_until``: time until which the engine gets no ordinary requests; infinite until its state changes.
    ``ejected`` and ``weight`` (fraction 0..1 of its usual requests) are set by outlier detection.
    ``failures`` and ``samples``: decayed counts. ``sample_count``: number of all samples. ``mean_log_pace``:
    mean logarithm of seconds per prompt token, from ``pace_sample_count`` samples.
    """

    closed_until: float = _NEVER
    suspect_until: float = _NEVER
    suspected_at: float = _NEVER
    suspicion_s: float = 0.0
    unreachable: bool = False
    trial_running: bool = False
    trial_due_at: float = _NEVER
    connection_broken_at: float = _NEVER
    overloaded_until: float = _NEVER
    overload_backoff_s: float = 0.0
    stale_until: float = _NEVER
    misdirected_at: float = _NEVER
    last_received_at: float = _NEVER
    ejected: bool = False
    weight: float = 1.0
    failures: float = 0.0
    samples: float = 0.0
    sample_count: int = 0
    sampled_at: float = 0.0
    mean_log_pace: float = 0.0
    pace_sample_count: int = 0
    pace_sampled_at: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the engine is suspected to be lost; a success ends the suspicion."""
        return self.suspect_until > _NEVER

    def is_stale(self, now: float) -> bool:
        """Return whether the address in the directory's record belongs to another engine."""
        return self.stale_until > now

    def may_start_trial(self, now: float, trial_allowed: bool) -> bool:
        """Return whether the next request may be this engine's trial.

        :param trial_allowed: whether the request may be repeated elsewhere.
        """
        if self.trial_running or self.is_stale(now) or self.overloaded_until > now or now < self.trial_due_at:
            return False
        if self.is_suspect:
            return trial_allowed or now >= self.suspect_until + OPEN_TRIAL_FACTOR * self.suspicion_s
        return self.ejected and trial_allowed

    def record_dispatch(self, now: float) -> bool:
        """Record a dispatch; return whether it is the half-open trial."""
        if not (self.is_suspect or self.ejected) or self.trial_running or now < self.trial_due_at:
            return False
        self.trial_running = True
        return True

    def record_received(self, now: float) -> None:
        """Record received bytes, which end the suspicion that the engine is unreachable."""
        self.last_received_at = now
        if self.is_suspect and self.unreachable:
            self._clear_suspicion()

    def record_end(self, outcome: ExchangeOutcome, trial: bool, began_at: float, now: float) -> None:
        """Record the end of an attempt that began at ``began_at``.

        Whether a timeout makes the engine suspect depends on other engines: see :meth:`suspect_unresponsive`.
        """
        if trial:
            self.trial_running = False
            self.trial_due_at = now + TRIAL_INTERVAL_S
        if outcome in RESPONDED:
            self.record_received(now)
        if outcome is ExchangeOutcome.OK:
            self._record_success(now)
        elif outcome in _FAILURES:
            self._add_sample(1.0, now)
        if outcome in UNREACHABLE:
            self._start_suspicion(True, began_at, now)
        elif outcome in BROKEN_CONNECTION:
            self._record_broken_connection(trial, began_at, now)
        elif outcome is ExchangeOutcome.DECLINED_FULL:
            self.overload_backoff_s = min(
                MAX_OVERLOAD_BACKOFF_S, self.overload_backoff_s + OVERLOAD_BACKOFF_STEP_S
            )
            self.overloaded_until = now + self.overload_backoff_s
        elif outcome is ExchangeOutcome.MISDIRECTED:
            self.misdirected_at = now
            self.stale_until = math.inf
        self.update_closed_until()

    def suspect_unresponsive(self, began_at: float, now: float) -> None:
        """Suspect the engine, since a request to it timed out while other engines responded."""
        self._start_suspicion(True, began_at, now)
        self.update_closed_until()

    def apply_new_record(self, moved: bool) -> None:
        """Apply a newer record of the engine; ``moved``: whether its address changed."""
        if self.stale_until == math.inf:
            self.stale_until = _NEVER if moved else self.misdirected_at + RECORD_DELAY_S
        self.update_closed_until()

    def update_closed_until(self) -> None:
        """Recompute ``closed_until`` from the other fields."""
        closed = self.ejected or self.is_suspect
        self.closed_until = math.inf if closed else max(self.overloaded_until, self.stale_until)

    def failure_rate(self, now: float) -> float:
        """Return the recent failure rate (0..1)."""
        if self.samples <= 0.0:
            return 0.0
        return self.failures / self.samples * _decay(now - self.sampled_at)

    def record_pace(self, seconds: float, tokens: float, now: float) -> None:
        """Record the time (s) to a first event, for ``tokens`` prompt tokens including those queued ahead."""
        sample = math.log(max(seconds, 1e-6) / tokens)
        self.mean_log_pace += (sample - self.mean_log_pace) * (
            PACE_SMOOTHING if self.pace_sample_count else 1.0
        )
        self.pace_sample_count += 1
        self.pace_sampled_at = now

    def pace_excess(self, log_median: float, now: float) -> float:
        """Return how many times slower than the median the engine is; decays to 1 as the samples age."""
        return math.exp((self.mean_log_pace - log_median) * _decay(now - self.pace_sampled_at))

    def _record_success(self, now: float) -> None:
        self._add_sample(0.0, now)
        self.connection_broken_at = _NEVER
        self.overload_backoff_s = 0.0
        self._clear_suspicion()

    def _record_broken_connection(self, trial: bool, began_at: float, now: float) -> None:
        if trial or now - self.connection_broken_at <= RESET_WINDOW_S:
            self._start_suspicion(False, began_at, now)
        self.connection_broken_at = now

    def _start_suspicion(self, unreachable: bool, began_at: float, now: float) -> None:
        # Requests that were already in flight when the suspicion began are no new evidence.
        if self.is_suspect and began_at < self.suspected_at:
            return
        self.suspicion_s = min(MAX_SUSPICION_S, max(MIN_SUSPICION_S, 2.0 * self.suspicion_s))
        self.suspected_at = now
        self.suspect_until = self.trial_due_at = now + self.suspicion_s
        self.unreachable = unreachable

    def _clear_suspicion(self) -> None:
        self.suspect_until = self.suspected_at = _NEVER
        self.suspicion_s = 0.0
        self.update_closed_until()

    def _add_sample(self, failure: float, now: float) -> None:
        self.failures = self.failures * SAMPLE_DECAY * _decay(now - self.sampled_at) + failure
        self.samples = self.samples * SAMPLE_DECAY + 1.0
        self.sample_count += 1
        self.sampled_at = now


def _decay(age_s: float) -> float:
    return 1.0 if age_s <= 0.0 else float(0.5 ** (age_s / HALF_LIFE_S))
