"""The gateway's configuration: routes by host and path, services, tenants and limits, parsed and immutable.

The gateway forwards any HTTP request, unlike the chat-completions interface, whose configuration is
:class:`springmux.control.view.Configuration`. Items are lists with names, so that a change may name single
items. Times are in the unit that a field's name ends with.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from springmux.vocabulary.names import RouteName, ServiceName, TenantName


class GatewayRouteKind(enum.StrEnum):
    """What may be done again on a route."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once for each try of a client."""
    STREAM = "stream"
    """Answers with a series of events; runs at most once unless the route is resumable."""


class Backend(msgspec.Struct, frozen=True):
    """One of a route's services and its share of the route's requests, relative to the other weights."""

    service: ServiceName
    weight: float


class GatewayRoute(msgspec.Struct, frozen=True):
    """One way in: requests of ``host`` whose path begins with ``path_prefix`` (the longest one counts).

    ``max_attempts``: engines that one request may be sent to. ``timeout_ms``: longest time to hold a request.
    ``target_ms``: time within which an answer (or a stream's first event) is in time. ``gap_target_ms``: the
    longest pause between two events that is in time, 0 if none is set. ``priority``: 0 is the most urgent.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: GatewayRouteKind
    backends: tuple[Backend, ...]
    timeout_ms: float = 30_000.0
    target_ms: float = 1000.0
    gap_target_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run on a second engine after it may have run on a first."""
        return self.kind is GatewayRouteKind.SAFE or (self.kind is GatewayRouteKind.STREAM and self.resumable)


class ModelEngineShape(msgspec.Struct, frozen=True):
    """What a service's model engines can hold: requests in a batch, tokens of cache, tokens of one event."""

    slots: int = 1
    cache_tokens: int = 0
    tokens_per_event: int = 1


class GatewayService(msgspec.Struct, frozen=True):
    """A group of back ends. ``max_connections``: connections that one of them takes from all callers."""

    name: ServiceName
    health_path: str = "/health"
    max_connections: int = 100
    engine: ModelEngineShape | None = None


class GatewayTenant(msgspec.Struct, frozen=True):
    """A customer: its keys, its rank, and its quota (0: no limit).

    ``counts_tokens``: the quota counts tokens; a request that states none counts as ``uncounted_tokens``.
    Otherwise each request counts as one.
    """

    name: TenantName
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    counts_tokens: bool = False
    uncounted_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class GatewayLimits(msgspec.Struct, frozen=True):
    """Bounds on what a client may send and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15_000.0


class GatewayConfiguration(msgspec.Struct, frozen=True):
    """The whole, as of ``version``. Version 0 means that there is none yet: requests get 503.

    ``key_tenants`` maps each key to its tenant's name. ``requires_key``: the configuration has tenants, so
    every request on a route that is not public needs a key.
    """

    version: int = 0
    routes: tuple[GatewayRoute, ...] = ()
    services: Mapping[ServiceName, GatewayService] = {}
    tenants: Mapping[TenantName, GatewayTenant] = {}
    limits: GatewayLimits = GatewayLimits()
    key_tenants: Mapping[str, TenantName] = {}

    @property
    def requires_key(self) -> bool:
        """Whether requests need a key."""
        return bool(self.tenants)


EMPTY_GATEWAY = GatewayConfiguration()
