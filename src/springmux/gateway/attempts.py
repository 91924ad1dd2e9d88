"""Limits on the attempts of one forwarded request.

Unlike in :mod:`springmux.router.retry_policy`, attempts that engines declined have a limit of their own, and
a retry can be reserved from the budget before the running attempt is cancelled.
"""

from __future__ import annotations

import enum

from springmux.control.gateway_configuration import GatewayRoute
from springmux.coordination.retry_budget import RetryBudget

MIN_TIME_LEFT_S = 0.05
"""Shortest time to the deadline in which another engine could respond."""
MAX_UNSENT_ATTEMPTS = 6
"""Maximum number of attempts that sent nothing. With that many engines lost, another attempt is unlikely to
help."""
MAX_DECLINED_ATTEMPTS = 3
"""Maximum number of declined attempts. The service is full then, and another attempt would only add load."""


class AttemptEnd(enum.StrEnum):
    """How an attempt ended that returned no complete response to the client."""

    UNSENT = "unsent"
    """Nothing was sent to the engine."""
    DECLINED = "declined"
    """The engine stated that it did not execute the request."""
    MAY_HAVE_RUN = "may_have_run"
    """The request was sent, and no complete response arrived."""
    ERROR_RESPONSE = "failed_answer"
    """The engine executed the request and responded with an error."""


class AttemptRules:
    """Counts one request's attempts and decides whether another one is allowed."""

    def __init__(self, route: GatewayRoute, budget: RetryBudget, deadline: float) -> None:
        self._route = route
        self._budget = budget
        self._deadline = deadline
        self._executed = 0
        self._unsent = 0
        self._declined = 0
        self._reserved = False
        self.may_have_run = False
        """Whether any engine may have begun to execute the request."""

    @property
    def has_spare_attempt(self) -> bool:
        """Whether another engine may be used if the running attempt is cancelled."""
        return self._route.repeatable and self._executed + 1 < self._route.max_attempts

    def reserve(self, now: float) -> bool:
        """Reserve a retry before the running attempt is cancelled; return whether the budget allows it."""
        if not self.has_spare_attempt or self._reserved or not self._has_time(now):
            return False
        self._reserved = self._budget.try_acquire(now)
        return self._reserved

    def may_try_again(self, end: AttemptEnd, now: float) -> bool:
        """Count an attempt that ended as ``end``; return whether another engine may be used."""
        if end is AttemptEnd.UNSENT:
            self._unsent += 1
            return self._unsent < MAX_UNSENT_ATTEMPTS and self._has_time(now)
        if end is AttemptEnd.DECLINED:
            self._declined += 1
            allowed = self._declined < MAX_DECLINED_ATTEMPTS
        else:
            self._executed += 1
            self.may_have_run = True
            allowed = self._route.repeatable and self._executed < self._route.max_attempts
        if not allowed or not self._has_time(now):
            return False
        reserved, self._reserved = self._reserved, False
        return reserved or self._budget.try_acquire(now)

    def _has_time(self, now: float) -> bool:
        return now + MIN_TIME_LEFT_S < self._deadline
