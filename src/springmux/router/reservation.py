"""Resources reserved for one request: its admission slot and its quota tokens."""

from __future__ import annotations

from springmux.control.view import KeyRecord, RouteKind
from springmux.router.admission import AdmissionRequest, AdmissionState
from springmux.router.core import RouterCore
from springmux.router.errors import RETRY_AFTER_S, RefusalError
from springmux.router.parse import ParsedRequest
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import RequestId

QUEUE_POLL_INTERVAL_S = 0.05
"""Interval at which a queued request checks for its slot if the driver has no wake listener."""

QUOTA_POLL_INTERVAL_S = 0.02
"""Interval at which a request retries its quota reservation while the owner has not replied."""

CODE_OF_REASON = {"stopping": ErrorCode.STOPPING, "cut off": ErrorCode.CUT_OFF}
"""Error codes of the reasons passed to ``Router.update_readiness``; all others are ``not_ready``."""


def check_serving(core: RouterCore, now: float) -> None:
    """Check that the node accepts new requests.

    :raises RefusalError: ``not_ready``, ``stopping`` or ``cut_off``.
    """
    if not core.ready:
        code = CODE_OF_REASON.get(core.not_ready_reason, ErrorCode.NOT_READY)
        message = f"the node is not ready: {core.not_ready_reason}"
        raise RefusalError(code, message, retry_after_s=RETRY_AFTER_S)
    check_connected(core, now)


def check_connected(core: RouterCore, now: float) -> None:
    """Check that the node is not partitioned.

    An earlier check may be out of date, since the node's process may just have been resumed after a pause.

    :raises RefusalError: ``cut_off``.
    """
    if not core.connected(now):
        message = "the node hears no majority of the fleet"
        raise RefusalError(ErrorCode.CUT_OFF, message, retry_after_s=RETRY_AFTER_S)


class RequestReservation:
    """A request's admission slot and quota reservation, until :meth:`release`."""

    __slots__ = (
        "_checked_at",
        "_core",
        "_key",
        "_parsed",
        "_requested_tokens",
        "_reserved_tokens",
        "admission_request",
    )

    def __init__(
        self, core: RouterCore, request_id: RequestId, parsed: ParsedRequest, key: KeyRecord, now: float
    ) -> None:
        """Acquire a slot, or queue for one.

        :raises RefusalError: ``overloaded``.
        """
        self._core = core
        self._parsed = parsed
        self._key = key
        self._requested_tokens = 0.0
        self._reserved_tokens = 0.0
        self._checked_at = now
        route = parsed.route
        core.counters.requests += 1
        self.admission_request: AdmissionRequest = core.admission.request_slot(
            request_id,
            route.traffic_class,
            key,
            core.view.tenants[key.tenant].weight,
            core.service_under_pressure(route.service, now),
            now,
        )

    @property
    def granted(self) -> bool:
        """Whether the request has a slot."""
        return self.admission_request.state is AdmissionState.GRANTED

    def reserve_quota(self, now: float, again: bool = False) -> bool:
        """Reserve tokens for the prompt and the expected response; calls use none.

        :param again: whether this repeats a reservation that waits for the quota's owner.
        :returns: ``False`` while the owner has not replied.
        :raises RefusalError: ``quota_exceeded``.
        """
        if self._parsed.route.kind is not RouteKind.PROMPT:
            return True
        quota = self._core.quota
        if not again:
            self._requested_tokens = self._expected_tokens()
        if quota.reserve(self._key.tenant, self._requested_tokens, now, again):
            self._reserved_tokens = self._requested_tokens
            return True
        self._checked_at = now
        if quota.awaits_owner(self._key.tenant):
            return False
        raise self.quota_refusal(now)

    def _expected_tokens(self) -> float:
        parsed = self._parsed
        response_tokens = self._core.response_lengths.expected(parsed.route.name, parsed.max_tokens)
        return parsed.prompt_tokens + response_tokens

    def quota_refusal(self, now: float) -> RefusalError:
        """Return the error for a quota without the requested tokens."""
        retry_after_s = self._core.quota.retry_after_s(self._key.tenant, self._requested_tokens, now)
        message = "the tenant's token quota is used up"
        return RefusalError(ErrorCode.QUOTA_EXCEEDED, message, retry_after_s=retry_after_s)

    def next_quota_check_at(self, wait_until: float) -> float:
        """Return when to retry a quota reservation (monotonic s), at the latest at ``wait_until``."""
        return min(wait_until, self._checked_at + QUOTA_POLL_INTERVAL_S)

    def next_check_at(self, wait_until: float) -> float:
        """Return when to check for a slot next (monotonic s), at the latest at ``wait_until``."""
        if self.granted:
            return self.admission_request.since
        if self._core.wake_listener is not None:
            return wait_until
        return min(wait_until, self._checked_at + QUEUE_POLL_INTERVAL_S)

    def record_check(self, now: float) -> None:
        """Record a check that found no slot."""
        self._checked_at = now

    def count_rejection(self) -> None:
        """Count the request as rejected after waiting."""
        self._core.admission.count_rejection(self.admission_request.traffic_class)

    def release(self, used_tokens: float, now: float) -> None:
        """Release the slot, charge the used tokens, and wake the queued requests that get a slot."""
        granted = self._core.admission.release(self.admission_request, now)
        if self._reserved_tokens:
            self._core.quota.settle(self._key.tenant, self._reserved_tokens, used_tokens, now)
            self._reserved_tokens = 0.0
        for request in granted:
            self._core.wake(request.request_id)
