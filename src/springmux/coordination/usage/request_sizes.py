"""Admit probability by request size while an account is over its limit.

A single fleet-wide bucket admits small requests far more often than large ones, since its level is rarely
high enough for a large one. Nodes that only exchange counts approximate this by random draws: the expected
number of tokens is about the same for each request, and no size has a probability of zero.
"""

from __future__ import annotations

from collections import deque

RECENT_REQUESTS = 64
"""Number of requests in the sample of sizes: one second's worth for a busy account."""

EVEN_SHARE = 0.5
"""Fraction of the tokens that is allocated regardless of size, so that large requests don't starve."""


class RequestSizes:
    """Recent request sizes at this node, in tokens."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=RECENT_REQUESTS)

    def record(self, tokens: float) -> None:
        """Add a request to the sample, admitted or not."""
        self._recent.append(tokens)

    def probability(self, tokens: float, fraction: float) -> float:
        """Return the admit probability (0..1) of a request, so that ``fraction`` of all tokens is admitted.

        Beyond the even share, probability times size is equal for all requests (max-min fairness by
        progressive filling), except where the probability is capped at 1.
        """
        if fraction >= 1.0 or tokens <= 0.0:
            return 1.0
        even = EVEN_SHARE * fraction
        level = self._fill_level(fraction * (1.0 - EVEN_SHARE), 1.0 - even)
        return even + min(1.0 - even, level / tokens)

    def _fill_level(self, fraction: float, max_fraction: float) -> float:
        """Return the tokens per request at which all available tokens are allocated.

        A request is allocated at most the fraction ``max_fraction`` of its size.
        """
        remaining = fraction * sum(self._recent)
        count = len(self._recent)
        for size in sorted(self._recent):
            if size * max_fraction * count >= remaining:
                return remaining / count
            remaining -= size * max_fraction
            count -= 1
        return max(self._recent, default=0.0)
