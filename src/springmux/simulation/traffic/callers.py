"""Hollow callers: send requests to ready nodes by zone, check every byte, resend what was refused or lost."""

from __future__ import annotations

import random

import msgspec

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import Effect
from springmux.router.effects import ResponseAborted, ResponseData, ResponseEnd, ResponseError, ResponseHead
from springmux.router.events import ClientDisconnected, ClientRequest
from springmux.simulation.deployments import StreamSize
from springmux.simulation.flow_driver import CallerArrived, FlowInput, FlowOutput
from springmux.simulation.history import CallerSaw, History
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet
from springmux.simulation.traffic.requests import PlannedRequest, RequestSource
from springmux.simulation.traffic.stream_reader import StreamReader
from springmux.simulation.world.faults import AnyFault, Kill, PowerCut, Restart
from springmux.vocabulary.errors import ErrorCode, Fate
from springmux.vocabulary.names import RequestId, TenantName

READINESS_PERIOD_S = 1.0
"""Brief: the platform checks readiness each second."""
MAX_SENDS = 4
GIVE_UP_MARGIN_S = 2.0
"""A caller waits this much longer than the route's deadline."""
MAX_BACKOFF_S = 1.0


class _Call:
    """One sending under way."""

    __slots__ = (
        "body",
        "boot",
        "head",
        "key",
        "node",
        "planned",
        "reader",
        "request",
        "sending",
        "sent_at",
        "tried",
    )

    def __init__(
        self, planned: PlannedRequest, request: RequestId, node: NodeId, boot: int, sending: int, now: float
    ) -> None:
        self.planned = planned
        self.request = request
        self.node = node
        self.boot = boot
        self.sending = sending
        self.sent_at = now
        self.reader = StreamReader()
        self.head: ResponseHead | None = None
        self.body = b""
        self.tried: list[NodeId] = []
        self.key = ""


class _ErrorBody(msgspec.Struct):
    code: ErrorCode
    fate: Fate


class _ErrorEnvelope(msgspec.Struct):
    error: _ErrorBody


class _CallAnswer(msgspec.Struct):
    action: str = ""


class Callers(FleetObserver):
    """All callers of a deployment.

    :param keys: each tenant's keys, of which one is drawn for each request.
    """

    def __init__(
        self,
        fleet: HollowFleet,
        source: RequestSource,
        streams: tuple[StreamSize, ...],
        keys: dict[TenantName, list[str]],
        history: History,
        seed: int,
    ) -> None:
        self.keys = keys
        self._fleet = fleet
        self._source = source
        self._streams = streams
        self._history = history
        self._random = random.Random(f"callers {seed}")
        self._zones = {place.node: place.zone for place in fleet.places()}
        self._ready: list[NodeId] = []
        self._calls: dict[RequestId, _Call] = {}
        self._made = 0
        self._until = 0.0
        fleet.observers.append(self)

    def start(self, until: float) -> None:
        """Begin to call, and go on until the given time."""
        self._until = until
        self._look_at_readiness()
        for stream in self._streams:
            self._plan(stream)

    @property
    def under_way(self) -> int:
        """Return how many sendings wait for their end."""
        return len(self._calls)

    def _look_at_readiness(self) -> None:
        world = self._fleet.world
        agents = self._fleet.agents()
        self._ready = [node for node, agent in agents.items() if agent.ready and world.is_running(node)]
        world.scheduler.after(READINESS_PERIOD_S, self._look_at_readiness)

    def _plan(self, stream: StreamSize) -> None:
        world = self._fleet.world
        gap_s = self._source.gap_s(stream, world.now)
        if world.now + gap_s < self._until:
            world.scheduler.after(gap_s, lambda: self._next(stream))

    def _next(self, stream: StreamSize) -> None:
        self._plan(stream)
        self._send(self._source.request(stream, self._fleet.world.now), 0, [])

    def _pick(self, zone: ZoneName, tried: list[NodeId]) -> NodeId:
        nodes = self._ready or list(self._zones)
        fresh = [node for node in nodes if node not in tried] or nodes
        near = [node for node in fresh if self._zones[node] == zone] or fresh
        return self._random.choice(near)

    def _send(self, planned: PlannedRequest, sending: int, tried: list[NodeId]) -> None:
        world = self._fleet.world
        node = self._pick(planned.zone, tried)
        self._made += 1
        request = RequestId(f"r{self._made}")
        call = _Call(planned, request, node, world.boot(node), sending, world.now)
        call.tried = [*tried, node]
        if world.process(node) is None:
            self._again(call, 0.1)
            return
        call.key = self._random.choice(self.keys[planned.tenant])
        self._calls[request] = call
        world.give(node, CallerArrived(self._caller_request(planned, request, call.key)))
        give_up_s = planned.stream.deadline_s + GIVE_UP_MARGIN_S
        world.scheduler.after(give_up_s, lambda: self._give_up(request))

    def _drop_key(self, call: _Call) -> None:
        keys = self.keys[call.planned.tenant]
        if call.key in keys and len(keys) > 1:
            keys.remove(call.key)

    def _caller_request(self, planned: PlannedRequest, request: RequestId, key: str) -> ClientRequest:
        headers = {"authorization": f"Bearer {key}"}
        if planned.stream.prompt:
            return ClientRequest(request, "POST", "/v1/chat/completions", headers, planned.body)
        headers["idempotency-key"] = planned.action
        return ClientRequest(request, "POST", f"/v1/calls/{planned.stream.route}", headers, planned.body)

    def _give_up(self, request: RequestId) -> None:
        call = self._calls.get(request)
        if call is None:
            return
        world = self._fleet.world
        if world.boot(call.node) == call.boot:
            world.give(call.node, FlowInput(request, ClientDisconnected()))
        self._end(call, fate=Fate.UNKNOWN)

    # What nodes answer

    def flow_output(self, node: NodeId, output: FlowOutput, now: float) -> None:
        """Take an answer's parts."""
        call = self._calls.get(output.request)
        if call is None:
            return
        effect: Effect = output.effect
        if isinstance(effect, ResponseData):
            self._take_data(call, effect.data)
        elif isinstance(effect, ResponseHead):
            call.head = effect
        elif isinstance(effect, ResponseEnd):
            self._whole(call)
        elif isinstance(effect, ResponseError):
            error = effect.error
            self._end(call, code=error.code, fate=error.fate, retry_after_s=error.retry_after_s)
        elif isinstance(effect, ResponseAborted):
            self._cut(call)

    def _take_data(self, call: _Call, data: bytes) -> None:
        if call.planned.stream.prompt:
            call.reader.feed(data)
        else:
            call.body += data

    def _whole(self, call: _Call) -> None:
        planned, reader, head = call.planned, call.reader, call.head
        if head is None:
            self._end(call, fault="an answer without a head")
        elif planned.stream.prompt:
            fault = reader.fault
            if not reader.done:
                fault = fault or "a stream ended properly without its last marker"
            if not reader.belongs_to(call.request):
                fault = fault or "the stream was made for another request"
            self._end(call, whole=True, fault=fault, tokens=reader.tokens)
        else:
            action, fault = _read_call_answer(call.body, head)
            self._end(call, whole=True, fault=fault, answer_action=action)

    def _cut(self, call: _Call) -> None:
        reader = call.reader
        fault = reader.fault
        if reader.done:
            fault = fault or "a broken stream carries the last marker"
        if not reader.error:
            self._end(call, fate=Fate.FAILED, fault=fault)
            return
        error = msgspec.json.decode(reader.error, type=_ErrorEnvelope).error
        self._end(call, code=error.code, fate=error.fate, fault=fault)

    def _end(
        self,
        call: _Call,
        *,
        whole: bool = False,
        code: ErrorCode | None = None,
        fate: Fate | None = None,
        fault: str = "",
        answer_action: str = "",
        tokens: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        del self._calls[call.request]
        planned = call.planned
        self._history.calls.append(
            CallerSaw(
                sent_at=call.sent_at,
                ended_at=self._fleet.world.now,
                node=call.node,
                request=call.request,
                route=planned.stream.route,
                tenant=planned.tenant,
                action=planned.action,
                prompt=planned.stream.prompt,
                whole=whole,
                code=code,
                fate=fate,
                answer_action=answer_action,
                fault=fault,
                tokens=tokens,
                wanted_tokens=len(planned.body) // 4 + planned.answer_tokens if planned.stream.prompt else 0,
            )
        )
        if code is ErrorCode.REVOKED_KEY:
            self._drop_key(call)
        again = fate is Fate.UNKNOWN or (fate is Fate.REFUSED and code is not ErrorCode.QUOTA_EXCEEDED)
        if not whole and again and not call.reader.pieces:
            self._again(call, min(retry_after_s or 0.2, MAX_BACKOFF_S))

    def _again(self, call: _Call, after_s: float) -> None:
        if call.sending + 1 < MAX_SENDS:
            scheduler = self._fleet.world.scheduler
            scheduler.after(after_s, lambda: self._send(call.planned, call.sending + 1, call.tried))

    # Faults

    def fault(self, fault: AnyFault, now: float) -> None:
        """Reset the connections to a node whose process ends."""
        if not isinstance(fault, Kill | PowerCut | Restart):
            return
        for call in [call for call in self._calls.values() if call.node == fault.node]:
            self._end(call, fate=Fate.UNKNOWN)


def _read_call_answer(body: bytes, head: ResponseHead) -> tuple[str, str]:
    """Return the action that the answer is for, and what is wrong with it."""
    if head.length != len(body):
        return "", "an answer of another length than announced"
    try:
        return msgspec.json.decode(body, type=_CallAnswer).action, ""
    except msgspec.DecodeError:
        return "", "an answer that is not whole"
