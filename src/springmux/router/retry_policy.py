"""Decides whether one request may be tried on another engine.

Attempts that reached no engine are limited per request only. A retry after an attempt that may have reached
an engine requires a repeatable route, a response of which nothing was forwarded yet, and the node's retry
budget.
"""

from __future__ import annotations

from springmux.control.view import Route
from springmux.router.core import RouterCore

MAX_SENT_ATTEMPTS = 3
"""Maximum number of attempts that may have reached an engine: a request that fails on three engines would
probably fail on others."""
MAX_UNSENT_ATTEMPTS = 4
"""Maximum number of attempts that reached no engine. They cost little, and the simultaneous loss of a few
engines must not fail a request."""
MIN_RETRY_TIME_S = 0.05
"""Minimum time to the deadline for another attempt; in less time no engine could respond."""


class RetryPolicy:
    """Counts the failed attempts of one request. ``sent_attempts``: how many may have reached an engine."""

    __slots__ = ("_core", "_deadline", "_repeatable", "_unsent_attempts", "sent_attempts")

    def __init__(self, core: RouterCore, route: Route, deadline: float) -> None:
        self._core = core
        self._repeatable = route.repeatable
        self._deadline = deadline
        self._unsent_attempts = 0
        self.sent_attempts = 0

    def after_unsent(self, now: float) -> bool:
        """Count an attempt of which no byte was sent; return whether another is allowed."""
        self._unsent_attempts += 1
        return self._unsent_attempts < MAX_UNSENT_ATTEMPTS and self._may_dispatch(now)

    def after_sent(self, response_begun: bool, now: float) -> bool:
        """Count an attempt that may have reached an engine; return whether another is allowed.

        :param response_begun: whether bytes were sent to the client.
        """
        self.sent_attempts += 1
        if response_begun or not self._repeatable:
            return False
        if self.sent_attempts >= MAX_SENT_ATTEMPTS or not self._may_dispatch(now):
            return False
        if self._core.retry_budget.try_acquire(now):
            return True
        self._core.counters.retries_refused += 1
        return False

    def _may_dispatch(self, now: float) -> bool:
        return self._deadline - now > MIN_RETRY_TIME_S and self._core.connected(now)
