"""Error responses that the gateway itself sends: status, code, message and retry delay."""

from __future__ import annotations

import msgspec

from springmux.gateway.refusals import RefusalReason


class Refusal(msgspec.Struct, frozen=True):
    """An error response that the gateway sends in place of an engine's response.

    ``retry_after_s`` is set only where the request was not executed and a retry may succeed.
    """

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
"""The retry delay is short, since other nodes probably have a current view of revoked keys."""
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
    RefusalReason.NOT_SENT_IN_TIME,
    503,
    "deadline_exceeded",
    "no engine took the request in time",
    0.25,
)


def over_quota(retry_after_s: float) -> Refusal:
    """Return the refusal of a request that exceeds its tenant's quota, with the retry delay in seconds."""
    return Refusal(
        RefusalReason.QUOTA_EXCEEDED, 429, "quota_exceeded", "the tenant's quota is used up", retry_after_s
    )
