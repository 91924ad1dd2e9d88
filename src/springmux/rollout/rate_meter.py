"""Rates of growing counters, smoothed over a few rounds."""

from __future__ import annotations

RATE_WINDOW_S = 3.0
"""Time constant of measured prompt rates: a few rounds, and short compared with the shift's first step."""


class RateMeter:
    """Exponentially smoothed rate of a monotonic counter, per second."""

    def __init__(self, count: int, now: float) -> None:
        self._count = count
        self._at = now
        self.per_s = 0.0
        self._weight = 0.0

    def update(self, count: int, now: float) -> None:
        """Update the rate with the counter's present value; ignore a value that has fallen."""
        passed_s = now - self._at
        if passed_s <= 0 or count < self._count:
            return
        keep = max(0.0, 1.0 - passed_s / RATE_WINDOW_S)
        total = self.per_s * self._weight * keep + (count - self._count) / passed_s * (1 - keep)
        self._weight = self._weight * keep + (1 - keep)
        self.per_s = total / self._weight
        self._count = count
        self._at = now
