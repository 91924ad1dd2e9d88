"""Samples of rollouts over time, kept in memory for ``springmux rollout report``."""

from __future__ import annotations

import time
from collections import deque
from typing import Any

import msgspec

from springmux.rollout.plan import TERMINAL_PHASES
from springmux.rollout.status import RolloutStatus

SAMPLE_PERIOD_S = 0.5
"""Period of sampling. Two samples a second show each step of a 60 s rollout."""
MAX_SAMPLES = 7200
"""Number of samples kept per service: an hour at the sample period."""


class RolloutSample(msgspec.Struct, frozen=True):
    """A rollout's status as this node knew it at monotonic time ``at_s``.

    ``wall_time`` (seconds since 1970) only labels the sample.
    """

    at_s: float
    wall_time: float
    status: dict[str, Any]


class RolloutSamples(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/rollouts/{service}/history``."""

    service: str
    samples: tuple[RolloutSample, ...]


class RolloutHistory:
    """Keeps a bounded series of samples for each service."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[RolloutSample]] = {}

    def add(self, service: str, status: RolloutStatus, now: float) -> None:
        """Add one sample at monotonic time ``now``; an ended rollout is sampled once."""
        series = self._samples.setdefault(service, deque(maxlen=MAX_SAMPLES))
        fields = msgspec.to_builtins(status)
        if series and status.phase in TERMINAL_PHASES and _same_final_status(series[-1].status, fields):
            return
        series.append(RolloutSample(at_s=now, wall_time=time.time(), status=fields))

    def samples_of(self, service: str) -> RolloutSamples:
        """Return the samples of a service, oldest first."""
        return RolloutSamples(service=service, samples=tuple(self._samples.get(service, ())))


def _same_final_status(one: dict[str, Any], other: dict[str, Any]) -> bool:
    return all(one[name] == other[name] for name in ("rollout", "phase", "weight"))
