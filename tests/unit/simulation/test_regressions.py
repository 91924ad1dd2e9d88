"""Regressions of faults that exploration found in other parts, each reduced to a small test."""

from __future__ import annotations

import random

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.events import ContactChanged
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.quota.events import AccountRate, AccountsChanged, QuotaMembersChanged
from springmux.coordination.quota.messages import AccountDemand, QuotaRequest
from springmux.coordination.quota.quota_allocator import QuotaAllocator
from springmux.coordination.state_machine import MessageReceived
from springmux.rollout.effects import ProposeStep
from springmux.simulation.hollow_fleet import HollowFleet
from unit.simulation.support import small_run


def test_node_back_in_contact_owns_no_account_with_a_saved_burst() -> None:
    """Seeds 101 and 102: after a partition, a node granted its bucket's accumulated tokens once more."""
    own, peer = NodeId("north-1"), NodeId("east-1")
    allocator = QuotaAllocator(own, random.Random(1))
    address = Address("10.0.0.1:1")
    record = NodeRecord(own, ZoneName("north"), address, address, address)
    allocator.handle(QuotaMembersChanged(MembershipView(own, {own: record})), 0.0)
    allocator.handle(AccountsChanged({"norte": AccountRate(1000.0, 2000.0)}), 0.0)
    request = QuotaRequest(1, 1, (AccountDemand("norte", 0.0, 100.0, 10.0, 0.0, 0.0, 0.0),))
    allocator.handle(MessageReceived(peer, request), 20.0)
    assert allocator.owned_accounts() == 1

    allocator.handle(ContactChanged(True), 21.0)

    assert allocator.owned_accounts() == 0


def test_checkpoint_stays_at_its_step() -> None:
    """Seed 1 without faults: checkpoints consumed the plan's steps, and the rollout stopped at 25%."""
    run = small_run()
    proposals: list[ProposeStep] = []
    _record_proposals(run.fleet, proposals)
    run.run()
    steps = {(proposal.step, proposal.weight) for proposal in proposals}
    assert steps >= {(0, 0.04), (1, 0.10), (4, 1.0)}
    assert len({step for step, _ in steps}) == len(steps)


def _record_proposals(fleet: HollowFleet, proposals: list[ProposeStep]) -> None:
    def replace_handlers() -> None:
        for agent in fleet.agents().values():
            dispatcher = agent._dispatcher
            handler = dispatcher._handlers[ProposeStep]

            def record_proposal(effect: ProposeStep, now: float, handler=handler) -> list:  # type: ignore[no-untyped-def, type-arg]
                proposals.append(effect)
                return handler(effect, now)

            dispatcher._handlers[ProposeStep] = record_proposal

    fleet.world.scheduler.at(5.0, replace_handlers)
