"""Tests orders from any node to the leader and back: lost replies, leader changes, duplicates, no quorum."""

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
    """A coordinator with its own state machine. ``commit`` applies a command, as consensus does."""

    def __init__(self, name: NodeId, settings: OrderSettings | None = None) -> None:
        self.log = Log()
        self.coordinator = OrderCoordinator(name, self.log.state, settings)

    def set_leader(
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


def only_effect(effects: list[Effect], kind: type[Effect]) -> Effect:
    (effect,) = effects
    assert isinstance(effect, kind)
    return effect


def forwarded_order(effects: list[Effect], to: NodeId) -> ForwardOrder:
    sent = only_effect(effects, Send)
    assert isinstance(sent, Send) and sent.to == to and isinstance(sent.message, ForwardOrder)
    return sent.message


def result_of(effects: list[Effect]) -> CommandResult:
    reply = only_effect(effects, ReplyToOrder)
    assert isinstance(reply, ReplyToOrder) and reply.result is not None
    return reply.result


def error_of(effects: list[Effect]) -> tuple[ErrorCode, Fate, bool]:
    reply = only_effect(effects, ReplyToOrder)
    assert isinstance(reply, ReplyToOrder) and reply.error is not None
    return (reply.error.code, reply.error.fate, (reply.error.retry_after_s or 0) > 0)


def test_the_leader_proposes_an_order_and_replies_after_applying_it() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, leading=True)
    proposed = only_effect(coordinator.submit(), ProposeCommand)
    assert isinstance(proposed, ProposeCommand) and proposed.data == encode_command(ORDER)
    assert result_of(coordinator.commit()).outcome is Outcome.ACCEPTED
    assert coordinator.coordinator.next_deadline() == float("inf")


def test_a_follower_forwards_an_order_and_returns_the_leaders_result() -> None:
    leader, other = CoordinatorHarness(A), CoordinatorHarness(B)
    leader.set_leader(A, leading=True)
    other.set_leader(A)
    forward = forwarded_order(other.submit(), A)
    only_effect(leader.receive(B, forward), ProposeCommand)
    decided = only_effect(leader.commit(), Send)
    assert isinstance(decided, Send) and decided.to == B
    assert result_of(other.receive(A, decided.message)).outcome is Outcome.ACCEPTED
    assert other.receive(A, decided.message) == []


def test_an_order_is_resent_after_a_lost_reply_and_runs_once() -> None:
    leader, other = CoordinatorHarness(A), CoordinatorHarness(B)
    leader.set_leader(A, leading=True)
    other.set_leader(A)
    only_effect(leader.receive(B, forwarded_order(other.submit(), A)), ProposeCommand)
    leader.commit()
    again = forwarded_order(other.tick(1.0), A)
    decided = only_effect(leader.receive(B, again), Send)
    assert isinstance(decided, Send) and isinstance(decided.message, OrderDecided)


def test_a_node_that_applies_the_command_itself_replies_without_the_leader() -> None:
    coordinator = CoordinatorHarness(B)
    coordinator.set_leader(A)
    coordinator.submit()
    assert result_of(coordinator.commit()).outcome is Outcome.ACCEPTED


def test_any_node_replies_immediately_to_an_order_decided_before() -> None:
    coordinator = CoordinatorHarness(C)
    first = coordinator.log.run(ORDER)
    assert result_of(coordinator.submit()) == first
    assert result_of(coordinator.submit(put_tenant("o1", tokens_per_s=5.0))).outcome is Outcome.CONFLICT


def test_a_change_of_leader_sends_the_order_to_the_new_one() -> None:
    coordinator = CoordinatorHarness(B)
    coordinator.set_leader(A)
    first = forwarded_order(coordinator.submit(), A)
    assert forwarded_order(coordinator.set_leader(C, term=2, now=0.3), C) == first
    assert coordinator.set_leader(A, term=1, now=0.4) == []
    only_effect(coordinator.set_leader(B, term=3, leading=True, now=0.5), ProposeCommand)


def test_an_order_without_a_leader_waits_for_one() -> None:
    coordinator = CoordinatorHarness(B)
    assert coordinator.submit() == []
    assert coordinator.set_leader(None, term=2, now=0.5) == []
    forwarded_order(coordinator.set_leader(A, term=2, now=1.5), A)


def test_without_a_quorum_the_client_gets_an_error_with_a_retry_delay_after_five_seconds() -> None:
    never_sent, sent = CoordinatorHarness(B), CoordinatorHarness(B)
    sent.set_leader(A)
    never_sent.submit()
    sent.submit()
    assert not any(isinstance(effect, ReplyToOrder) for effect in sent.tick(4.9))
    assert error_of(never_sent.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.REFUSED, True)
    assert error_of(sent.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.UNKNOWN, True)
    assert sent.coordinator.next_deadline() == float("inf")


def test_an_order_is_rejected_immediately_if_the_leaders_disk_is_full() -> None:
    leader, other = CoordinatorHarness(A), CoordinatorHarness(B)
    leader.set_leader(A, leading=True)
    other.set_leader(A)
    forward = forwarded_order(other.submit(), A)
    leader.receive(B, forward)
    ended = leader.coordinator.handle(ProposalEnded(forward.key, unknown=False, storage_full=True), 0.1)
    rejection = only_effect(ended, Send)
    assert isinstance(rejection, Send) and isinstance(rejection.message, OrderRejected)
    assert error_of(other.receive(A, rejection.message)) == (ErrorCode.STORAGE_FULL, Fate.REFUSED, True)


def test_a_full_disk_after_an_earlier_attempt_leaves_the_fate_unknown() -> None:
    coordinator = CoordinatorHarness(B)
    coordinator.set_leader(A)
    key = forwarded_order(coordinator.submit(), A).key
    coordinator.set_leader(C, term=2)
    effects = coordinator.receive(C, OrderRejected(key, ErrorCode.STORAGE_FULL))
    assert error_of(effects) == (ErrorCode.STORAGE_FULL, Fate.UNKNOWN, True)


def test_the_same_order_from_several_senders_is_proposed_once_and_all_get_replies() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, leading=True)
    only_effect(coordinator.submit(correlation_id="t1"), ProposeCommand)
    assert coordinator.submit(correlation_id="t2") == []
    key = f"{ORDER.order}/"
    forward = forwarded_order(_forwarding_coordinator().submit(), A)
    assert forward.key.startswith(key)
    assert coordinator.receive(B, forward) == []
    effects = coordinator.commit()
    assert [e.correlation_id for e in effects if isinstance(e, ReplyToOrder)] == ["t1", "t2"]
    assert [e.to for e in effects if isinstance(e, Send)] == [B]


def test_two_commands_with_the_same_order_id_are_decided_separately() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, leading=True)
    other = put_tenant("o1", tokens_per_s=5.0)
    coordinator.submit(ORDER, "t1")
    only_effect(coordinator.submit(other, "t2"), ProposeCommand)
    assert result_of(coordinator.commit(ORDER)).outcome is Outcome.ACCEPTED
    assert result_of(coordinator.commit(other)).outcome is Outcome.CONFLICT


def test_a_promotion_with_the_rollout_id_of_another_node_is_the_same_order() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, leading=True)
    coordinator.submit(promote("go", rollout="here"), "t1")
    assert coordinator.submit(promote("go", rollout="there"), "t2") == []
    assert len(coordinator.commit(promote("go", rollout="here"))) == 2


def test_a_dropped_proposal_is_proposed_again() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, leading=True)
    proposed = only_effect(coordinator.submit(), ProposeCommand)
    assert isinstance(proposed, ProposeCommand)
    assert coordinator.tick(1.0) == []
    assert coordinator.coordinator.handle(ProposalEnded(proposed.correlation_id, unknown=True), 1.2) == []
    assert only_effect(coordinator.tick(2.0), ProposeCommand) == proposed


def test_a_follower_does_not_propose_a_forwarded_order() -> None:
    coordinator = CoordinatorHarness(C)
    coordinator.set_leader(A)
    assert coordinator.receive(B, forwarded_order(_forwarding_coordinator().submit(), A)) == []


def test_a_forwarded_order_of_a_newer_program_is_rejected() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, leading=True)
    (sent,) = coordinator.receive(B, ForwardOrder("k", b"\x81\xa4type\xa3New"))
    assert sent == Send(B, OrderRejected("k", ErrorCode.INVALID_ORDER))


def test_orders_beyond_the_bounds_are_rejected_immediately() -> None:
    coordinator = CoordinatorHarness(A, OrderSettings(max_pending=1, max_command_bytes=200))
    decided = coordinator.log.run(put_tenant("o0"))
    coordinator.submit(correlation_id="t1")
    assert coordinator.submit(correlation_id="t2") == [], "a resent order waits with the pending one"
    assert result_of(coordinator.submit(put_tenant("o0"))) == decided
    assert error_of(coordinator.submit(put_tenant("o2")))[:2] == (ErrorCode.OVERLOADED, Fate.REFUSED)
    assert error_of(coordinator.submit(put_tenant("x" * 300)))[0] is ErrorCode.BODY_TOO_LARGE
    assert error_of(coordinator.submit(put_tenant("")))[0] is ErrorCode.INVALID_ORDER


def _forwarding_coordinator() -> CoordinatorHarness:
    coordinator = CoordinatorHarness(B)
    coordinator.set_leader(A)
    return coordinator


def test_the_fate_of_an_order_already_forwarded_by_another_node_is_unknown() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, leading=True)
    other = CoordinatorHarness(B)
    other.set_leader(A)
    only_effect(coordinator.receive(B, forwarded_order(other.submit(), A)), ProposeCommand)
    assert coordinator.submit() == []
    assert error_of(coordinator.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.UNKNOWN, True)


def test_an_order_between_election_and_first_commit_is_proposed_after_the_first_commit() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, term=2)
    order = ForwardOrder("key", encode_command(ORDER))
    assert coordinator.receive(B, order) == []
    assert coordinator.receive(B, order) == []

    proposed = only_effect(coordinator.set_leader(A, term=2, leading=True), ProposeCommand)

    assert isinstance(proposed, ProposeCommand) and proposed.data == encode_command(ORDER)
    assert coordinator.set_leader(A, term=2, leading=True) == []


def test_a_deferred_order_is_dropped_if_another_node_becomes_leader() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(A, term=2)
    coordinator.receive(B, ForwardOrder("key", encode_command(ORDER)))

    assert coordinator.set_leader(C, term=3) == []
    assert coordinator.set_leader(A, term=4, leading=True) == []


def test_an_order_forwarded_to_a_node_that_was_not_elected_is_not_deferred() -> None:
    coordinator = CoordinatorHarness(A)
    coordinator.set_leader(C, term=2)
    coordinator.receive(B, ForwardOrder("key", encode_command(ORDER)))

    assert coordinator.set_leader(A, term=3, leading=True) == []
