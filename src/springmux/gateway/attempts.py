"""Whether a forwarded request may go to another engine, and what its caller is told if it may not."""

from __future__ import annotations

import enum

import msgspec

from springmux.control.gateway_configuration import GatewayRoute
from springmux.coordination.retry_budget import RetryBudget
from springmux.gateway.refusals import RefusalReason

LEAST_TIME_LEFT_S = 0.05
"""With less time left another engine could not answer."""
MAX_UNSENT_TRIES = 6
"""Engines tried in vain before anything was sent: more are gone than a retry can help with."""
MAX_DECLINED_TRIES = 3
"""Engines that declined: the service is full, and asking on would only add to it."""


class AttemptEnd(enum.StrEnum):
    """How an attempt ended that gave the caller no whole answer."""

    UNSENT = "unsent"
    """Nothing was sent to the engine."""
    DECLINED = "declined"
    """The engine said that it did not run the request."""
    MAY_HAVE_RUN = "may_have_run"
    """It was sent, and no whole answer came."""
    FAILED_ANSWER = "failed_answer"
    """The engine ran it and answered with a failure of its own."""


class AttemptRules:
    """Counts one request's attempts and says whether there may be another."""

    def __init__(self, route: GatewayRoute, budget: RetryBudget, deadline: float) -> None:
        self._route = route
        self._budget = budget
        self._deadline = deadline
        self._runs = 0
        self._unsent = 0
        self._declined = 0
        self._reserved = False
        self.may_have_run = False
        """Whether any engine may have begun to work on the request."""

    @property
    def spare_attempt(self) -> bool:
        """Whether a further engine may be used if the present attempt is given up."""
        return self._route.repeatable and self._runs + 1 < self._route.max_attempts

    def reserve(self, now: float) -> bool:
        """Take a further attempt out of the budget before the present one is given up."""
        if not self.spare_attempt or self._reserved or not self._time_left(now):
            return False
        self._reserved = self._budget.may_retry(now)
        return self._reserved

    def may_try_again(self, end: AttemptEnd, now: float) -> bool:
        """Count an attempt that ended so; say whether another engine may be tried."""
        if end is AttemptEnd.UNSENT:
            self._unsent += 1
            return self._unsent < MAX_UNSENT_TRIES and self._time_left(now)
        if end is AttemptEnd.DECLINED:
            self._declined += 1
            allowed = self._declined < MAX_DECLINED_TRIES
        else:
            self._runs += 1
            self.may_have_run = True
            allowed = self._route.repeatable and self._runs < self._route.max_attempts
        if not allowed or not self._time_left(now):
            return False
        reserved, self._reserved = self._reserved, False
        return reserved or self._budget.may_retry(now)

    def _time_left(self, now: float) -> bool:
        return now + LEAST_TIME_LEFT_S < self._deadline


class Refusal(msgspec.Struct, frozen=True):
    """An answer of the gateway's own. ``retry_after_s`` is set exactly where the request has not run."""

    reason: RefusalReason
    status: int
    code: str
    message: str
    retry_after_s: float | None = None


NO_CONFIGURATION = Refusal(
    RefusalReason.NO_CONFIGURATION, 503, "not_ready", "this node knows no configuration yet", 1.0
)
NO_ROUTE = Refusal(
    RefusalReason.UNKNOWN_ROUTE, 404, "unknown_route", "no route of this host begins with this path"
)
NO_KEY = Refusal(RefusalReason.UNKNOWN_KEY, 401, "unknown_key", "the key is missing or not valid")
KEYS_NOT_CURRENT = Refusal(
    RefusalReason.KEYS_NOT_CURRENT,
    503,
    "keys_not_current",
    "this node is out of contact and can't tell whether the key is still valid",
    0.2,
)
"""Other nodes can probably tell, so the caller may come back soon."""
BODY_TOO_LARGE = Refusal(
    RefusalReason.BODY_TOO_LARGE, 413, "body_too_large", "the body is larger than the limit"
)
NO_ENGINE = Refusal(RefusalReason.NO_ENGINE, 503, "no_engine", "no engine of the service can be reached", 1.0)
ALL_FULL = Refusal(RefusalReason.ENGINES_FULL, 503, "overloaded", "the engines of the service are full", 0.15)
FAILED = Refusal(
    RefusalReason.ENGINE_BROKE_OFF,
    502,
    "engine_broke_off",
    "no whole answer came from an engine; the request may have run",
)
TOO_LATE = Refusal(
    RefusalReason.NO_ANSWER_IN_TIME,
    504,
    "deadline_exceeded",
    "no answer within the time allowed; the request may have run",
)
TOO_LATE_UNSENT = Refusal(
    RefusalReason.NOT_SENT_IN_TIME, 503, "deadline_exceeded", "no engine took the request in time", 0.25
)


def over_quota(retry_after_s: float) -> Refusal:
    """Return the refusal of a request that is over its tenant's quota."""
    return Refusal(
        RefusalReason.QUOTA_EXCEEDED, 429, "quota_exceeded", "the tenant's quota is used up", retry_after_s
    )
