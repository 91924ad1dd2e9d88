"""Hollow clients: send requests to ready nodes by zone, check every response, and retry failed requests."""

from __future__ import annotations

import random

import msgspec

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import Effect
from springmux.router.effects import ResponseAborted, ResponseData, ResponseEnd, ResponseError, ResponseHead
from springmux.router.events import ClientDisconnected, ClientRequest
from springmux.simulation.deployments import StreamSize
from springmux.simulation.flow_driver import ClientRequestArrived, FlowInput, FlowOutput
from springmux.simulation.history import ClientAttempt, History
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet
from springmux.simulation.traffic.requests import PlannedRequest, RequestSource
from springmux.simulation.traffic.stream_reader import StreamReader
from springmux.simulation.world.faults import AnyFault, Kill, PowerCut, Restart
from springmux.vocabulary.errors import ErrorCode, Fate
from springmux.vocabulary.names import RequestId, TenantName

READINESS_PERIOD_S = 1.0
"""Interval in seconds at which the platform checks the readiness of nodes."""
MAX_ATTEMPTS = 4
GIVE_UP_MARGIN_S = 2.0
"""Seconds that a client waits beyond the route's deadline."""
DEFAULT_BACKOFF_S = 0.2
"""Delay in seconds before a retry if the response specifies none."""
MAX_BACKOFF_S = 1.0
NODE_DOWN_BACKOFF_S = 0.1


class _Attempt:
    """One attempt in flight. ``tried``: the nodes of this and all earlier attempts."""

    __slots__ = (
        "body",
        "boot",
        "head",
        "key",
        "node",
        "number",
        "planned",
        "reader",
        "request",
        "sent_at",
        "tried",
    )

    def __init__(
        self,
        planned: PlannedRequest,
        request: RequestId,
        node: NodeId,
        boot: int,
        number: int,
        tried: list[NodeId],
        now: float,
    ) -> None:
        self.planned = planned
        self.request = request
        self.node = node
        self.boot = boot
        self.number = number
        self.tried = tried
        self.sent_at = now
        self.reader = StreamReader()
        self.head: ResponseHead | None = None
        self.body = b""
        self.key = ""


class _Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended; the fields are those of :class:`ClientAttempt`."""

    complete: bool = False
    code: ErrorCode | None = None
    fate: Fate | None = None
    fault: str = ""
    response_action: str = ""
    tokens: int = 0
    retry_after_s: float | None = None

    @property
    def may_retry(self) -> bool:
        """Return whether a client retries the request, provided that it received no chunk of a stream."""
        if self.complete:
            return False
        rejected = self.fate is Fate.REFUSED and self.code is not ErrorCode.QUOTA_EXCEEDED
        return rejected or self.fate is Fate.UNKNOWN


class _ErrorBody(msgspec.Struct):
    code: ErrorCode
    fate: Fate


class _ErrorEnvelope(msgspec.Struct):
    error: _ErrorBody


class _CallResponse(msgspec.Struct):
    action: str = ""


class HollowClients(FleetObserver):
    """All clients of a deployment.

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
        self._attempts: dict[RequestId, _Attempt] = {}
        self._attempts_made = 0
        self._until = 0.0
        fleet.observers.append(self)

    def start(self, until: float) -> None:
        """Send requests from now on until the given time."""
        self._until = until
        self._check_readiness()
        for stream in self._streams:
            self._schedule_arrival(stream)

    def _check_readiness(self) -> None:
        world = self._fleet.world
        agents = self._fleet.agents()
        self._ready = [node for node, agent in agents.items() if agent.ready and world.is_running(node)]
        world.scheduler.after(READINESS_PERIOD_S, self._check_readiness)

    def _schedule_arrival(self, stream: StreamSize) -> None:
        world = self._fleet.world
        gap_s = self._source.gap_s(stream, world.now)
        if world.now + gap_s < self._until:
            world.scheduler.after(gap_s, lambda: self._arrive(stream))

    def _arrive(self, stream: StreamSize) -> None:
        self._schedule_arrival(stream)
        self._send(self._source.request(stream, self._fleet.world.now), 0, [])

    # Requests

    def _send(self, planned: PlannedRequest, number: int, tried: list[NodeId]) -> None:
        world = self._fleet.world
        node = self._choose_node(planned.zone, tried)
        self._attempts_made += 1
        request = RequestId(f"r{self._attempts_made}")
        attempt = _Attempt(planned, request, node, world.boot(node), number, [*tried, node], world.now)
        if world.process(node) is None:
            self._retry(attempt, NODE_DOWN_BACKOFF_S)
            return
        attempt.key = self._random.choice(self.keys[planned.tenant])
        self._attempts[request] = attempt
        world.deliver(node, ClientRequestArrived(_client_request(attempt)))
        give_up_s = planned.stream.deadline_s + GIVE_UP_MARGIN_S
        world.scheduler.after(give_up_s, lambda: self._give_up(request))

    def _choose_node(self, zone: ZoneName, tried: list[NodeId]) -> NodeId:
        nodes = self._ready or list(self._zones)
        untried = [node for node in nodes if node not in tried] or nodes
        near = [node for node in untried if self._zones[node] == zone] or untried
        return self._random.choice(near)

    def _retry(self, attempt: _Attempt, after_s: float) -> None:
        number = attempt.number + 1
        if number < MAX_ATTEMPTS:
            scheduler = self._fleet.world.scheduler
            scheduler.after(after_s, lambda: self._send(attempt.planned, number, attempt.tried))

    def _give_up(self, request: RequestId) -> None:
        attempt = self._attempts.get(request)
        if attempt is None:
            return
        world = self._fleet.world
        if world.boot(attempt.node) == attempt.boot:
            world.deliver(attempt.node, FlowInput(request, ClientDisconnected()))
        self._finish(attempt, _Outcome(fate=Fate.UNKNOWN))

    # Responses

    def flow_output(self, node: NodeId, output: FlowOutput, now: float) -> None:
        """Handle one part of a response."""
        attempt = self._attempts.get(output.request)
        if attempt is None:
            return
        effect: Effect = output.effect
        if isinstance(effect, ResponseData):
            self._receive_data(attempt, effect.data)
        elif isinstance(effect, ResponseHead):
            attempt.head = effect
        elif isinstance(effect, ResponseEnd):
            self._finish(attempt, _complete_outcome(attempt))
        elif isinstance(effect, ResponseError):
            error = effect.error
            outcome = _Outcome(code=error.code, fate=error.fate, retry_after_s=error.retry_after_s)
            self._finish(attempt, outcome)
        elif isinstance(effect, ResponseAborted):
            self._finish(attempt, _aborted_outcome(attempt.reader))

    def _receive_data(self, attempt: _Attempt, data: bytes) -> None:
        if attempt.planned.stream.prompt:
            attempt.reader.feed(data)
        else:
            attempt.body += data

    def _finish(self, attempt: _Attempt, outcome: _Outcome) -> None:
        del self._attempts[attempt.request]
        self._history.calls.append(_record(attempt, outcome, self._fleet.world.now))
        if outcome.code is ErrorCode.REVOKED_KEY:
            self._drop_key(attempt)
        if outcome.may_retry and not attempt.reader.chunks:
            self._retry(attempt, min(outcome.retry_after_s or DEFAULT_BACKOFF_S, MAX_BACKOFF_S))

    def _drop_key(self, attempt: _Attempt) -> None:
        keys = self.keys[attempt.planned.tenant]
        if attempt.key in keys and len(keys) > 1:
            keys.remove(attempt.key)

    # Faults

    def fault(self, fault: AnyFault, now: float) -> None:
        """End all attempts at a node whose process ends with an unknown fate."""
        if not isinstance(fault, Kill | PowerCut | Restart):
            return
        for attempt in [each for each in self._attempts.values() if each.node == fault.node]:
            self._finish(attempt, _Outcome(fate=Fate.UNKNOWN))


def _client_request(attempt: _Attempt) -> ClientRequest:
    planned, request = attempt.planned, attempt.request
    headers = {"authorization": f"Bearer {attempt.key}"}
    if planned.stream.prompt:
        return ClientRequest(request, "POST", "/v1/chat/completions", headers, planned.body)
    headers["idempotency-key"] = planned.action
    return ClientRequest(request, "POST", f"/v1/calls/{planned.stream.route}", headers, planned.body)


def _complete_outcome(attempt: _Attempt) -> _Outcome:
    """Return the outcome of a response that its node ended as complete."""
    reader, head = attempt.reader, attempt.head
    if head is None:
        return _Outcome(fault="an answer without a head")
    if not attempt.planned.stream.prompt:
        return _call_outcome(attempt.body, head)
    fault = reader.fault
    if not reader.done:
        fault = fault or "a stream ended properly without its last marker"
    if not reader.belongs_to(attempt.request):
        fault = fault or "the stream was made for another request"
    return _Outcome(complete=True, fault=fault, tokens=reader.tokens)


def _call_outcome(body: bytes, head: ResponseHead) -> _Outcome:
    if head.length != len(body):
        return _Outcome(complete=True, fault="an answer of another length than announced")
    try:
        action = msgspec.json.decode(body, type=_CallResponse).action
    except msgspec.DecodeError:
        return _Outcome(complete=True, fault="an answer that is not whole")
    return _Outcome(complete=True, response_action=action)


def _aborted_outcome(reader: StreamReader) -> _Outcome:
    """Return the outcome of a response that its node aborted."""
    fault = reader.fault
    if reader.done:
        fault = fault or "a broken stream carries the last marker"
    if not reader.error:
        return _Outcome(fate=Fate.FAILED, fault=fault)
    error = msgspec.json.decode(reader.error, type=_ErrorEnvelope).error
    return _Outcome(code=error.code, fate=error.fate, fault=fault)


def _record(attempt: _Attempt, outcome: _Outcome, now: float) -> ClientAttempt:
    planned = attempt.planned
    prompt = planned.stream.prompt
    return ClientAttempt(
        sent_at=attempt.sent_at,
        ended_at=now,
        node=attempt.node,
        request=attempt.request,
        route=planned.stream.route,
        tenant=planned.tenant,
        action=planned.action,
        prompt=prompt,
        complete=outcome.complete,
        code=outcome.code,
        fate=outcome.fate,
        response_action=outcome.response_action,
        fault=outcome.fault,
        tokens=outcome.tokens,
        requested_tokens=len(planned.body) // 4 + planned.answer_tokens if prompt else 0,
    )
