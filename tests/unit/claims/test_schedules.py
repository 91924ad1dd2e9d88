"""Message schedules that the rules of the claims protocol guard against.

Tests with ``rule_kept`` also run with the rule disabled, and then expect the violation, which shows that the
schedule exercises the rule.
"""

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
WITH_AND_WITHOUT_RULE = pytest.mark.parametrize("rule_kept", [True, False], ids=["rule kept", "rule broken"])


@pytest.fixture
def network() -> ClaimNetwork:
    """Synchronized holders a, b and c; nodes d and e are only claimants."""
    network = ClaimNetwork(nodes=(A, B, C))
    network.run(6.0)
    assert not network.in_flight
    return network


def deliver(network: ClaimNetwork, kind: type[PeerMessage], *, to: NodeId | None = None, of: str = "") -> int:
    """Deliver all messages of type ``kind`` in flight, if given only those to ``to`` about attempt ``of``.

    :returns: the number of messages delivered.
    """
    chosen = [entry for entry in network.in_flight if _matches(entry, kind, to, of)]
    for entry in chosen:
        network.deliver(network.in_flight.index(entry))
    return len(chosen)


def _matches(entry: tuple[NodeId, NodeId, PeerMessage], kind: type, to: NodeId | None, of: str) -> bool:
    _, receiver, message = entry
    attempt = getattr(message, "attempt", None)
    return (
        isinstance(message, kind) and to in (None, receiver) and (not of or (attempt and attempt.name == of))
    )


def drop(network: ClaimNetwork, kind: type[PeerMessage], to: NodeId) -> None:
    network.in_flight = [entry for entry in network.in_flight if not _matches(entry, kind, to, "")]


def pull_all(network: ClaimNetwork) -> None:
    while deliver(network, ClaimPull) + deliver(network, ClaimPage):
        pass


def test_two_grants_decide_and_the_response_is_stored_for_a_resend_at_another_node(
    network: ClaimNetwork,
) -> None:
    network.claim(D, "t1")
    network.run(0.1, without=(C,))
    assert network.verdict("t1") is GRANTED
    network.claim(E, "t2")
    network.run(0.1)
    assert network.verdict("t2") is RUNNING
    network.end("t1", answer=b"done")
    network.run()
    network.claim(E, "t3")
    network.run(0.1)
    assert network.decisions["t3"].verdict is FINISHED
    assert network.decisions["t3"].answer == b"done"


def test_key_of_an_undispatched_action_can_be_claimed_again(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.run(0.1)
    network.end("t1", ran=False)
    network.run()
    network.claim(E, "t2")
    network.run(0.1)
    assert network.verdict("t2") is GRANTED


def test_key_of_a_crashed_claimant_stays_claimed(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.run(0.1)
    network.restart(D)
    network.run(30.0)
    network.claim(D, "t2")
    network.run()
    assert network.verdict("t2") is RUNNING


def test_claim_without_two_holders_times_out_and_is_withdrawn(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.run(0.24, without=(B, C))
    assert network.verdict("t1") is None
    network.run(0.04, without=(B, C))
    assert network.verdict("t1") is UNAVAILABLE
    network.run(2.0)
    network.claim(E, "t2")
    network.run(0.1)
    assert network.verdict("t2") is GRANTED


def test_claim_before_the_first_ring_is_unavailable_immediately() -> None:
    network = ClaimNetwork(nodes=())
    network.claim(A, "t1")
    assert network.verdict("t1") is UNAVAILABLE


def test_claim_is_unavailable_without_waiting_if_two_holders_are_not_ready(network: ClaimNetwork) -> None:
    network.restart(A)
    network.restart(B)
    network.remove_all_in_flight()
    network.claim(D, "t1")
    deliver(network, ClaimRequest)
    deliver(network, ClaimReply)
    assert network.verdict("t1") is UNAVAILABLE


def test_request_that_arrives_after_its_withdrawal_is_not_granted(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    late = next(entry for entry in network.in_flight if entry[1] == A)
    network.in_flight.remove(late)
    network.run(0.5, without=(B, C))
    assert network.verdict("t1") is UNAVAILABLE
    network.in_flight = [late]
    network.run(0.1)
    assert network.coordinators[A].held_keys() == 0


def test_holders_restarted_one_by_one_restore_their_records_by_pulls(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.run(0.1)
    for holder in (A, B, C):
        network.restart(holder)
        network.run(6.0)
    network.claim(E, "t2")
    network.run()
    assert network.verdict("t2") is RUNNING


def test_holder_pulls_after_a_pause_before_it_grants(network: ClaimNetwork) -> None:
    network.paused = {C}
    network.advance(3.0)
    network.paused = set()
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=C)
    pulls = [
        to for sender, to, message in network.in_flight if sender == C and isinstance(message, ClaimPull)
    ]
    assert pulls == [A, B]
    assert network.coordinators[C].held_keys() == 0


def test_outcome_is_resent_until_every_holder_has_it(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    network.run(0.1)
    network.end("t1", answer=b"done")
    drop(network, ClaimSettle, to=A)
    network.run(1.0)
    deliver(network, ClaimSettleAck)
    assert network.coordinators[A]._holder.store.find("key").answer == b"done"


@WITH_AND_WITHOUT_RULE
def test_grant_lost_in_a_restart_does_not_count(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """a's grant of t1 is lost in a restart; b grants t1 only after a has pulled. a's grant must not count."""
    if not rule_kept:
        monkeypatch.setattr(Claim, "_consistent", lambda *_: True)
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=A)
    drop(network, ClaimRequest, to=C)
    network.restart(A)
    pull_all(network)
    deliver(network, ClaimRequest, to=B)
    deliver(network, ClaimReply, of="t1")
    network.claim(E, "t2")
    deliver(network, ClaimRequest, of="t2")
    deliver(network, ClaimReply, of="t2")
    assert network.verdict("t2") is GRANTED
    assert (network.verdict("t1") is not GRANTED) is rule_kept


@WITH_AND_WITHOUT_RULE
def test_attempt_learned_by_a_pull_is_not_granted(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """t1 is granted by a and b, t2 by c. a restarts and pulls both attempts, and must not grant t2."""
    if not rule_kept:
        monkeypatch.setattr(Holder, "merge", _merge_as_granted)
    network.claim(E, "t2")
    deliver(network, ClaimRequest, to=C)
    network.remove_all_in_flight()
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=A)
    deliver(network, ClaimRequest, to=B)
    drop(network, ClaimRequest, to=C)
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


def test_withdrawal_does_not_free_a_key_that_another_attempt_may_have(network: ClaimNetwork) -> None:
    """t1 is granted by a and b, t2 by c. a restarts and pulls both; t2 is withdrawn. t1 still has the key."""
    network.claim(E, "t2")
    deliver(network, ClaimRequest, to=C)
    network.remove_all_in_flight()
    network.claim(D, "t1")
    deliver(network, ClaimRequest, to=A)
    deliver(network, ClaimRequest, to=B)
    drop(network, ClaimRequest, to=C)
    deliver(network, ClaimReply, of="t1")
    assert network.verdict("t1") is GRANTED
    network.restart(A)
    pull_all(network)
    network.advance(0.3)
    assert deliver(network, ClaimSettle, of="t2") == 3
    network.claim(E, "t3")
    drop(network, ClaimRequest, to=B)
    deliver(network, ClaimRequest, of="t3")
    deliver(network, ClaimReply, of="t3")
    assert network.verdict("t3") is not GRANTED


def _merge_as_granted(holder: Holder, records: Iterable[ClaimRecord], now: float) -> None:
    for record in records:
        if holder.store.find(record.key) is None:
            holder.store.put(record, now)
            holder._granted[record.key] = record.attempts[0]


@WITH_AND_WITHOUT_RULE
def test_claim_under_a_former_ring_is_not_granted(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """c grants t1 under ring 1; ring 2 is a, b and d. a must not grant t1, which b and d don't know."""
    if not rule_kept:
        monkeypatch.setattr(HolderSpan, "agrees_with", lambda *_: True)
        monkeypatch.setattr(Claim, "_consistent", lambda *_: True)
    network.claim(E, "t1")
    deliver(network, ClaimRequest, to=C)
    drop(network, ClaimRequest, to=B)
    network.change_ring((A, B, D))
    for node in (A, B, D):
        network.dispatch(node, HoldersChanged(network.ring))
    pull_all(network)
    deliver(network, ClaimRequest, to=A)
    deliver(network, ClaimReply, of="t1")
    network.claim(B, "t2")
    deliver(network, ClaimRequest, of="t2", to=D)
    deliver(network, ClaimReply, of="t2")
    assert network.verdict("t2") is GRANTED
    assert (network.verdict("t1") is not GRANTED) is rule_kept
