"""A fleet in virtual time: real forwarders and gateway cores of several nodes, model engines and clients."""

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
from tests.unit.bad_days.model_engines import Behaviour, ModelEngine, ModelEngineClient
from tests.unit.node.gateway.scripted_engines import now
from tests.unit.node.gateway.stand_ins import Chooser, RecordingClient

TEXT, V1 = ServiceName("text"), VersionName("v1")
TIMEOUT_S = 2.0
TARGET_S = 0.5
GAP_TARGET_S = 0.2
NETWORK_DELAY_S = 0.003
"""Delay of a message between two nodes."""
USAGE_ROUND_S = 0.05
LOADS_ROUND_S = 0.2
SETTLED_S = 2.0
"""Time for nodes to learn of each other before clients send requests."""
MINIMUM_FLEET_RETRIES = 20


def route(kind: GatewayRouteKind, resumable: bool = False) -> GatewayRoute:
    """Return the route of a kind: ``/safe/``, ``/unsafe/`` or ``/stream/``."""
    return GatewayRoute(
        RouteName(kind.value), "api", f"/{kind.value}/", kind, (Backend(TEXT, 1.0),),
        timeout_ms=TIMEOUT_S * 1000, target_ms=TARGET_S * 1000, gap_target_ms=GAP_TARGET_S * 1000,
        max_attempts=3, resumable=resumable,
    )  # fmt: skip


ROUTES = (
    route(GatewayRouteKind.SAFE),
    route(GatewayRouteKind.UNSAFE),
    route(GatewayRouteKind.STREAM, resumable=True),
)
SAFE, UNSAFE, STREAM = (each.kind for each in ROUTES)


@dataclass
class ClientRequest:
    """A client's request and its result."""

    number: int
    kind: GatewayRouteKind
    key: str
    tokens: int
    client: RecordingClient
    sent_at: float
    """Seconds since the fleet was created."""

    @property
    def request_id(self) -> bytes:
        """The id that the request carries to engines."""
        return b"r%d" % self.number

    @property
    def succeeded(self) -> bool:
        """Whether the client received a complete response with status 200."""
        return self.client.status == 200 and self.client.ended


class FleetNode:
    """A node's forwarder, gateway core and usage exchange."""

    def __init__(
        self,
        name: str,
        engine_client: ModelEngineClient,
        source: random.Random,
        chooser: Chooser | None = None,
    ) -> None:
        self.name = NodeId(name)
        self.usage = UsageExchange(self.name, random.Random(source.random()))
        node_chooser = chooser or Chooser(VersionChoice(()))
        self.core = GatewayCore("north", random.Random(source.random()), node_chooser, self.usage)
        log = RefusalLog(self.core.counters, EventLog(name, output=io.StringIO()), OWN_HEADERS.request_id)
        rules = HeaderRules(OWN_HEADERS)
        randomness = random.Random(source.random())
        self.forwarder = Forwarder(
            ForwarderServices(self.core, engine_client, rules, randomness, ServiceRates(), log)
        )


class GatewayFleet:
    """A fleet whose load and faults are planned with :meth:`schedule` and :meth:`generate_load`.

    :meth:`run` then lets virtual time pass.
    """

    def __init__(self, seed: int, nodes: int = 3, engines: int = 4, chooser: Chooser | None = None) -> None:
        """:param chooser: the version filter of all nodes during a rollout; ``None`` without a rollout."""
        self.source = random.Random(seed)
        self.engine_client = ModelEngineClient(random.Random(self.source.random()))
        self.requests: list[ClientRequest] = []
        self._records: dict[EngineId, EngineRecord] = {}
        self._first_seen: dict[EngineId, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._numbers = itertools.count()
        self._version = 0
        self.started_at = now()
        self.nodes = [
            FleetNode(f"n{number}", self.engine_client, self.source, chooser) for number in range(nodes)
        ]
        for node in self.nodes:
            node.core.set_retry_bounds(RetryBounds(minimum=MINIMUM_FLEET_RETRIES))
            node.core.update_fleet(nodes)
        self.configure()
        for number in range(engines):
            self.add_engine(f"e{number}", first_seen=-100.0)

    @property
    def elapsed(self) -> float:
        """Seconds since the fleet was created."""
        return now() - self.started_at

    # Configuration and directory

    def configure(self, *tenants: GatewayTenant) -> GatewayConfiguration:
        """Deliver the next configuration version, with these tenants, to every node and return it."""
        self._version += 1
        configuration = GatewayConfiguration(
            self._version,
            ROUTES,
            {TEXT: GatewayService(TEXT)},
            {tenant.name: tenant for tenant in tenants},
            key_tenants={key: tenant.name for tenant in tenants for key in tenant.api_keys},
        )
        for node in self.nodes:
            self.deliver_configuration(node, configuration)
        return configuration

    def deliver_configuration(self, node: FleetNode, configuration: GatewayConfiguration) -> None:
        """Deliver a configuration to one node; versions may be delivered in any order."""
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
        """Start an engine that the directory first saw at ``first_seen``, by default now."""
        engine = self.engine_client.engines[name] = ModelEngine(name, behaviour)
        identity = EngineId(name)
        slots = engine.behaviour.slots
        self._records[identity] = EngineRecord(identity, TEXT, version, Address(f"{name}:80"), slots, 1)
        self._first_seen[identity] = now() if first_seen is None else first_seen
        self._publish_directory()
        return engine

    def set_engine_status(self, name: str, status: EngineStatus) -> None:
        """List an engine with another status in the directory of every node."""
        record = self._records[EngineId(name)]
        self._records[EngineId(name)] = msgspec.structs.replace(
            record, status=status, sequence=record.sequence + 1
        )
        self._publish_directory()

    def _publish_directory(self) -> None:
        for node in self.nodes:
            view = EnginesView(dict(self._records), dict(self._first_seen), {})
            node.core.update_engines(view, now())

    # Time

    def schedule(self, elapsed: float, action: Callable[[], object]) -> None:
        """Schedule an action at ``elapsed`` seconds after the fleet was created."""
        asyncio.get_running_loop().call_at(self.started_at + elapsed, action)

    def schedule_coroutine(self, elapsed: float, factory: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Schedule a coroutine to start ``elapsed`` seconds after the fleet was created."""
        self.schedule(elapsed, lambda: self._start(factory()))

    def generate_load(
        self,
        begin: float,
        end: float,
        requests_per_s: float,
        kinds: Sequence[GatewayRouteKind] = (SAFE, UNSAFE, STREAM),
        key: str = "",
        tokens: int = 0,
        nodes: int = 0,
    ) -> None:
        """Schedule requests as Poisson arrivals at all nodes, or at the first ``nodes`` of them."""
        sent_at = begin
        while (sent_at := sent_at + self.source.expovariate(requests_per_s)) < end:
            node = self.source.choice(self.nodes[: nodes or None])
            kind = self.source.choice(kinds)
            self.schedule(sent_at, lambda node=node, kind=kind: self.send_request(node, kind, key, tokens))  # type: ignore[misc]

    async def run(self, until: float) -> None:
        """Run the fleet until ``until`` seconds after it was created."""
        exchanges = (self._exchange_usage(), self._exchange_loads())
        background = [asyncio.create_task(exchange) for exchange in exchanges]
        await asyncio.sleep(self.started_at + until - now())
        for task in background:
            task.cancel()

    def send_request(
        self, node: FleetNode, kind: GatewayRouteKind, key: str = "", tokens: int = 0
    ) -> ClientRequest:
        """Send a client's request to one node now."""
        number = next(self._numbers)
        client = RecordingClient()
        headers = [(b"host", b"api"), (OWN_HEADERS.request_id, b"r%d" % number)]
        if key:
            headers.append((OWN_HEADERS.api_key, key.encode()))
        if tokens:
            headers.append((OWN_HEADERS.token_usage, b"%d,0" % tokens))
        client.head = RequestHead(b"POST", f"/{kind.value}/a".encode(), tuple(headers))
        request = ClientRequest(number, kind, key, tokens, client, self.elapsed)
        self.requests.append(request)
        self._start(node.forwarder.handle(client))
        return request

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Exchanges between nodes

    async def _exchange_usage(self) -> None:
        members = {}
        for node in self.nodes:
            address = Address(f"{node.name}:1")
            replica = ReplicaId(f"replica-{node.name}")
            record = NodeRecord(node.name, ZoneName("north"), address, address, address, replica=replica)
            members[node.name] = record
        for node in self.nodes:
            view = MembershipView(node.name, members)
            self._dispatch(node, node.usage.handle(UsageMembersChanged(view), now()))
        while True:
            await asyncio.sleep(USAGE_ROUND_S)
            for node in self.nodes:
                if node.usage.next_deadline() <= now():
                    self._dispatch(node, node.usage.handle(Tick(), now()))

    def _dispatch(self, sender: FleetNode, effects: Sequence[Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            receiver = next(node for node in self.nodes if node.name == effect.to)
            event = MessageReceived(sender.name, effect.message)
            asyncio.get_running_loop().call_later(NETWORK_DELAY_S, self._receive, receiver, event)

    def _receive(self, receiver: FleetNode, event: MessageReceived) -> None:
        self._dispatch(receiver, receiver.usage.handle(event, now()))

    async def _exchange_loads(self) -> None:
        while True:
            await asyncio.sleep(LOADS_ROUND_S)
            for node in self.nodes:
                node.core.exchange_loads()
