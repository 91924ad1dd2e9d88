"""The gateway's configuration, parsed and immutable: routes by host and path, services, tenants and limits.

The gateway forwards any HTTP request, unlike the chat-completions interface, whose configuration is
:class:`springmux.control.view.Configuration`. Items are in lists and have names, so that a change may refer
to single items. The suffix of a field's name states its unit.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from springmux.vocabulary.names import RouteName, ServiceName, TenantName


class GatewayRouteKind(enum.StrEnum):
    """Whether requests of a route may run more than once."""

    SAFE = "safe"
    """Requests may run more than once."""
    UNSAFE = "unsafe"
    """Requests run at most once for each attempt of the client."""
    STREAM = "stream"
    """Responses are streams of events. Requests run at most once unless the route is resumable."""


class Backend(msgspec.Struct, frozen=True):
    """One of a route's services and its share of the route's requests, relative to the other weights."""

    service: ServiceName
    weight: float


class GatewayRoute(msgspec.Struct, frozen=True):
    """Matches requests to ``host`` whose path begins with ``path_prefix``; the longest match applies.

    ``max_attempts``: most engines to which one request may be sent.
    ``timeout_ms``: longest time that the gateway holds a request.
    ``target_ms``: time within which a response, or the first event of a stream, is on time.
    ``gap_target_ms``: longest pause between two events of a stream that is on time; 0 if none is set.
    ``priority``: 0 is the most urgent.
    ``public``: requests need no API key.
    ``sticky``: requests with the same prompt prefix go to the same service.
    ``resumable``: a stream may continue on another engine.
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
    """Capacity of a service's model engines: requests per batch, tokens in the cache, tokens per event."""

    slots: int = 1
    cache_tokens: int = 0
    tokens_per_event: int = 1


class GatewayService(msgspec.Struct, frozen=True):
    """A group of back ends. ``max_connections``: connections that one of them accepts from all callers."""

    name: ServiceName
    health_path: str = "/health"
    max_connections: int = 100
    engine: ModelEngineShape | None = None


class GatewayTenant(msgspec.Struct, frozen=True):
    """A customer with its API keys, priority and quota.

    ``rate_per_s`` and ``burst``: the quota; a rate of 0 means no limit. ``counts_tokens``: the quota counts
    tokens, and a request that states none counts as ``uncounted_tokens``. Otherwise each request counts as 1.
    """

    name: TenantName
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    counts_tokens: bool = False
    uncounted_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class GatewayLimits(msgspec.Struct, frozen=True):
    """Bounds on the size of a client's requests, and on the time that it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15_000.0


class GatewayConfiguration(msgspec.Struct, frozen=True):
    """The whole configuration. Version 0 means that there is none yet, and requests get status 503.

    ``key_tenants`` maps each key to its tenant's name. ``requires_key``: the configuration has tenants, so
    every request on a route that isn't public needs a key.
    """

    version: int = 0
    routes: tuple[GatewayRoute, ...] = ()
    services: Mapping[ServiceName, GatewayService] = {}
    tenants: Mapping[TenantName, GatewayTenant] = {}
    limits: GatewayLimits = GatewayLimits()
    key_tenants: Mapping[str, TenantName] = {}

    @property
    def requires_key(self) -> bool:
        """Whether requests on routes that aren't public need a key."""
        return bool(self.tenants)


EMPTY_GATEWAY = GatewayConfiguration()
