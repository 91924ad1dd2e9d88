"""Latency outliers: complete answers so slow, against the stable version's, that they count as bad.

The latency tests compare complete distributions: a version of which only a part of the answers is many times
slower may have a usual median, and its quick half even speaks for it. Far beyond what the stable version
takes, an answer is a failure to its client; such answers go into the error test, for both versions alike.
"""

from __future__ import annotations

from collections import deque

OUTLIER_FACTOR = 2.5
"""Times the stable version's ninth decile: above the spread of caches and queues, below "several times
slower" than a usual answer."""
MAX_LATENCIES = 64
MIN_LATENCIES = 8
"""With fewer the decile says nothing."""
UPDATE_EVERY = 4
_DECILE = 0.9


class StableLatencies:
    """The newest first-token times of the stable version in one stratum, in seconds."""

    __slots__ = ("_limit_s", "_since_update", "_values")

    def __init__(self) -> None:
        self._values: deque[float] = deque(maxlen=MAX_LATENCIES)
        self._limit_s: float | None = None
        self._since_update = 0

    def add(self, first_token_s: float) -> None:
        """Add one answer of the stable version."""
        self._values.append(first_token_s)
        self._since_update += 1
        if len(self._values) >= MIN_LATENCIES and self._since_update >= UPDATE_EVERY:
            ordered = sorted(self._values)
            self._limit_s = OUTLIER_FACTOR * ordered[int(_DECILE * (len(ordered) - 1))]
            self._since_update = 0

    def is_outlier(self, first_token_s: float) -> bool:
        """Return whether an answer is far slower than the stable version's usual ones."""
        return self._limit_s is not None and first_token_s > self._limit_s
