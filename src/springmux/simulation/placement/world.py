"""Simulated nodes, each a :class:`Placement`, in front of engines, with delayed load reports."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from springmux.coordination.identifiers import Address
from springmux.gateway.engine_health import ExchangeOutcome
from springmux.gateway.placement import Placement
from springmux.gateway.placement_policy import PlacementPolicy
from springmux.simulation.placement.engine import DecodingRequest, Engine, EngineShape, Request
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

SERVICE = ServiceName("text")
VERSION = VersionName("v1")


@dataclass(frozen=True)
class LoadExchange:
    """Load reports between nodes: sent every ``period_s``, received ``delay_s`` later (seconds)."""

    period_s: float
    delay_s: float


EngineLoads = dict[EngineId, tuple[float, float]]
"""Requests and prompt tokens in flight, by engine, as :meth:`Placement.update_other_loads` takes them."""


@dataclass(frozen=True)
class _Loads:
    """Each node's loads at one moment."""

    own: list[EngineLoads]

    def others(self, node: int) -> EngineLoads:
        """Return the sum of all nodes' loads except those of ``node``."""
        sums: EngineLoads = {}
        for number, loads in enumerate(self.own):
            if number == node:
                continue
            for engine, (requests, tokens) in loads.items():
                known = sums.get(engine, (0.0, 0.0))
                sums[engine] = (known[0] + requests, known[1] + tokens)
        return sums


Chooser = Callable[[int, Request, float], int]
"""Returns the index of the engine for a request, given the node, the request and the time."""


def engine_records(count: int, slots: int) -> list[EngineRecord]:
    """Return the records of ready engines, named e00, e01 and so on."""
    return [
        EngineRecord(EngineId(f"e{n:02}"), SERVICE, VERSION, Address(f"10.0.0.{n}:80"), slots, 1)
        for n in range(count)
    ]


class World:
    """Runs a trace over nodes and engines.

    :param exchange: load reports between nodes; ``None`` for nodes that know their own requests only.
    """

    def __init__(
        self,
        nodes: int,
        engines: int,
        seed: int,
        shape: EngineShape,
        exchange: LoadExchange | None = None,
        policy: PlacementPolicy | None = None,
    ) -> None:
        self.engines = [Engine(shape) for _ in range(engines)]
        self.records = engine_records(engines, shape.slots)
        self._shape = shape
        self._exchange = exchange
        view = EnginesView({r.engine: r for r in self.records}, {r.engine: -100.0 for r in self.records}, {})
        self.nodes = [Placement("a", random.Random(seed * 1000 + n), policy) for n in range(nodes)]
        for node in self.nodes:
            node.update_engines(view, 0.0)
            node.set_fleet_size(nodes)
        self._reported_loads: list[EngineLoads] = [{} for _ in range(nodes)]
        self.in_flight = [[0] * engines for _ in range(nodes)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()

    def run(self, requests: list[Request], choose: Chooser) -> None:
        """Serve all requests; their results are stored in them."""
        for arriving in requests:
            self._schedule(arriving.at, partial(self._arrive, arriving, choose))
        if self._exchange is not None:
            rounds = int(requests[-1].at / self._exchange.period_s)
            for number in range(rounds):
                self._schedule(number * self._exchange.period_s, self._report)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def by_placement(self, node: int, request: Request, now: float) -> int:
        """Choose an engine by the policy under test."""
        chosen = self.nodes[node].choose(SERVICE, (VERSION,), request.metadata, (), now)
        assert chosen is not None
        return self.records.index(chosen)

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _report(self, now: float) -> None:
        assert self._exchange is not None
        for reported, node in zip(self._reported_loads, self.nodes, strict=True):
            reported.update(
                (engine, (requests, tokens)) for engine, requests, tokens in node.take_changed_loads()
            )
        loads = _Loads([dict(reported) for reported in self._reported_loads])
        self._schedule(now + self._exchange.delay_s, lambda _: self._receive_reports(loads))

    def _receive_reports(self, loads: _Loads) -> None:
        for number, node in enumerate(self.nodes):
            node.update_other_loads(loads.others(number))

    def _arrive(self, request: Request, choose: Chooser, now: float) -> None:
        engine = choose(request.node, request, now)
        request.engine = engine
        self.in_flight[request.node][engine] += 1
        request.dispatch = self.nodes[request.node].record_dispatch(
            self.records[engine], request.metadata, now
        )
        self.engines[engine].waiting.append(request)
        if not self.engines[engine].busy:
            self.engines[engine].busy = True
            self._schedule(now, lambda at: self._step(engine, at))

    def _step(self, number: int, now: float) -> None:
        """Run one step that begins at ``now``; its results take effect at its end."""
        engine = self.engines[number]
        engine.admit()
        if not engine.prefilling and not engine.decoding:
            engine.busy = False
            return
        running = engine.running
        ready, prefill_s = engine.prefill()
        end = now + self._shape.step_s + running * self._shape.step_request_s + prefill_s
        engine.step += 1
        for request in ready:
            request.first_event_s = end + self._shape.first_event_delay_s - request.at
            self._schedule(end + self._shape.first_event_delay_s, partial(self._first_event, request))
            last_step = engine.step + request.metadata.output_tokens
            heapq.heappush(engine.decoding, DecodingRequest(last_step, next(self._sequence), request))
        while engine.decoding and engine.decoding[0].last_step <= engine.step:
            done = heapq.heappop(engine.decoding).request
            assert done.dispatch is not None
            self.in_flight[done.node][number] -= 1
            self.nodes[done.node].record_end(done.dispatch, ExchangeOutcome.OK, end)
        self._schedule(end, lambda at: self._step(number, at))

    def _first_event(self, request: Request, now: float) -> None:
        assert request.dispatch is not None
        self.nodes[request.node].record_first_event(request.dispatch, now)
