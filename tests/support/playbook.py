"""Transcript tests of the data plane: a router with test doubles, whose flows are driven by events."""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec

from springmux.control.view import (
    AdmissionLimits,
    Configuration,
    ControlView,
    KeyRecord,
    Route,
    RouteKind,
    Service,
    Tenant,
    TrafficClass,
)
from springmux.coordination.claims.decision import ClaimDecision, ClaimVerdict
from springmux.coordination.identifiers import Address, NodeId, Revision
from springmux.coordination.state_machine import Effect, Event, Tick
from springmux.rollout.outcome import PromptOutcome, VersionChoice
from springmux.router import effects as out
from springmux.router import events as ev
from springmux.router.router import Router
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.errors import ApiError
from springmux.vocabulary.names import (
    EngineId,
    KeyDigest,
    KeyId,
    RequestId,
    RouteName,
    ServiceName,
    TenantName,
    VersionName,
)

PROMPT_SERVICE = ServiceName("text")
CALL_SERVICE = ServiceName("pages")
V1 = VersionName("v1")
V2 = VersionName("v2")
FIRST_SEEN_LONG_AGO_S = -1000.0
"""Time at which an engine was first seen, long enough ago for its slow start to be over."""
E = TypeVar("E", bound=Effect)

ROUTES = (
    Route(
        RouteName("caption"), RouteKind.PROMPT, PROMPT_SERVICE, TrafficClass.INTERACTIVE, max_body_bytes=4096
    ),
    Route(RouteName("draft"), RouteKind.PROMPT, PROMPT_SERVICE, TrafficClass.BULK),
    Route(RouteName("lookup"), RouteKind.CALL, CALL_SERVICE, TrafficClass.INTERACTIVE, max_body_bytes=1000),
    Route(RouteName("approve"), RouteKind.CALL, CALL_SERVICE, TrafficClass.TRANSACTION, repeatable=False),
)


@dataclass
class FakeVersionFilter:
    """A version filter that returns preset choices and records its calls."""

    choice: VersionChoice = field(default_factory=lambda: VersionChoice(versions=(V1,)))
    allowed: frozenset[VersionName] = frozenset({V1, V2})
    choice_count: int = 0
    returned_credits: list[VersionName] = field(default_factory=list)
    outcomes: list[PromptOutcome] = field(default_factory=list)

    def choose(self, service: ServiceName, prefix_key: int, now: float) -> VersionChoice:
        self.choice_count += 1
        return self.choice

    def return_credit(self, service: ServiceName, version: VersionName, now: float) -> None:
        self.returned_credits.append(version)

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        return version in self.allowed

    def observe(self, outcome: PromptOutcome, now: float) -> None:
        self.outcomes.append(outcome)

    def endings(self) -> list[str]:
        return [outcome.ending.value for outcome in self.outcomes]


@dataclass
class FakeQuota:
    """A quota with a fixed number of tokens left, which records its settlements."""

    tokens_left: float = 1e9
    settled: list[tuple[float, float]] = field(default_factory=list)

    is_awaiting_owner: bool = False

    def awaits_owner(self, account: str) -> bool:
        return self.is_awaiting_owner

    def reserve(self, account: str, amount: float, now: float, again: bool = False) -> bool:
        if amount > self.tokens_left:
            return False
        self.tokens_left -= amount
        return True

    def settle(self, account: str, reserved: float, used: float, now: float) -> None:
        self.tokens_left += reserved - used
        self.settled.append((reserved, used))

    def retry_after_s(self, account: str, amount: float, now: float) -> float:
        return 2.5


def engine(name: str, version: str = V1, service: str = PROMPT_SERVICE, **changes: Any) -> EngineRecord:
    """Return the record of a ready engine, with ``changes`` to its fields."""
    record = EngineRecord(
        EngineId(name), ServiceName(service), VersionName(version), Address("127.0.0.1:1"), 8, 1
    )
    return msgspec.structs.replace(record, **changes)


def chat(route: str = "caption", content: str = "hello", **fields: Any) -> bytes:
    """Return the body of a chat completion request."""
    body = {"model": route, "stream": True, "messages": [{"role": "user", "content": content}], **fields}
    return json.dumps(body).encode()


def stream_chunk(request_id: str, seq: int, last: bool = False, text: str = "w") -> bytes:
    """Return one chunk of an engine's stream as a server-sent event; the last one carries the usage."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": "stop" if last else None}
    chunk: dict[str, Any] = {"id": request_id, "seq": seq, "choices": [choice]}
    if last:
        chunk["usage"] = {"prompt_tokens": 11, "completion_tokens": seq + 1}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


def complete_stream(request_id: str, chunk_count: int = 3) -> bytes:
    """Return a complete, valid stream of ``chunk_count`` chunks."""
    return (
        b"".join(stream_chunk(request_id, seq, seq == chunk_count - 1) for seq in range(chunk_count)) + DONE
    )


class DrivenFlow:
    """One request and its flow in the router, driven by events.

    ``effects`` holds all effects of the flow, ``last_effects`` those of the last event.
    """

    def __init__(self, playbook: Playbook, request: ev.ClientRequest) -> None:
        self.playbook = playbook
        self.request = request
        self.router_flow = playbook.router.open(request, playbook.now)
        self.effects: list[Effect] = []
        self.last_effects: list[Effect] = []

    def deliver(self, event: Event, after: float = 0.0) -> list[Effect]:
        """Advance the time by ``after`` seconds, deliver an event to the flow, and return its new effects."""
        self.playbook.now += after
        self.last_effects = self.router_flow.handle(event, self.playbook.now)
        self.effects += self.last_effects
        return self.last_effects

    def tick(self) -> list[Effect]:
        """Advance the time to the flow's next deadline, and deliver a tick."""
        return self.deliver(Tick(), max(0.0, self.router_flow.next_deadline() - self.playbook.now))

    def effects_of(self, kind: type[E]) -> list[E]:
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def last_dispatch(self) -> out.Dispatch:
        return self.effects_of(out.Dispatch)[-1]

    def receive_head(self, status: int = 200, **headers: str) -> list[Effect]:
        """Deliver the head of the engine's response to the last dispatch."""
        dispatch = self.last_dispatch()
        all_headers = {
            "x-request-id": self.request.request_id,
            "x-engine-id": dispatch.engine.engine,
            "x-engine-version": dispatch.engine.version,
            "content-type": "text/event-stream",
        }
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.deliver(ev.UpstreamHead(dispatch.attempt, status, all_headers))

    def receive_data(self, data: bytes, after: float = 0.0) -> list[Effect]:
        return self.deliver(ev.UpstreamData(self.last_dispatch().attempt, data), after)

    def receive_end(self) -> list[Effect]:
        return self.deliver(ev.UpstreamEnd(self.last_dispatch().attempt))

    def fail_upstream(self, cause: ev.UpstreamCause, sent: bool, after: float = 0.0) -> list[Effect]:
        return self.deliver(ev.UpstreamFailed(self.last_dispatch().attempt, cause, sent), after)

    def receive_json(self, body: bytes, status: int = 200, **headers: str) -> list[Effect]:
        """Deliver a complete JSON response of the engine."""
        self.receive_head(status, content_type="application/json", content_length=str(len(body)), **headers)
        if not self.is_done:
            self.receive_data(body)
        return self.receive_end()

    def decide_claim(self, verdict: ClaimVerdict, answer: bytes = b"") -> list[Effect]:
        return self.deliver(ev.ClaimDecided(ClaimDecision(verdict, answer)))

    @property
    def is_done(self) -> bool:
        return bool(self.effects_of(out.FlowDone))

    @property
    def error(self) -> ApiError:
        (answer,) = self.effects_of(out.ResponseError)
        return answer.error

    @property
    def body(self) -> bytes:
        return b"".join(effect.data for effect in self.effects_of(out.ResponseData))

    @property
    def is_complete(self) -> bool:
        """Whether the client receives its response as complete."""
        return bool(self.effects_of(out.ResponseEnd)) and not self.effects_of(out.ResponseAborted)


@dataclass
class Playbook:
    """A router with two tenants, three keys, and the engines that the test names or default ones."""

    engines: Iterable[EngineRecord] = ()
    limits: AdmissionLimits = field(default_factory=AdmissionLimits)
    now: float = 100.0
    connected: bool = True
    idle_timeout_s: float = 5.0

    def __post_init__(self) -> None:
        self.version_filter = FakeVersionFilter()
        self.quota = FakeQuota()
        self.requests = 0
        self.router = Router(
            NodeId("node-1"),
            "zone-a",
            random.Random(7),
            self.version_filter,
            self.quota,
            lambda now: self.connected,
        )
        self.keys = {
            _digest(name): KeyRecord(KeyId(name), _digest(name), TenantName(tenant))
            for name, tenant in (("ann", "north"), ("ben", "north"), ("cleo", "south"))
        }
        self.revision = 0
        self.configure()
        self.update_engines(
            self.engines or [engine(f"e{n}") for n in range(3)] + [_call_engine(n) for n in range(3)]
        )
        self.router.update_readiness(True, "")

    def configure(self) -> list[Any]:
        """Apply a newer control view to the router."""
        self.revision += 1
        names = [TenantName("north"), TenantName("south")]
        view = ControlView(
            revision=Revision(self.revision),
            configuration=Configuration(
                services={
                    PROMPT_SERVICE: Service(PROMPT_SERVICE, V1),
                    CALL_SERVICE: Service(CALL_SERVICE, V1),
                },
                routes={
                    route.name: msgspec.structs.replace(route, idle_timeout_s=self.idle_timeout_s)
                    for route in ROUTES
                },
                limits=self.limits,
            ),
            tenants={name: Tenant(name, 1000.0, 1000.0) for name in names},
            keys=dict(self.keys),
            rollouts={},
        )
        return self.router.update_control(view, self.now)

    def revoke(self, name: str) -> list[Any]:
        digest = _digest(name)
        self.keys[digest] = msgspec.structs.replace(self.keys[digest], revoked=True)
        return self.configure()

    def update_engines(
        self,
        engines: Iterable[EngineRecord],
        first_seen: dict[str, float] | None = None,
        loads: Iterable[EngineLoad] = (),
    ) -> None:
        """Apply a newer directory of engines to the router."""
        records = {record.engine: record for record in engines}
        seen = {name: (first_seen or {}).get(name, FIRST_SEEN_LONG_AGO_S) for name in records}
        view = EnginesView(records, seen, {load.engine: load for load in loads})
        self.router.update_engines(view, self.now)

    def open(self, body: bytes = b"", key: str = "ann", call: str = "", **changes: Any) -> DrivenFlow:
        """Open a flow for a client's request, and start it."""
        self.requests += 1
        path = f"/v1/calls/{call}" if call else "/v1/chat/completions"
        headers = {"authorization": f"Bearer {key}"} | changes.pop("headers", {})
        request = ev.ClientRequest(
            RequestId(f"r{self.requests}"), "POST", path, headers, body or (b"{}" if call else chat())
        )
        flow = DrivenFlow(self, msgspec.structs.replace(request, **changes))
        flow.deliver(ev.RequestBegun())
        return flow


def _digest(key: str) -> KeyDigest:
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def _call_engine(number: int) -> EngineRecord:
    return engine(f"p{number}", service=CALL_SERVICE)


def draining(record: EngineRecord) -> EngineRecord:
    """Return the record of an engine, newer and draining."""
    return msgspec.structs.replace(record, status=EngineStatus.DRAINING, sequence=record.sequence + 1)
