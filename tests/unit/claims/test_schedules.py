"""The schedules that each rule is there for. Every one is run again with the rule broken, to see it fail."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from springmux.coordination.claims.claimant import Claim
from springmux.coordination.claims.decision import ClaimVerdict
from springmux.coordination.claims.events import HoldersChanged
from springmux.coordination.claims.holder import Holder
from springmux.coordination.claims.messages import (
    ClaimPage,
    ClaimPull,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimSettleAck,
)
from springmux.coordination.claims.ring import HolderSpan
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import PeerMessage
from unit.claims.network import NODES, ClaimNetwork

A, B, C, D, E = NODES
GRANTED, RUNNING, FINISHED, UNAVAILABLE = (
    ClaimVerdict.GRANTED,
    ClaimVerdict.RUNNING,
    ClaimVerdict.FINISHED,
    ClaimVerdict.UNAVAILABLE,
)
INTACT_BROKEN = pytest.mark.parametrize("rule_kept", [True, False], ids=["rule kept", "rule broken"])


@pytest.fixture
def network() -> ClaimNetwork:
    """Holders a, b, c in step; d and e only claim."""
    network = ClaimNetwork(nodes=(A, B, C))
    network.settle_down(6.0)
    assert not network.bag
    return network


def deliver(network: ClaimNetwork, kind: type[PeerMessage], *, to: NodeId | None = None, of: str = "") -> int:
    """Deliver all present messages of one kind, to one node and about one attempt where given."""
    chosen = [entry for entry in network.bag if _matches(entry, kind, to, of)]
    for entry in chosen:
        network.deliver(network.bag.index(entry))
    return len(chosen)


def _matches(entry: tuple[NodeId, NodeId, PeerMessage], kind: type, to: NodeId | None, of: str) -> bool:
    _, receiver, message = entry
    attempt = getattr(message, "attempt", None)
    return (
        isinstance(message, kind) and to in (None, receiver) and (not of or (attempt and attempt.name == of))
    )


def lose(network: ClaimNetwork, kind: type[PeerMessage], to: NodeId) -> None:
    network.bag = [entry for entry in network.bag if not _matches(entry, kind, to, "")]


def pull_all(network: ClaimNetwork) -> None:
    while deliver(network, ClaimPull) + deliver(network, ClaimPage):
        pass


def test_two_grants_decide_and_the_answer_is_kept_for_a_resend_elsewhere(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.settle_down(0.1, without=(C,))
    assert network.verdict("t1") is GRANTED
    network.claim(E, "t2")
    network.settle_down(0.1)
    assert network.verdict("t2") is RUNNING
    network.end("t1", answer=b"done")
    network.settle_down()
    network.claim(E, "t3")
    network.settle_down(0.1)
    assert network.decisions["t3"].verdict is FINISHED
    assert network.decisions["t3"].answer == b"done"


def test_an_action_never_dispatched_is_free_for_another(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.settle_down(0.1)
    network.end("t1", ran=False)
    network.settle_down()
    network.claim(E, "t2")
    network.settle_down(0.1)
    assert network.verdict("t2") is GRANTED


def test_a_claimant_that_died_burns_the_key(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.settle_down(0.1)
    network.restart(D)
    network.settle_down(30.0)
    network.claim(D, "t2")
    network.settle_down()
    assert network.verdict("t2") is RUNNING


def test_without_two_holders_it_is_refused_in_time_and_withdrawn(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.settle_down(0.24, without=(B, C))
    assert network.verdict("t1") is None
    network.settle_down(0.04, without=(B, C))
    assert network.verdict("t1") is UNAVAILABLE
    network.settle_down(2.0)
    network.claim(E, "t2")
    network.settle_down(0.1)
    assert network.verdict("t2") is GRANTED


def test_before_a_ring_is_known_the_refusal_is_immediate() -> None:
    network = ClaimNetwork(nodes=())
    network.claim(A, "t1")
    assert network.verdict("t1") is UNAVAILABLE


def test_two_holders_not_ready_are_refused_without_waiting(network: ClaimNetwork) -> None:
    network.restart(A)
    network.restart(B)
    network.take_all()
    network.claim(D, "t1")
    deliver(network, ClaimRequest)
    deliver(network, ClaimReply)
    assert network.verdict("t1") is UNAVAILABLE


def test_a_claim_that_comes_after_its_withdrawal_is_not_granted(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    late = next(entry for entry in network.bag if entry[1] == A)
    network.bag.remove(late)
    network.settle_down(0.5, without=(B, C))
    assert network.verdict("t1") is UNAVAILABLE
    network.bag = [late]
    network.settle_down(0.1)
    assert network.coordinators[A].held_keys() == 0


def test_holders_that_forgot_learn_from_the_third(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.settle_down(0.1)
    for holder in (A, B, C):
        network.restart(holder)
        network.settle_down(6.0)
    network.claim(E, "t2")
    network.settle_down()
    assert network.verdict("t2") is RUNNING


def test_a_thawed_holder_pulls_before_it_grants(network: ClaimNetwork) -> None:
    network.frozen = {C}
    network.advance(3.0)
    network.frozen = set()
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=C)
    pulls = [to for sender, to, message in network.bag if sender == C and isinstance(message, ClaimPull)]
    assert pulls == [A, B]
    assert network.coordinators[C].held_keys() == 0


def test_the_outcome_is_resent_until_every_holder_has_it(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.settle_down(0.1)
    network.end("t1", answer=b"done")
    lose(network, ClaimSettle, to=A)
    network.settle_down(1.0)
    deliver(network, ClaimSettleAck)
    assert network.coordinators[A]._holder.store.find("key").answer == b"done"


@INTACT_BROKEN
def test_a_grant_forgotten_in_flight_does_not_count(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """a grants t1 and forgets it; b grants t1 only after a has pulled: a's grant must not count."""
    if not rule_kept:
        monkeypatch.setattr(Claim, "_consistent", lambda *_: True)
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=A)
    lose(network, ClaimRequest, to=C)
    network.restart(A)
    pull_all(network)
    deliver(network, ClaimRequest, to=B)
    deliver(network, ClaimReply, of="t1")
    network.claim(E, "t2")
    deliver(network, ClaimRequest, of="t2")
    deliver(network, ClaimReply, of="t2")
    assert network.verdict("t2") is GRANTED
    assert (network.verdict("t1") is not GRANTED) is rule_kept


@INTACT_BROKEN
def test_an_inherited_attempt_is_not_granted_again(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """t1 has a and b, t2 has c. a forgets and pulls: it must grant t2 no more than any other."""
    if not rule_kept:
        monkeypatch.setattr(Holder, "merge", _merge_as_granted)
    network.claim(E, "t2")
    deliver(network, ClaimRequest, to=C)
    network.take_all()
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=A)
    deliver(network, ClaimRequest, to=B)
    lose(network, ClaimRequest, to=C)
    deliver(network, ClaimReply, of="t1")
    assert network.verdict("t1") is GRANTED
    network.restart(A)
    deliver(network, ClaimPull, to=C)
    pull_all(network)
    network.advance(0.1)
    deliver(network, ClaimRequest, to=A, of="t2")
    deliver(network, ClaimRequest, to=C, of="t2")
    deliver(network, ClaimReply, of="t2")
    assert (network.verdict("t2") is not GRANTED) is rule_kept


def test_a_withdrawn_attempt_does_not_free_a_key_that_another_may_have(network: ClaimNetwork) -> None:
    """t1 has a and b, t2 has c; a forgets, pulls both and sees t2 withdrawn: t1 still has the key."""
    network.claim(E, "t2")
    deliver(network, ClaimRequest, to=C)
    network.take_all()
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=A)
    deliver(network, ClaimRequest, to=B)
    lose(network, ClaimRequest, to=C)
    deliver(network, ClaimReply, of="t1")
    assert network.verdict("t1") is GRANTED
    network.restart(A)
    pull_all(network)
    network.advance(0.3)
    assert deliver(network, ClaimSettle, of="t2") == 3
    network.claim(E, "t3")
    lose(network, ClaimRequest, to=B)
    deliver(network, ClaimRequest, of="t3")
    deliver(network, ClaimReply, of="t3")
    assert network.verdict("t3") is not GRANTED


def _merge_as_granted(holder: Holder, records: Iterable[ClaimRecord], now: float) -> None:
    for record in records:
        if holder.store.find(record.key) is None:
            holder.store.put(record, now)
            holder._granted[record.key] = record.attempts[0]


@INTACT_BROKEN
def test_a_claim_of_a_former_ring_is_not_granted(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """c grants t1 under ring 1; ring 2 is a, b, d. a must not grant t1, since b and d don't know of it."""
    if not rule_kept:
        monkeypatch.setattr(HolderSpan, "agrees_with", lambda *_: True)
        monkeypatch.setattr(Claim, "_consistent", lambda *_: True)
    network.claim(E, "t1")
    deliver(network, ClaimRequest, to=C)
    lose(network, ClaimRequest, to=B)
    network.change_ring((A, B, D))
    for node in (A, B, D):
        network.give(node, HoldersChanged(network.ring))
    pull_all(network)
    deliver(network, ClaimRequest, to=A)
    deliver(network, ClaimReply, of="t1")
    network.claim(B, "t2")
    deliver(network, ClaimRequest, of="t2", to=D)
    deliver(network, ClaimReply, of="t2")
    assert network.verdict("t2") is GRANTED
    assert (network.verdict("t1") is not GRANTED) is rule_kept
