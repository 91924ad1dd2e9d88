"""Dispatches per second of each service at this node, from which a rollout preview estimates its traffic."""

from __future__ import annotations

from collections import Counter, deque

import msgspec

WINDOW_S = 30.0
"""Length of the sliding window: smooths bursts of a few seconds and still follows a daily rise in traffic."""


class _Sample(msgspec.Struct, frozen=True):
    at: float
    counts: dict[str, int]


class ServiceRates:
    """Counts dispatches per service, and samples the counts over a sliding window."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._samples: deque[_Sample] = deque()

    def record_dispatch(self, service: str) -> None:
        """Count one request that is sent to an engine of ``service``."""
        self._counts[service] += 1

    def sample(self, now: float) -> None:
        """Sample the counts at ``now``, in seconds. Must be called about twice a second."""
        self._samples.append(_Sample(now, dict(self._counts)))
        while self._samples[0].at < now - WINDOW_S:
            self._samples.popleft()

    def per_s(self, service: str, window_s: float = WINDOW_S) -> float:
        """Return this node's dispatches per second over the last ``window_s``; 0 without two samples."""
        if len(self._samples) < 2:
            return 0.0
        last = self._samples[-1]
        first = next(sample for sample in self._samples if sample.at >= last.at - window_s)
        dispatched = last.counts.get(service, 0) - first.counts.get(service, 0)
        return dispatched / (last.at - first.at) if last.at > first.at else 0.0
