"""A node's status of a rollout, and the bounded history of samples that the leader records."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.plan import RolloutDecision, RolloutPhase
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName

MAX_SAMPLES = 600
"""Bound of the history. When it is full, every second sample is dropped."""
SAMPLE_INTERVAL_S = 0.5


class EvidenceSummary(msgspec.Struct, frozen=True):
    """Numbers of judged and of bad answers in the merged evidence, and whether the judge passed it."""

    candidate_total: int = 0
    candidate_bad: int = 0
    stable_total: int = 0
    stable_bad: int = 0
    passed: bool = False


class RolloutSample(msgspec.Struct, frozen=True):
    """One point of a rollout's history, over the complete fleet."""

    elapsed_s: float
    phase: RolloutPhase
    weight: float
    prompts: int
    prompts_per_s: float
    sent: int
    committed: int
    evidence: EvidenceSummary


class RolloutStatus(msgspec.Struct, frozen=True):
    """This node's view of a rollout.

    ``prompts`` and ``sent`` are counts of the fleet at the last round; ``credits`` are this node's unspent
    ones. ``lease_age_s``: age of the lease, ``None`` without one. ``waiting``: why the leader takes no step.
    ``zone_order``: the zones in the order in which they get weight, by default by ascending traffic.
    """

    service: ServiceName
    rollout: RolloutId
    stable: VersionName
    candidate: VersionName
    phase: RolloutPhase
    weight: float
    zone_weight: float
    elapsed_s: float
    prompts: int
    sent: int
    credits: int
    lease_age_s: float | None
    evidence: EvidenceSummary
    aborted: bool
    decision: RolloutDecision | None
    waiting: str = ""
    zone_order: tuple[ZoneName, ...] = ()


class SampleHistory:
    """Samples of one rollout. To stay bounded it drops every second sample and doubles the interval."""

    def __init__(self) -> None:
        self._samples: list[RolloutSample] = []
        self._interval_s = SAMPLE_INTERVAL_S
        self._next_at = 0.0

    def add(self, sample: RolloutSample, now: float) -> None:
        """Store ``sample`` if the interval since the last stored one has passed."""
        if now < self._next_at:
            return
        self._next_at = now + self._interval_s
        self._samples.append(sample)
        if len(self._samples) > MAX_SAMPLES:
            self._samples = self._samples[::2]
            self._interval_s *= 2

    def samples(self) -> tuple[RolloutSample, ...]:
        """Return the samples, oldest first."""
        return tuple(self._samples)
