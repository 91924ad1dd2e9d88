"""One request from its reading to its end: a state machine without I/O.

Order: readiness, key, route and body, admission, quota, claim (at-most-once routes), version, engine,
dispatch, answer. Each step may end the request with a typed error; which fate that error tells depends
only on whether a byte may have reached an engine.
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
from springmux.router.exchange_state import FROZEN_S
from springmux.router.parse import ParsedRequest
from springmux.router.place import Place, check_connected, check_serving
from springmux.router.progress import Progress
from springmux.router.request_state import CLAIM_LEAVE_S, RequestState, Stage
from springmux.router.responses import models_body, models_head, replay_headers
from springmux.router.stored_response import decode_answer
from springmux.vocabulary.errors import ErrorCode, Fate

CLAIM_WAIT_S = 1.5
"""Longest wait for claim holders; they answer in a round trip, and decide UNAVAILABLE before that."""

QUOTA_WAIT_S = 0.3
"""Longest wait for the owner of a tenant's quota. It's asked within 30 ms and answers in a round trip; a
request that it has no tokens for is refused at once, one without its word after this. Tokens that it takes
back from other nodes come within an ask period (0.2 s)."""

_OTHER_BODY = (
    "this Idempotency-Key named a request with another body, which ran; give each action its own key"
)

_UPSTREAM_EVENTS = (UpstreamData, UpstreamHead, UpstreamEnd, UpstreamFailed)


class RequestFlow(RequestState):
    """The events of one request, from ``RequestBegun`` until it asks for ``FlowDone``."""

    __slots__ = ()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event; return what is to be done, in order. After ``FlowDone`` events are ignored."""
        if self._head_sent and self._exchange is not None and isinstance(event, UpstreamData):
            piece = self._exchange.take_piece(event, now) if self.stage is Stage.RUNNING else None
            if piece is not None:
                return [ResponseData(piece)]
        effects: list[Effect] = []
        self._effects = effects
        if self.stage is Stage.DONE:
            return effects
        if isinstance(event, _UPSTREAM_EVENTS):
            self._take_upstream(event, now)
        elif isinstance(event, Tick):
            if now >= self.next_deadline():
                self._take_tick(now)
        elif isinstance(event, RequestBegun):
            self._begin(now)
        elif isinstance(event, ClaimDecided):
            self._take_claim(event, now)
        elif isinstance(event, ClientDisconnected):
            self._caller_gone(now)
        elif isinstance(event, ClientBlocked | ClientReady):
            if self._exchange is not None and self.stage is Stage.RUNNING:
                self._exchange.caller_blocked(isinstance(event, ClientBlocked), now)
        elif isinstance(event, KeyRevoked):
            self._end_early(ErrorCode.REVOKED_KEY, "the key was revoked", None, now)
        elif isinstance(event, StopRequested):
            self._end_early(ErrorCode.STOPPING, "the node is stopping", RETRY_AFTER_S, now)
        return effects

    def _begin(self, now: float) -> None:
        if self.stage is not Stage.NEW:
            return
        core = self._core
        try:
            check_serving(core, now)
            parse.check_path(self.request)
            self.key = authenticate(self.request.headers, core.view)
            if parse.plain_path(self.request.path) == parse.MODELS_PATH:
                body = models_body(core.view.configuration)
                self._answer(models_head(self.request.request_id, core.node, body), body, now)
                return
            parsed = parse.parse_request(self.request, core.view.configuration)
            self._parsed = parsed
            self._deadline = now + parsed.route.deadline_s
            self._place = Place(core, self.request.request_id, parsed, self.key, now)
            if self._place.granted:
                self._admitted(parsed, self._place, self.key, now)
            else:
                self.stage = Stage.QUEUED
                wait_until = now + core.admission.limits.queue_timeout_s
                self._stage_until = min(self._deadline, wait_until)
        except RefusalError as refusal:
            self._refuse(refusal, now)

    def _admitted(self, parsed: ParsedRequest, place: Place, key: KeyRecord, now: float) -> None:
        """Go on with a slot: quota, then claim, then dispatch."""
        if place.reserve_quota(now):
            self._reserved(parsed, key, now)
            return
        self.stage = Stage.AWAITING_QUOTA
        self._stage_until = now + QUOTA_WAIT_S

    def _look_for_quota(self, now: float) -> None:
        place, parsed, key = self._place, self._parsed, self.key
        if place is None or parsed is None or key is None:
            return
        try:
            if place.reserve_quota(now, again=True):
                self._reserved(parsed, key, now)
            elif now >= self._stage_until:
                raise place.quota_refusal(now)
        except RefusalError as refusal:
            self._refuse(refusal, now)

    def _reserved(self, parsed: ParsedRequest, key: KeyRecord, now: float) -> None:
        if parsed.route.repeatable:
            self._run(parsed, now)
            return
        name = claim_key(parsed, key, self.request.request_id)
        if name in self._core.claims_running:
            self._duplicate("a request with this Idempotency-Key is running", now)
            return
        self._claim = Claim(name, parsed.body, self._core.claims_running)
        self.stage = Stage.CLAIMING
        self._stage_until = now + CLAIM_WAIT_S
        self._effects.append(self._claim.ask())

    def _take_claim(self, event: ClaimDecided, now: float) -> None:
        verdict = event.decision.verdict
        if self._claim is None or self._parsed is None:
            return
        if self.stage is Stage.LEAVING_CLAIM:
            self._claim.held = verdict is ClaimVerdict.GRANTED
            self._close(now)
            return
        if self.stage is not Stage.CLAIMING:
            return
        self.stage = Stage.RUNNING
        if verdict is ClaimVerdict.GRANTED:
            self._claim.held = True
            self._run(self._parsed, now)
        elif verdict is ClaimVerdict.RUNNING:
            self._duplicate("a request with this Idempotency-Key is running", now)
        elif verdict is ClaimVerdict.FINISHED:
            self._replay(self._claim, event.decision.answer, now)
        else:
            self._refuse(_claim_unavailable(), now)

    def _replay(self, claim: Claim, data: bytes, now: float) -> None:
        kept = decode_answer(data)
        if kept is None:
            self._duplicate("the request ran before; its answer is not kept", now)
            return
        if kept.body_digest != claim.body_digest:
            self._fail(ErrorCode.INVALID_REQUEST, _OTHER_BODY, Fate.UNKNOWN, None, now, status=422)
            return
        headers = replay_headers(self.request.request_id, self._core.node, kept)
        self._answer(ResponseHead(kept.status, headers, len(kept.body)), kept.body, now)

    def _duplicate(self, message: str, now: float) -> None:
        self._fail(ErrorCode.DUPLICATE_REQUEST, message, Fate.UNKNOWN, RETRY_AFTER_S, now)

    def _run(self, parsed: ParsedRequest, now: float) -> None:
        self.stage = Stage.RUNNING
        if now >= self._deadline:
            self._deadline_passed(now)
            return
        try:
            check_connected(self._core, now)
        except RefusalError as refusal:
            self._refuse(refusal, now)
            return
        self._core.retry_budget.note_request(now)
        self._exchange = Exchange(self._core, self.request, parsed, self._deadline, now)
        self._apply(self._exchange.start(now), now)

    def _take_upstream(self, event: UpstreamEvent, now: float) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if self.stage is Stage.LEAVING_UPSTREAM:
            self._effects.extend(exchange.leave(event))
            if exchange.left:
                self._done()
        elif self.stage is Stage.RUNNING:
            self._apply(exchange.take(event, now), now)

    def _apply(self, progress: Progress, now: float) -> None:
        """Carry out what the exchange with the engines came to."""
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
        elif progress.whole:
            head = progress.head
            if self._claim is not None and head is not None and head.length is not None:
                self._claim.keep(head, progress.data)
            effects.append(ResponseEnd())
            self._conclude(now)

    def _take_tick(self, now: float) -> None:
        if self.stage is Stage.QUEUED:
            self._look_for_slot(now)
        elif self.stage is Stage.LEAVING_CLAIM:
            if now - self._stage_until > FROZEN_S:
                self._stage_until = now + CLAIM_LEAVE_S
            else:
                self._close(now)
        elif self.stage is Stage.LEAVING_UPSTREAM:
            self._abandon()
        elif now >= self._deadline:
            self._deadline_passed(now)
        elif self.stage is Stage.AWAITING_QUOTA:
            self._look_for_quota(now)
        elif self.stage is Stage.CLAIMING:
            self._refuse(_claim_unavailable(), now)
        elif self.stage is Stage.RUNNING and self._exchange is not None:
            self._apply(self._exchange.time_out(now), now)

    def _look_for_slot(self, now: float) -> None:
        place, parsed, key = self._place, self._parsed, self.key
        if place is None or parsed is None or key is None:
            return
        if not place.granted and now < self._stage_until:
            place.looked(now)
            return
        try:
            if not place.granted or now >= self._deadline:
                place.count_shed()
                message = "no slot came free in time"
                raise RefusalError(ErrorCode.OVERLOADED, message, retry_after_s=RETRY_AFTER_S)
            check_connected(self._core, now)
            self._admitted(parsed, place, key, now)
        except RefusalError as refusal:
            self._refuse(refusal, now)

    def _caller_gone(self, now: float) -> None:
        if self.stage is Stage.LEAVING_UPSTREAM:
            self._abandon()
        elif self.stage is not Stage.LEAVING_CLAIM:
            if self._exchange is not None:
                self._effects.extend(self._exchange.cancel(Ending.CALLER_GONE, now))
            self._conclude(now)

    def _deadline_passed(self, now: float) -> None:
        self._end_early(ErrorCode.DEADLINE_EXCEEDED, "the route's deadline has passed", None, now)

    def _end_early(self, code: ErrorCode, message: str, retry_after_s: float | None, now: float) -> None:
        if self.stage in (Stage.LEAVING_CLAIM, Stage.LEAVING_UPSTREAM):
            return
        exchange = self._exchange
        fate = Fate.REFUSED
        if exchange is not None:
            late = code is ErrorCode.DEADLINE_EXCEEDED
            ending = exchange.deadline_ending(now) if late else Ending.CALLER_GONE
            self._effects.extend(exchange.cancel(ending, now))
            fate = exchange.fate()
        self._fail(code, message, fate, retry_after_s, now)


def _claim_unavailable() -> RefusalError:
    message = "no two claim holders answered; it did not run"
    return RefusalError(ErrorCode.CLAIM_UNAVAILABLE, message, retry_after_s=RETRY_AFTER_S)
