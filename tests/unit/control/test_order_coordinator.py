"""Orders from any node to the leader and back: lost answers, leader changes, duplicates, no quorum."""

from __future__ import annotations

from springmux.control.commands import AnyCommand, CommandResult, Outcome, encode_command
from springmux.control.events import LeadershipKnown
from springmux.control.order_coordinator import OrderCoordinator, OrderSettings
from springmux.control.order_events import (
    CommandDecided,
    ProposalEnded,
    ProposeCommand,
    ReplyToOrder,
    SubmitOrder,
)
from springmux.control.order_messages import ForwardOrder, OrderDecided, OrderRejected
from springmux.coordination.identifiers import NodeId, Term
from springmux.coordination.state_machine import Effect, MessageReceived, PeerMessage, Send, Tick
from springmux.vocabulary.errors import ErrorCode, Fate
from tests.unit.control.support import Log, promote, put_tenant

A, B, C = NodeId("a"), NodeId("b"), NodeId("c")
ORDER = put_tenant("o1")


class CoordinatorHarness:
    """A coordinator with its own state machine; ``commit`` is what consensus does to a proposal."""

    def __init__(self, name: NodeId, settings: OrderSettings | None = None) -> None:
        self.log = Log()
        self.coordinator = OrderCoordinator(name, self.log.state, settings)

    def leader(
        self, leader: NodeId | None, term: int = 1, leading: bool = False, now: float = 0
    ) -> list[Effect]:
        return self.coordinator.handle(LeadershipKnown(Term(term), leader, leading), now)

    def submit(self, command: AnyCommand = ORDER, correlation_id: str = "t1", now: float = 0) -> list[Effect]:
        return self.coordinator.handle(SubmitOrder(correlation_id, command), now)

    def commit(self, command: AnyCommand = ORDER, now: float = 0) -> list[Effect]:
        result = self.log.run(command)
        return self.coordinator.handle(CommandDecided(encode_command(command), result), now)

    def receive(self, sender: NodeId, message: PeerMessage, now: float = 0) -> list[Effect]:
        return self.coordinator.handle(MessageReceived(sender, message), now)

    def tick(self, now: float) -> list[Effect]:
        return self.coordinator.handle(Tick(), now)


def only(effects: list[Effect], kind: type[Effect]) -> Effect:
    (effect,) = effects
    assert isinstance(effect, kind)
    return effect


def forwarded(effects: list[Effect], to: NodeId) -> ForwardOrder:
    sent = only(effects, Send)
    assert isinstance(sent, Send) and sent.to == to and isinstance(sent.message, ForwardOrder)
    return sent.message


def answer(effects: list[Effect]) -> CommandResult:
    answered = only(effects, ReplyToOrder)
    assert isinstance(answered, ReplyToOrder) and answered.result is not None
    return answered.result


def error_of(effects: list[Effect]) -> tuple[ErrorCode, Fate, bool]:
    answered = only(effects, ReplyToOrder)
    assert isinstance(answered, ReplyToOrder) and answered.error is not None
    return (answered.error.code, answered.error.fate, (answered.error.retry_after_s or 0) > 0)


def test_the_leader_proposes_and_answers_after_it_applied() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, leading=True)
    proposed = only(coordinator.submit(), ProposeCommand)
    assert isinstance(proposed, ProposeCommand) and proposed.data == encode_command(ORDER)
    assert answer(coordinator.commit()).outcome is Outcome.ACCEPTED
    assert coordinator.coordinator.next_deadline() == float("inf")


def test_another_node_forwards_and_passes_the_answer_on() -> None:
    leader, other = CoordinatorHarness(A), CoordinatorHarness(B)
    leader.leader(A, leading=True)
    other.leader(A)
    forward = forwarded(other.submit(), A)
    only(leader.receive(B, forward), ProposeCommand)
    decided = only(leader.commit(), Send)
    assert isinstance(decided, Send) and decided.to == B
    assert answer(other.receive(A, decided.message)).outcome is Outcome.ACCEPTED
    assert other.receive(A, decided.message) == []


def test_a_lost_answer_is_asked_for_again_and_the_order_runs_once() -> None:
    leader, other = CoordinatorHarness(A), CoordinatorHarness(B)
    leader.leader(A, leading=True)
    other.leader(A)
    only(leader.receive(B, forwarded(other.submit(), A)), ProposeCommand)
    leader.commit()
    again = forwarded(other.tick(1.0), A)
    decided = only(leader.receive(B, again), Send)
    assert isinstance(decided, Send) and isinstance(decided.message, OrderDecided)


def test_a_node_that_applies_the_command_itself_answers_without_the_leader() -> None:
    coordinator = CoordinatorHarness(B)
    coordinator.leader(A)
    coordinator.submit()
    assert answer(coordinator.commit()).outcome is Outcome.ACCEPTED


def test_an_order_decided_before_is_answered_at_once_at_any_node() -> None:
    coordinator = CoordinatorHarness(C)
    first = coordinator.log.run(ORDER)
    assert answer(coordinator.submit()) == first
    assert answer(coordinator.submit(put_tenant("o1", tokens_per_s=5.0))).outcome is Outcome.CONFLICT


def test_a_change_of_leader_sends_the_order_to_the_new_one() -> None:
    coordinator = CoordinatorHarness(B)
    coordinator.leader(A)
    first = forwarded(coordinator.submit(), A)
    assert forwarded(coordinator.leader(C, term=2, now=0.3), C) == first
    assert coordinator.leader(A, term=1, now=0.4) == []
    only(coordinator.leader(B, term=3, leading=True, now=0.5), ProposeCommand)


def test_an_order_without_a_leader_waits_for_one() -> None:
    coordinator = CoordinatorHarness(B)
    assert coordinator.submit() == []
    assert coordinator.leader(None, term=2, now=0.5) == []
    forwarded(coordinator.leader(A, term=2, now=1.5), A)


def test_without_a_quorum_the_client_is_told_after_five_seconds_when_to_come_back() -> None:
    never_sent, sent = CoordinatorHarness(B), CoordinatorHarness(B)
    sent.leader(A)
    never_sent.submit()
    sent.submit()
    assert not any(isinstance(effect, ReplyToOrder) for effect in sent.tick(4.9))
    assert error_of(never_sent.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.REFUSED, True)
    assert error_of(sent.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.UNKNOWN, True)
    assert sent.coordinator.next_deadline() == float("inf")


def test_a_full_disk_is_answered_at_once() -> None:
    leader, other = CoordinatorHarness(A), CoordinatorHarness(B)
    leader.leader(A, leading=True)
    other.leader(A)
    forward = forwarded(other.submit(), A)
    leader.receive(B, forward)
    ended = leader.coordinator.handle(ProposalEnded(forward.key, unknown=False, storage_full=True), 0.1)
    not_taken = only(ended, Send)
    assert isinstance(not_taken, Send) and isinstance(not_taken.message, OrderRejected)
    assert error_of(other.receive(A, not_taken.message)) == (ErrorCode.STORAGE_FULL, Fate.REFUSED, True)


def test_after_an_earlier_attempt_a_full_disk_leaves_the_fate_unknown() -> None:
    coordinator = CoordinatorHarness(B)
    coordinator.leader(A)
    key = forwarded(coordinator.submit(), A).key
    coordinator.leader(C, term=2)
    effects = coordinator.receive(C, OrderRejected(key, ErrorCode.STORAGE_FULL))
    assert error_of(effects) == (ErrorCode.STORAGE_FULL, Fate.UNKNOWN, True)


def test_the_same_order_from_several_sides_is_proposed_once_and_all_are_answered() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, leading=True)
    only(coordinator.submit(correlation_id="t1"), ProposeCommand)
    assert coordinator.submit(correlation_id="t2") == []
    key = f"{ORDER.order}/"
    forward = forwarded(_forwarding_desk().submit(), A)
    assert forward.key.startswith(key)
    assert coordinator.receive(B, forward) == []
    effects = coordinator.commit()
    assert [e.correlation_id for e in effects if isinstance(e, ReplyToOrder)] == ["t1", "t2"]
    assert [e.to for e in effects if isinstance(e, Send)] == [B]


def test_one_id_with_two_commands_is_decided_for_both_apart() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, leading=True)
    other = put_tenant("o1", tokens_per_s=5.0)
    coordinator.submit(ORDER, "t1")
    only(coordinator.submit(other, "t2"), ProposeCommand)
    assert answer(coordinator.commit(ORDER)).outcome is Outcome.ACCEPTED
    assert answer(coordinator.commit(other)).outcome is Outcome.CONFLICT


def test_a_promotion_with_the_rollout_id_of_another_node_is_the_same_order() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, leading=True)
    coordinator.submit(promote("go", rollout="here"), "t1")
    assert coordinator.submit(promote("go", rollout="there"), "t2") == []
    assert len(coordinator.commit(promote("go", rollout="here"))) == 2


def test_a_dropped_proposal_is_proposed_again() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, leading=True)
    proposed = only(coordinator.submit(), ProposeCommand)
    assert isinstance(proposed, ProposeCommand)
    assert coordinator.tick(1.0) == []
    assert coordinator.coordinator.handle(ProposalEnded(proposed.correlation_id, unknown=True), 1.2) == []
    assert only(coordinator.tick(2.0), ProposeCommand) == proposed


def test_a_follower_proposes_nothing_that_is_forwarded_to_it() -> None:
    coordinator = CoordinatorHarness(C)
    coordinator.leader(A)
    assert coordinator.receive(B, forwarded(_forwarding_desk().submit(), A)) == []


def test_a_forwarded_order_of_a_newer_program_is_not_taken() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, leading=True)
    (sent,) = coordinator.receive(B, ForwardOrder("k", b"\x81\xa4type\xa3New"))
    assert sent == Send(B, OrderRejected("k", ErrorCode.INVALID_ORDER))


def test_orders_beyond_the_bounds_are_refused_at_once() -> None:
    coordinator = CoordinatorHarness(A, OrderSettings(max_pending=1, max_command_bytes=200))
    decided = coordinator.log.run(put_tenant("o0"))
    coordinator.submit(correlation_id="t1")
    assert coordinator.submit(correlation_id="t2") == [], "a resend of what is under way waits with it"
    assert answer(coordinator.submit(put_tenant("o0"))) == decided
    assert error_of(coordinator.submit(put_tenant("o2")))[:2] == (ErrorCode.OVERLOADED, Fate.REFUSED)
    assert error_of(coordinator.submit(put_tenant("x" * 300)))[0] is ErrorCode.BODY_TOO_LARGE
    assert error_of(coordinator.submit(put_tenant("")))[0] is ErrorCode.INVALID_ORDER


def _forwarding_desk() -> CoordinatorHarness:
    coordinator = CoordinatorHarness(B)
    coordinator.leader(A)
    return coordinator


def test_an_order_that_another_node_had_proposed_here_is_not_called_refused() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, leading=True)
    other = CoordinatorHarness(B)
    other.leader(A)
    only(coordinator.receive(B, forwarded(other.submit(), A)), ProposeCommand)
    assert coordinator.submit() == []
    assert error_of(coordinator.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.UNKNOWN, True)


def test_an_order_that_comes_between_election_and_first_commit_is_proposed_once_the_leader_leads() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, term=2)
    order = ForwardOrder("key", encode_command(ORDER))
    assert coordinator.receive(B, order) == []
    assert coordinator.receive(B, order) == []

    proposed = only(coordinator.leader(A, term=2, leading=True), ProposeCommand)

    assert isinstance(proposed, ProposeCommand) and proposed.data == encode_command(ORDER)
    assert coordinator.leader(A, term=2, leading=True) == []


def test_an_order_that_waited_for_an_election_is_dropped_if_another_node_leads() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(A, term=2)
    coordinator.receive(B, ForwardOrder("key", encode_command(ORDER)))

    assert coordinator.leader(C, term=3) == []
    assert coordinator.leader(A, term=4, leading=True) == []


def test_an_order_forwarded_to_a_node_that_nobody_elected_is_not_kept() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.leader(C, term=2)
    coordinator.receive(B, ForwardOrder("key", encode_command(ORDER)))

    assert coordinator.leader(A, term=3, leading=True) == []
