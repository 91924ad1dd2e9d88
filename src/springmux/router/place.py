"""What one request holds of the node: its slot (or its place in a queue) and its quota."""

from __future__ import annotations

from springmux.control.view import KeyRecord, RouteKind
from springmux.router.admission import Ticket, TicketState
from springmux.router.core import RouterCore
from springmux.router.errors import RETRY_AFTER_S, RefusalError
from springmux.router.parse import ParsedRequest
from springmux.vocabulary.errors import ErrorCode
from springmux.vocabulary.names import RequestId

QUEUE_POLL_S = 0.05
"""How often a waiting request looks for its slot if the driver has no wake listener."""

QUOTA_POLL_S = 0.02
"""How often a request that waits for its quota's owner tries again."""

CODE_OF_REASON = {"stopping": ErrorCode.STOPPING, "cut off": ErrorCode.CUT_OFF}
"""Reasons given to ``Router.update_readiness`` that have their own error code."""


def check_serving(core: RouterCore, now: float) -> None:
    """Check that the node takes new requests at all.

    :raises RefusalError: ``not_ready``, ``stopping`` or ``cut_off``.
    """
    if not core.ready:
        code = CODE_OF_REASON.get(core.not_ready_reason, ErrorCode.NOT_READY)
        message = f"the node is not ready: {core.not_ready_reason}"
        raise RefusalError(code, message, retry_after_s=RETRY_AFTER_S)
    check_connected(core, now)


def check_connected(core: RouterCore, now: float) -> None:
    """Check, at this very moment, that the node is not cut off (it may just have been thawed).

    :raises RefusalError: ``cut_off``.
    """
    if not core.connected(now):
        message = "the node hears no majority of the fleet"
        raise RefusalError(ErrorCode.CUT_OFF, message, retry_after_s=RETRY_AFTER_S)


class Place:
    """A request's ticket and reservation, from admission until :meth:`leave`."""

    __slots__ = ("_asked", "_core", "_key", "_looked_at", "_parsed", "_reserved", "ticket")

    def __init__(
        self, core: RouterCore, request_id: RequestId, parsed: ParsedRequest, key: KeyRecord, now: float
    ) -> None:
        """Take a slot or queue.

        :raises RefusalError: ``overloaded``.
        """
        self._core = core
        self._parsed = parsed
        self._key = key
        self._asked = 0.0
        self._reserved = 0.0
        self._looked_at = now
        route = parsed.route
        core.counters.requests += 1
        self.ticket: Ticket = core.admission.ask(
            request_id,
            route.traffic_class,
            key,
            core.view.tenants[key.tenant].weight,
            core.service_pressed(route.service, now),
            now,
        )

    @property
    def granted(self) -> bool:
        """Whether the request has its slot."""
        return self.ticket.state is TicketState.GRANTED

    def reserve_quota(self, now: float, again: bool = False) -> bool:
        """Reserve the prompt's tokens and the expected answer's; calls use no tokens.

        :param again: the request waited for the quota's owner and tries once more.
        :returns: ``False`` if the owner has yet to say whether there are tokens.
        :raises RefusalError: ``quota_exceeded``.
        """
        if self._parsed.route.kind is not RouteKind.PROMPT:
            return True
        quota = self._core.quota
        if not again:
            self._asked = self._expected_tokens()
        if quota.reserve(self._key.tenant, self._asked, now, again):
            self._reserved = self._asked
            return True
        self._looked_at = now
        if quota.awaits_owner(self._key.tenant):
            return False
        raise self.quota_refusal(now)

    def _expected_tokens(self) -> float:
        parsed = self._parsed
        answer_tokens = self._core.answer_lengths.expected(parsed.route.name, parsed.max_tokens)
        return parsed.prompt_tokens + answer_tokens

    def quota_refusal(self, now: float) -> RefusalError:
        """Return the refusal for want of the tokens that were asked for."""
        retry_after_s = self._core.quota.retry_after_s(self._key.tenant, self._asked, now)
        message = "the tenant's token quota is used up"
        return RefusalError(ErrorCode.QUOTA_EXCEEDED, message, retry_after_s=retry_after_s)

    def next_quota_look_at(self, wait_until: float) -> float:
        """Return when a request that waits for the quota's owner tries again."""
        return min(wait_until, self._looked_at + QUOTA_POLL_S)

    def next_look_at(self, wait_until: float) -> float:
        """Return when a waiting request looks for its slot next, at the latest at ``wait_until``."""
        if self.granted:
            return self.ticket.since
        if self._core.wake_listener is not None:
            return wait_until
        return min(wait_until, self._looked_at + QUEUE_POLL_S)

    def looked(self, now: float) -> None:
        """Note that there was no slot yet."""
        self._looked_at = now

    def count_shed(self) -> None:
        """Count that the request waited in vain."""
        self._core.admission.count_shed(self.ticket.traffic_class)

    def leave(self, used_tokens: float, now: float) -> None:
        """Give the slot back, settle the quota, and wake those who got the slot."""
        granted = self._core.admission.leave(self.ticket, now)
        if self._reserved:
            self._core.quota.settle(self._key.tenant, self._reserved, used_tokens, now)
            self._reserved = 0.0
        for ticket in granted:
            self._core.wake(ticket.request_id)
