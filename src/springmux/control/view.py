"""Immutable view of the control state, as every node has it: configuration, tenants, keys and rollouts."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from springmux.control.gateway_configuration import EMPTY_GATEWAY, GatewayConfiguration
from springmux.coordination.claims.ring import ClaimRing
from springmux.coordination.identifiers import Revision
from springmux.rollout.plan import RolloutPhase, RolloutRecord
from springmux.vocabulary.names import KeyDigest, KeyId, RouteName, ServiceName, TenantName, VersionName


class TrafficClass(enum.StrEnum):
    """Class of service of a route, which admission uses."""

    INTERACTIVE = "interactive"
    """Short, latency-sensitive streams. The class has reserved slots."""
    BULK = "bulk"
    """Long prompts with large shared prefixes."""
    TRANSACTION = "transaction"
    """Calls with side effects that may not be repeated."""


class RouteKind(enum.StrEnum):
    """Form of a route's requests."""

    PROMPT = "prompt"
    """Chat-completions requests to model engines."""
    CALL = "call"
    """JSON requests to a small service."""


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """A named entry point. Clients select a prompt route by ``model``, and a call route by the path."""

    name: RouteName
    kind: RouteKind
    service: ServiceName
    traffic_class: TrafficClass
    repeatable: bool = True
    deadline_s: float = 30.0
    first_piece_timeout_s: float = 10.0
    idle_timeout_s: float = 5.0
    max_body_bytes: int = 1 << 20
    max_tokens: int = 2048


class Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """A group of interchangeable back ends. ``stable`` is the released version before any rollout."""

    name: ServiceName
    stable: VersionName
    connect_timeout_s: float = 0.5


class AdmissionLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Bounds of the data plane of one node."""

    max_in_flight: int = 512
    interactive_reserved: int = 128
    transaction_reserved: int = 64
    queue_length: int = 256
    queue_timeout_s: float = 1.0
    per_key_share: float = 0.5
    per_tenant_share: float = 0.7
    retry_share: float = 0.15
    retry_floor: int = 3
    retry_window_s: float = 10.0


class DeploymentExceptions(msgspec.Struct, frozen=True, omit_defaults=True):
    """Deviations of one deployment from the standard rollout; docs/ROLLOUT.md lists them."""

    token_period_s: float | None = None
    minimum_ready_engines: int = 1


class Configuration(msgspec.Struct, frozen=True, omit_defaults=True):
    """The parsed configuration document of the operators."""

    version: int = 0
    services: Mapping[ServiceName, Service] = {}
    routes: Mapping[RouteName, Route] = {}
    limits: AdmissionLimits = AdmissionLimits()
    exceptions: DeploymentExceptions = DeploymentExceptions()


class Tenant(msgspec.Struct, frozen=True, omit_defaults=True):
    """A customer with a fleet-wide token quota."""

    name: TenantName
    tokens_per_s: float
    burst_tokens: float
    weight: float = 1.0


class KeyRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A client's API key, by digest. A revoked key keeps its record, so that error responses can say so."""

    key: KeyId
    digest: KeyDigest
    tenant: TenantName
    revoked: bool = False


class ControlView(msgspec.Struct, frozen=True):
    """The control state as of ``revision``. A node never returns to an older one."""

    revision: Revision
    configuration: Configuration
    tenants: Mapping[TenantName, Tenant]
    keys: Mapping[KeyDigest, KeyRecord]
    rollouts: Mapping[ServiceName, RolloutRecord]
    templates: Mapping[str, bytes] = {}
    claim_ring: ClaimRing | None = None
    gateway: GatewayConfiguration = EMPTY_GATEWAY

    def stable_version(self, service: ServiceName) -> VersionName | None:
        """Return the released version of ``service``, or ``None`` for an unknown service.

        It is also ``None`` for a service of the gateway that never had a rollout, since only the service's
        engines know their version then.
        """
        record = self.rollouts.get(service)
        if record is not None:
            return record.candidate if record.phase is RolloutPhase.DONE else record.stable
        known = self.configuration.services.get(service)
        return known.stable if known else None


EMPTY_VIEW = ControlView(
    revision=Revision(0), configuration=Configuration(), tenants={}, keys={}, rollouts={}
)
