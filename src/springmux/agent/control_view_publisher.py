"""Publishes a newer control state to the components of one node."""

from __future__ import annotations

from typing import NamedTuple

from springmux.agent.components import NodeComponents
from springmux.agent.effects import ControlChanged
from springmux.control.view import EMPTY_VIEW, ControlView
from springmux.coordination.claims.events import HoldersChanged
from springmux.coordination.quota.events import AccountRate, AccountsChanged
from springmux.coordination.state_machine import Effect
from springmux.coordination.usage.events import AccountLimit, AccountLimitsChanged
from springmux.rollout.events import ControlViewChanged, RolloutSettings
from springmux.router.flow import RequestFlow


class PublishedView(NamedTuple):
    """Effects of the components, and the running requests whose key was revoked."""

    effects: list[Effect]
    revoked_flows: list[RequestFlow]


class ControlViewPublisher:
    """Stores the last published view, so that each component is updated only with changes."""

    def __init__(self, components: NodeComponents) -> None:
        self._components = components
        self._view = EMPTY_VIEW

    def publish(self, view: ControlView, now: float) -> PublishedView:
        """Publish ``view`` unless it is older than the published one."""
        before, self._view = self._view, view
        if view.revision <= before.revision:
            return PublishedView([], [])
        components = self._components
        effects: list[Effect] = []
        if view.tenants is not before.tenants:
            components.quota.handle(_account_changes(before, view), now)
        if view.gateway.tenants is not before.gateway.tenants:
            components.usage.handle(_account_limits(view), now)
        if view.claim_ring is not None and view.claim_ring is not before.claim_ring:
            effects += components.claims.handle(HoldersChanged(view.claim_ring), now)
        if view.rollouts is not before.rollouts or view.configuration is not before.configuration:
            effects += components.rollout.handle(rollout_view(view), now)
        components.gateway.update_control(view, now)
        flows = components.router.update_control(view, now)
        changed = ControlChanged(view.revision, view.gateway.version, components.delivery.newest_arrival)
        return PublishedView([*effects, changed], flows)


def _account_changes(before: ControlView, view: ControlView) -> AccountsChanged:
    changed = {
        str(name): AccountRate(tenant.tokens_per_s, tenant.burst_tokens)
        for name, tenant in view.tenants.items()
        if before.tenants.get(name) != tenant
    }
    removed = tuple(str(name) for name in before.tenants if name not in view.tenants)
    return AccountsChanged(changed, removed)


def _account_limits(view: ControlView) -> AccountLimitsChanged:
    limits = {
        str(name): AccountLimit(tenant.rate_per_s, tenant.burst)
        for name, tenant in view.gateway.tenants.items()
    }
    return AccountLimitsChanged(limits)


def rollout_view(view: ControlView) -> ControlViewChanged:
    """Return the event that updates the rollout coordinator to ``view``."""
    exceptions = view.configuration.exceptions
    settings = RolloutSettings(exceptions.token_period_s, exceptions.minimum_ready_engines)
    stable = {name: service.stable for name, service in view.configuration.services.items()}
    return ControlViewChanged(view.rollouts, stable, view.revision, settings)
