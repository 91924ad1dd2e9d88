"""State shared by a node's forwarded requests: routes, placement, version filter, quota and retry budget."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from springmux.control.gateway_configuration import EMPTY_GATEWAY
from springmux.control.view import EMPTY_VIEW, ControlView
from springmux.coordination.retry_budget import RetryBudget
from springmux.coordination.usage.usage_exchange import UsageExchange
from springmux.gateway.placement import Placement
from springmux.gateway.refusals import GatewayCounters
from springmux.gateway.routing import RouteTable
from springmux.rollout.outcome import VersionChooser
from springmux.rollout.plan import RolloutRecord
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import EngineId, ServiceName

FLEET_RETRY_SHARE = 0.75
"""Fraction of the fleet's minimum number of retries that is divided among its known nodes."""
NODE_RETRY_FACTOR = 0.75
"""Fraction of the fleet's retry ratio that each node uses, since counts differ at the edges of a window. A
bound on each node bounds the fleet (docs/notes/retries.md)."""
MIN_NODE_RETRIES = 2
"""Lets each node send a second retry while one is running, if the fleet's bound allows that for all nodes."""
MIN_WINDOW_S = 0.1


class RetryBounds(msgspec.Struct, frozen=True):
    """The fleet's bound on retries in any ``window_s``: ``share`` of its requests plus ``minimum``."""

    share: float = 0.2
    minimum: float = 0.0
    window_s: float = 10.0


class RolloutInForce(msgspec.Struct, frozen=True):
    """A rollout's record, and the monotonic time (s) at which its phase took effect at this node."""

    record: RolloutRecord
    since: float


def _always_current(_now: float) -> bool:
    return True


class GatewayCore:
    """Shared state of a node's forwarded requests. Not thread-safe."""

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        chooser: VersionChooser,
        usage: UsageExchange,
        keys_current: Callable[[float], bool] = _always_current,
    ) -> None:
        """Start without any configuration.

        :param keys_current: returns whether this node's view of revoked keys is recent enough at a given
            time.
        """
        self._keys_current = keys_current
        self.chooser = chooser
        self.usage = usage
        self.placement = Placement(zone, rng)
        self.table = RouteTable(EMPTY_GATEWAY)
        self._retry_bounds = RetryBounds()
        self.retry_budget = _make_budget(self._retry_bounds)
        self.counters = GatewayCounters()
        self.rollouts: dict[ServiceName, RolloutInForce] = {}
        self._view: ControlView = EMPTY_VIEW

    @property
    def configured(self) -> bool:
        """Whether any configuration is known."""
        return self._view.gateway.version > 0

    def knows_keys(self, now: float) -> bool:
        """Return whether this node can validate keys; always true if no keys are required."""
        return not self.table.configuration.requires_key or self._keys_current(now)

    @property
    def view(self) -> ControlView:
        """The control state in effect."""
        return self._view

    def set_retry_bounds(self, bounds: RetryBounds) -> None:
        """Set the fleet's bound on retries; call before the first request."""
        self._retry_bounds = bounds
        self.retry_budget = _make_budget(bounds)

    def update_control(self, view: ControlView, now: float) -> None:
        """Apply a newer control state; ignore an older one."""
        if view.revision < self._view.revision:
            return
        before, self._view = self._view, view
        if view.gateway is not before.gateway:
            self.table = RouteTable(view.gateway)
            self.placement.update_services(view.gateway.services)
        if view.rollouts is not before.rollouts:
            self._update_rollouts(view, now)

    def update_engines(self, view: EnginesView, now: float) -> None:
        """Apply a newer directory view."""
        self.placement.update_engines(view, now)

    def exchange_loads(self) -> None:
        """Publish changes of this node's load on engines and apply the other nodes' reports."""
        for engine, requests, prompt_tokens in self.placement.take_changed_loads():
            self.usage.note_engine_load(engine, float(requests), prompt_tokens)
        others = self.usage.other_engine_loads()
        self.placement.update_other_loads({EngineId(engine): load for engine, load in others.items()})

    def update_fleet(self, nodes: int) -> None:
        """Set the number of live nodes, which share the fleet's bounds."""
        self.placement.set_fleet_size(nodes)
        self.retry_budget.set_floor(_node_floor(self._retry_bounds.minimum, max(1, nodes)))

    def _update_rollouts(self, view: ControlView, now: float) -> None:
        kept: dict[ServiceName, RolloutInForce] = {}
        for service, record in view.rollouts.items():
            known = self.rollouts.get(service)
            same = known is not None and known.record.phase == record.phase
            since = known.since if known is not None and same else now
            kept[service] = RolloutInForce(record, since)
        self.rollouts = kept


def _node_floor(minimum: float, nodes: int) -> int:
    """Return the retries that one of ``nodes`` may send beyond its ratio; more than one only if all may."""
    usual = int(FLEET_RETRY_SHARE * minimum / nodes)
    return max(1, usual, min(MIN_NODE_RETRIES, int(minimum / nodes)))


def _make_budget(bounds: RetryBounds) -> RetryBudget:
    return RetryBudget(NODE_RETRY_FACTOR * bounds.share, window_s=max(MIN_WINDOW_S, bounds.window_s))
