"""State of one request (reservation, claim, attempts), and how it ends.

However a request ends, its resources are released exactly once, here.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from springmux.control.view import KeyRecord
from springmux.coordination.state_machine import NEVER, Effect
from springmux.router.claim import Claim
from springmux.router.core import RouterCore
from springmux.router.effects import (
    FlowDone,
    ResponseAborted,
    ResponseData,
    ResponseEnd,
    ResponseError,
    ResponseHead,
)
from springmux.router.errors import STATUS_OF_CODE, RefusalError, error_event
from springmux.router.events import ClientRequest
from springmux.router.exchange import Exchange
from springmux.router.parse import ParsedRequest
from springmux.router.reservation import RequestReservation
from springmux.vocabulary.errors import ApiError, ErrorCode, Fate

LATE_GRANT_WAIT_S = 5.0
"""Maximum time that a finished request waits for a late grant of its claim, in order to release it."""
UPSTREAM_END_WAIT_S = 0.25
"""Maximum time from a complete stream to the proper end of its HTTP response, so that the connection can be
pooled."""


class Stage(enum.Enum):
    """Stage of a request."""

    NEW = "new"
    QUEUED = "queued"
    AWAITING_QUOTA = "awaiting_quota"
    """Has its slot; waits for the reply of the owner of its tenant's quota."""
    CLAIMING = "claiming"
    RUNNING = "running"
    LEAVING_CLAIM = "leaving_claim"
    """Responded; waits for the claim's decision, to release a late grant."""
    LEAVING_UPSTREAM = "leaving_upstream"
    """Responded; waits briefly for the attempt's proper end, so that its connection can be pooled."""
    DONE = "done"


class RequestState:
    """State of one request. ``key`` is set once the client is authenticated."""

    __slots__ = (
        "_claim",
        "_core",
        "_deadline",
        "_effects",
        "_exchange",
        "_head_sent",
        "_on_done",
        "_parsed",
        "_reservation",
        "_stage_until",
        "key",
        "request",
        "stage",
    )

    def __init__(
        self, core: RouterCore, request: ClientRequest, on_done: Callable[[RequestState], None]
    ) -> None:
        """Start in :attr:`Stage.NEW`; ``on_done`` is called once with this object at its end."""
        self._core = core
        self._on_done = on_done
        self.request = request
        self.key: KeyRecord | None = None
        self.stage = Stage.NEW
        self._effects: list[Effect] = []
        self._parsed: ParsedRequest | None = None
        self._reservation: RequestReservation | None = None
        self._claim: Claim | None = None
        self._exchange: Exchange | None = None
        self._head_sent = False
        self._deadline = NEVER
        self._stage_until = NEVER

    def next_deadline(self) -> float:
        """Return when the flow needs a ``Tick`` (monotonic s), or never."""
        if self.stage is Stage.RUNNING and self._exchange is not None:
            return min(self._deadline, self._exchange.timeout_at())
        if self.stage is Stage.QUEUED and self._reservation is not None:
            return self._reservation.next_check_at(self._stage_until)
        if self.stage is Stage.AWAITING_QUOTA and self._reservation is not None:
            return self._reservation.next_quota_check_at(min(self._deadline, self._stage_until))
        if self.stage in (Stage.LEAVING_CLAIM, Stage.LEAVING_UPSTREAM):
            return self._stage_until
        return NEVER if self.stage is Stage.DONE else min(self._deadline, self._stage_until)

    def _refuse(self, refusal: RefusalError, now: float) -> None:
        self._effects.append(ResponseError(refusal.error(self._core.node, self.request.request_id)))
        self._conclude(now)

    def _fail(
        self,
        code: ErrorCode,
        message: str,
        fate: Fate,
        retry_after_s: float | None,
        now: float,
        status: int | None = None,
    ) -> None:
        exchange = self._exchange
        error = ApiError(
            code=code,
            message=message,
            status=status or STATUS_OF_CODE[code],
            fate=fate,
            request_id=self.request.request_id,
            retry_after_s=retry_after_s,
            node=self._core.node,
            engine=exchange.engine_name() if exchange is not None else "",
            version=exchange.version_name() if exchange is not None else "",
        )
        if self._head_sent:
            # Without a last chunk the message is incomplete (RFC 9112, section 8).
            self._effects.append(ResponseData(error_event(error)))
            self._effects.append(ResponseAborted())
        else:
            self._effects.append(ResponseError(error))
        self._conclude(now)

    def _respond(self, head: ResponseHead, body: bytes, now: float) -> None:
        self._effects.extend((head, ResponseData(body), ResponseEnd()))
        self._conclude(now)

    def _conclude(self, now: float) -> None:
        """Release the resources after the response; wait only for a pending claim or an open connection."""
        exchange = self._exchange
        if self._reservation is not None:
            self._reservation.release(exchange.used_tokens() if exchange is not None else 0.0, now)
            self._reservation = None
        if exchange is not None:
            exchange.return_unused_credit(now)
        if self.stage is Stage.CLAIMING:
            self.stage = Stage.LEAVING_CLAIM
            self._stage_until = now + LATE_GRANT_WAIT_S
            return
        self._close(now)

    def _close(self, now: float) -> None:
        exchange = self._exchange
        if self._claim is not None:
            self._effects.extend(self._claim.finish(ran=exchange is not None and exchange.sent))
        if exchange is not None and not exchange.closed:
            self.stage = Stage.LEAVING_UPSTREAM
            self._stage_until = now + UPSTREAM_END_WAIT_S
            return
        self._done()

    def _abandon(self) -> None:
        if self._exchange is not None:
            self._effects.extend(self._exchange.abandon())
        self._done()

    def _done(self) -> None:
        self.stage = Stage.DONE
        self._effects.append(FlowDone())
        self._on_done(self)
