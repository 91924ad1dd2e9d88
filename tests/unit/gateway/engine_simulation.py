"""Several nodes in front of model engines in virtual time, to compare policies on one trace.

An engine runs steps: each takes STEP_S, and the prefill of the oldest prompts goes on piece by piece in it,
so that a long prompt delays everybody's tokens. Its cache holds the parts of running and past prompts; the
least recently used give way. A kept part counts only if all parts before it are kept.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from springmux.coordination.identifiers import Address
from springmux.gateway.placement import ExchangeOutcome, Placement, PromptFacts, Ticket
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import EngineId, ServiceName, VersionName

SERVICE = ServiceName("text")
VERSION = VersionName("v1")
WARM_UP_S = 15.0


@dataclass(frozen=True)
class EngineShape:
    """An engine's figures. ``piece_tokens``: prefill of one step, an assumption."""

    slots: int = 64
    step_s: float = 0.005
    prefill_tokens_per_s: float = 51_000.0
    piece_tokens: int = 512
    cache_tokens: int = 511_570


SITE_A = EngineShape()


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


@dataclass
class Request:
    """One request; ``at`` in seconds."""

    at: float
    node: int
    facts: PromptFacts
    long: bool
    first_event_s: float = -1.0
    kept_tokens: int = 0
    engine: int = -1
    ticket: Ticket | None = None
    left: int = 0


@dataclass
class Engine:
    """One model engine."""

    shape: EngineShape = SITE_A
    waiting: deque[Request] = field(default_factory=deque)
    prefilling: deque[Request] = field(default_factory=deque)
    decoding: list[tuple[int, int, Request]] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached: int = 0
    step: int = 0
    busy: bool = False

    def admit(self) -> None:
        """Start waiting requests while there are slots."""
        while self.waiting and len(self.prefilling) + len(self.decoding) < self.shape.slots:
            request = self.waiting.popleft()
            request.kept_tokens = self._kept(request.facts)
            request.left = max(1, request.facts.prompt_tokens - request.kept_tokens)
            self.prefilling.append(request)

    def _kept(self, facts: PromptFacts) -> int:
        kept, broken = 0, False
        for part, tokens in facts.prefix:
            if part in self.cache:
                self.cache.move_to_end(part)
                kept += 0 if broken else tokens
            else:
                broken = True
                self.cache[part] = tokens
                self.cached += tokens
        while self.cached > self.shape.cache_tokens:
            self.cached -= self.cache.popitem(last=False)[1]
        return kept


Chooser = Callable[[int, Request, float], int]


def records(count: int, slots: int = SITE_A.slots) -> list[EngineRecord]:
    """Return ready engines e00, e01, ..."""
    return [
        EngineRecord(EngineId(f"e{n:02}"), SERVICE, VERSION, Address(f"10.0.0.{n}:80"), slots, 1)
        for n in range(count)
    ]


def trace(
    seed: int, nodes: int, seconds: float, longs_per_s: float, shorts_per_s: float, hot_share: float = 0.0
) -> list[Request]:
    """Return requests of two kinds in order of time; ``hot_share`` of the long ones have one dossier."""
    source = random.Random(seed)
    dossiers = [(f"d{n}", max(2000, int(source.gauss(13_300, 4000)))) for n in range(134)]
    skew = [1.0 / (n + 10.0) ** 0.7 for n in range(134)]
    found: list[Request] = []
    numbers = itertools.count()
    at = 0.0
    while at < seconds:
        at += source.expovariate(longs_per_s)
        dossier = source.choices(dossiers, skew)[0]
        if hot_share and source.random() < hot_share:
            dossier = dossiers[-1]
        parts = (dossier, (f"own{next(numbers)}", 3720))
        found.append(Request(at, source.randrange(nodes), PromptFacts(parts, dossier[1] + 3720, 200), True))
    at = 0.0
    while at < seconds:
        at += source.expovariate(shorts_per_s)
        session = source.randrange(1300)
        own = f"own{next(numbers)}"
        facts = PromptFacts(((f"c{session % 40}", 55), (f"s{session}", 37), (own, 291)), 383, 60)
        found.append(Request(at, source.randrange(nodes), facts, False))
    return sorted(found, key=lambda request: request.at)


class World:
    """Runs a trace. Each node is a :class:`Placement`, told of others' requests by ``exchange``, or not."""

    def __init__(
        self,
        nodes: int,
        engines: int,
        seed: int,
        shape: EngineShape = SITE_A,
        exchange: LoadExchange | None = None,
    ) -> None:
        self.engines = [Engine(shape) for _ in range(engines)]
        self.records = records(engines, shape.slots)
        self._shape = shape
        self._exchange = exchange
        view = EnginesView({r.engine: r for r in self.records}, {r.engine: -100.0 for r in self.records}, {})
        self.nodes = [Placement("a", random.Random(seed * 1000 + n)) for n in range(nodes)]
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
            self._at(arriving.at, lambda now, r=arriving: self._arrive(r, choose(r.node, r, now), now))
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

    def _arrive(self, request: Request, engine: int, now: float) -> None:
        request.engine = engine
        self.in_flight[request.node][engine] += 1
        request.ticket = self.nodes[request.node].began(self.records[engine], request.facts, now)
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
        room, ready = self._shape.piece_tokens, []
        while engine.prefilling and room > 0:
            head = engine.prefilling[0]
            piece = min(room, head.left)
            head.left -= piece
            room -= piece
            if head.left == 0:
                ready.append(engine.prefilling.popleft())
        end = now + self._shape.step_s + (self._shape.piece_tokens - room) / self._shape.prefill_tokens_per_s
        engine.step += 1
        for request in ready:
            request.first_event_s = end - request.at
            assert request.ticket is not None
            self.nodes[request.node].first_event(request.ticket, end)
            last_step = engine.step + request.facts.output_tokens
            heapq.heappush(engine.decoding, (last_step, next(self._numbers), request))
        while engine.decoding and engine.decoding[0][0] <= engine.step:
            done = heapq.heappop(engine.decoding)[2]
            assert done.ticket is not None
            self.in_flight[done.node][number] -= 1
            self.nodes[done.node].ended(done.ticket, ExchangeOutcome.OK, end)
        self._at(end, lambda at: self._step(number, at))


@dataclass(frozen=True)
class Result:
    """Figures after the warm-up. ``hit_share``: of the long prompts' shared tokens."""

    hit_share: float
    short_p95_s: float
    long_p95_s: float


def compare(
    policy: str,
    requests: list[Request],
    nodes: int,
    engines: int,
    seed: int,
    shape: EngineShape = SITE_A,
    exchange: LoadExchange | None = None,
) -> Result:
    """Run the trace under ``placement``, ``random`` or ``least_loaded`` (own requests in flight)."""
    world = World(nodes, engines, seed, shape, exchange)
    source = random.Random(seed)

    def least_loaded(node: int, request: Request, now: float) -> int:
        return min(range(engines), key=lambda n: (world.in_flight[node][n], source.random()))

    choosers: dict[str, Chooser] = {
        "placement": world.by_placement,
        "random": lambda node, request, now: source.randrange(engines),
        "least_loaded": least_loaded,
    }
    world.run(requests, choosers[policy])
    measured = [request for request in requests if request.at >= WARM_UP_S]
    longs = [request for request in measured if request.long]
    kept = sum(request.kept_tokens for request in longs)
    shared = sum(sum(tokens for _, tokens in request.facts.prefix[:-1]) for request in longs)
    return Result(
        hit_share=kept / shared,
        short_p95_s=_p95([request.first_event_s for request in measured if not request.long]),
        long_p95_s=_p95([request.first_event_s for request in longs]),
    )


def _p95(values: list[float]) -> float:
    return sorted(values)[int(0.95 * len(values))]
