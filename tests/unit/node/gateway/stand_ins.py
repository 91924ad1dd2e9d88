"""Test doubles around a node's forwarder: its clients, scripted engines and a fixed version choice."""

from __future__ import annotations

import asyncio
import io
import json
import random
from collections.abc import Callable, Sequence
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
from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.usage.usage_exchange import UsageExchange
from springmux.gateway.core import GatewayCore
from springmux.gateway.dialect import OWN_HEADERS
from springmux.node.gateway.forwarder import Forwarder
from springmux.node.gateway.headers import HeaderRules
from springmux.node.gateway.refusal_log import RefusalLog
from springmux.node.gateway.services import ForwarderServices
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.http.types import BodyTooLargeError, ClientDisconnectedError, Header, RequestHead
from springmux.node.logs import EventLog
from springmux.node.service_rates import ServiceRates
from springmux.rollout.outcome import FirstTokenWatch, PromptOutcome, VersionChoice
from springmux.vocabulary.engines import EngineRecord, EnginesView
from springmux.vocabulary.names import EngineId, RouteName, ServiceName, TenantName, VersionName
from tests.unit.node.gateway.scripted_engines import ID, Script, ScriptedClient, SentRequest, now

TEXT = ServiceName("text")
OLD, NEW = VersionName("v1"), VersionName("v2")


class RecordingClient:
    """Implements ServerExchange for a client that records its response."""

    def __init__(
        self,
        headers: Sequence[Header] = (),
        *,
        target: bytes = b"/text/a?b=c",
        body: bytes | None = b"asked",
        slow_s: float = 0.0,
    ) -> None:
        """Create a client with its request.

        :param body: the request's body; ``None`` means that it is over the limit.
        :param slow_s: time in seconds that each write to the client takes.
        """
        self.head = RequestHead(b"POST", target, ((b"host", b"api"), ID, *headers))
        self.received_at = now()
        self.status = 0
        self.headers: tuple[Header, ...] = ()
        self.data = b""
        self.ended = False
        self.aborted = False
        self.responded_at = 0.0
        self._body = body
        self._slow_s = slow_s
        self._disconnected = False
        self._callbacks: list[Callable[[], None]] = []

    async def body(self) -> bytes:
        if self._body is None:
            raise BodyTooLargeError
        return self._body

    def respond(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        self.begin(status, headers, len(body))
        self.data += body
        self.end()

    def begin(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        assert not self.begun, "a second response head was sent"
        self.status, self.headers = status, tuple(headers)

    async def write(self, data: bytes) -> None:
        assert self.begun and not self.ended and not self.aborted
        if self._disconnected:
            raise ClientDisconnectedError
        self.data += data
        if self._slow_s:
            await asyncio.sleep(self._slow_s)

    def end(self) -> None:
        assert self.begun and not self.ended and not self.aborted
        self.ended = True
        self.responded_at = now()
        self._callbacks.clear()

    def abort(self) -> None:
        self.aborted = True
        self.responded_at = now()
        self._callbacks.clear()

    @property
    def begun(self) -> bool:
        return self.status != 0

    def try_hold(self, size_bytes: int) -> bool:
        return True

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def disconnect(self) -> None:
        self._disconnected = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def header(self, name: bytes) -> bytes | None:
        return dict(self.headers).get(name)


class Chooser:
    """A version filter that always returns one choice, and records the credits that are returned."""

    def __init__(self, choice: VersionChoice) -> None:
        self._choice = choice
        self.returned_credits: list[VersionName] = []

    def choose(
        self, service: ServiceName, prefix_key: int, now: float, route: RouteName | None = None
    ) -> VersionChoice:
        return self._choice

    def return_credit(self, service: ServiceName, version: VersionName, now: float) -> None:
        self.returned_credits.append(version)

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        return True

    def watch(
        self, service: ServiceName, route: RouteName, prompt_bytes: int, expected_hit: float, now: float
    ) -> FirstTokenWatch | None:
        return None

    def overdue(self, watch: FirstTokenWatch, now: float) -> None:
        raise AssertionError("nothing is watched")

    def observe(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        raise AssertionError("there is no rollout")


def gateway_settings(**more: Any) -> GatewaySettings:
    """Return the settings of a node whose listeners aren't used."""
    settings = GatewaySettings(
        node="n",
        zone="z",
        host="127.0.0.1",
        front_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        control_address="127.0.0.1:3",
        peer_port=4,
    )
    return msgspec.structs.replace(settings, **more)


def route(kind: GatewayRouteKind, **more: Any) -> GatewayRoute:
    """Return the route of /text/, with up to three attempts unless ``more`` sets another limit."""
    more = {"max_attempts": 3, "timeout_ms": 5000.0, "target_ms": 20_000.0, **more}
    return GatewayRoute(RouteName("text"), "api", "/text/", kind, (Backend(TEXT, 1.0),), **more)


SAFE = route(GatewayRouteKind.SAFE)
UNSAFE = route(GatewayRouteKind.UNSAFE)
STREAM = route(GatewayRouteKind.STREAM)
RESUMABLE = route(GatewayRouteKind.STREAM, resumable=True)


def record(number: int, version: VersionName = OLD) -> EngineRecord:
    return EngineRecord(EngineId(f"e{number}"), TEXT, version, Address(f"e{number}:80"), 8, 1)


class Node:
    """The real core and forwarder of one node, with scripted engines (four by default)."""

    def __init__(
        self,
        served_route: GatewayRoute,
        *scripts: Script,
        tenants: Sequence[GatewayTenant] = (),
        versions: Sequence[VersionName] = (OLD,) * 4,
        choice: VersionChoice = VersionChoice(()),
        configured: bool = True,
    ) -> None:
        self._loads: dict[EngineId, int] = {}
        self.client = ScriptedClient(*scripts)
        self.chooser = Chooser(choice)
        self.core = GatewayCore(
            "north", random.Random(1), self.chooser, UsageExchange(NodeId("n1"), random.Random(2))
        )
        self.core.retry_budget.set_floor(20)
        self._configuration = GatewayConfiguration(
            1,
            (served_route,),
            {TEXT: GatewayService(TEXT)},
            {tenant.name: tenant for tenant in tenants},
            key_tenants={key: tenant.name for tenant in tenants for key in tenant.api_keys},
        )
        if configured:
            self.configure()
        self.update_engines(versions)
        self._written = io.StringIO()
        self.refusals = RefusalLog(
            self.core.counters, EventLog("n1", output=self._written), OWN_HEADERS.request_id
        )
        self.services = ForwarderServices(
            self.core,
            self.client,
            HeaderRules(OWN_HEADERS),
            random.Random(3),
            ServiceRates(),
            self.refusals,
        )
        self.forwarder = Forwarder(self.services)

    def configure(self) -> None:
        """Give the node its configuration."""
        view = msgspec.structs.replace(EMPTY_VIEW, gateway=self._configuration)
        self.core.update_control(view, now())

    def update_engines(self, versions: Sequence[VersionName] = (OLD,) * 4) -> None:
        """Give the node its engines, one for each item of ``versions``."""
        records = {f"e{number}": record(number, version) for number, version in enumerate(versions)}
        known = {EngineId(name): found for name, found in records.items()}
        self.core.update_engines(EnginesView(known, dict.fromkeys(known, -100.0), {}), now())

    async def send_request(self, *headers: Header, **more: Any) -> RecordingClient:
        """Send one request, and return its client with the response."""
        client = RecordingClient(headers, **more)
        await self.forwarder.handle(client)
        return client

    @property
    def log_lines(self) -> list[dict[str, Any]]:
        """The parsed lines of the log."""
        return [json.loads(line) for line in self._written.getvalue().splitlines()]

    @property
    def sent(self) -> list[SentRequest]:
        return self.client.sent

    @property
    def in_flight(self) -> int:
        """Number of requests on all engines, from the loads that the node would report to other nodes."""
        self._loads.update(
            (engine, requests) for engine, requests, _ in self.core.placement.take_changed_loads()
        )
        return sum(self._loads.values())


def tenant(name: str, key: str, **more: Any) -> GatewayTenant:
    return GatewayTenant(TenantName(name), (key,), **more)
