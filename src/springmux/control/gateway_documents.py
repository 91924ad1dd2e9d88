"""Items of the operators' gateway document as msgspec structs, each validated by itself.

Names, defaults and units are those of :mod:`springmux.control.gateway_configuration`. Unknown fields are
ignored here, but :mod:`springmux.control.gateway_section` keeps the items as sent.
"""

from __future__ import annotations

import math
import sys
from typing import Annotated

import msgspec

from springmux.control.gateway_configuration import (
    Backend,
    GatewayLimits,
    GatewayRoute,
    GatewayRouteKind,
    GatewayService,
    GatewayTenant,
    ModelEngineShape,
)
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import RouteName, ServiceName, TenantName

MAX_NUMBER = sys.float_info.max
"""Largest number. The bound rejects integers of hundreds of digits, which would convert to infinity."""
MAX_COUNT = 2**53
"""Largest integer that any JSON parser reads exactly (RFC 8259, section 6)."""
TOKENS_UNIT = "tokens"
REQUESTS_UNIT = "requests"

Text = Annotated[str, msgspec.Meta(min_length=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
NotNegative = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Rank = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]


class BackendItem(msgspec.Struct, frozen=True):
    """One member of a route's ``backends``."""

    service: Text
    weight: NotNegative


class RouteItem(msgspec.Struct, frozen=True):
    """One member of ``routes``. It has either ``service`` or ``backends``."""

    name: Text
    host: Text
    path_prefix: str
    kind: GatewayRouteKind = GatewayRouteKind.UNSAFE
    service: Text | None = None
    backends: tuple[BackendItem, ...] | None = None
    timeout_ms: Positive = 30_000.0
    target_ms: NotNegative = 1000.0
    gap_target_ms: NotNegative | None = None
    priority: Rank = 0
    max_attempts: PositiveCount = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False

    def field_errors(self) -> tuple[FieldError, ...]:
        """Return the errors that involve several fields. Their paths are field names of the item."""
        field_errors: list[FieldError] = []
        if not (self.path_prefix.startswith("/") and self.path_prefix.endswith("/")):
            field_errors.append(FieldError("path_prefix", "must begin and end with '/'"))
        if (self.service is None) == (self.backends is None):
            field_errors.append(FieldError("service", "give either 'service' or 'backends'"))
        total = sum(backend.weight for backend in self.backends or ())
        if self.backends is not None and not (0 < total < math.inf):
            field_errors.append(FieldError("backends", "weights must add up to a finite number above 0"))
        return tuple(field_errors)

    def to_typed(self) -> GatewayRoute:
        """Return the route in the form that nodes use. Its host is normalized by :func:`normalize_host`."""
        return GatewayRoute(
            name=RouteName(self.name),
            host=normalize_host(self.host),
            path_prefix=self.path_prefix,
            kind=self.kind,
            backends=self._typed_backends(),
            timeout_ms=self.timeout_ms,
            target_ms=self.target_ms,
            gap_target_ms=self.gap_target_ms or 0.0,
            priority=self.priority,
            max_attempts=self.max_attempts,
            public=self.public,
            sticky=self.sticky,
            resumable=self.resumable,
        )

    def _typed_backends(self) -> tuple[Backend, ...]:
        if self.service is not None:
            return (Backend(ServiceName(self.service), 1.0),)
        return tuple(Backend(ServiceName(item.service), item.weight) for item in self.backends or ())


class EngineItem(msgspec.Struct, frozen=True):
    """The object ``engine`` of a service."""

    slots: PositiveCount = 1
    cache_tokens: Count = 0
    tokens_per_event: PositiveCount = 1


class ServiceItem(msgspec.Struct, frozen=True):
    """One member of ``services``."""

    name: Text
    health_path: str = "/health"
    max_connections: PositiveCount = 100
    engine: EngineItem | None = None

    def field_errors(self) -> tuple[FieldError, ...]:
        """Return no errors, since no check involves several fields."""
        return ()

    def to_typed(self) -> GatewayService:
        """Return the service in the form that nodes use."""
        engine = self.engine
        shape = (
            ModelEngineShape(engine.slots, engine.cache_tokens, engine.tokens_per_event) if engine else None
        )
        return GatewayService(ServiceName(self.name), self.health_path, self.max_connections, shape)


class TenantItem(msgspec.Struct, frozen=True):
    """One member of ``tenants``."""

    name: Text
    api_keys: tuple[Text, ...] = ()
    priority: Rank = 0
    quota_unit: str = REQUESTS_UNIT
    uncounted_tokens: NotNegative = 1.0
    rate_per_s: NotNegative = 0.0
    burst: NotNegative = 0.0

    def field_errors(self) -> tuple[FieldError, ...]:
        """Return no errors, since no check involves several fields."""
        return ()

    def to_typed(self) -> GatewayTenant:
        """Return the tenant in the form that nodes use."""
        return GatewayTenant(
            name=TenantName(self.name),
            api_keys=self.api_keys,
            priority=self.priority,
            counts_tokens=self.quota_unit == TOKENS_UNIT,
            uncounted_tokens=self.uncounted_tokens,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
        )


class LimitsItem(msgspec.Struct, frozen=True):
    """The object ``limits``."""

    max_header_bytes: PositiveCount = 16_384
    max_body_bytes: PositiveCount = 4 << 20
    header_timeout_ms: Positive = 5000.0
    idle_timeout_ms: Positive = 15_000.0

    def to_typed(self) -> GatewayLimits:
        """Return the limits in the form that nodes use."""
        return GatewayLimits(**msgspec.structs.asdict(self))


def normalize_host(host: str) -> str:
    """Return ``host`` in lower case without its port (``"[::1]:80"`` gives ``"[::1]"``)."""
    lowered = host.lower()
    if lowered.startswith("["):
        return lowered.partition("]")[0] + "]"
    return lowered.partition(":")[0]
