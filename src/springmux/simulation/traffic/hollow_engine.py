"""A hollow back end: the engine model behind an address in virtual time, and what it tells the fleet."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from springmux.coordination.identifiers import Address, NodeId
from springmux.router.effects import Dispatch
from springmux.router.events import (
    UpstreamCause,
    UpstreamData,
    UpstreamEnd,
    UpstreamEvent,
    UpstreamFailed,
    UpstreamHead,
)
from springmux.simulation.engine_model import (
    GOOD,
    AnswerFault,
    AnswerPlan,
    EngineModel,
    VersionBehaviour,
)
from springmux.simulation.traffic.engine_reports import EngineLoadSample, EngineReporter, ReportReceiver
from springmux.simulation.world.scheduler import Scheduler
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import RequestId, RouteName


class EngineObserver(Protocol):
    """Who is told what the engine did, for the history."""

    def executed(self, engine: HollowEngine, action: str, request: RequestId) -> None:
        """A call was carried out."""
        ...

    def stopping(self, engine: HollowEngine, node: NodeId) -> None:
        """A node was told that the engine drains or leaves."""
        ...


class ChatFields(msgspec.Struct):
    """What the engine needs of a prompt's body."""

    model: str
    messages: list[dict[str, str]]
    max_tokens: int = 16


class EngineExchange:
    """One connection with one request. ``reply`` takes what the engine sends, until it is closed."""

    __slots__ = ("bad", "closed", "dispatch", "fault", "reply", "request")

    def __init__(
        self, dispatch: Dispatch, request: RequestId, reply: Callable[[UpstreamEvent], None]
    ) -> None:
        self.dispatch = dispatch
        self.request = request
        self.reply = reply
        self.closed = False
        self.bad = False
        """Whether the answer departs from a good version's, and nobody has noticed yet."""
        self.fault = AnswerFault.NONE


def piece_text(request: str, engine: str, seq: int) -> str:
    """Return the text of one piece, from which a caller sees whose answer it is, and whence."""
    return f"{request}.{engine}.{seq}"


class HollowEngine:
    """One back end process at one address.

    ``thinning``: tokens in one piece of a stream; more than 1 makes runs faster.
    """

    def __init__(
        self,
        record: EngineRecord,
        model: EngineModel | None,
        behaviour: VersionBehaviour,
        scheduler: Scheduler,
        clock: Callable[[], float],
        nodes: ReportReceiver,
        watch: EngineObserver,
        source: random.Random,
        work_s: float = 0.015,
        thinning: int = 1,
    ) -> None:
        self.model = model
        self.behaviour = behaviour
        self.running = False
        self.dark = False
        self._scheduler = scheduler
        self._clock = clock
        self._watch = watch
        self._random = source
        self._work_s = work_s
        self._thinning = thinning
        self._exchanges: dict[RequestId, EngineExchange] = {}
        self._waiting: dict[RequestId, EngineExchange] = {}
        self._life = 0
        self._reporter = EngineReporter(
            record, self._figures, scheduler, clock, nodes, lambda node: watch.stopping(self, node), source
        )

    @property
    def record(self) -> EngineRecord:
        """Return what the engine says of itself."""
        return self._reporter.record

    @property
    def draining(self) -> bool:
        """Return whether the engine has asked for no more requests."""
        return self._reporter.draining

    # Its life

    def start(self) -> None:
        """Listen, announce (until a node takes it), and send heartbeats."""
        self.running = True
        self._life += 1
        if self.model is not None:
            # A version that turns bad late does so by its process's age, at all engines alike.
            self.model.bad_since = self._clock()
        self._reporter.start()

    def start_again(self, incarnation: int, model: EngineModel | None) -> None:
        """Start after a crash, under the same name and address, with a cold cache."""
        self._reporter.record = msgspec.structs.replace(self.record, incarnation=incarnation)
        self._reporter.draining = False
        self.model = model
        self.go_dark(False)
        self.start()

    def crash(self) -> None:
        """Vanish: every connection is reset, nothing is said."""
        self.running = False
        self._life += 1
        self._reporter.end()
        exchanges, self._exchanges = list(self._exchanges.values()), {}
        self._waiting.clear()
        if self.model is not None:
            for exchange in exchanges:
                self.model.leave(exchange.request)
        for exchange in exchanges:
            if not exchange.closed:
                exchange.closed = True
                exchange.bad = False
                exchange.reply(UpstreamFailed(exchange.dispatch.attempt, UpstreamCause.RESET, sent=True))

    def go_dark(self, dark: bool) -> None:
        """Accept connections and say nothing more, or speak again (what waited stays lost)."""
        self.dark = dark
        self._reporter.dark = dark

    def drain(self) -> None:
        """Say that no new request shall come."""
        self._reporter.drain()

    def leave(self) -> None:
        """Say goodbye and stop; what still runs is reset."""
        self._reporter.leave()
        self.crash()

    def _figures(self) -> EngineLoadSample:
        model = self.model
        if model is None:
            return EngineLoadSample(len(self._exchanges), 0, 0.0)
        return EngineLoadSample(model.running, model.queued, model.cache.used_share)

    # Its exchanges

    def accept(self, exchange: EngineExchange) -> None:
        """Take a request."""
        if self.dark:
            return
        self._exchanges[exchange.request] = exchange
        if self.model is None:
            self._call(exchange)
        elif self.model.arrive(exchange.request):
            self._prompt(exchange, self.model)
        else:
            self._waiting[exchange.request] = exchange

    def closed(self, exchange: EngineExchange) -> None:
        """The node closed the connection. A call goes on regardless, as services do."""
        exchange.closed = True
        if self.model is not None:
            self._leave(exchange)

    def _leave(self, exchange: EngineExchange) -> None:
        if self._exchanges.pop(exchange.request, None) is None or self.model is None:
            return
        self._waiting.pop(exchange.request, None)
        successor = self.model.leave(exchange.request)
        waiting = self._waiting.pop(successor, None) if successor is not None else None
        if waiting is not None:
            self._prompt(waiting, self.model)

    def _later(self, delay_s: float, exchange: EngineExchange, action: Callable[[], None]) -> None:
        life = self._life

        def act() -> None:
            if life == self._life and not exchange.closed and not self.dark:
                action()

        self._scheduler.after(delay_s, act)

    def _prompt(self, exchange: EngineExchange, model: EngineModel) -> None:
        chat = msgspec.json.decode(exchange.dispatch.body, type=ChatFields)
        now = self._clock()
        text = "\n".join(message["content"] for message in chat.messages).encode()
        plan = model.plan(text, RouteName(chat.model), now)
        exchange.bad = plan.departs
        exchange.fault = plan.fault
        if plan.fault is not AnswerFault.SILENT:
            self._later(plan.first_piece_delay_s, exchange, lambda: self._begin(exchange, model, chat, plan))

    def _begin(
        self, exchange: EngineExchange, model: EngineModel, chat: ChatFields, plan: AnswerPlan
    ) -> None:
        attempt = exchange.dispatch.attempt
        if plan.fault is AnswerFault.ERROR:
            self._head(exchange, 500, "application/json", exchange.request)
            self._end(exchange)
            return
        wrong = plan.fault is AnswerFault.WRONG_ID
        name = RequestId("crossed-" + exchange.request) if wrong else exchange.request
        self._head(exchange, 200, "text/event-stream", name)
        if plan.fault is AnswerFault.GARBAGE:
            exchange.reply(UpstreamData(attempt, b"data: {not json\n\n"))
            self._end(exchange)
            return
        pieces = max(1, chat.max_tokens // self._thinning)
        self._piece(exchange, model, chat, plan, 0, pieces)

    def _piece(
        self,
        exchange: EngineExchange,
        model: EngineModel,
        chat: ChatFields,
        plan: AnswerPlan,
        seq: int,
        pieces: int,
    ) -> None:
        attempt = exchange.dispatch.attempt
        if plan.fault is AnswerFault.CUT and seq >= min(plan.cut_after, pieces - 1):
            exchange.reply(UpstreamFailed(attempt, UpstreamCause.RESET, sent=True))
            self._leave(exchange)
            return
        exchange.reply(UpstreamData(attempt, self._chunk(exchange.request, chat, seq, pieces)))
        if seq + 1 == pieces:
            exchange.reply(UpstreamData(attempt, b"data: [DONE]\n\n"))
            self._end(exchange)
            return
        gap_s = model.piece_gap_s(RouteName(chat.model), self._clock()) * self._thinning
        self._later(gap_s, exchange, lambda: self._piece(exchange, model, chat, plan, seq + 1, pieces))

    def _chunk(self, request: RequestId, chat: ChatFields, seq: int, pieces: int) -> bytes:
        last = seq + 1 == pieces
        finish = b'"stop"' if last else b"null"
        usage = b""
        if last:
            prompt = sum(len(message["content"]) for message in chat.messages) // 4
            usage = b',"usage":{"prompt_tokens":%d,"completion_tokens":%d}' % (prompt, chat.max_tokens)
        text = piece_text(request, self.record.engine, seq).encode()
        return (
            b'data: {"id":"%b","object":"chat.completion.chunk","seq":%d,"choices":[{"index":0,'
            b'"delta":{"content":"%b"},"finish_reason":%b}]%b}\n\n'
        ) % (request.encode(), seq, text, finish, usage)

    def _call(self, exchange: EngineExchange) -> None:
        headers = dict(exchange.dispatch.headers)
        action = headers["X-Idempotency-Key"]
        life = self._life

        def run() -> None:
            # The effect happens although the connection may be closed: the service has begun.
            if life != self._life:
                return
            self._watch.executed(self, action, exchange.request)
            self._later(self._work_s * 0.2, exchange, answer)

        def answer() -> None:
            if self._random.random() < self.behaviour.silent_share:
                return
            body = json.dumps({"action": action, "done": True}).encode()
            self._head(exchange, 200, "application/json", exchange.request, len(body))
            exchange.reply(UpstreamData(exchange.dispatch.attempt, body))
            self._end(exchange)

        if self.behaviour is not GOOD and self._random.random() < self.behaviour.error_share:
            self._head(exchange, 500, "application/json", exchange.request)
            self._end(exchange)
            return
        self._scheduler.after(self._work_s * self._random.uniform(0.5, 1.5), run)

    def _head(
        self,
        exchange: EngineExchange,
        status: int,
        content_type: str,
        request: RequestId,
        length: int | None = None,
    ) -> None:
        headers = {
            "x-request-id": request,
            "x-engine-id": self.record.engine,
            "x-engine-version": self.record.version,
            "content-type": content_type,
        }
        if length is not None:
            headers["content-length"] = str(length)
        exchange.reply(UpstreamHead(exchange.dispatch.attempt, status, headers))

    def _end(self, exchange: EngineExchange) -> None:
        exchange.reply(UpstreamEnd(exchange.dispatch.attempt))
        exchange.closed = True
        self._leave(exchange)
        self._exchanges.pop(exchange.request, None)


def engine_address(number: int) -> Address:
    """Return the address of the back end with a running number."""
    return Address(f"10.1.{number // 250}.{number % 250 + 1}:8000")
