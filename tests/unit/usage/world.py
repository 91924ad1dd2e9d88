"""Simulation of usage exchanges in virtual time: lossy network, loads, faults, and a check of all windows."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from springmux.agent import wire
from springmux.coordination.identifiers import Address, NodeId, ReplicaId, Revision, Term, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import Effect, Event, MessageReceived, Send, Tick, message_name
from springmux.coordination.usage.events import AccountLimit, AccountLimitsChanged, UsageMembersChanged
from springmux.coordination.usage.usage_exchange import UsageExchange

WINDOW_S = 8.0
TOLERANCE = 1.1
SLACK = 190_000.0
"""The quota bound: all nodes together admit at most (rate x 8 s + burst) x 1.1 + 190,000 tokens in any 8 s
(requirement)."""

RATE = 94_000.0
BURST = 112_000.0
USUAL_DEMAND = RATE / 1.3
"""Usual demand of a tenant in tokens/s (requirement)."""
ACCOUNT = "t0"
LOSS_PROBABILITY = 0.01
DELAY_S = (0.001, 0.003)
MAX_DIRECT_NODES = 24
"""Largest fleet whose nodes report to each other; in a larger one they report to collectors."""
WARM_UP_S = 2.0
"""Time for which nodes run before the load begins."""
SIZES = ((400, 0.3), (2_000, 0.3), (4_000, 0.25), (12_000, 0.1), (20_000, 0.05))
"""Request sizes in tokens, and the fraction of requests of each (requirement: 400 to 20,000)."""
MEAN_SIZE = sum(size * part for size, part in SIZES)


@dataclass
class Request:
    """One request and its outcome."""

    at: float
    node: int
    account: str
    tokens: float
    admitted: bool


@dataclass
class Load:
    """Poisson arrivals with a total of ``tokens_per_s``, spread over ``nodes(now)``."""

    tokens_per_s: Callable[[float], float]
    nodes: Callable[[float], Iterable[int]]
    account: str = ACCOUNT
    sizes: tuple[tuple[int, float], ...] = SIZES


@dataclass
class World:
    """Runs the usage exchanges of a fleet in virtual time."""

    size: int
    seed: int
    limits: dict[str, AccountLimit] = field(default_factory=lambda: {ACCOUNT: AccountLimit(RATE, BURST)})
    controllers: int = 3
    zones: int = 6
    """Number of zones of a fleet that needs collectors; a smaller fleet is in a single zone."""

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.now = 0.0
        self.counter = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.exchanges: dict[int, UsageExchange] = {}
        self.inboxes: dict[int, list[Callable[[], None]]] = {}
        self.paused: set[int] = set()
        self.dead: set[int] = set()
        self.partition_side: dict[int, int] = {}
        self.requests: list[Request] = []
        self.bytes: Counter[str] = Counter()
        self.bytes_between_zones: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.loss_probability = LOSS_PROBABILITY
        for node in range(self.size):
            self.start(node)

    def name(self, node: int) -> NodeId:
        return NodeId(f"node-{node:02}")

    def zone(self, node: int) -> ZoneName:
        return ZoneName(f"z{node % self.zones}" if self.size > MAX_DIRECT_NODES else "z")

    def view(self, own: int, present: Iterable[int]) -> MembershipView:
        nodes = {}
        for node in present:
            name = self.name(node)
            replica = ReplicaId(f"r{node}") if node < self.controllers else None
            where = Address("h:1")
            nodes[name] = NodeRecord(name, self.zone(node), where, where, where, replica=replica)
        return MembershipView(self.name(own), nodes)

    def start(self, node: int) -> None:
        """Start or restart a node, without any earlier state."""
        self.dead.discard(node)
        self.exchanges[node] = UsageExchange(self.name(node), random.Random(self.random.getrandbits(64)))
        self.inboxes[node] = []
        self.handle_event(node, AccountLimitsChanged(self.limits))
        self.handle_event(node, UsageMembersChanged(self.view(node, range(self.size))))

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.counter), action))

    def handle_event(self, node: int, event: Event) -> None:
        self.transmit(node, self.exchanges[node].handle(event, self.now))
        self.schedule_tick(node)

    def transmit(self, sender: int, effects: list[Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            to = int(effect.to.removeprefix("node-"))
            assert to != sender
            data = wire.encode(Term(7), self.name(0), Revision(1234), effect.message)
            kind = message_name(type(effect.message))
            self.bytes[kind] += len(data)
            if self.zone(sender) != self.zone(to):
                self.bytes_between_zones[kind] += len(data)
            self.messages[kind] += 1
            is_partitioned = self.partition_side.get(sender, 0) != self.partition_side.get(to, 0)
            if is_partitioned or self.random.random() < self.loss_probability:
                continue
            event = MessageReceived(self.name(sender), wire.decode(data).message)
            exchange = self.exchanges[to]
            self.at(
                self.now + self.random.uniform(*DELAY_S),
                lambda e=event, t=to, p=exchange: self.deliver(t, e, p),
            )

    def deliver(self, to: int, event: Event, exchange: UsageExchange) -> None:
        if to in self.dead or self.exchanges[to] is not exchange:
            return
        if to in self.paused:
            self.inboxes[to].append(lambda: self.handle_event(to, event))
            return
        self.handle_event(to, event)

    def schedule_tick(self, node: int) -> None:
        exchange = self.exchanges[node]
        due = exchange.next_deadline()
        if due != float("inf"):
            self.at(max(due, self.now), lambda: self.tick(node, exchange, due))

    def tick(self, node: int, exchange: UsageExchange, due: float) -> None:
        if node in self.dead or node in self.paused or self.exchanges[node] is not exchange:
            return
        if exchange.next_deadline() <= self.now and exchange.next_deadline() == due:
            self.handle_event(node, Tick())

    def resume(self, node: int) -> None:
        self.paused.discard(node)
        deferred_actions, self.inboxes[node] = self.inboxes[node], []
        for action in deferred_actions:
            action()
        self.schedule_tick(node)

    def set_members(self, nodes: Iterable[int], present: Iterable[int]) -> None:
        """Apply a membership view of the ``present`` nodes at ``nodes``."""
        members = list(present)
        for node in nodes:
            if node not in self.dead:
                self.handle_event(node, UsageMembersChanged(self.view(node, members)))

    def set_limit(self, limit: AccountLimit) -> None:
        self.limits = {**self.limits, ACCOUNT: limit}
        for node in self.exchanges:
            self.handle_event(node, AccountLimitsChanged(self.limits))

    def request(self, node: int, account: str, tokens: float) -> None:
        if node in self.dead:
            return
        if node in self.paused:
            self.inboxes[node].append(lambda: self.request(node, account, tokens))
            return
        wait = self.exchanges[node].admit(account, tokens, self.now)
        assert wait is None or wait >= 0.05
        self.requests.append(Request(self.now, node, account, tokens, wait is None))
        self.schedule_tick(node)

    def add_load(self, load: Load, until: float) -> None:
        """Schedule the arrivals of a load from the end of the warm-up."""
        mean = sum(size * part for size, part in load.sizes)
        when = WARM_UP_S
        while when < until:
            rate = max(load.tokens_per_s(when), 1.0)
            when += self.random.expovariate(rate / mean)
            node = self.random.choice(list(load.nodes(when)))
            size = self.random.choices([s for s, _ in load.sizes], [p for _, p in load.sizes])[0]
            self.at(when, lambda n=node, s=size: self.request(n, load.account, s))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def admitted(self, begin: float, end: float, account: str = ACCOUNT) -> float:
        return sum(
            r.tokens for r in self.requests if r.admitted and r.account == account and begin <= r.at < end
        )

    def rejected(self, begin: float, end: float, account: str = ACCOUNT) -> float:
        return sum(
            r.tokens for r in self.requests if not r.admitted and r.account == account and begin <= r.at < end
        )

    def admitted_fraction_by_size(
        self, begin: float, end: float, account: str = ACCOUNT
    ) -> dict[float, float]:
        """Return the fraction of the requests of each size that was admitted."""
        requested: Counter[float] = Counter()
        admitted: Counter[float] = Counter()
        for request in self.requests:
            if request.account == account and begin <= request.at < end:
                requested[request.tokens] += 1
                admitted[request.tokens] += request.admitted
        return {size: admitted[size] / count for size, count in requested.items()}

    def excess(self, rate: float = RATE, burst: float = BURST, account: str = ACCOUNT) -> float:
        """Return by how many tokens the worst 8 s window exceeds rate x 8 + burst; negative if none does."""
        admissions = [(r.at, r.tokens) for r in self.requests if r.admitted and r.account == account]
        largest = total = 0.0
        begin = 0
        for at, tokens in admissions:
            total += tokens
            while admissions[begin][0] <= at - WINDOW_S:
                total -= admissions[begin][1]
                begin += 1
            largest = max(largest, total)
        return largest - (rate * WINDOW_S + burst)

    def admitted_by_single_bucket(
        self, begin: float, end: float, rate: float = RATE, burst: float = BURST
    ) -> float:
        """Return the tokens of the same requests that a single bucket for all nodes would have admitted."""
        level, at, admitted_tokens = burst, begin, 0.0
        for request in self.requests:
            if not begin <= request.at < end or request.account != ACCOUNT:
                continue
            level = min(burst, level + (request.at - at) * rate)
            at = request.at
            if level >= min(request.tokens, burst):
                level -= request.tokens
                admitted_tokens += request.tokens
        return admitted_tokens

    def allowance(self, rate: float = RATE, burst: float = BURST) -> float:
        """Return the excess over rate x 8 + burst that the quota bound allows."""
        return (rate * WINDOW_S + burst) * (TOLERANCE - 1.0) + SLACK
