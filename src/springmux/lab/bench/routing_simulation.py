"""Simulation of one router and its engines in virtual time, with a given routing policy."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import msgspec

from springmux.coordination.identifiers import Address
from springmux.lab.bench.routing_traces import TracedRequest
from springmux.router.choice import EngineChooser
from springmux.router.ejection import Ejector
from springmux.router.engine_table import EngineSlot, EngineTable
from springmux.router.prefix_index import PrefixIndex, PromptPrefix, hash_prefix
from springmux.simulation.engine_model import BYTES_PER_TOKEN, GOOD, EngineModel, EngineSpec
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import EngineId, RequestId, RouteName, ServiceName, VersionName

ROUTE = RouteName("bench")
SERVICE = ServiceName("text")
VERSION = VersionName("v1")
WARM_SINCE_S = -1000.0
"""First-seen time of the initial engines, early enough that their slow start is over."""

Policy = Callable[["RoutingSimulation", TracedRequest, PromptPrefix], EngineSlot]


class ServedRequest(msgspec.Struct, frozen=True):
    """One finished request. ``cached_share``: fraction of the prompt that the engine's cache held."""

    arrived_at: float
    first_token_s: float
    cached_share: float
    prompt_bytes: int
    kind: str


class RoutingSimulation:
    """Simulates one router and its engines; events run in the order of virtual time.

    ``served``: finished requests. ``lost``: number of requests on engines that were lost.
    """

    def __init__(self, engines: int, spec: EngineSpec, policy: Policy, seed: int) -> None:
        self.random = random.Random(f"policy {seed}")
        self.table = EngineTable()
        self.index = PrefixIndex()
        self.chooser = EngineChooser(self.index, Ejector(), self.random)
        self.round_robin_counter = itertools.count()
        self.now = 0.0
        self.served: list[ServedRequest] = []
        self.lost = 0
        self._spec = spec
        self._policy = policy
        self._seed = seed
        self._models: dict[EngineId, EngineModel] = {}
        self._records: dict[EngineId, EngineRecord] = {}
        self._first_seen_at: dict[EngineId, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._queued_starts: dict[RequestId, Callable[[], None]] = {}
        for number in range(engines):
            self._add_engine(EngineId(f"engine-{number}"), WARM_SINCE_S)

    def usable_slots(self) -> list[EngineSlot]:
        """Return the engines that a policy may choose, in a fixed order."""
        return self.table.pool(SERVICE, VERSION).slots

    def run(self, trace: Sequence[TracedRequest], replacements: Sequence[float]) -> None:
        """Serve a trace; at each time in ``replacements`` a cold engine replaces one that is lost."""
        for request in trace:
            self._schedule(request.at, lambda request=request: self._arrive(request))  # type: ignore[misc]
        for number, at_s in enumerate(replacements):
            self._schedule(at_s, lambda number=number: self._replace_engine(number))  # type: ignore[misc]
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _add_engine(self, engine: EngineId, first_seen_at: float) -> None:
        self._models[engine] = EngineModel(self._spec, GOOD, random.Random(f"{engine} {self._seed}"))
        self._records[engine] = EngineRecord(
            engine=engine,
            service=SERVICE,
            version=VERSION,
            address=Address("127.0.0.1:1"),
            capacity=self._spec.slots,
            incarnation=1,
        )
        self._first_seen_at[engine] = first_seen_at
        self._update_table()

    def _update_table(self) -> None:
        view = EnginesView(engines=dict(self._records), first_seen_at=dict(self._first_seen_at), loads={})
        self.table.update(view)

    def _replace_engine(self, number: int) -> None:
        lost = EngineId(f"engine-{number}")
        del self._records[lost], self._first_seen_at[lost], self._models[lost]
        self._add_engine(EngineId(f"replacement-{number}"), self.now)

    def _arrive(self, request: TracedRequest) -> None:
        prefix = hash_prefix(request.prompt)
        slot = self._policy(self, request, prefix)
        tokens = len(request.prompt) // BYTES_PER_TOKEN + request.answer_tokens
        slot.begin(tokens)
        self.index.record(prefix, slot)
        model = self._models[slot.record.engine]
        request_id = RequestId(str(request.number))
        if model.arrive(request_id):
            self._start(request, slot, tokens)
        else:
            self._queued_starts[request_id] = lambda: self._start(request, slot, tokens)

    def _start(self, request: TracedRequest, slot: EngineSlot, tokens: int) -> None:
        model = self._models.get(slot.record.engine)
        if model is None:
            self.lost += 1
            slot.end(tokens)
            return
        plan = model.plan(request.prompt, ROUTE, self.now)
        first_at = self.now + plan.first_chunk_delay_s
        finished = ServedRequest(
            request.at, first_at - request.at, plan.cached_share, len(request.prompt), request.kind
        )
        gap_s = model.chunk_gap_s(ROUTE, self.now)
        end_at = first_at + gap_s * (request.answer_tokens - 1)
        self._schedule(end_at, lambda: self._end(request, slot, tokens, finished))

    def _end(self, request: TracedRequest, slot: EngineSlot, tokens: int, finished: ServedRequest) -> None:
        slot.end(tokens)
        model = self._models.get(slot.record.engine)
        if model is None:
            self.lost += 1
            return
        self.served.append(finished)
        next_request_id = model.leave(RequestId(str(request.number)))
        start = self._queued_starts.pop(next_request_id, None) if next_request_id is not None else None
        if start is not None:
            start()
