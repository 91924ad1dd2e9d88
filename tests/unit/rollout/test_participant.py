"""A node's contributions to the token: none is lost or counted twice if tokens are lost or outdated."""

from __future__ import annotations

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.rollout.participant import Participant, TokenVisit
from springmux.rollout.plan import RolloutDecision, RolloutPhase
from springmux.rollout.token import (
    Account,
    RolloutEntry,
    merge_accounts,
    recover_accounts,
    total_accounts,
)
from springmux.rollout.version_filter import LEASE_S, ServiceGate
from springmux.vocabulary.names import EngineId, RouteName
from tests.unit.rollout.virtual_fleet import CANDIDATE, SERVICE, STABLE, record_of

ZONE = ZoneName("z")


def participant(name: str, seed: int) -> Participant:
    return Participant(NodeId(name), ZONE, record_of(), ServiceGate(STABLE), random.Random(seed), 0.0)


def entry(**changes: object) -> RolloutEntry:
    record = record_of()
    first = RolloutEntry(
        service=SERVICE,
        rollout=record.rollout,
        stable=STABLE,
        candidate=CANDIDATE,
        phase=record.phase,
        weight=record.weight,
        elapsed_s=0.0,
        zone_weights_bp=(10_000,),
    )
    return msgspec.structs.replace(first, **changes)


def visit(term: int = 1, ring: int = 0, now: float = 1.0) -> TokenVisit:
    return TokenVisit(ring, term, [ZONE], 0, now)


def answer(node: Participant, version: str = STABLE, ending: Ending = Ending.WHOLE) -> None:
    outcome = PromptOutcome(
        SERVICE,
        version,
        EngineId("e"),
        RouteName("r"),
        ending,
        100,
        0.5,
        0.1,
        0.01,
        5,  # type: ignore[arg-type]
    )
    assert node.gate.evidence is not None
    node.gate.evidence.record(outcome, 1.0)
    node.gate.prompts += 1


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.sampled_from(["answer", "round", "lost round", "old copy", "new term"]), max_size=40))
def test_evidence_counts_each_answer_once_under_loss_and_reissue(steps: list[str]) -> None:
    nodes = [participant("a", 1), participant("b", 2)]
    current, previous, term, answers = entry(), entry(), 1, 0
    for step in [*steps, "round"]:
        if step == "answer":
            answer(nodes[answers % 2])
            answers += 1
            continue
        if step == "new term":
            term += 1
        token = previous if step == "old copy" else current
        for node in nodes:
            token = node.contribute(token, visit(term))
        if step != "lost round":
            previous, current = current, token
    assert current.evidence.stable_total == answers
    assert total_accounts(current.accounts).prompts == answers


def test_a_restarted_node_opens_a_new_account_and_the_old_one_stays_counted() -> None:
    before = participant("a", 1)
    token = before.contribute(entry(), visit())
    writer = token.accounts[0].writer
    granted = msgspec.structs.replace(token.accounts[0], granted=7)
    token = participant("a", 2).contribute(entry(accounts=(granted,)), visit())
    assert {account.writer for account in token.accounts} > {writer}
    assert total_accounts(token.accounts).committed == 7


def test_a_node_that_changes_its_ring_counts_nothing_twice() -> None:
    node = participant("a", 1)
    answer(node)
    old_ring = node.contribute(entry(), visit(ring=5))
    answer(node)
    new_ring = node.contribute(entry(), visit(ring=6))
    assert old_ring.evidence.stable_total + new_ring.evidence.stable_total == 2
    prompts = [total_accounts(ring.accounts).prompts for ring in (old_ring, new_ring)]
    assert sum(prompts) <= 2


def test_a_node_detects_a_foreign_account_with_its_writer_number() -> None:
    node = participant("a", 1)
    writer = node.contribute(entry(), visit()).accounts[0].writer
    foreign = Account(writer, 0, prompts=100, visits=50, granted=9)
    token = node.contribute(entry(accounts=(foreign,)), visit())
    assert foreign in token.accounts
    assert len(token.accounts) == 2
    assert node.gate.available == 0


def test_bad_evidence_sets_the_abort_flag_of_the_token_which_is_never_cleared() -> None:
    node = participant("a", 1)
    for _ in range(40):
        answer(node)
        answer(node, CANDIDATE, Ending.ERROR_STATUS)
    token = node.contribute(entry(), visit())
    assert token.aborted
    assert token.decision is not None
    assert token.decision.decided_by == "a"
    unaware = node.contribute(entry(), visit(now=1.5))
    assert unaware.aborted
    assert node.gate.choose(1, 1.5).versions == (STABLE,)


def test_a_node_stops_sending_when_another_node_set_the_abort_flag() -> None:
    node = participant("a", 1)
    token = node.contribute(entry(), visit(now=0.7))
    decision = RolloutDecision("b", "errors")
    node.contribute(msgspec.structs.replace(token, aborted=True, decision=decision), visit())
    node.gate.accept_granted(5)
    assert node.gate.choose(1, 1.0).versions == (STABLE,)


def test_pause_stops_sending_and_the_clock_and_resume_restarts_the_clock() -> None:
    node = participant("a", 1)
    token = node.contribute(entry(elapsed_s=9.7), visit(now=0.7))
    token = node.contribute(msgspec.structs.replace(token, elapsed_s=10.0), visit())
    node.gate.accept_granted(5)
    assert node.gate.choose(1, 1.1).candidate
    node.update_record(record_of(phase=RolloutPhase.PAUSED), 2.0)
    assert not node.gate.choose(1, 2.0).candidate
    node.contribute(msgspec.structs.replace(token, elapsed_s=11.0), visit(now=3.0))
    node.gate.accept_granted(10)
    assert not node.gate.choose(1, 3.0).candidate
    assert node.clock.read(50.0) == 11.0
    node.update_record(record_of(), 60.0)
    assert node.clock.read(61.0) == 12.0


def test_merged_copies_have_the_maximum_and_recovered_accounts_lack_evidence() -> None:
    first = Account(1, 0, prompts=5, visits=3, granted=2, spent=1)
    second = Account(1, 0, prompts=4, visits=9, granted=6)
    assert merge_accounts(first, second) == Account(1, 0, prompts=5, visits=3, granted=6, spent=1)
    last_entry = entry(accounts=(second, Account(2, 0, prompts=8, visits=4)), aborted=True)
    recovered, zones = recover_accounts(entry(accounts=(first,)), last_entry, (ZoneName("y"),), (ZONE,))
    assert recovered.account(2) == Account(2, 1, prompts=8, visits=0)
    assert zones == ("y", "z")
    assert recovered.aborted


def test_a_token_held_back_by_a_frozen_node_renews_no_lease() -> None:
    node = participant("a", 1)
    first = node.contribute(entry(), visit(now=1.0))
    assert node.gate.lease_until < 1.0, "no token has confirmed a visit of this node yet"
    held_back = node.contribute(first, visit(now=9.0))
    assert node.gate.lease_until < 9.0
    node.contribute(held_back, visit(now=9.35))
    assert node.gate.lease_until == 9.35 + LEASE_S


def test_a_new_leaders_token_does_not_set_the_clock_back() -> None:
    node = participant("a", 1)
    node.contribute(entry(elapsed_s=30.0), visit(term=1, now=1.0))
    token = node.contribute(entry(elapsed_s=28.0), visit(term=2, now=2.5))
    assert token.elapsed_s == 31.5
    assert token.known_before_term
    assert node.contribute(entry(elapsed_s=29.0), visit(term=2, now=3.0)).elapsed_s == 29.0
    after_long_absence = node.contribute(entry(elapsed_s=30.0), visit(term=3, now=90.0))
    assert after_long_absence.elapsed_s == 30.0, "the node may have missed a pause"
