"""Nodes, each a :class:`Placement`, in front of engines; they learn of each other's load late or never."""

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
from springmux.simulation.placement.engine import Engine, EngineShape, Request
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

SERVICE = ServiceName("text")
VERSION = VersionName("v1")


@dataclass(frozen=True)
class LoadExchange:
    """How nodes learn of each other's load: sums each ``period_s``, ``delay_s`` old when they arrive."""

    period_s: float
    delay_s: float


@dataclass(frozen=True)
class _Loads:
    """Each node's loads at one moment, by engine: requests and prompt tokens."""

    own: list[dict[EngineId, tuple[float, float]]]

    def others(self, node: int) -> dict[EngineId, tuple[float, float]]:
        sums: dict[EngineId, tuple[float, float]] = {}
        for number, loads in enumerate(self.own):
            if number == node:
                continue
            for engine, (requests, tokens) in loads.items():
                known = sums.get(engine, (0.0, 0.0))
                sums[engine] = (known[0] + requests, known[1] + tokens)
        return sums


Chooser = Callable[[int, Request, float], int]


def engine_records(count: int, slots: int) -> list[EngineRecord]:
    """Return ready engines e00, e01, ..."""
    return [
        EngineRecord(EngineId(f"e{n:02}"), SERVICE, VERSION, Address(f"10.0.0.{n}:80"), slots, 1)
        for n in range(count)
    ]


class World:
    """Runs a trace. Each node is a :class:`Placement`, told of others' requests by ``exchange``, or not."""

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
        self._told: list[dict[EngineId, tuple[float, float]]] = [{} for _ in range(nodes)]
        self.in_flight = [[0] * engines for _ in range(nodes)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def run(self, requests: list[Request], choose: Chooser) -> None:
        """Serve all requests; their results are in them."""
        for arriving in requests:
            self._at(arriving.at, partial(self._arrive, arriving, choose))
        if self._exchange is not None:
            rounds = int(requests[-1].at / self._exchange.period_s)
            for number in range(rounds):
                self._at(number * self._exchange.period_s, self._report)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def by_placement(self, node: int, request: Request, now: float) -> int:
        """The policy under test."""
        chosen = self.nodes[node].choose(SERVICE, (VERSION,), request.facts, (), now)
        assert chosen is not None
        return self.records.index(chosen)

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _report(self, now: float) -> None:
        assert self._exchange is not None
        for told, node in zip(self._told, self.nodes, strict=True):
            told.update((engine, (requests, tokens)) for engine, requests, tokens in node.changed_loads())
        loads = _Loads([dict(told) for told in self._told])
        self._at(now + self._exchange.delay_s, lambda _: self._take_reports(loads))

    def _take_reports(self, loads: _Loads) -> None:
        for number, node in enumerate(self.nodes):
            node.report_others(loads.others(number))

    def _arrive(self, request: Request, choose: Chooser, now: float) -> None:
        engine = choose(request.node, request, now)
        request.engine = engine
        self.in_flight[request.node][engine] += 1
        request.correlation_id = self.nodes[request.node].began(self.records[engine], request.facts, now)
        self.engines[engine].waiting.append(request)
        if not self.engines[engine].busy:
            self.engines[engine].busy = True
            self._at(now, lambda at: self._step(engine, at))

    def _step(self, number: int, now: float) -> None:
        """Run one step that begins at ``now``; what it yields is noted at its end."""
        engine = self.engines[number]
        engine.admit()
        if not engine.prefilling and not engine.decoding:
            engine.busy = False
            return
        running = engine.running
        ready, prefill_s = engine.prefill()
        end = now + self._shape.step_s + running * self._shape.step_slot_s + prefill_s
        engine.step += 1
        for request in ready:
            request.first_event_s = end + self._shape.first_s - request.at
            self._at(end + self._shape.first_s, partial(self._first_event, request))
            last_step = engine.step + request.facts.output_tokens
            heapq.heappush(engine.decoding, (last_step, next(self._numbers), request))
        while engine.decoding and engine.decoding[0][0] <= engine.step:
            done = heapq.heappop(engine.decoding)[2]
            assert done.correlation_id is not None
            self.in_flight[done.node][number] -= 1
            self.nodes[done.node].ended(done.correlation_id, ExchangeOutcome.OK, end)
        self._at(end, lambda at: self._step(number, at))

    def _first_event(self, request: Request, now: float) -> None:
        assert request.correlation_id is not None
        self.nodes[request.node].first_event(request.correlation_id, now)
