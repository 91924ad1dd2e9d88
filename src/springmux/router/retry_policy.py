"""Decides whether one request may be tried on another engine.

An attempt that reached no engine is limited per request only. A retry after one that may have reached an
engine requires a repeatable route, nothing forwarded to the client yet, and the node's retry budget.
"""

from __future__ import annotations

from springmux.control.view import Route
from springmux.router.core import RouterCore

MAX_SENT_ATTEMPTS = 3
"""A request that fails on three engines would probably fail on others."""
MAX_UNSENT_ATTEMPTS = 4
"""Such attempts cost little, and a few engines lost at once must not fail a request."""
MIN_RETRY_TIME_S = 0.05
"""With less time to the deadline another engine could not respond."""


class RetryPolicy:
    """Counts the failed attempts of one request. ``sent``: how many may have reached an engine."""

    __slots__ = ("_core", "_deadline", "_repeatable", "_unsent", "sent")

    def __init__(self, core: RouterCore, route: Route, deadline: float) -> None:
        self._core = core
        self._repeatable = route.repeatable
        self._deadline = deadline
        self._unsent = 0
        self.sent = 0

    def after_unsent(self, now: float) -> bool:
        """Count an attempt of which no byte was sent; return whether another is allowed."""
        self._unsent += 1
        return self._unsent < MAX_UNSENT_ATTEMPTS and self._may_dispatch(now)

    def after_sent(self, answered: bool, now: float) -> bool:
        """Count an attempt that may have reached an engine; return whether another is allowed.

        :param answered: whether bytes went to the client.
        """
        self.sent += 1
        if answered or not self._repeatable:
            return False
        if self.sent >= MAX_SENT_ATTEMPTS or not self._may_dispatch(now):
            return False
        if self._core.retry_budget.try_acquire(now):
            return True
        self._core.counters.retries_refused += 1
        return False

    def _may_dispatch(self, now: float) -> bool:
        return self._deadline - now > MIN_RETRY_TIME_S and self._core.connected(now)
