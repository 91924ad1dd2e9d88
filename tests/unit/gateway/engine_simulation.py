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
STEP_S = 0.005
PREFILL_TOKENS_PER_S = 51_000.0
PIECE_TOKENS = 512
"""Prefill of one step: twice a step's time, an assumption."""
SLOTS = 64
CACHE_TOKENS = 511_570
WARM_UP_S = 15.0


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

    waiting: deque[Request] = field(default_factory=deque)
    prefilling: deque[Request] = field(default_factory=deque)
    decoding: list[tuple[int, int, Request]] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached: int = 0
    step: int = 0
    busy: bool = False

    def admit(self) -> None:
        """Start waiting requests while there are slots."""
        while self.waiting and len(self.prefilling) + len(self.decoding) < SLOTS:
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
        while self.cached > CACHE_TOKENS:
            self.cached -= self.cache.popitem(last=False)[1]
        return kept


Chooser = Callable[[int, Request, float], int]


def records(count: int) -> list[EngineRecord]:
    """Return ready engines e00, e01, ..."""
    return [
        EngineRecord(EngineId(f"e{n:02}"), SERVICE, VERSION, Address(f"10.0.0.{n}:80"), SLOTS, 1)
        for n in range(count)
    ]


def trace(seed: int, nodes: int, seconds: float, longs_per_s: float, shorts_per_s: float) -> list[Request]:
    """Return requests of site A's two kinds in order of time."""
    source = random.Random(seed)
    dossiers = [(f"d{n}", max(2000, int(source.gauss(13_300, 4000)))) for n in range(134)]
    skew = [1.0 / (n + 10.0) ** 0.7 for n in range(134)]
    found: list[Request] = []
    numbers = itertools.count()
    at = 0.0
    while at < seconds:
        at += source.expovariate(longs_per_s)
        dossier = source.choices(dossiers, skew)[0]
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
    """Runs a trace: each node is a :class:`Placement` that is told of its own requests only."""

    def __init__(self, nodes: int, engines: int, seed: int) -> None:
        self.engines = [Engine() for _ in range(engines)]
        self.records = records(engines)
        view = EnginesView({r.engine: r for r in self.records}, {r.engine: -100.0 for r in self.records}, {})
        self.nodes = [Placement("a", random.Random(seed * 1000 + n)) for n in range(nodes)]
        for node in self.nodes:
            node.update_engines(view, 0.0)
            node.set_fleet_size(nodes)
        self.in_flight = [[0] * engines for _ in range(nodes)]
        self._events: list[tuple[float, int, int, Request | None]] = []
        self._numbers = itertools.count()

    def run(self, requests: list[Request], choose: Chooser) -> None:
        """Serve all requests; their results are in them."""
        for arriving in requests:
            self._push(arriving.at, -1, arriving)
        while self._events:
            now, _, engine, request = heapq.heappop(self._events)
            if request is not None:
                self._arrive(request, choose(request.node, request, now), now)
            else:
                self._step(engine, now)

    def by_placement(self, node: int, request: Request, now: float) -> int:
        """The policy under test."""
        chosen = self.nodes[node].choose(SERVICE, (VERSION,), request.facts, (), now)
        assert chosen is not None
        return self.records.index(chosen)

    def _push(self, at: float, engine: int, request: Request | None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), engine, request))

    def _arrive(self, request: Request, engine: int, now: float) -> None:
        request.engine = engine
        self.in_flight[request.node][engine] += 1
        request.ticket = self.nodes[request.node].began(self.records[engine], request.facts, now)
        self.engines[engine].waiting.append(request)
        if not self.engines[engine].busy:
            self.engines[engine].busy = True
            self._push(now, engine, None)

    def _step(self, number: int, now: float) -> None:
        """Run one step that begins at ``now``; what it yields is noted at its end."""
        engine = self.engines[number]
        engine.admit()
        if not engine.prefilling and not engine.decoding:
            engine.busy = False
            return
        room, ready = PIECE_TOKENS, []
        while engine.prefilling and room > 0:
            head = engine.prefilling[0]
            piece = min(room, head.left)
            head.left -= piece
            room -= piece
            if head.left == 0:
                ready.append(engine.prefilling.popleft())
        end = now + STEP_S + (PIECE_TOKENS - room) / PREFILL_TOKENS_PER_S
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
        self._push(end, number, None)


@dataclass(frozen=True)
class Result:
    """Figures after the warm-up. ``hit_share``: of the long prompts' shared tokens."""

    hit_share: float
    short_p95_s: float
    long_p95_s: float


def compare(policy: str, requests: list[Request], nodes: int, engines: int, seed: int) -> Result:
    """Run the trace under ``placement``, ``random`` or ``least_loaded`` (own requests in flight)."""
    world = World(nodes, engines, seed)
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
