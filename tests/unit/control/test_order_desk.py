"""Orders from any node to the leader and back: lost answers, leader changes, duplicates, no quorum."""

from __future__ import annotations

from springmux.control.commands import AnyCommand, CommandResult, Outcome, encode_command
from springmux.control.events import LeadershipKnown
from springmux.control.order_desk import OrderDesk, OrderDeskSettings
from springmux.control.order_events import (
    AnswerOrder,
    CommandDecided,
    ProposalEnded,
    ProposeCommand,
    SubmitOrder,
)
from springmux.control.order_messages import ForwardOrder, OrderDecided, OrderNotTaken
from springmux.coordination.identifiers import NodeId, Term
from springmux.coordination.kernel import Effect, MessageReceived, PeerMessage, Send, Tick
from springmux.vocabulary.errors import ErrorCode, Fate
from tests.unit.control.support import Log, promote, put_tenant

A, B, C = NodeId("a"), NodeId("b"), NodeId("c")
ORDER = put_tenant("o1")


class Desk:
    """A desk with its own state machine; ``commit`` is what consensus does to a proposal."""

    def __init__(self, name: NodeId, settings: OrderDeskSettings | None = None) -> None:
        self.log = Log()
        self.desk = OrderDesk(name, self.log.state, settings)

    def leader(
        self, leader: NodeId | None, term: int = 1, leading: bool = False, now: float = 0
    ) -> list[Effect]:
        return self.desk.handle(LeadershipKnown(Term(term), leader, leading), now)

    def submit(self, command: AnyCommand = ORDER, ticket: str = "t1", now: float = 0) -> list[Effect]:
        return self.desk.handle(SubmitOrder(ticket, command), now)

    def commit(self, command: AnyCommand = ORDER, now: float = 0) -> list[Effect]:
        result = self.log.run(command)
        return self.desk.handle(CommandDecided(encode_command(command), result), now)

    def receive(self, sender: NodeId, message: PeerMessage, now: float = 0) -> list[Effect]:
        return self.desk.handle(MessageReceived(sender, message), now)

    def tick(self, now: float) -> list[Effect]:
        return self.desk.handle(Tick(), now)


def only(effects: list[Effect], kind: type[Effect]) -> Effect:
    (effect,) = effects
    assert isinstance(effect, kind)
    return effect


def forwarded(effects: list[Effect], to: NodeId) -> ForwardOrder:
    sent = only(effects, Send)
    assert isinstance(sent, Send) and sent.to == to and isinstance(sent.message, ForwardOrder)
    return sent.message


def answer(effects: list[Effect]) -> CommandResult:
    answered = only(effects, AnswerOrder)
    assert isinstance(answered, AnswerOrder) and answered.result is not None
    return answered.result


def error_of(effects: list[Effect]) -> tuple[ErrorCode, Fate, bool]:
    answered = only(effects, AnswerOrder)
    assert isinstance(answered, AnswerOrder) and answered.error is not None
    return (answered.error.code, answered.error.fate, (answered.error.retry_after_s or 0) > 0)


def test_the_leader_proposes_and_answers_after_it_applied() -> None:
    desk = Desk(A)
    desk.leader(A, leading=True)
    proposed = only(desk.submit(), ProposeCommand)
    assert isinstance(proposed, ProposeCommand) and proposed.data == encode_command(ORDER)
    assert answer(desk.commit()).outcome is Outcome.ACCEPTED
    assert desk.desk.next_deadline() == float("inf")


def test_another_node_forwards_and_passes_the_answer_on() -> None:
    leader, other = Desk(A), Desk(B)
    leader.leader(A, leading=True)
    other.leader(A)
    forward = forwarded(other.submit(), A)
    only(leader.receive(B, forward), ProposeCommand)
    decided = only(leader.commit(), Send)
    assert isinstance(decided, Send) and decided.to == B
    assert answer(other.receive(A, decided.message)).outcome is Outcome.ACCEPTED
    assert other.receive(A, decided.message) == []


def test_a_lost_answer_is_asked_for_again_and_the_order_runs_once() -> None:
    leader, other = Desk(A), Desk(B)
    leader.leader(A, leading=True)
    other.leader(A)
    only(leader.receive(B, forwarded(other.submit(), A)), ProposeCommand)
    leader.commit()
    again = forwarded(other.tick(1.0), A)
    decided = only(leader.receive(B, again), Send)
    assert isinstance(decided, Send) and isinstance(decided.message, OrderDecided)


def test_a_node_that_applies_the_command_itself_answers_without_the_leader() -> None:
    desk = Desk(B)
    desk.leader(A)
    desk.submit()
    assert answer(desk.commit()).outcome is Outcome.ACCEPTED


def test_an_order_decided_before_is_answered_at_once_at_any_node() -> None:
    desk = Desk(C)
    first = desk.log.run(ORDER)
    assert answer(desk.submit()) == first
    assert answer(desk.submit(put_tenant("o1", tokens_per_s=5.0))).outcome is Outcome.CONFLICT


def test_a_change_of_leader_sends_the_order_to_the_new_one() -> None:
    desk = Desk(B)
    desk.leader(A)
    first = forwarded(desk.submit(), A)
    assert forwarded(desk.leader(C, term=2, now=0.3), C) == first
    assert desk.leader(A, term=1, now=0.4) == []
    only(desk.leader(B, term=3, leading=True, now=0.5), ProposeCommand)


def test_an_order_without_a_leader_waits_for_one() -> None:
    desk = Desk(B)
    assert desk.submit() == []
    assert desk.leader(None, term=2, now=0.5) == []
    forwarded(desk.leader(A, term=2, now=1.5), A)


def test_without_a_quorum_the_client_is_told_after_five_seconds_when_to_come_back() -> None:
    never_sent, sent = Desk(B), Desk(B)
    sent.leader(A)
    never_sent.submit()
    sent.submit()
    assert not any(isinstance(effect, AnswerOrder) for effect in sent.tick(4.9))
    assert error_of(never_sent.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.REFUSED, True)
    assert error_of(sent.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.UNKNOWN, True)
    assert sent.desk.next_deadline() == float("inf")


def test_a_full_disk_is_answered_at_once() -> None:
    leader, other = Desk(A), Desk(B)
    leader.leader(A, leading=True)
    other.leader(A)
    forward = forwarded(other.submit(), A)
    leader.receive(B, forward)
    ended = leader.desk.handle(ProposalEnded(forward.key, unknown=False, storage_full=True), 0.1)
    not_taken = only(ended, Send)
    assert isinstance(not_taken, Send) and isinstance(not_taken.message, OrderNotTaken)
    assert error_of(other.receive(A, not_taken.message)) == (ErrorCode.STORAGE_FULL, Fate.REFUSED, True)


def test_after_an_earlier_attempt_a_full_disk_leaves_the_fate_unknown() -> None:
    desk = Desk(B)
    desk.leader(A)
    key = forwarded(desk.submit(), A).key
    desk.leader(C, term=2)
    effects = desk.receive(C, OrderNotTaken(key, ErrorCode.STORAGE_FULL))
    assert error_of(effects) == (ErrorCode.STORAGE_FULL, Fate.UNKNOWN, True)


def test_the_same_order_from_several_sides_is_proposed_once_and_all_are_answered() -> None:
    desk = Desk(A)
    desk.leader(A, leading=True)
    only(desk.submit(ticket="t1"), ProposeCommand)
    assert desk.submit(ticket="t2") == []
    key = f"{ORDER.order}/"
    forward = forwarded(_forwarding_desk().submit(), A)
    assert forward.key.startswith(key)
    assert desk.receive(B, forward) == []
    effects = desk.commit()
    assert [e.ticket for e in effects if isinstance(e, AnswerOrder)] == ["t1", "t2"]
    assert [e.to for e in effects if isinstance(e, Send)] == [B]


def test_one_id_with_two_commands_is_decided_for_both_apart() -> None:
    desk = Desk(A)
    desk.leader(A, leading=True)
    other = put_tenant("o1", tokens_per_s=5.0)
    desk.submit(ORDER, "t1")
    only(desk.submit(other, "t2"), ProposeCommand)
    assert answer(desk.commit(ORDER)).outcome is Outcome.ACCEPTED
    assert answer(desk.commit(other)).outcome is Outcome.CONFLICT


def test_a_promotion_with_the_rollout_id_of_another_node_is_the_same_order() -> None:
    desk = Desk(A)
    desk.leader(A, leading=True)
    desk.submit(promote("go", rollout="here"), "t1")
    assert desk.submit(promote("go", rollout="there"), "t2") == []
    assert len(desk.commit(promote("go", rollout="here"))) == 2


def test_a_dropped_proposal_is_proposed_again() -> None:
    desk = Desk(A)
    desk.leader(A, leading=True)
    proposed = only(desk.submit(), ProposeCommand)
    assert isinstance(proposed, ProposeCommand)
    assert desk.tick(1.0) == []
    assert desk.desk.handle(ProposalEnded(proposed.ticket, unknown=True), 1.2) == []
    assert only(desk.tick(2.0), ProposeCommand) == proposed


def test_a_follower_proposes_nothing_that_is_forwarded_to_it() -> None:
    desk = Desk(C)
    desk.leader(A)
    assert desk.receive(B, forwarded(_forwarding_desk().submit(), A)) == []


def test_a_forwarded_order_of_a_newer_program_is_not_taken() -> None:
    desk = Desk(A)
    desk.leader(A, leading=True)
    (sent,) = desk.receive(B, ForwardOrder("k", b"\x81\xa4type\xa3New"))
    assert sent == Send(B, OrderNotTaken("k", ErrorCode.INVALID_ORDER))


def test_orders_beyond_the_bounds_are_refused_at_once() -> None:
    desk = Desk(A, OrderDeskSettings(max_pending=1, max_command_bytes=200))
    decided = desk.log.run(put_tenant("o0"))
    desk.submit(ticket="t1")
    assert desk.submit(ticket="t2") == [], "a resend of what is under way waits with it"
    assert answer(desk.submit(put_tenant("o0"))) == decided
    assert error_of(desk.submit(put_tenant("o2")))[:2] == (ErrorCode.OVERLOADED, Fate.REFUSED)
    assert error_of(desk.submit(put_tenant("x" * 300)))[0] is ErrorCode.BODY_TOO_LARGE
    assert error_of(desk.submit(put_tenant("")))[0] is ErrorCode.INVALID_ORDER


def _forwarding_desk() -> Desk:
    desk = Desk(B)
    desk.leader(A)
    return desk


def test_an_order_that_another_node_had_proposed_here_is_not_called_refused() -> None:
    desk = Desk(A)
    desk.leader(A, leading=True)
    other = Desk(B)
    other.leader(A)
    only(desk.receive(B, forwarded(other.submit(), A)), ProposeCommand)
    assert desk.submit() == []
    assert error_of(desk.tick(5.0)) == (ErrorCode.NO_QUORUM, Fate.UNKNOWN, True)


def test_an_order_that_comes_between_election_and_first_commit_is_proposed_once_the_leader_leads() -> None:
    desk = Desk(A)
    desk.leader(A, term=2)
    order = ForwardOrder("key", encode_command(ORDER))
    assert desk.receive(B, order) == []
    assert desk.receive(B, order) == []

    proposed = only(desk.leader(A, term=2, leading=True), ProposeCommand)

    assert isinstance(proposed, ProposeCommand) and proposed.data == encode_command(ORDER)
    assert desk.leader(A, term=2, leading=True) == []


def test_an_order_that_waited_for_an_election_is_dropped_if_another_node_leads() -> None:
    desk = Desk(A)
    desk.leader(A, term=2)
    desk.receive(B, ForwardOrder("key", encode_command(ORDER)))

    assert desk.leader(C, term=3) == []
    assert desk.leader(A, term=4, leading=True) == []


def test_an_order_forwarded_to_a_node_that_nobody_elected_is_not_kept() -> None:
    desk = Desk(A)
    desk.leader(C, term=2)
    desk.receive(B, ForwardOrder("key", encode_command(ORDER)))

    assert desk.leader(A, term=3, leading=True) == []
