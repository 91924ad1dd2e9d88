"""Latency outliers: complete answers so much slower than the stable version's that they count as bad.

The latency tests compare whole distributions. A version that answers only a part of its requests many times
slower may have a normal median, and its fast answers even count in its favour. An answer that takes far
longer than the stable version's is a failure to the client, so such answers of either version go into the
error test.
"""

from __future__ import annotations

from collections import deque

OUTLIER_FACTOR = 2.5
"""Multiple of the stable version's ninth decile above which an answer is an outlier. It is above the
variation that caches and queues cause, and below an answer that is several times slower than usual."""
MAX_LATENCIES = 64
"""Number of newest latencies of a stratum that are kept."""
MIN_LATENCIES = 8
"""With fewer latencies the decile is not meaningful."""
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
        """Add the first-token time of one answer of the stable version, in seconds."""
        self._values.append(first_token_s)
        self._since_update += 1
        if len(self._values) >= MIN_LATENCIES and self._since_update >= UPDATE_EVERY:
            ordered = sorted(self._values)
            self._limit_s = OUTLIER_FACTOR * ordered[int(_DECILE * (len(ordered) - 1))]
            self._since_update = 0

    def is_outlier(self, first_token_s: float) -> bool:
        """Return whether an answer is far slower than the stable version's usual ones."""
        return self._limit_s is not None and first_token_s > self._limit_s
