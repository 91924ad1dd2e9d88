"""Engines that several nodes send to: they crash, go dark, fail, cut streams, and cross or lose answers."""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from springmux.gateway.dialect import OWN_HEADERS
from springmux.node.http.types import ExchangeFailedError, FailureKind, RequestHead, ResponseHead
from tests.unit.node.gateway.scripted_engines import now

EVENTS = 5
"""Events of each stream."""
LATE_S = 4.0
"""Above every route's timeout."""
STREAM_TARGET = b"/stream/"


class Mode(enum.Enum):
    """Whether an engine is there."""

    UP = "up"
    CRASHED = "crashed"
    DARK = "dark"
    """Its machine answers nothing any more, not even with a reset."""


@dataclass
class Behaviour:
    """What an engine does to a share (0..1) of its requests."""

    service_s: float = 0.04
    slots: int = 32
    failing: float = 0.0
    """Answers 500."""
    losing: float = 0.0
    """Runs the request and resets the connection in place of the answer."""
    crossing: float = 0.0
    """Sends the answer of an earlier request first."""
    late: float = 0.0
    """Answers after every timeout."""
    cutting: float = 0.0
    """Resets the connection inside an event of a stream."""


@dataclass(frozen=True)
class EngineRun:
    """An engine began to work on a request."""

    request_id: bytes
    engine: str
    at: float
    tenant: bytes | None
    carries_key: bool
    token_usage: bytes | None
    told_s: float
    """Seconds that the engine was told to have left."""


def whole_answer(request_id: bytes) -> bytes:
    """Return the body of a request's answer."""
    return b"answer of " + request_id


def stream_event(request_id: bytes, number: int) -> bytes:
    """Return one event of a request's stream."""
    return b"id: %d\ndata: %s piece %d\n\n" % (number, request_id, number)


def whole_stream(request_id: bytes) -> bytes:
    """Return all events of a request's stream."""
    return b"".join(stream_event(request_id, number) for number in range(1, EVENTS + 1))


class ModelEngine:
    """One engine. Its mode and behaviour may change at any time."""

    def __init__(self, name: str, behaviour: Behaviour | None = None, identity: str = "") -> None:
        """:param identity: who listens at the address of ``name``, if another engine does by now."""
        self.name = name
        self.identity = identity or name
        self.behaviour = behaviour or Behaviour()
        self.mode = Mode.UP
        self.working = 0
        self.last_answered = b"nobody"
        self.broken = asyncio.Event()

    def crash(self) -> None:
        """Reset every connection and take none from now on."""
        self.mode = Mode.CRASHED
        self.broken.set()

    def go_dark(self) -> None:
        """Send nothing any more, on old and new connections."""
        self.mode = Mode.DARK


class ModelExchange:
    """Implements EngineExchange for one request at one engine."""

    def __init__(
        self,
        engine: ModelEngine,
        head: RequestHead,
        accept: Callable[[ResponseHead], bool],
        source: random.Random,
    ) -> None:
        self._engine = engine
        self._id = head.header(OWN_HEADERS.request_id) or b""
        self._accept = accept
        self._over = False
        self._answering = False
        self._cut = False
        shares = ("failing", "losing", "crossing", "late", "cutting")
        self._drawn = {name: source.random() < getattr(engine.behaviour, name) for name in shares}
        self._pieces = self._plan(head)
        target = head.header(OWN_HEADERS.target_engine)
        self.misdirected = target is not None and target != engine.identity.encode()
        self.declined = self.misdirected or engine.working >= engine.behaviour.slots
        engine.working += 1

    def _plan(self, head: RequestHead) -> list[bytes]:
        if not head.target.startswith(STREAM_TARGET):
            return [whole_answer(self._id)]
        first = int(head.header(OWN_HEADERS.last_event_id) or b"0") + 1
        return [stream_event(self._id, number) for number in range(first, EVENTS + 1)]

    async def head(self) -> ResponseHead:
        """Return the head of this request's answer; one that ``accept`` refuses is skipped."""
        if self.declined:
            self._pieces = []
            status = 421 if self.misdirected else 503
            return self._answer(status, self._id, (OWN_HEADERS.not_executed, b"1"))
        await self._pause(LATE_S if self._drawn["late"] else self._engine.behaviour.service_s)
        if self._drawn["losing"]:
            raise ExchangeFailedError(FailureKind.RESET)
        if self._drawn["failing"]:
            self._pieces = [b"broken"]
            return self._answer(500, self._id)
        crossed, self._engine.last_answered = self._engine.last_answered, self._id
        if self._drawn["crossing"]:
            other = self._answer(200, crossed)
            if self._accept(other):
                self._pieces = [whole_answer(crossed)]
                return other
        return self._answer(200, self._id)

    def _answer(self, status: int, request_id: bytes, *more: tuple[bytes, bytes]) -> ResponseHead:
        self._answering = True
        seal = (OWN_HEADERS.seal, b"seal of " + self._engine.name.encode())
        return ResponseHead(status, ((OWN_HEADERS.request_id, request_id), seal, *more), None, True)

    async def read(self) -> bytes:
        """Return the next piece."""
        if self._cut:
            raise ExchangeFailedError(FailureKind.TRUNCATED)
        if not self._pieces:
            return b""
        await self._pause(self._engine.behaviour.service_s / EVENTS)
        piece = self._pieces.pop(0)
        self._cut = self._drawn["cutting"] and len(self._pieces) == EVENTS // 2
        return piece[: len(piece) // 2] if self._cut else piece

    def release(self) -> None:
        """Leave a finished exchange."""
        self._end()

    def abort(self) -> None:
        """The engine drops the request."""
        self._end()

    def _end(self) -> None:
        if not self._over:
            self._over = True
            self._engine.working -= 1

    async def _pause(self, seconds: float) -> None:
        """Let time pass; fail if the engine crashes meanwhile, and never return once it is dark."""
        engine = self._engine
        try:
            async with asyncio.timeout(seconds):
                await engine.broken.wait()
        except TimeoutError:
            if engine.mode is Mode.UP:
                return
            await engine.broken.wait()
        raise ExchangeFailedError(FailureKind.TRUNCATED if self._answering else FailureKind.RESET)


@dataclass
class EngineFarm:
    """Implements EngineClient for all nodes; keeps what engines saw."""

    source: random.Random
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    runs: list[EngineRun] = field(default_factory=list)
    tries: list[tuple[float, str]] = field(default_factory=list)
    """Each attempt with its time and its engine, whether or not it got there."""
    arrivals: list[tuple[float, bytes]] = field(default_factory=list)
    """Each request that an engine received, run or declined."""

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        connect_timeout_s: float,
        accept: Callable[[ResponseHead], bool],
    ) -> ModelExchange:
        """Connect to the engine at ``address`` and hand it the request."""
        engine = self.engines[address.partition(":")[0]]
        self.tries.append((now(), engine.name))
        if engine.mode is Mode.CRASHED:
            raise ExchangeFailedError(FailureKind.CONNECT)
        if engine.mode is Mode.DARK:
            await asyncio.sleep(connect_timeout_s)
            raise ExchangeFailedError(FailureKind.CONNECT)
        exchange = ModelExchange(engine, head, accept, self.source)
        request_id = head.header(OWN_HEADERS.request_id) or b""
        self.arrivals.append((now(), request_id))
        if not exchange.declined:
            carries_key = head.header(OWN_HEADERS.api_key) is not None
            told_s = int(head.header(OWN_HEADERS.deadline_ms) or b"0") / 1000.0
            tenant, usage = head.header(OWN_HEADERS.tenant), head.header(OWN_HEADERS.token_usage)
            run = EngineRun(request_id, engine.identity, now(), tenant, carries_key, usage, told_s)
            self.runs.append(run)
        return exchange

    def close(self) -> None: ...
