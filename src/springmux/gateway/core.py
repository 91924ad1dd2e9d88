"""What a node's forwarded requests share: route table, placement, version filter, quota, retry budget."""

from __future__ import annotations

import random

import msgspec

from springmux.control.gateway_configuration import EMPTY_GATEWAY
from springmux.control.view import EMPTY_VIEW, ControlView
from springmux.coordination.retry_budget import RetryBudget
from springmux.coordination.usage.part import UsagePart
from springmux.gateway.placement import Placement
from springmux.gateway.refusals import GatewayCounters
from springmux.gateway.routing import RouteTable
from springmux.rollout.outcome import VersionChooser
from springmux.rollout.plan import RolloutRecord
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import EngineId, ServiceName

FLEET_RETRY_SHARE = 0.75
"""Part of the fleet's least number of retries that its nodes share; the rest is for nodes not yet known."""
NODE_RETRY_SHARE = 0.15
"""A bound on each node bounds the fleet; the fleet's own is 0.2 (docs/notes/retries.md)."""


class RolloutInForce(msgspec.Struct, frozen=True):
    """A rollout's record with the monotonic time at which it came into force here."""

    record: RolloutRecord
    since: float


class GatewayCore:
    """Shared state of a node's forwarded requests. All calls come from one thread."""

    def __init__(self, zone: str, source: random.Random, chooser: VersionChooser, usage: UsagePart) -> None:
        self.chooser = chooser
        self.usage = usage
        self.placement = Placement(zone, source)
        self.table = RouteTable(EMPTY_GATEWAY)
        self.retry_budget = RetryBudget(NODE_RETRY_SHARE)
        self.counters = GatewayCounters()
        self.rollouts: dict[ServiceName, RolloutInForce] = {}
        self.least_fleet_retries = 0
        self._view: ControlView = EMPTY_VIEW

    @property
    def configured(self) -> bool:
        """Whether any configuration is known; without one nothing can be routed."""
        return self._view.gateway.version > 0

    @property
    def view(self) -> ControlView:
        """The control state in force."""
        return self._view

    def update_control(self, view: ControlView, now: float) -> None:
        """Take a newer control state; an older one is ignored."""
        if view.revision < self._view.revision:
            return
        before, self._view = self._view, view
        if view.gateway is not before.gateway:
            self.table = RouteTable(view.gateway)
            self.placement.update_services(view.gateway.services)
        if view.rollouts is not before.rollouts:
            self._take_rollouts(view, now)

    def update_engines(self, view: EnginesView, now: float) -> None:
        """Take a newer directory."""
        self.placement.update_engines(view, now)

    def exchange_loads(self) -> None:
        """Tell other nodes of changes of the own load on engines, and take theirs; a few times a second."""
        for engine, requests, prompt_tokens in self.placement.changed_loads():
            self.usage.note_engine_load(engine, float(requests), prompt_tokens)
        others = self.usage.other_engine_loads()
        self.placement.report_others({EngineId(engine): load for engine, load in others.items()})

    def update_fleet(self, nodes: int) -> None:
        """Take the number of present nodes, over which the fleet's bounds are spread."""
        self.placement.set_fleet_size(nodes)
        floor = max(2, int(FLEET_RETRY_SHARE * self.least_fleet_retries / max(1, nodes)))
        self.retry_budget.set_floor(floor)

    def _take_rollouts(self, view: ControlView, now: float) -> None:
        kept: dict[ServiceName, RolloutInForce] = {}
        for service, record in view.rollouts.items():
            known = self.rollouts.get(service)
            same = known is not None and known.record.phase == record.phase
            since = known.since if known is not None and same else now
            kept[service] = RolloutInForce(record, since)
        self.rollouts = kept
