"""Several nodes' real forwarders and cores over model engines, with clients, in virtual time."""

from __future__ import annotations

import asyncio
import io
import itertools
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from springmux.control.gateway_configuration import (
    Backend,
    GatewayConfiguration,
    GatewayRoute,
    GatewayRouteKind,
    GatewayService,
    GatewayTenant,
)
from springmux.control.view import EMPTY_VIEW
from springmux.coordination.identifiers import Address, NodeId, ReplicaId, Revision, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import Effect, MessageReceived, Send, Tick
from springmux.coordination.usage.events import AccountLimit, AccountLimitsChanged, UsageMembersChanged
from springmux.coordination.usage.usage_exchange import UsageExchange
from springmux.gateway.core import GatewayCore, RetryBounds
from springmux.gateway.dialect import OWN_HEADERS
from springmux.node.gateway.forwarder import Forwarder
from springmux.node.gateway.headers import HeaderRules
from springmux.node.gateway.refusal_log import RefusalLog
from springmux.node.gateway.services import ForwarderServices
from springmux.node.http.types import RequestHead
from springmux.node.logs import EventLog
from springmux.node.service_rates import ServiceRates
from springmux.rollout.outcome import VersionChoice
from springmux.vocabulary.engines import EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName
from tests.unit.bad_days.model_engines import Behaviour, EngineFarm, ModelEngine
from tests.unit.node.gateway.scripted_engines import now
from tests.unit.node.gateway.stand_ins import Chooser, RecordingClient

TEXT, V1 = ServiceName("text"), VersionName("v1")
TIMEOUT_S = 2.0
TARGET_S = 0.5
GAP_S = 0.2
NEWS_S = 0.003
"""Between two nodes."""
USAGE_ROUND_S = 0.05
LOADS_ROUND_S = 0.2
SETTLED_S = 2.0
"""Nodes hear of each other before the callers come."""
LEAST_FLEET_RETRIES = 20


def route(kind: GatewayRouteKind, resumable: bool = False) -> GatewayRoute:
    """Return the route of a kind: ``/safe/``, ``/unsafe/`` or ``/stream/``."""
    return GatewayRoute(
        RouteName(kind.value), "api", f"/{kind.value}/", kind, (Backend(TEXT, 1.0),),
        timeout_ms=TIMEOUT_S * 1000, target_ms=TARGET_S * 1000, gap_target_ms=GAP_S * 1000,
        max_attempts=3, resumable=resumable,
    )  # fmt: skip


ROUTES = (
    route(GatewayRouteKind.SAFE),
    route(GatewayRouteKind.UNSAFE),
    route(GatewayRouteKind.STREAM, resumable=True),
)
SAFE, UNSAFE, STREAM = (used.kind for used in ROUTES)


@dataclass
class Asked:
    """One client's request and what became of it."""

    number: int
    kind: GatewayRouteKind
    key: str
    tokens: int
    caller: RecordingClient
    at: float

    @property
    def request_id(self) -> bytes:
        """The id by which engines know it."""
        return b"r%d" % self.number

    @property
    def served(self) -> bool:
        """Whether the client got a whole success."""
        return self.caller.status == 200 and self.caller.ended


class FleetNode:
    """One node's forwarder, core and usage part."""

    def __init__(
        self, name: str, farm: EngineFarm, source: random.Random, chooser: Chooser | None = None
    ) -> None:
        self.name = NodeId(name)
        self.usage = UsageExchange(self.name, random.Random(source.random()))
        chosen_by = chooser or Chooser(VersionChoice(()))
        self.core = GatewayCore("north", random.Random(source.random()), chosen_by, self.usage)
        log = RefusalLog(self.core.counters, EventLog(name, output=io.StringIO()), OWN_HEADERS.request_id)
        rules = HeaderRules(OWN_HEADERS)
        randomness = random.Random(source.random())
        self.forwarder = Forwarder(ForwarderServices(self.core, farm, rules, randomness, ServiceRates(), log))


class GatewayFleet:
    """A fleet that has settled. What happens in it is planned with :meth:`at` and :meth:`press`."""

    def __init__(self, seed: int, nodes: int = 3, engines: int = 4, chooser: Chooser | None = None) -> None:
        """:param chooser: the version filter of all nodes, if there is a rollout."""
        self.source = random.Random(seed)
        self.farm = EngineFarm(random.Random(self.source.random()))
        self.asked: list[Asked] = []
        self._records: dict[EngineId, EngineRecord] = {}
        self._first_seen: dict[EngineId, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._numbers = itertools.count()
        self._version = 0
        self.began = now()
        self.nodes = [FleetNode(f"n{number}", self.farm, self.source, chooser) for number in range(nodes)]
        for node in self.nodes:
            node.core.set_retry_bounds(RetryBounds(minimum=LEAST_FLEET_RETRIES))
            node.core.update_fleet(nodes)
        self.configure()
        for number in range(engines):
            self.add_engine(f"e{number}", first_seen=-100.0)

    @property
    def elapsed(self) -> float:
        """Seconds since the fleet was made."""
        return now() - self.began

    # Configuration and directory

    def configure(self, *tenants: GatewayTenant) -> GatewayConfiguration:
        """Put the next version, with these tenants, in force at every node; return it."""
        self._version += 1
        configuration = GatewayConfiguration(
            self._version,
            ROUTES,
            {TEXT: GatewayService(TEXT)},
            {tenant.name: tenant for tenant in tenants},
            key_tenants={key: tenant.name for tenant in tenants for key in tenant.api_keys},
        )
        for node in self.nodes:
            self.deliver(node, configuration)
        return configuration

    def deliver(self, node: FleetNode, configuration: GatewayConfiguration) -> None:
        """Have one node get a version, in whatever order it comes."""
        revision = Revision(configuration.version)
        view = msgspec.structs.replace(EMPTY_VIEW, revision=revision, gateway=configuration)
        node.core.update_control(view, now())
        limits = {
            tenant.name: AccountLimit(tenant.rate_per_s, tenant.burst)
            for tenant in configuration.tenants.values()
            if tenant.rate_per_s > 0
        }
        node.usage.handle(AccountLimitsChanged(limits), now())

    def add_engine(
        self,
        name: str,
        behaviour: Behaviour | None = None,
        first_seen: float | None = None,
        version: VersionName = V1,
    ) -> ModelEngine:
        """Start an engine; the directory lists it as new from now on, or as seen at ``first_seen``."""
        engine = self.farm.engines[name] = ModelEngine(name, behaviour)
        identity = EngineId(name)
        slots = engine.behaviour.slots
        self._records[identity] = EngineRecord(identity, TEXT, version, Address(f"{name}:80"), slots, 1)
        self._first_seen[identity] = now() if first_seen is None else first_seen
        self._show_directory()
        return engine

    def tell(self, name: str, status: EngineStatus) -> None:
        """Have the directory of every node list an engine with another status."""
        old = self._records[EngineId(name)]
        self._records[EngineId(name)] = msgspec.structs.replace(old, status=status, sequence=old.sequence + 1)
        self._show_directory()

    def _show_directory(self) -> None:
        for node in self.nodes:
            view = EnginesView(dict(self._records), dict(self._first_seen), {})
            node.core.update_engines(view, now())

    # Time

    def at(self, elapsed: float, action: Callable[[], object]) -> None:
        """Plan an action for that many seconds after the fleet was made."""
        asyncio.get_running_loop().call_at(self.began + elapsed, action)

    def at_once(self, elapsed: float, story: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Plan a coroutine that begins so many seconds after the fleet was made."""
        self.at(elapsed, lambda: self._start(story()))

    def press(
        self,
        begin: float,
        end: float,
        per_s: float,
        kinds: Sequence[GatewayRouteKind] = (SAFE, UNSAFE, STREAM),
        key: str = "",
        tokens: int = 0,
        nodes: int = 0,
    ) -> None:
        """Plan Poisson arrivals at all nodes, or at the first ``nodes`` of them."""
        at = begin
        while (at := at + self.source.expovariate(per_s)) < end:
            node = self.source.choice(self.nodes[: nodes or None])
            kind = self.source.choice(kinds)
            self.at(at, lambda node=node, kind=kind: self.ask(node, kind, key, tokens))  # type: ignore[misc]

    async def run(self, until: float) -> None:
        """Let the fleet go on until so many seconds after its beginning."""
        rounds = (self._exchange_usage(), self._exchange_loads())
        background = [asyncio.create_task(one) for one in rounds]
        await asyncio.sleep(self.began + until - now())
        for task in background:
            task.cancel()

    def ask(self, node: FleetNode, kind: GatewayRouteKind, key: str = "", tokens: int = 0) -> Asked:
        """Have a client ask one node now."""
        number = next(self._numbers)
        caller = RecordingClient()
        headers = [(b"host", b"api"), (OWN_HEADERS.request_id, b"r%d" % number)]
        if key:
            headers.append((OWN_HEADERS.api_key, key.encode()))
        if tokens:
            headers.append((OWN_HEADERS.token_usage, b"%d,0" % tokens))
        caller.head = RequestHead(b"POST", f"/{kind.value}/a".encode(), tuple(headers))
        found = Asked(number, kind, key, tokens, caller, self.elapsed)
        self.asked.append(found)
        self._start(node.forwarder.handle(caller))
        return found

    def _start(self, story: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(story)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # What nodes tell each other

    async def _exchange_usage(self) -> None:
        members = {}
        for node in self.nodes:
            where = Address(f"{node.name}:1")
            replica = ReplicaId(f"replica-{node.name}")
            record = NodeRecord(node.name, ZoneName("north"), where, where, where, replica=replica)
            members[node.name] = record
        for node in self.nodes:
            view = MembershipView(node.name, members)
            self._carry(node, node.usage.handle(UsageMembersChanged(view), now()))
        while True:
            await asyncio.sleep(USAGE_ROUND_S)
            for node in self.nodes:
                if node.usage.next_deadline() <= now():
                    self._carry(node, node.usage.handle(Tick(), now()))

    def _carry(self, sender: FleetNode, effects: Sequence[Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            receiver = next(node for node in self.nodes if node.name == effect.to)
            event = MessageReceived(sender.name, effect.message)
            asyncio.get_running_loop().call_later(NEWS_S, self._take, receiver, event)

    def _take(self, receiver: FleetNode, event: MessageReceived) -> None:
        self._carry(receiver, receiver.usage.handle(event, now()))

    async def _exchange_loads(self) -> None:
        while True:
            await asyncio.sleep(LOADS_ROUND_S)
            for node in self.nodes:
                node.core.exchange_loads()
