"""Handlers for effects on membership, engines, claims and rollouts."""

from __future__ import annotations

from collections.abc import Mapping

from springmux.agent.directory.effects import EnginesChanged
from springmux.agent.effect_dispatcher import EffectDispatcher, EffectHandler
from springmux.agent.effects import ClaimAnswered
from springmux.agent.leadership_handlers import LeadershipHandlers
from springmux.agent.rollout_orders import RolloutProposal, command_for
from springmux.control.delivery import events as delivery_events
from springmux.coordination.claims.events import ClaimResolved
from springmux.coordination.membership.effects import MembershipChanged
from springmux.coordination.membership.events import MembershipUpdated
from springmux.coordination.quota.events import QuotaMembersChanged
from springmux.coordination.state_machine import Effect
from springmux.coordination.usage.events import UsageMembersChanged
from springmux.rollout.effects import ProposeAbort, ProposeFinish, ProposeStep
from springmux.rollout.events import EnginesChanged as RolloutEnginesChanged
from springmux.rollout.events import FleetChanged


class FleetHandlers:
    """Distributes changes of membership and directory, returns claim decisions, and submits rollout steps."""

    def __init__(self, dispatcher: EffectDispatcher, leadership: LeadershipHandlers) -> None:
        self._dispatcher = dispatcher
        self._components = dispatcher.components
        self._leadership = leadership

    def handlers(self) -> Mapping[type[Effect], EffectHandler]:
        """Return the effect handlers of this module."""
        return {
            MembershipChanged: self._on_membership_changed,
            EnginesChanged: self._on_engines_changed,
            ClaimResolved: self._on_claim_resolved,
            ProposeAbort: self._on_rollout_proposal,
            ProposeStep: self._on_rollout_proposal,
            ProposeFinish: self._on_rollout_proposal,
        }

    def _on_membership_changed(self, effect: MembershipChanged, now: float) -> list[Effect]:
        view, components, deliver = effect.view, self._components, self._dispatcher.deliver
        updated = MembershipUpdated(view)
        effects = deliver(components.contact, updated, now)
        effects += deliver(components.directory, updated, now)
        changed = delivery_events.MembershipChanged(view)
        effects += deliver(components.delivery, changed, now)
        effects += deliver(components.freshness, changed, now)
        effects += deliver(components.rollout, FleetChanged(view), now)
        effects += deliver(components.quota, QuotaMembersChanged(view), now)
        effects += deliver(components.usage, UsageMembersChanged(view), now)
        components.gateway.update_fleet(len(view.present()))
        return effects + self._leadership.announce_candidates(now)

    def _on_engines_changed(self, effect: EnginesChanged, now: float) -> list[Effect]:
        self._components.router.update_engines(effect.view, now)
        self._components.gateway.update_engines(effect.view, now)
        changed = RolloutEnginesChanged(effect.view)
        return self._dispatcher.deliver(self._components.rollout, changed, now)

    def _on_claim_resolved(self, effect: ClaimResolved, _now: float) -> list[Effect]:
        return [ClaimAnswered(effect.correlation_id, effect.decision)]

    def _on_rollout_proposal(self, effect: RolloutProposal, now: float) -> list[Effect]:
        return self._dispatcher.submit_order(command_for(effect), now)
