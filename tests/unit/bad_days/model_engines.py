"""Model engines that crash, stop responding, fail requests, cut streams, and mix up or lose responses."""

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
"""Number of events in each stream."""
LATE_RESPONSE_S = 4.0
"""Response delay that exceeds the timeout of every route."""
STREAM_TARGET = b"/stream/"


class EngineMode(enum.Enum):
    """Whether an engine responds."""

    UP = "up"
    CRASHED = "crashed"
    UNRESPONSIVE = "unresponsive"
    """The engine's machine sends nothing any more, not even a connection reset."""


@dataclass
class Behaviour:
    """Service time and capacity of an engine, and the share (0..1) of requests that each fault affects."""

    service_s: float = 0.04
    slots: int = 32
    failure_share: float = 0.0
    """Responds with status 500."""
    lost_response_share: float = 0.0
    """Runs the request, then resets the connection instead of sending the response."""
    stale_response_share: float = 0.0
    """Sends the response to an earlier request first."""
    late_response_share: float = 0.0
    """Responds after the timeout of every route."""
    truncation_share: float = 0.0
    """Resets the connection in the middle of a stream's event."""


@dataclass(frozen=True)
class EngineRun:
    """A request that an engine started to run."""

    request_id: bytes
    engine: str
    started_at: float
    tenant: bytes | None
    carries_key: bool
    token_usage: bytes | None
    time_left_s: float
    """Seconds left for the request according to its deadline header."""


def expected_body(request_id: bytes) -> bytes:
    """Return the complete response body of a request."""
    return b"answer of " + request_id


def stream_event(request_id: bytes, number: int) -> bytes:
    """Return one event of a request's stream."""
    return b"id: %d\ndata: %s piece %d\n\n" % (number, request_id, number)


def expected_stream(request_id: bytes) -> bytes:
    """Return all events of a request's stream."""
    return b"".join(stream_event(request_id, number) for number in range(1, EVENTS + 1))


class ModelEngine:
    """One engine; tests may change its mode and behaviour at any time."""

    def __init__(self, name: str, behaviour: Behaviour | None = None, identity: str = "") -> None:
        """:param identity: id of the engine that listens at the address of ``name``; ``name`` if empty."""
        self.name = name
        self.identity = identity or name
        self.behaviour = behaviour or Behaviour()
        self.mode = EngineMode.UP
        self.active_requests = 0
        self.last_answered_id = b"nobody"
        self.crashed = asyncio.Event()

    def crash(self) -> None:
        """Reset every open connection and refuse new ones."""
        self.mode = EngineMode.CRASHED
        self.crashed.set()

    def stop_responding(self) -> None:
        """Stop sending on open connections and stop accepting new ones."""
        self.mode = EngineMode.UNRESPONSIVE


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
        self._request_id = head.header(OWN_HEADERS.request_id) or b""
        self._accept = accept
        self._ended = False
        self._responding = False
        self._truncated = False
        fault_names = (
            "failure_share",
            "lost_response_share",
            "stale_response_share",
            "late_response_share",
            "truncation_share",
        )
        self._faults = {name: source.random() < getattr(engine.behaviour, name) for name in fault_names}
        self._chunks = self._plan_chunks(head)
        target = head.header(OWN_HEADERS.target_engine)
        self.misdirected = target is not None and target != engine.identity.encode()
        self.declined = self.misdirected or engine.active_requests >= engine.behaviour.slots
        engine.active_requests += 1

    def _plan_chunks(self, head: RequestHead) -> list[bytes]:
        if not head.target.startswith(STREAM_TARGET):
            return [expected_body(self._request_id)]
        first = int(head.header(OWN_HEADERS.last_event_id) or b"0") + 1
        return [stream_event(self._request_id, number) for number in range(first, EVENTS + 1)]

    async def head(self) -> ResponseHead:
        """Return the head of the response; a head of another request that ``accept`` rejects is skipped."""
        if self.declined:
            self._chunks = []
            status = 421 if self.misdirected else 503
            return self._response_head(status, self._request_id, (OWN_HEADERS.not_executed, b"1"))
        await self._pause(
            LATE_RESPONSE_S if self._faults["late_response_share"] else self._engine.behaviour.service_s
        )
        if self._faults["lost_response_share"]:
            raise ExchangeFailedError(FailureKind.RESET)
        if self._faults["failure_share"]:
            self._chunks = [b"broken"]
            return self._response_head(500, self._request_id)
        previous_id, self._engine.last_answered_id = self._engine.last_answered_id, self._request_id
        if self._faults["stale_response_share"]:
            stale_head = self._response_head(200, previous_id)
            if self._accept(stale_head):
                self._chunks = [expected_body(previous_id)]
                return stale_head
        return self._response_head(200, self._request_id)

    def _response_head(self, status: int, request_id: bytes, *headers: tuple[bytes, bytes]) -> ResponseHead:
        self._responding = True
        seal = (OWN_HEADERS.seal, b"seal of " + self._engine.name.encode())
        return ResponseHead(status, ((OWN_HEADERS.request_id, request_id), seal, *headers), None, True)

    async def read(self) -> bytes:
        """Return the next chunk of the body; empty at its end."""
        if self._truncated:
            raise ExchangeFailedError(FailureKind.TRUNCATED)
        if not self._chunks:
            return b""
        await self._pause(self._engine.behaviour.service_s / EVENTS)
        chunk = self._chunks.pop(0)
        self._truncated = self._faults["truncation_share"] and len(self._chunks) == EVENTS // 2
        return chunk[: len(chunk) // 2] if self._truncated else chunk

    def release(self) -> None:
        """Release a finished exchange."""
        self._end()

    def abort(self) -> None:
        """Cancel the request at the engine."""
        self._end()

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._engine.active_requests -= 1

    async def _pause(self, seconds: float) -> None:
        """Wait; fail if the engine crashes meanwhile, and don't return while it is unresponsive."""
        engine = self._engine
        try:
            async with asyncio.timeout(seconds):
                await engine.crashed.wait()
        except TimeoutError:
            if engine.mode is EngineMode.UP:
                return
            await engine.crashed.wait()
        raise ExchangeFailedError(FailureKind.TRUNCATED if self._responding else FailureKind.RESET)


@dataclass
class ModelEngineClient:
    """Implements EngineClient for all nodes and records the attempts and runs at all engines."""

    source: random.Random
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    runs: list[EngineRun] = field(default_factory=list)
    attempts: list[tuple[float, str]] = field(default_factory=list)
    """Time and engine of each attempt, whether or not a connection was made."""
    arrivals: list[tuple[float, bytes]] = field(default_factory=list)
    """Time and id of each request that an engine received, whether it ran or was declined."""

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        connect_timeout_s: float,
        accept: Callable[[ResponseHead], bool],
    ) -> ModelExchange:
        """Connect to the engine at ``address`` and send it the request."""
        engine = self.engines[address.partition(":")[0]]
        self.attempts.append((now(), engine.name))
        if engine.mode is EngineMode.CRASHED:
            raise ExchangeFailedError(FailureKind.CONNECT)
        if engine.mode is EngineMode.UNRESPONSIVE:
            await asyncio.sleep(connect_timeout_s)
            raise ExchangeFailedError(FailureKind.CONNECT)
        exchange = ModelExchange(engine, head, accept, self.source)
        request_id = head.header(OWN_HEADERS.request_id) or b""
        self.arrivals.append((now(), request_id))
        if not exchange.declined:
            carries_key = head.header(OWN_HEADERS.api_key) is not None
            time_left_s = int(head.header(OWN_HEADERS.deadline_ms) or b"0") / 1000.0
            tenant, usage = head.header(OWN_HEADERS.tenant), head.header(OWN_HEADERS.token_usage)
            run = EngineRun(request_id, engine.identity, now(), tenant, carries_key, usage, time_left_s)
            self.runs.append(run)
        return exchange

    def close(self) -> None: ...
