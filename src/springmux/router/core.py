"""State shared by all requests of a node; owned by the router, used by its flows."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from springmux.control.view import EMPTY_VIEW, AdmissionLimits, ControlView, TrafficClass
from springmux.coordination.identifiers import NodeId
from springmux.coordination.quota.gate import QuotaGate
from springmux.coordination.retry_budget import RetryBudget
from springmux.rollout.outcome import VersionChooser
from springmux.router.admission import Admission
from springmux.router.choice import EngineChooser
from springmux.router.ejection import Ejector
from springmux.router.engine_table import EngineTable
from springmux.router.loss_classifier import LossClassifier
from springmux.router.prefix_index import PrefixIndex
from springmux.vocabulary.names import RequestId, RouteName, ServiceName

INITIAL_RESPONSE_TOKENS = 64.0
"""Assumed length of a response until one has been measured."""
RESPONSE_LENGTH_SMOOTHING = 0.05
"""Weight of the latest response in the moving average of a route's response lengths."""
PRESSURE_REFRESH_S = 0.25
"""Interval at which the pressure on a service is computed again; engines report once a second."""


class RouterStatus(msgspec.Struct, frozen=True):
    """Figures of the data plane since the start, for metrics and status.

    ``sheds``: requests rejected by admission control. ``retries``: requests sent again to another engine.
    ``reconnects``: attempts at another engine before anything was sent. ``retries_refused``: retries denied
    by the retry budget.
    """

    in_flight: Mapping[TrafficClass, int]
    queued: Mapping[TrafficClass, int]
    sheds: Mapping[TrafficClass, int]
    requests: int
    dispatches: int
    retries: int
    reconnects: int
    retries_refused: int
    ejections: int
    prefix_entries: int
    engines_usable: int


@dataclass(slots=True)
class Counters:
    """Counters of one node's data plane since the start."""

    requests: int = 0
    dispatches: int = 0
    retries: int = 0
    reconnects: int = 0
    retries_refused: int = 0


@dataclass(slots=True)
class ResponseLengths:
    """Smoothed response length by route in tokens, for quota reservations and load estimates."""

    _by_route: dict[RouteName, float] = field(default_factory=dict)

    def expected(self, route: RouteName, limit: int) -> float:
        """Return the expected length, at most ``limit``."""
        return min(float(limit), self._by_route.get(route, INITIAL_RESPONSE_TOKENS))

    def observe(self, route: RouteName, tokens: int) -> None:
        """Record the length of a complete response."""
        before = self._by_route.get(route, float(tokens))
        self._by_route[route] = before + RESPONSE_LENGTH_SMOOTHING * (tokens - before)


class RouterCore:
    """Shared state of a node's flows."""

    def __init__(
        self,
        node: NodeId,
        zone: str,
        source: random.Random,
        chooser: VersionChooser,
        quota: QuotaGate,
        connected: Callable[[float], bool],
    ) -> None:
        self.node = node
        self.zone = zone
        self.version_chooser = chooser
        self.quota = quota
        self.connected = connected
        self.view: ControlView = EMPTY_VIEW
        self.ready = False
        self.not_ready_reason = "starting"
        self.engine_table = EngineTable()
        self.ejector = Ejector()
        self.prefix_index = PrefixIndex()
        self.engine_chooser = EngineChooser(self.prefix_index, self.ejector, source)
        self.admission = Admission(AdmissionLimits())
        self.retry_budget = _retry_budget(AdmissionLimits())
        self.loss_classifier = LossClassifier(chooser.observe)
        self.response_lengths = ResponseLengths()
        self.counters = Counters()
        self.wake_listener: Callable[[RequestId], None] | None = None
        self.claims_running: set[str] = set()
        self._service_pressure: dict[ServiceName, tuple[bool, float]] = {}

    def update_limits(self, limits: AdmissionLimits) -> None:
        """Apply new limits; the retry budget is reset only if its own limits changed."""
        old = self.admission.limits
        self.admission.limits = limits
        before = (old.retry_share, old.retry_floor, old.retry_window_s)
        if before != (limits.retry_share, limits.retry_floor, limits.retry_window_s):
            self.retry_budget = _retry_budget(limits)

    def wake(self, request_id: RequestId) -> None:
        """Notify the driver that a queued request got a slot."""
        if self.wake_listener is not None:
            self.wake_listener(request_id)

    def service_under_pressure(self, service: ServiceName, now: float) -> bool:
        """Return whether most engines of each version of a service report queues (cached briefly)."""
        cached = self._service_pressure.get(service)
        if cached is None or now - cached[1] >= PRESSURE_REFRESH_S:
            cached = (self.engine_table.service_under_pressure(service, now), now)
            self._service_pressure[service] = cached
        return cached[0]

    def status(self) -> RouterStatus:
        """Return the current figures."""
        admission = self.admission
        counters = self.counters
        return RouterStatus(
            in_flight={name: admission.in_flight(name) for name in TrafficClass},
            queued={name: admission.queued(name) for name in TrafficClass},
            sheds=dict(admission.rejections),
            requests=counters.requests,
            dispatches=counters.dispatches,
            retries=counters.retries,
            reconnects=counters.reconnects,
            retries_refused=counters.retries_refused,
            ejections=self.ejector.ejections,
            prefix_entries=len(self.prefix_index),
            engines_usable=sum(1 for slot in self.engine_table.slots.values() if slot.usable),
        )


def _retry_budget(limits: AdmissionLimits) -> RetryBudget:
    return RetryBudget(limits.retry_share, limits.retry_floor, limits.retry_window_s)
