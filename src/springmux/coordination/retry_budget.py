"""Retry budget: a bound on the retries that a node may add to its own traffic.

A bound on each node bounds the fleet: the retries of all nodes in any window are at most the same share of
the fleet's first attempts, plus the sum of the floors. Source of the retry budget: Beyer et al., Site
Reliability Engineering, 2016, chapter 21.
"""

from __future__ import annotations

from collections import deque

import msgspec

DEFAULT_SHARE = 0.15
"""Fraction of first attempts. Retries must stay below about a fifth of the fleet's traffic; 0.15 leaves
room for the floors of all nodes."""

DEFAULT_FLOOR = 5
"""Number of retries in a window allowed beyond the share, so that a node with little traffic can retry.
Twelve nodes may add 60 retries in 10 s, which is 4% of the 1,530 requests that they get in that time."""

DEFAULT_WINDOW_S = 10.0

ROUNDING_TOLERANCE = 1e-9
"""Added to the bound, since a product of floats may lie just below a whole number."""


class GrantedRetry(msgspec.Struct, frozen=True):
    """A granted retry: its time (monotonic, s), and the counts of requests and retries before it."""

    at: float
    requests_before: int
    retries_before: int


class RetryBudget:
    """Limits retries in *any* window of ``window_s`` to ``share`` × first attempts + ``floor``.

    The bound also holds for a window that begins after the requests whose failures are retried, as when
    traffic stops. A retry must therefore fit into each window from an earlier retry until now. Other windows
    need no check: they contain as many requests and fewer retries, and later requests only raise the bound.
    A check of the last ten seconds alone would allow the retries of a burst in a window that contains none
    of the burst's requests.
    """

    def __init__(
        self,
        share: float = DEFAULT_SHARE,
        floor: int = DEFAULT_FLOOR,
        window_s: float = DEFAULT_WINDOW_S,
    ) -> None:
        if not 0.0 <= share <= 1.0 or floor < 0 or window_s <= 0.0:
            raise ValueError("share must lie in 0..1, floor must not be negative, window_s must be positive")
        self._share = share
        self._floor = floor
        self._window_s = window_s
        self._requests = 0
        self._retries = 0
        self._granted: deque[GrantedRetry] = deque()

    def set_floor(self, floor: int) -> None:
        """Change the floor, as when the number of nodes that share the fleet's floor changes."""
        self._floor = floor

    def record_request(self, now: float) -> None:
        """Count a first attempt. Its time ``now`` is not needed, since only granted retries store theirs."""
        self._requests += 1

    def try_acquire(self, now: float) -> bool:
        """Take a retry out of the budget at ``now`` (monotonic, s) if it fits; return whether it does."""
        while self._granted and self._granted[0].at <= now - self._window_s:
            self._granted.popleft()
        if self._floor < 1 or not all(self._fits_since(earlier) for earlier in self._granted):
            return False
        self._granted.append(GrantedRetry(now, self._requests, self._retries))
        self._retries += 1
        return True

    def _fits_since(self, earlier: GrantedRetry) -> bool:
        requests = self._requests - earlier.requests_before
        retries = self._retries - earlier.retries_before + 1
        return retries <= self._share * requests + self._floor + ROUNDING_TOLERANCE
