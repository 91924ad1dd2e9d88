"""Pydantic models of the objects in the operators' configuration document.

Names, defaults and units are those of :mod:`springmux.control.view`. The models validate single objects;
:mod:`springmux.control.configuration` combines them. This module is imported only when the first document is
parsed, since importing pydantic takes longer than the rest of a node's start.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from springmux.control.name_pattern import NAME_PATTERN
from springmux.control.view import (
    AdmissionLimits,
    DeploymentExceptions,
    Route,
    RouteKind,
    Service,
    TrafficClass,
)
from springmux.vocabulary.names import RouteName, ServiceName, VersionName

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Seconds = Annotated[float, Field(gt=0, le=3600, allow_inf_nan=False)]
Fraction = Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=0, le=1_000_000)]


class DocumentModel(BaseModel):
    """Base of the models. Unknown fields are errors, and strings aren't converted to numbers."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, populate_by_name=False)


class ServiceDocument(DocumentModel):
    """One member of the object ``services``."""

    stable: Name
    connect_timeout_s: Annotated[float, Field(gt=0, le=60, allow_inf_nan=False)] = 0.5

    def to_service(self, name: str) -> Service:
        """Return the service as nodes use it."""
        return Service(ServiceName(name), VersionName(self.stable), self.connect_timeout_s)


class RouteDocument(DocumentModel):
    """One member of the object ``routes``. Its field ``class`` is the traffic class."""

    kind: Annotated[RouteKind, Field(strict=False)]
    service: Name
    traffic_class: Annotated[TrafficClass, Field(strict=False, alias="class")]
    repeatable: bool = True
    deadline_s: Seconds = 30.0
    first_piece_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 5.0
    max_body_bytes: Annotated[int, Field(gt=0, le=64 << 20)] = 1 << 20
    max_tokens: Annotated[int, Field(gt=0, le=10_000_000)] = 2048

    def to_route(self, name: str) -> Route:
        """Return the route as nodes use it."""
        return Route(
            name=RouteName(name),
            kind=self.kind,
            service=ServiceName(self.service),
            traffic_class=self.traffic_class,
            repeatable=self.repeatable,
            deadline_s=self.deadline_s,
            first_piece_timeout_s=self.first_piece_timeout_s,
            idle_timeout_s=self.idle_timeout_s,
            max_body_bytes=self.max_body_bytes,
            max_tokens=self.max_tokens,
        )


class LimitsDocument(DocumentModel):
    """The object ``limits``."""

    max_in_flight: Annotated[int, Field(ge=1, le=1_000_000)] = 512
    interactive_reserved: Count = 128
    transaction_reserved: Count = 64
    queue_length: Count = 256
    queue_timeout_s: Seconds = 1.0
    per_key_share: Fraction = 0.5
    per_tenant_share: Fraction = 0.7
    retry_share: Annotated[float, Field(ge=0, le=0.2, allow_inf_nan=False)] = 0.15
    retry_floor: Count = 3
    retry_window_s: Seconds = 10.0

    def to_limits(self) -> AdmissionLimits:
        """Return the limits as nodes use them."""
        return AdmissionLimits(**self.model_dump())


class ExceptionsDocument(DocumentModel):
    """The object ``exceptions``."""

    token_period_s: Annotated[float, Field(gt=0, le=2, allow_inf_nan=False)] | None = None
    minimum_ready_engines: Annotated[int, Field(ge=0, le=10_000)] = 1

    def to_exceptions(self) -> DeploymentExceptions:
        """Return the exceptions as nodes use them."""
        return DeploymentExceptions(**self.model_dump())
