"""Event sequences of single nodes: fencing, skipped hops, and which node may propose or abort."""

from __future__ import annotations

import random

import msgspec

from springmux.agent.control_view_publisher import rollout_view
from springmux.control.commands import ApplyConfiguration, encode_command
from springmux.control.state import ControlState
from springmux.coordination.identifiers import Address, NodeId, Revision, Term, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import NEVER, Effect, MessageReceived, Send, Tick
from springmux.rollout.effects import ProposeAbort, ProposeStep
from springmux.rollout.events import ControlViewChanged, EnginesChanged, FleetChanged, IssuerChanged
from springmux.rollout.messages import RolloutAbortNotice, RolloutToken, RolloutTokenAck
from springmux.rollout.plan import RolloutDecision, RolloutPhase, RolloutRecord
from springmux.rollout.rollout_coordinator import RolloutCoordinator, RolloutSettings
from springmux.rollout.token_ring.rings import RELAY, WHOLE_FLEET, build_ring_layout
from springmux.rollout.token_ring.token_forwarding import HOP_TIMEOUT_S
from springmux.vocabulary.names import OrderId
from tests.unit.rollout.virtual_fleet import CANDIDATE, SERVICE, STABLE, engines_view, record_of

A, B, C, D = (NodeId(name) for name in "abcd")
ADDRESS = Address("127.0.0.1:1")


def node_record(name: str, zone: str = "z") -> NodeRecord:
    return NodeRecord(NodeId(name), ZoneName(zone), ADDRESS, ADDRESS, ADDRESS)


def new_coordinator(own: NodeId, record: RolloutRecord | None = None) -> RolloutCoordinator:
    coordinator = RolloutCoordinator(own, ZoneName("z"), random.Random(own), RolloutSettings())
    coordinator.handle(FleetChanged(MembershipView(own, {n: node_record(n) for n in (A, B, C, D)})), 0.0)
    coordinator.handle(EnginesChanged(engines_view()), 0.0)
    coordinator.handle(view(record or record_of()), 0.0)
    return coordinator


def view(record: RolloutRecord | None, revision: int = 1) -> ControlViewChanged:
    rollouts = {} if record is None else {SERVICE: record}
    return ControlViewChanged(rollouts, {SERVICE: STABLE}, Revision(revision))


def start_leading(coordinator: RolloutCoordinator, term: int = 1, now: float = 0.0) -> RolloutToken:
    coordinator.handle(IssuerChanged(True, Term(term)), now)
    return next(token for _, token in tokens(coordinator.handle(Tick(), now)))


def tokens(effects: list[Effect]) -> list[tuple[NodeId, RolloutToken]]:
    sends = (effect for effect in effects if isinstance(effect, Send))
    return [(send.to, send.message) for send in sends if isinstance(send.message, RolloutToken)]


def test_a_fleet_without_a_rollout_sends_no_token() -> None:
    coordinator = RolloutCoordinator(A, ZoneName("z"), random.Random(1), RolloutSettings())
    coordinator.handle(view(None), 0.0)
    assert coordinator.handle(IssuerChanged(True, Term(1)), 0.0)[0] is not None
    assert coordinator.next_deadline() == NEVER
    assert tokens(coordinator.handle(Tick(), 5.0)) == []


def test_a_round_visits_the_nodes_of_the_ring_and_returns_to_its_issuer() -> None:
    token = start_leading(new_coordinator(A))
    assert token.itinerary == (C, D)
    effects = new_coordinator(B).handle(MessageReceived(A, token), 0.0)
    assert effects[0] == Send(A, RolloutTokenAck(token.term, token.sequence, WHOLE_FLEET))
    assert tokens(effects)[0][0] == C
    last = msgspec.structs.replace(token, itinerary=())
    assert tokens(new_coordinator(D).handle(MessageReceived(C, last), 0.0))[0][0] == A


def test_each_round_is_handled_once_and_older_rounds_are_fenced() -> None:
    node, token = new_coordinator(B), start_leading(new_coordinator(A), term=3)
    assert tokens(node.handle(MessageReceived(A, token), 0.0))
    older = (
        token,
        msgspec.structs.replace(token, sequence=token.sequence - 1),
        msgspec.structs.replace(token, term=Term(2), sequence=999),
    )
    for stale in older:
        effects = node.handle(MessageReceived(A, stale), 0.1)
        assert isinstance(effects[0], Send)
        assert tokens(effects) == []
    assert tokens(node.handle(MessageReceived(A, msgspec.structs.replace(token, sequence=9)), 0.2))


def test_a_stale_token_renews_no_lease() -> None:
    node, token = new_coordinator(B), start_leading(new_coordinator(A))
    visited = tokens(node.handle(MessageReceived(A, token), -0.3))[0][1]
    newer = msgspec.structs.replace(visited, sequence=token.sequence + 1)
    node.handle(MessageReceived(A, newer), 0.0)
    node.handle(MessageReceived(A, newer), 1.9)
    status = node.status(SERVICE, 1.9)
    assert status is not None
    assert status.lease_age_s == 1.9


def test_a_hop_that_does_not_acknowledge_is_skipped_for_a_while() -> None:
    node, token = new_coordinator(B), start_leading(new_coordinator(A))
    node.handle(MessageReceived(A, token), 0.0)
    assert node.next_deadline() == HOP_TIMEOUT_S
    assert tokens(node.handle(Tick(), HOP_TIMEOUT_S))[0][0] == D
    newer = msgspec.structs.replace(token, sequence=token.sequence + 1)
    assert tokens(node.handle(MessageReceived(A, newer), 0.3))[0][0] == D


def test_an_acknowledged_hop_is_not_skipped() -> None:
    node, token = new_coordinator(B), start_leading(new_coordinator(A))
    node.handle(MessageReceived(A, token), 0.0)
    node.handle(MessageReceived(C, RolloutTokenAck(token.term, token.sequence, WHOLE_FLEET)), 0.05)
    assert node.next_deadline() == NEVER


def test_a_lost_round_is_reissued_with_a_higher_sequence() -> None:
    coordinator = new_coordinator(A)
    token = start_leading(coordinator)
    coordinator.handle(MessageReceived(B, RolloutTokenAck(token.term, token.sequence, WHOLE_FLEET)), 0.01)
    assert tokens(coordinator.handle(Tick(), 0.5)) == []
    reissued = tokens(coordinator.handle(Tick(), 0.81))
    assert [again.sequence for _, again in reissued] == [token.sequence + 1]


def test_only_the_leader_proposes_a_higher_weight() -> None:
    overdue = record_of(elapsed_s=43.0)
    node = new_coordinator(B, overdue)
    leader = new_coordinator(A, overdue)
    token = start_leading(leader)
    assert not any(isinstance(e, ProposeStep) for e in node.handle(MessageReceived(A, token), 1.0))
    leader.handle(Tick(), 0.5)
    wanted = [e for e in leader.handle(Tick(), 1.2) if isinstance(e, ProposeStep)]
    assert [(e.weight, e.step, e.phase) for e in wanted] == [(0.10, 1, RolloutPhase.SHIFTING)]


def test_a_notice_makes_the_leader_propose_the_abort_until_the_record_is_terminal() -> None:
    coordinator = new_coordinator(A)
    start_leading(coordinator)
    decision = RolloutDecision("c", "errors")
    notice = RolloutAbortNotice(SERVICE, record_of().rollout, decision)
    wanted = ProposeAbort(SERVICE, record_of().rollout, decision)
    assert wanted in coordinator.handle(MessageReceived(C, notice), 0.1)
    flagged = tokens(coordinator.handle(Tick(), 0.1))
    assert flagged[0][1].entries[0].aborted
    assert wanted in coordinator.handle(Tick(), 1.2)
    coordinator.handle(view(record_of(phase=RolloutPhase.ABORTED, decision=decision), 2), 1.3)
    later = [effect for second in range(2, 9) for effect in coordinator.handle(Tick(), float(second))]
    assert not any(isinstance(effect, ProposeAbort) for effect in later)
    assert coordinator.next_deadline() == NEVER


def test_a_new_leader_proposes_the_abort_that_the_former_leader_decided() -> None:
    coordinator = new_coordinator(B)
    decision = RolloutDecision("a", "errors")
    token = start_leading(new_coordinator(A))
    entry = msgspec.structs.replace(token.entries[0], aborted=True, decision=decision)
    coordinator.handle(MessageReceived(A, msgspec.structs.replace(token, entries=(entry,))), 0.1)
    effects = coordinator.handle(IssuerChanged(True, Term(2)), 1.7)
    assert ProposeAbort(SERVICE, record_of().rollout, decision) in effects


def test_a_deployments_exceptions_reach_the_issuer() -> None:
    exceptions = b'{"exceptions": {"token_period_s": 0.2, "minimum_ready_engines": 7}}'
    control = ControlState()
    command = ApplyConfiguration(order=OrderId("o"), version=1, document=exceptions)
    control.apply(Revision(5), encode_command(command))
    settings = rollout_view(control.view()).settings
    assert settings == RolloutSettings(token_period_s=0.2, minimum_ready_engines=7)
    coordinator = new_coordinator(A, record_of(elapsed_s=43.0))
    start_leading(coordinator)
    with_exceptions = msgspec.structs.replace(view(record_of(elapsed_s=43.0), 2), settings=settings)
    coordinator.handle(with_exceptions, 0.1)
    coordinator.handle(Tick(), 0.5)
    assert not any(isinstance(effect, ProposeStep) for effect in coordinator.handle(Tick(), 1.2))
    status = coordinator.status(SERVICE, 1.2)
    assert status is not None
    assert status.waiting == "6 candidate engines ready, minimum_ready_engines is 7"


def test_an_older_control_state_changes_nothing() -> None:
    coordinator = new_coordinator(B)
    coordinator.handle(view(record_of(phase=RolloutPhase.DONE, weight=1.0), 5), 1.0)
    coordinator.handle(view(record_of(), 4), 1.1)
    assert coordinator.filter.choose(SERVICE, 1, 1.2).versions == (CANDIDATE,)
    status = coordinator.status(SERVICE, 1.2)
    assert status is not None
    assert status.phase is RolloutPhase.DONE


def test_a_large_fleet_has_zone_rings_and_the_loss_of_a_node_moves_no_other_node() -> None:
    records = [node_record(f"n{n:03d}", f"z{n % 4}") for n in range(360)]
    layout = build_ring_layout(records)
    assert layout.relayed
    assert WHOLE_FLEET not in layout.rings
    assert RELAY not in layout.rings
    assert sum(len(members) for members in layout.rings.values()) == 360
    assert layout.longest_ring() <= 48
    fewer = build_ring_layout(records[1:])
    assert all(layout.ring_of(r.node) == fewer.ring_of(r.node) for r in records[1:])
