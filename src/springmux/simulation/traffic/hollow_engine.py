"""A hollow backend: the engine model behind an address in virtual time, with its reports to the fleet."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
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
    BYTES_PER_TOKEN,
    GOOD,
    EngineModel,
    ResponseFault,
    ResponsePlan,
    VersionBehaviour,
)
from springmux.simulation.traffic.engine_reports import EngineLoadSample, EngineReporter, ReportReceiver
from springmux.simulation.world.scheduler import Scheduler
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId, RequestId, RouteName


class EngineObserver(Protocol):
    """Receives the events of an engine, for the history."""

    def executed(self, engine: HollowEngine, action: str, request: RequestId) -> None:
        """Handle the execution of a call's action."""
        ...

    def stopping(self, engine: HollowEngine, node: NodeId) -> None:
        """Handle that a node received the report of a drain or a departure."""
        ...


class ChatRequest(msgspec.Struct):
    """The fields of a chat completion request that the engine reads."""

    model: str
    messages: list[dict[str, str]]
    max_tokens: int = 16


class EngineExchange:
    """One connection with one request. ``reply`` is called with each event that the engine sends."""

    __slots__ = ("bad", "closed", "dispatch", "fault", "reply", "request")

    def __init__(
        self, dispatch: Dispatch, request: RequestId, reply: Callable[[UpstreamEvent], None]
    ) -> None:
        self.dispatch = dispatch
        self.request = request
        self.reply = reply
        self.closed = False
        self.bad = False
        """Whether the response is worse than a good version's, and no node has observed it yet."""
        self.fault = ResponseFault.NONE


def chunk_text(request: str, engine: str, seq: int) -> str:
    """Return the text of one chunk, which names its request, its engine and its sequence number."""
    return f"{request}.{engine}.{seq}"


@dataclass(frozen=True, slots=True)
class _Stream:
    """One streamed response. ``chunks``: number of its chunks."""

    exchange: EngineExchange
    model: EngineModel
    chat: ChatRequest
    plan: ResponsePlan
    chunks: int

    def chunk(self, engine: EngineId, seq: int) -> bytes:
        """Return the server-sent event of one chunk; the last one carries the usage."""
        request, chat = self.exchange.request, self.chat
        last = seq + 1 == self.chunks
        finish = b'"stop"' if last else b"null"
        usage = b""
        if last:
            prompt = sum(len(message["content"]) for message in chat.messages) // BYTES_PER_TOKEN
            usage = b',"usage":{"prompt_tokens":%d,"completion_tokens":%d}' % (prompt, chat.max_tokens)
        text = chunk_text(request, engine, seq).encode()
        return (
            b'data: {"id":"%b","object":"chat.completion.chunk","seq":%d,"choices":[{"index":0,'
            b'"delta":{"content":"%b"},"finish_reason":%b}]%b}\n\n'
        ) % (request.encode(), seq, text, finish, usage)


class HollowEngine:
    """One backend process at one address.

    :param model: the engine model, or ``None`` for a service that executes calls.
    :param work_s: mean duration of a call in seconds.
    :param tokens_per_chunk: tokens in one chunk of a stream; more than 1 makes runs faster.
    """

    def __init__(
        self,
        record: EngineRecord,
        model: EngineModel | None,
        behaviour: VersionBehaviour,
        scheduler: Scheduler,
        clock: Callable[[], float],
        nodes: ReportReceiver,
        observer: EngineObserver,
        source: random.Random,
        work_s: float = 0.015,
        tokens_per_chunk: int = 1,
    ) -> None:
        self.model = model
        self.behaviour = behaviour
        self.running = False
        self.unresponsive = False
        self._scheduler = scheduler
        self._clock = clock
        self._observer = observer
        self._random = source
        self._work_s = work_s
        self._tokens_per_chunk = tokens_per_chunk
        self._exchanges: dict[RequestId, EngineExchange] = {}
        self._waiting: dict[RequestId, EngineExchange] = {}
        self._generation = 0
        """Incremented at each start and end; callbacks of an earlier generation are ignored."""
        self._reporter = EngineReporter(
            record, self._load, scheduler, clock, nodes, lambda node: observer.stopping(self, node), source
        )

    @property
    def record(self) -> EngineRecord:
        """Return the record that the engine reports of itself."""
        return self._reporter.record

    @property
    def draining(self) -> bool:
        """Return whether the engine has reported that it drains."""
        return self._reporter.draining

    # Process lifecycle

    def start(self) -> None:
        """Listen, announce the engine, and send heartbeats."""
        self.running = True
        self._generation += 1
        if self.model is not None:
            # A version that turns bad late does so at the same age of the process on all engines.
            self.model.bad_since = self._clock()
        self._reporter.start()

    def start_again(self, incarnation: int, model: EngineModel | None) -> None:
        """Start after a crash, under the same name and address, with a cold cache."""
        self._reporter.record = msgspec.structs.replace(self.record, incarnation=incarnation)
        self._reporter.draining = False
        self.model = model
        self.set_unresponsive(False)
        self.start()

    def crash(self) -> None:
        """Stop without a report; all connections are reset."""
        self.running = False
        self._generation += 1
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

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Start or stop dropping all responses and reports; dropped ones are not sent later."""
        self.unresponsive = unresponsive
        self._reporter.unresponsive = unresponsive

    def drain(self) -> None:
        """Report that the engine accepts no new requests."""
        self._reporter.drain()

    def leave(self) -> None:
        """Report the departure and stop; running exchanges are reset."""
        self._reporter.leave()
        self.crash()

    def _load(self) -> EngineLoadSample:
        model = self.model
        if model is None:
            return EngineLoadSample(len(self._exchanges), 0, 0.0)
        return EngineLoadSample(model.running, model.queued, model.cache.used_share)

    # Exchanges

    def accept(self, exchange: EngineExchange) -> None:
        """Accept a request, unless the engine is unresponsive."""
        if self.unresponsive:
            return
        self._exchanges[exchange.request] = exchange
        if self.model is None:
            self._start_call(exchange)
        elif self.model.arrive(exchange.request):
            self._start_prompt(exchange, self.model)
        else:
            self._waiting[exchange.request] = exchange

    def closed(self, exchange: EngineExchange) -> None:
        """Handle the node closing the connection. A call continues to run, as in real services."""
        exchange.closed = True
        if self.model is not None:
            self._release(exchange)

    def _release(self, exchange: EngineExchange) -> None:
        if self._exchanges.pop(exchange.request, None) is None or self.model is None:
            return
        self._waiting.pop(exchange.request, None)
        successor = self.model.leave(exchange.request)
        waiting = self._waiting.pop(successor, None) if successor is not None else None
        if waiting is not None:
            self._start_prompt(waiting, self.model)

    def _schedule(self, delay_s: float, exchange: EngineExchange, action: Callable[[], None]) -> None:
        generation = self._generation

        def act() -> None:
            if generation == self._generation and not exchange.closed and not self.unresponsive:
                action()

        self._scheduler.after(delay_s, act)

    def _start_prompt(self, exchange: EngineExchange, model: EngineModel) -> None:
        chat = msgspec.json.decode(exchange.dispatch.body, type=ChatRequest)
        now = self._clock()
        text = "\n".join(message["content"] for message in chat.messages).encode()
        plan = model.plan(text, RouteName(chat.model), now)
        exchange.bad = plan.degraded
        exchange.fault = plan.fault
        if plan.fault is not ResponseFault.SILENT:
            chunks = max(1, chat.max_tokens // self._tokens_per_chunk)
            stream = _Stream(exchange, model, chat, plan, chunks)
            self._schedule(plan.first_chunk_delay_s, exchange, lambda: self._begin(stream))

    def _begin(self, stream: _Stream) -> None:
        exchange, fault = stream.exchange, stream.plan.fault
        if fault is ResponseFault.ERROR:
            self._send_head(exchange, 500, "application/json", exchange.request)
            self._send_end(exchange)
            return
        wrong = fault is ResponseFault.WRONG_ID
        name = RequestId("crossed-" + exchange.request) if wrong else exchange.request
        self._send_head(exchange, 200, "text/event-stream", name)
        if fault is ResponseFault.GARBAGE:
            exchange.reply(UpstreamData(exchange.dispatch.attempt, b"data: {not json\n\n"))
            self._send_end(exchange)
            return
        self._send_chunk(stream, 0)

    def _send_chunk(self, stream: _Stream, seq: int) -> None:
        exchange, plan = stream.exchange, stream.plan
        attempt = exchange.dispatch.attempt
        if plan.fault is ResponseFault.CUT and seq >= min(plan.cut_after, stream.chunks - 1):
            exchange.reply(UpstreamFailed(attempt, UpstreamCause.RESET, sent=True))
            self._release(exchange)
            return
        exchange.reply(UpstreamData(attempt, stream.chunk(self.record.engine, seq)))
        if seq + 1 == stream.chunks:
            exchange.reply(UpstreamData(attempt, b"data: [DONE]\n\n"))
            self._send_end(exchange)
            return
        gap_s = stream.model.chunk_gap_s(RouteName(stream.chat.model), self._clock()) * self._tokens_per_chunk
        self._schedule(gap_s, exchange, lambda: self._send_chunk(stream, seq + 1))

    def _start_call(self, exchange: EngineExchange) -> None:
        headers = dict(exchange.dispatch.headers)
        action = headers["X-Idempotency-Key"]
        generation = self._generation

        def execute() -> None:
            # The action is executed even if the connection was closed, because the service has started it.
            if generation != self._generation:
                return
            self._observer.executed(self, action, exchange.request)
            self._schedule(self._work_s * 0.2, exchange, respond)

        def respond() -> None:
            if self._random.random() < self.behaviour.silent_share:
                return
            body = json.dumps({"action": action, "done": True}).encode()
            self._send_head(exchange, 200, "application/json", exchange.request, len(body))
            exchange.reply(UpstreamData(exchange.dispatch.attempt, body))
            self._send_end(exchange)

        if self.behaviour is not GOOD and self._random.random() < self.behaviour.error_share:
            self._send_head(exchange, 500, "application/json", exchange.request)
            self._send_end(exchange)
            return
        self._scheduler.after(self._work_s * self._random.uniform(0.5, 1.5), execute)

    def _send_head(
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

    def _send_end(self, exchange: EngineExchange) -> None:
        exchange.reply(UpstreamEnd(exchange.dispatch.attempt))
        exchange.closed = True
        self._release(exchange)
        self._exchanges.pop(exchange.request, None)


def engine_address(number: int) -> Address:
    """Return the address of the backend with the given number."""
    return Address(f"10.1.{number // 250}.{number % 250 + 1}:8000")
