"""State machine of one request, without I/O.

Order: readiness, key, route and body, admission, quota, claim (at-most-once routes), version, engine,
dispatch, response. Each step may end the request with a typed error, whose fate depends only on whether a
byte may have reached an engine.
"""

from __future__ import annotations

from springmux.control.view import KeyRecord
from springmux.coordination.claims.decision import ClaimVerdict
from springmux.coordination.state_machine import Effect, Event, Tick
from springmux.rollout.outcome import Ending
from springmux.router import parse
from springmux.router.authentication import authenticate
from springmux.router.claim import Claim, claim_key
from springmux.router.effects import ResponseData, ResponseEnd, ResponseHead
from springmux.router.errors import RETRY_AFTER_S, RefusalError
from springmux.router.events import (
    ClaimDecided,
    ClientBlocked,
    ClientDisconnected,
    ClientReady,
    KeyRevoked,
    RequestBegun,
    StopRequested,
    UpstreamData,
    UpstreamEnd,
    UpstreamEvent,
    UpstreamFailed,
    UpstreamHead,
)
from springmux.router.exchange import Exchange
from springmux.router.exchange_state import PROCESS_PAUSE_THRESHOLD_S
from springmux.router.parse import ParsedRequest
from springmux.router.progress import Progress
from springmux.router.request_state import LATE_GRANT_WAIT_S, RequestState, Stage
from springmux.router.reservation import RequestReservation, check_connected, check_serving
from springmux.router.responses import models_body, models_head, replay_headers
from springmux.router.stored_response import decode_response
from springmux.vocabulary.errors import ErrorCode, Fate

CLAIM_TIMEOUT_S = 1.5
"""Maximum wait for the claim's decision; the claimant itself decides UNAVAILABLE before that."""

QUOTA_TIMEOUT_S = 0.3
"""Maximum wait for the reply of the owner of a tenant's quota. The reply takes a request delay of 30 ms and a
round trip, or 0.2 s if the owner first reclaims tokens from other nodes."""

_DIFFERENT_BODY = (
    "this Idempotency-Key named a request with another body, which ran; give each action its own key"
)

_UPSTREAM_EVENTS = (UpstreamData, UpstreamHead, UpstreamEnd, UpstreamFailed)


class RequestFlow(RequestState):
    """Handles the events of one request, from ``RequestBegun`` until it returns ``FlowDone``."""

    __slots__ = ()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute, in order.

        Events after ``FlowDone`` are ignored.
        """
        if self._head_sent and self._exchange is not None and isinstance(event, UpstreamData):
            chunk = self._exchange.forward_chunk(event, now) if self.stage is Stage.RUNNING else None
            if chunk is not None:
                return [ResponseData(chunk)]
        effects: list[Effect] = []
        self._effects = effects
        if self.stage is Stage.DONE:
            return effects
        if isinstance(event, _UPSTREAM_EVENTS):
            self._handle_upstream(event, now)
        elif isinstance(event, Tick):
            if now >= self.next_deadline():
                self._handle_tick(now)
        else:
            self._handle_request_event(event, now)
        return effects

    def _handle_request_event(self, event: Event, now: float) -> None:
        if isinstance(event, RequestBegun):
            self._begin(now)
        elif isinstance(event, ClaimDecided):
            self._handle_claim_decision(event, now)
        elif isinstance(event, ClientDisconnected):
            self._handle_client_disconnected(now)
        elif isinstance(event, ClientBlocked | ClientReady):
            if self._exchange is not None and self.stage is Stage.RUNNING:
                self._exchange.set_client_blocked(isinstance(event, ClientBlocked), now)
        elif isinstance(event, KeyRevoked):
            self._end_early(ErrorCode.REVOKED_KEY, "the key was revoked", None, now)
        elif isinstance(event, StopRequested):
            self._end_early(ErrorCode.STOPPING, "the node is stopping", RETRY_AFTER_S, now)

    def _begin(self, now: float) -> None:
        if self.stage is not Stage.NEW:
            return
        core = self._core
        try:
            check_serving(core, now)
            parse.check_path(self.request)
            self.key = authenticate(self.request.headers, core.view)
            if parse.path_without_query(self.request.path) == parse.MODELS_PATH:
                body = models_body(core.view.configuration)
                self._respond(models_head(self.request.request_id, core.node, body), body, now)
                return
            parsed = parse.parse_request(self.request, core.view.configuration)
            self._parsed = parsed
            self._deadline = now + parsed.route.deadline_s
            self._reservation = RequestReservation(core, self.request.request_id, parsed, self.key, now)
            if self._reservation.granted:
                self._handle_admission(parsed, self._reservation, self.key, now)
            else:
                self.stage = Stage.QUEUED
                wait_until = now + core.admission.limits.queue_timeout_s
                self._stage_until = min(self._deadline, wait_until)
        except RefusalError as refusal:
            self._refuse(refusal, now)

    def _handle_admission(
        self, parsed: ParsedRequest, reservation: RequestReservation, key: KeyRecord, now: float
    ) -> None:
        """Reserve quota for an admitted request; until the quota's owner has replied, the flow waits."""
        if reservation.reserve_quota(now):
            self._handle_quota_reserved(parsed, key, now)
            return
        self.stage = Stage.AWAITING_QUOTA
        self._stage_until = now + QUOTA_TIMEOUT_S

    def _check_quota(self, now: float) -> None:
        reservation, parsed, key = self._reservation, self._parsed, self.key
        if reservation is None or parsed is None or key is None:
            return
        try:
            if reservation.reserve_quota(now, again=True):
                self._handle_quota_reserved(parsed, key, now)
            elif now >= self._stage_until:
                raise reservation.quota_refusal(now)
        except RefusalError as refusal:
            self._refuse(refusal, now)

    def _handle_quota_reserved(self, parsed: ParsedRequest, key: KeyRecord, now: float) -> None:
        if parsed.route.repeatable:
            self._start_exchange(parsed, now)
            return
        new_claim_key = claim_key(parsed, key, self.request.request_id)
        if new_claim_key in self._core.claims_running:
            self._fail_as_duplicate("a request with this Idempotency-Key is running", now)
            return
        self._claim = Claim(new_claim_key, parsed.body, self._core.claims_running)
        self.stage = Stage.CLAIMING
        self._stage_until = now + CLAIM_TIMEOUT_S
        self._effects.append(self._claim.request())

    def _handle_claim_decision(self, event: ClaimDecided, now: float) -> None:
        verdict = event.decision.verdict
        if self._claim is None or self._parsed is None:
            return
        if self.stage is Stage.LEAVING_CLAIM:
            self._claim.granted = verdict is ClaimVerdict.GRANTED
            self._close(now)
            return
        if self.stage is not Stage.CLAIMING:
            return
        self.stage = Stage.RUNNING
        if verdict is ClaimVerdict.GRANTED:
            self._claim.granted = True
            self._start_exchange(self._parsed, now)
        elif verdict is ClaimVerdict.RUNNING:
            self._fail_as_duplicate("a request with this Idempotency-Key is running", now)
        elif verdict is ClaimVerdict.FINISHED:
            self._replay(self._claim, event.decision.answer, now)
        else:
            self._refuse(_claim_unavailable(), now)

    def _replay(self, claim: Claim, data: bytes, now: float) -> None:
        stored = decode_response(data)
        if stored is None:
            self._fail_as_duplicate("the request ran before; its answer is not kept", now)
            return
        if stored.body_digest != claim.body_digest:
            self._fail(ErrorCode.INVALID_REQUEST, _DIFFERENT_BODY, Fate.UNKNOWN, None, now, status=422)
            return
        headers = replay_headers(self.request.request_id, self._core.node, stored)
        self._respond(ResponseHead(stored.status, headers, len(stored.body)), stored.body, now)

    def _fail_as_duplicate(self, message: str, now: float) -> None:
        self._fail(ErrorCode.DUPLICATE_REQUEST, message, Fate.UNKNOWN, RETRY_AFTER_S, now)

    def _start_exchange(self, parsed: ParsedRequest, now: float) -> None:
        self.stage = Stage.RUNNING
        if now >= self._deadline:
            self._fail_at_deadline(now)
            return
        try:
            check_connected(self._core, now)
        except RefusalError as refusal:
            self._refuse(refusal, now)
            return
        self._core.retry_budget.record_request(now)
        self._exchange = Exchange(self._core, self.request, parsed, self._deadline, now)
        self._apply(self._exchange.start(now), now)

    def _handle_upstream(self, event: UpstreamEvent, now: float) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if self.stage is Stage.LEAVING_UPSTREAM:
            self._effects.extend(exchange.handle_after_completion(event))
            if exchange.closed:
                self._done()
        elif self.stage is Stage.RUNNING:
            self._apply(exchange.handle(event, now), now)

    def _apply(self, progress: Progress, now: float) -> None:
        """Append the effects of the attempts' progress; end the request if it is complete or has failed."""
        effects = self._effects
        effects.extend(progress.effects)
        if progress.head is not None:
            self._head_sent = True
            effects.append(progress.head)
        if progress.data:
            effects.append(ResponseData(progress.data))
        if progress.failure is not None:
            failure = progress.failure
            self._fail(failure.code, failure.message, failure.fate, failure.retry_after_s, now)
        elif progress.complete:
            head = progress.head
            if self._claim is not None and head is not None and head.length is not None:
                self._claim.store_response(head, progress.data)
            effects.append(ResponseEnd())
            self._conclude(now)

    def _handle_tick(self, now: float) -> None:
        if self.stage is Stage.QUEUED:
            self._check_slot(now)
        elif self.stage is Stage.LEAVING_CLAIM:
            if now - self._stage_until > PROCESS_PAUSE_THRESHOLD_S:
                self._stage_until = now + LATE_GRANT_WAIT_S
            else:
                self._close(now)
        elif self.stage is Stage.LEAVING_UPSTREAM:
            self._abandon()
        elif now >= self._deadline:
            self._fail_at_deadline(now)
        elif self.stage is Stage.AWAITING_QUOTA:
            self._check_quota(now)
        elif self.stage is Stage.CLAIMING:
            self._refuse(_claim_unavailable(), now)
        elif self.stage is Stage.RUNNING and self._exchange is not None:
            self._apply(self._exchange.time_out(now), now)

    def _check_slot(self, now: float) -> None:
        reservation, parsed, key = self._reservation, self._parsed, self.key
        if reservation is None or parsed is None or key is None:
            return
        if not reservation.granted and now < self._stage_until:
            reservation.record_check(now)
            return
        try:
            if not reservation.granted or now >= self._deadline:
                reservation.count_rejection()
                message = "no slot came free in time"
                raise RefusalError(ErrorCode.OVERLOADED, message, retry_after_s=RETRY_AFTER_S)
            check_connected(self._core, now)
            self._handle_admission(parsed, reservation, key, now)
        except RefusalError as refusal:
            self._refuse(refusal, now)

    def _handle_client_disconnected(self, now: float) -> None:
        if self.stage is Stage.LEAVING_UPSTREAM:
            self._abandon()
        elif self.stage is not Stage.LEAVING_CLAIM:
            if self._exchange is not None:
                self._effects.extend(self._exchange.cancel(Ending.CALLER_GONE, now))
            self._conclude(now)

    def _fail_at_deadline(self, now: float) -> None:
        self._end_early(ErrorCode.DEADLINE_EXCEEDED, "the route's deadline has passed", None, now)

    def _end_early(self, code: ErrorCode, message: str, retry_after_s: float | None, now: float) -> None:
        if self.stage in (Stage.LEAVING_CLAIM, Stage.LEAVING_UPSTREAM):
            return
        exchange = self._exchange
        fate = Fate.REFUSED
        if exchange is not None:
            at_deadline = code is ErrorCode.DEADLINE_EXCEEDED
            ending = exchange.deadline_ending(now) if at_deadline else Ending.CALLER_GONE
            self._effects.extend(exchange.cancel(ending, now))
            fate = exchange.fate()
        self._fail(code, message, fate, retry_after_s, now)


def _claim_unavailable() -> RefusalError:
    message = "no two claim holders answered; it did not run"
    return RefusalError(ErrorCode.CLAIM_UNAVAILABLE, message, retry_after_s=RETRY_AFTER_S)
