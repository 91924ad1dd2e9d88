"""Prompts per second of each service at this node: the basis of a rollout preview's traffic estimate."""

from __future__ import annotations

from collections import Counter, deque

import msgspec

WINDOW_S = 30.0
"""Long enough to smooth bursts of a few seconds, short enough to follow a daily rise."""


class _Sample(msgspec.Struct, frozen=True):
    at: float
    counts: dict[str, int]


class ServiceRates:
    """Count dispatches, and sample the counts over a sliding window."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._samples: deque[_Sample] = deque()

    def dispatched(self, service: str) -> None:
        """Count one dispatch."""
        self._counts[service] += 1

    def sample(self, now: float) -> None:
        """Sample the counts; to be called about twice a second."""
        self._samples.append(_Sample(now, dict(self._counts)))
        while self._samples[0].at < now - WINDOW_S:
            self._samples.popleft()

    def per_s(self, service: str, window_s: float = WINDOW_S) -> float:
        """Return this node's dispatches per second over the last ``window_s``, 0 without two samples."""
        if len(self._samples) < 2:
            return 0.0
        last = self._samples[-1]
        first = next(sample for sample in self._samples if sample.at >= last.at - window_s)
        dispatched = last.counts.get(service, 0) - first.counts.get(service, 0)
        return dispatched / (last.at - first.at) if last.at > first.at else 0.0
