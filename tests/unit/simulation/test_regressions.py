"""Faults that exploration found in other parts, each as small as it can be told."""

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
    """Seeds 101 and 102: the bucket saved up while cut off was given out once more."""
    own, peer = NodeId("north-1"), NodeId("east-1")
    part = QuotaAllocator(own, random.Random(1))
    address = Address("10.0.0.1:1")
    record = NodeRecord(own, ZoneName("north"), address, address, address)
    part.handle(QuotaMembersChanged(MembershipView(own, {own: record})), 0.0)
    part.handle(AccountsChanged({"norte": AccountRate(1000.0, 2000.0)}), 0.0)
    ask = QuotaRequest(1, 1, (AccountDemand("norte", 0.0, 100.0, 10.0, 0.0, 0.0, 0.0),))
    part.handle(MessageReceived(peer, ask), 20.0)
    assert part.owned_accounts() == 1

    part.handle(ContactChanged(True), 21.0)

    assert part.owned_accounts() == 0


def test_checkpoint_stays_at_its_step() -> None:
    """Seed 1 without faults: checkpoints used up the plan's steps, and the rollout hung at a quarter."""
    run = small_run()
    wishes: list[ProposeStep] = []
    _watch_wishes(run.fleet, wishes)
    run.run()
    steps = {(wish.step, wish.weight) for wish in wishes}
    assert steps >= {(0, 0.04), (1, 0.10), (4, 1.0)}
    assert len({step for step, _ in steps}) == len(steps)


def _watch_wishes(fleet: HollowFleet, wishes: list[ProposeStep]) -> None:
    def look() -> None:
        for agent in fleet.agents().values():
            dispatcher = agent._dispatcher
            handler = dispatcher._handlers[ProposeStep]

            def note(effect: ProposeStep, now: float, handler=handler) -> list:  # type: ignore[no-untyped-def, type-arg]
                wishes.append(effect)
                return handler(effect, now)

            dispatcher._handlers[ProposeStep] = note

    fleet.world.scheduler.at(5.0, look)
