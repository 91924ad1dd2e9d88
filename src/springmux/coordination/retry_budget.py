"""Retry budget: how many second attempts a node may add to its own traffic.

A bound on each node bounds the fleet: retries in any window sum up to at most the same share of the
fleet's first attempts, plus the floors (the idea of a budget: Beyer et al., Site Reliability
Engineering, 2016, chapter 21).
"""

from __future__ import annotations

from collections import deque

import msgspec

DEFAULT_SHARE = 0.15
"""Of first attempts; with the floors of all nodes it stays below a fifth of the fleet's traffic."""

DEFAULT_FLOOR = 5
"""Retries in a window beyond the share, so that a node with little traffic can retry at all."""

DEFAULT_WINDOW_S = 10.0

ROUNDING_TOLERANCE = 1e-9
"""Products of floats may end just below a whole number."""


class GrantedRetry(msgspec.Struct, frozen=True):
    """A granted retry, with the counts of requests and retries before it."""

    at: float
    requests_before: int
    retries_before: int


class RetryBudget:
    """In *any* window of ``window_s``, retries are at most ``share`` × first attempts + ``floor``.

    Any window: also one that begins after the requests whose failures are retried, as when traffic
    stops. So a retry must fit into each window that begins at an earlier retry and reaches to now
    (windows that begin elsewhere hold as many requests and fewer retries); later requests only add
    room. Comparing with the last ten seconds alone would let a burst's retries through into a window
    that has none of its requests.
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
        """Use another floor from now on: a fleet's floor is divided among a changing number of nodes."""
        self._floor = floor

    def note_request(self, now: float) -> None:
        """Count a first attempt; ``now`` is monotonic and kept only by the retries after it."""
        self._requests += 1

    def may_retry(self, now: float) -> bool:
        """Take a retry out of the budget at ``now`` (monotonic, s); return whether it is allowed."""
        while self._granted and self._granted[0].at <= now - self._window_s:
            self._granted.popleft()
        if self._floor < 1 or not all(self._fits_since(first) for first in self._granted):
            return False
        self._granted.append(GrantedRetry(now, self._requests, self._retries))
        self._retries += 1
        return True

    def _fits_since(self, first: GrantedRetry) -> bool:
        requests = self._requests - first.requests_before
        retries = self._retries - first.retries_before + 1
        return retries <= self._share * requests + self._floor + ROUNDING_TOLERANCE
