"""Sizes and traffic of the two example deployments, for the simulated fleet.

The values equal those of the lab's experiment files, without a dependency on :mod:`springmux.lab`.
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.simulation.engine_model import EngineSpec
from springmux.simulation.hollow_fleet import HollowPlace, places_by_zone
from springmux.vocabulary.names import RouteName, ServiceName, TenantName, VersionName


class ZoneSize(msgspec.Struct, frozen=True, kw_only=True):
    """One zone: its number of nodes and its share of the traffic, 0..1."""

    zone: ZoneName
    nodes: int
    traffic_share: float


class BackendSize(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equal backends.

    ``model``: whether they are model engines for prompts, or else a service for calls.
    ``work_s``: mean duration of a call in seconds.
    """

    service: ServiceName
    version: VersionName
    count: int
    model: bool
    spec: EngineSpec = EngineSpec()
    work_s: float = 0.015


class StreamSize(msgspec.Struct, frozen=True, kw_only=True):
    """One stream of requests with Poisson arrivals.

    ``prefixes``: number of distinct shared prefixes. ``own_bytes``: size of the part that no other request
    shares. ``answer_tokens``: smallest and largest response.
    """

    route: RouteName
    prompt: bool
    rate_per_s: float
    traffic_class: str
    deadline_s: float
    first_piece_timeout_s: float = 2.0
    prefix_bytes: int = 0
    prefixes: int = 1
    own_bytes: int = 200
    answer_tokens: tuple[int, int] = (1, 1)
    service: ServiceName


class TenantSize(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant, its fleet-wide quota, and its share of the traffic, 0..1."""

    tenant: TenantName
    tokens_per_s: float
    burst_tokens: float
    share: float


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment at one size. ``controllers``: number of nodes that hold the control state."""

    name: str
    zones: tuple[ZoneSize, ...]
    controllers: int
    backends: tuple[BackendSize, ...]
    streams: tuple[StreamSize, ...]
    tenants: tuple[TenantSize, ...]
    minimum_ready_engines: int = 1
    """Override of the default in the deployment's configuration, under ``exceptions`` (docs/ROLLOUT.md)."""

    def places(self) -> list[HollowPlace]:
        """Return the machines of all zones; the first ones, by zones in turn, are controllers."""
        return places_by_zone({size.zone: size.nodes for size in self.zones}, self.controllers)

    def models(self) -> BackendSize:
        """Return the group of model engines, whose version is rolled out."""
        return next(size for size in self.backends if size.model)

    def document(self) -> bytes:
        """Return the deployment's complete configuration document."""
        services = {size.service: {"stable": size.version} for size in self.backends}
        routes = {size.route: _route(size) for size in self.streams}
        exceptions = {"minimum_ready_engines": self.minimum_ready_engines}
        return json.dumps({"services": services, "routes": routes, "exceptions": exceptions}).encode()

    def scaled(self, share: float, zone_nodes: int | None = None) -> Deployment:
        """Return the deployment with ``share`` of its traffic, and another number of nodes in each zone."""
        zones = tuple(msgspec.structs.replace(size, nodes=zone_nodes or size.nodes) for size in self.zones)
        streams = tuple(
            msgspec.structs.replace(size, rate_per_s=size.rate_per_s * share) for size in self.streams
        )
        return msgspec.structs.replace(self, zones=zones, streams=streams)


def _route(size: StreamSize) -> dict[str, Any]:
    route: dict[str, Any] = {
        "kind": "prompt" if size.prompt else "call",
        "service": size.service,
        "class": size.traffic_class,
        "deadline_s": size.deadline_s,
    }
    if size.prompt:
        route["first_piece_timeout_s"] = size.first_piece_timeout_s
        route["idle_timeout_s"] = 2.0
    else:
        route["repeatable"] = False
    return route


def _tenants(names: tuple[str, ...]) -> tuple[TenantSize, ...]:
    sizes = ((60_000.0, 0.4), (45_000.0, 0.3), (15_000.0, 0.1), (15_000.0, 0.1), (15_000.0, 0.1))
    return tuple(
        TenantSize(tenant=TenantName(name), tokens_per_s=rate, burst_tokens=2 * rate, share=share)
        for name, (rate, share) in zip(names, sizes, strict=True)
    )


_TEXT = ServiceName("text")


def _zones(shares: dict[str, float]) -> tuple[ZoneSize, ...]:
    """Return zones of three nodes each, by name and traffic share."""
    return tuple(
        ZoneSize(zone=ZoneName(name), nodes=3, traffic_share=share) for name, share in shares.items()
    )


def _model_engines(count: int, spec: EngineSpec) -> BackendSize:
    return BackendSize(service=_TEXT, version=VersionName("v1"), count=count, model=True, spec=spec)


def _call_service(service: str, version: str, count: int) -> BackendSize:
    return BackendSize(service=ServiceName(service), version=VersionName(version), count=count, model=False)


def _bulk_stream(
    route: str,
    *,
    rate_per_s: float,
    prefix_bytes: int,
    prefixes: int,
    own_bytes: int,
    answer_tokens: tuple[int, int],
) -> StreamSize:
    """Return a stream of long prompts with large shared prefixes."""
    return StreamSize(
        route=RouteName(route),
        prompt=True,
        service=_TEXT,
        rate_per_s=rate_per_s,
        traffic_class="bulk",
        deadline_s=30.0,
        first_piece_timeout_s=5.0,
        prefix_bytes=prefix_bytes,
        prefixes=prefixes,
        own_bytes=own_bytes,
        answer_tokens=answer_tokens,
    )


def _interactive_stream(
    route: str, *, prefix_bytes: int, prefixes: int, answer_tokens: tuple[int, int]
) -> StreamSize:
    """Return a stream of many short prompts."""
    return StreamSize(
        route=RouteName(route),
        prompt=True,
        service=_TEXT,
        rate_per_s=115.0,
        traffic_class="interactive",
        deadline_s=10.0,
        prefix_bytes=prefix_bytes,
        prefixes=prefixes,
        answer_tokens=answer_tokens,
    )


def _transaction_stream(route: str, service: str) -> StreamSize:
    """Return a stream of calls to a service."""
    return StreamSize(
        route=RouteName(route),
        prompt=False,
        service=ServiceName(service),
        rate_per_s=30.0,
        traffic_class="transaction",
        deadline_s=5.0,
    )


ANUARIO = Deployment(
    name="anuario",
    zones=_zones({"north": 0.4, "east": 0.3, "south": 0.2, "west": 0.1}),
    controllers=4,
    backends=(
        _model_engines(6, EngineSpec(slots=24, prefill_tokens_per_s=40_000.0, cache_blocks=3000)),
        _call_service("pages", "p1", count=4),
    ),
    streams=(
        _bulk_stream(
            "dossier-draft",
            rate_per_s=8.0,
            prefix_bytes=24_576,
            prefixes=60,
            own_bytes=1200,
            answer_tokens=(60, 180),
        ),
        _interactive_stream("caption-hint", prefix_bytes=2048, prefixes=200, answer_tokens=(6, 18)),
        _transaction_stream("proof-approval", "pages"),
    ),
    tenants=_tenants(("norte", "costa", "sierra", "valle", "isla")),
)

DERWENT = Deployment(
    name="derwent",
    minimum_ready_engines=2,
    zones=_zones({"fell": 0.5, "lake": 0.3, "town": 0.2}),
    controllers=3,
    backends=(
        _model_engines(9, EngineSpec(slots=16, prefill_tokens_per_s=30_000.0, cache_blocks=2000)),
        _call_service("sales", "s1", count=3),
    ),
    streams=(
        _bulk_stream(
            "fault-digest",
            rate_per_s=10.0,
            prefix_bytes=16_384,
            prefixes=120,
            own_bytes=2400,
            answer_tokens=(50, 150),
        ),
        _interactive_stream("stock-answer", prefix_bytes=1024, prefixes=300, answer_tokens=(5, 15)),
        _transaction_stream("sale-confirmation", "sales"),
    ),
    tenants=_tenants(("north-rounds", "city-rounds", "rail", "campus", "harbour")),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (ANUARIO, DERWENT)}
"""All deployments by name."""
