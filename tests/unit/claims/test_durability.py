"""Holders with disks: claims after a restart of all nodes, with wiped disks, and with unresponsive disks."""

from __future__ import annotations

import pytest

from springmux.coordination.claims.decision import ClaimVerdict
from springmux.coordination.claims.events import ClaimSettings, HoldersChanged
from springmux.coordination.claims.messages import ClaimPage, ClaimReply, ClaimRequest
from springmux.coordination.claims.persistence import ClaimPersistence
from springmux.coordination.claims.ring import HolderSpan
from springmux.coordination.claims.synchronization import Synchronizer
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import MessageReceived
from unit.claims.network import NODES, ClaimNetwork

A, B, C, D, E = NODES
GRANTED, RUNNING, UNAVAILABLE = ClaimVerdict.GRANTED, ClaimVerdict.RUNNING, ClaimVerdict.UNAVAILABLE
RESTART_LIMIT_S = 2.0
WITH_AND_WITHOUT_RULE = pytest.mark.parametrize("rule_kept", [True, False], ids=["rule kept", "rule broken"])


@pytest.fixture
def network() -> ClaimNetwork:
    """Holders a, b and c with disks, synchronized after 0.1 s; nodes d and e are only claimants."""
    network = ClaimNetwork(nodes=(A, B, C), durable=True)
    network.run(0.1)
    return network


def is_granted(
    network: ClaimNetwork, attempt: str, key: str = "key", without: tuple[NodeId, ...] = ()
) -> bool:
    network.claim(D, attempt, key)
    network.run(0.3, without=without)
    return network.verdict(attempt) is GRANTED


@WITH_AND_WITHOUT_RULE
def test_grant_is_sent_only_after_the_sync(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not rule_kept:
        network.coordinators[A]._holder._persistence = None
    network.claim(D, "t1")
    for sender, to, message in network.remove_all_in_flight():
        network.dispatch(to, MessageReceived(sender, message))
    replies = [sender for sender, _, message in network.in_flight if isinstance(message, ClaimReply)]
    assert (replies == []) is rule_kept
    for holder in (A, B, C):
        network.sync(holder)
    assert {sender for sender, _, message in network.in_flight if isinstance(message, ClaimReply)} == {
        A,
        B,
        C,
    }


def test_resend_after_a_power_cut_between_grant_and_dispatch_does_not_run(network: ClaimNetwork) -> None:
    assert is_granted(network, "t1")
    network.power_cut(NODES)
    network.run(RESTART_LIMIT_S)
    network.claim(E, "t2")
    network.run(0.3)
    assert network.verdict("t2") is RUNNING
    assert is_granted(network, "t3", "another key")


def test_power_cut_before_the_sync_leaves_the_key_free(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    for sender, to, message in network.remove_all_in_flight():
        network.dispatch(to, MessageReceived(sender, message))
    network.power_cut(NODES)
    network.run(RESTART_LIMIT_S)
    assert is_granted(network, "t2")
    assert network.verdict("t1") is None


@pytest.mark.parametrize("wiped_holder", [A, B, C])
@pytest.mark.parametrize("unreachable", [A, B, C])
def test_wiped_holder_restores_its_records_after_a_restart_of_all_nodes(
    network: ClaimNetwork, wiped_holder: NodeId, unreachable: NodeId
) -> None:
    """t1 has two grants of three. If one of these holders is wiped, the other still rejects the resend."""
    assert is_granted(network, "t1", without=(unreachable,))
    network.power_cut(NODES, wiped=(wiped_holder,))
    network.run(RESTART_LIMIT_S)
    assert not is_granted(network, "t2")
    assert is_granted(network, "t3", "another key")


@WITH_AND_WITHOUT_RULE
def test_wiped_holder_grants_only_after_it_pulled_both_others(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """a and b grant t1; a is wiped and b stays down. c doesn't know t1, so a must not grant t2."""
    if not rule_kept:
        monkeypatch.setattr(Synchronizer, "may_grant", _one_pulled_is_enough)
        monkeypatch.setattr(Synchronizer, "is_intact", lambda *_: True)
    assert is_granted(network, "t1", without=(C,))
    network.power_cut(NODES, wiped=(A,))
    network.run(60.0, without=(B,))
    assert is_granted(network, "t2", without=(B,)) is not rule_kept


def _one_pulled_is_enough(synchronizer: Synchronizer, span: HolderSpan, _: float) -> bool:
    return any(synchronizer._pulled.get(holder, 0) >= span.since for holder in span.holders)


@WITH_AND_WITHOUT_RULE
def test_claims_are_rejected_with_two_wiped_holders(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not rule_kept:
        monkeypatch.setattr(Synchronizer, "_accepts_incomplete_peers", lambda *_: True)
    assert is_granted(network, "t1", without=(C,))
    network.power_cut(NODES, wiped=(A, B))
    network.run(60.0)
    assert is_granted(network, "t2") is not rule_kept
    assert is_granted(network, "t3", "another key") is not rule_kept


def test_two_intact_holders_are_enough_after_a_restart_of_all_nodes(network: ClaimNetwork) -> None:
    assert is_granted(network, "t1", without=(C,))
    network.power_cut(NODES)
    network.run(RESTART_LIMIT_S, without=(C,))
    assert is_granted(network, "t2", "another key", without=(C,))
    assert not is_granted(network, "t3", without=(C,))


@WITH_AND_WITHOUT_RULE
@pytest.mark.parametrize("finished", [0, 40], ids=["from the beginning", "from its newest keys"])
def test_restarted_holder_grants_no_key_that_the_others_granted(
    network: ClaimNetwork, rule_kept: bool, finished: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not rule_kept:
        monkeypatch.setattr(Synchronizer, "may_grant", lambda *_: True)
    for number in range(finished):
        assert is_granted(network, f"f{number}", f"finished{number}")
        network.end(f"f{number}")
    network.run(0.3)
    assert is_granted(network, "t1", without=(C,))
    network.power_cut((C,))
    network.run(0.02, without=(D,))
    pages = [entry for entry in network.in_flight if isinstance(entry[2], ClaimPage)]
    network.in_flight = []
    network.claim(E, "t2")
    request = next(entry[2] for entry in network.in_flight if isinstance(entry[2], ClaimRequest))
    network.dispatch(C, MessageReceived(E, request))
    network.sync(C)
    replies = [each.status for _, to, each in network.in_flight if to == E and isinstance(each, ClaimReply)]
    assert (GRANTED.name not in [status.name for status in replies]) is rule_kept
    assert sum(len(page.records) for _, _, page in pages if isinstance(page, ClaimPage)) <= 2 * 34
    if rule_kept:
        network.in_flight = pages
        network.run(1.0)
        assert network.coordinators[C]._holder.store.find("key") is not None
        assert network.coordinators[C]._synchronizer.may_grant(
            network.coordinators[C]._rings.span("key"), network.now
        )


def test_claimant_proceeds_without_a_holder_with_a_stalled_disk(network: ClaimNetwork) -> None:
    network.disks[A].stalled = True
    assert is_granted(network, "t1")
    network.run(1.5)
    assert "claims_disk_stalled" in network.log_names
    assert is_granted(network, "t2", "second")
    assert network.coordinators[A]._holder.store.find("second") is None
    network.disks[A].stalled = False
    network.run(0.5)
    assert "claims_disk_resumed" in network.log_names
    assert is_granted(network, "t3", "third", without=(B,))


@pytest.mark.parametrize("full", [True, False])
def test_full_disk_is_retried_and_a_failed_one_is_not(network: ClaimNetwork, full: bool) -> None:
    network.disks[A].stalled = True
    assert is_granted(network, "t1")
    network.fail_disk(A, full)
    network.disks[A].stalled = False
    network.run(0.2)
    assert network.log_names[-1] == ("claims_disk_full" if full else "claims_disk_failed")
    assert is_granted(network, "t2", "second")
    network.run(ClaimSettings().disk_retry_s)
    assert is_granted(network, "t3", "third", without=(B,)) is full


def test_wiped_holder_has_complete_records_after_it_pulled(network: ClaimNetwork) -> None:
    """Holders that are wiped one after another, with time to pull in between, lose no claims."""
    assert is_granted(network, "t1")
    for holder in (A, B, C):
        network.power_cut((holder,), wiped=(holder,))
        network.run(RESTART_LIMIT_S)
    network.power_cut(NODES)
    network.run(RESTART_LIMIT_S)
    assert not is_granted(network, "t2")
    assert is_granted(network, "t3", "another key")


def test_holder_that_rejoins_the_ring_is_not_synchronized_before_it_pulled(network: ClaimNetwork) -> None:
    for members in ((B, C), (A, B, C)):
        network.change_ring(members)
        for holder in (A, B, C):
            network.dispatch(holder, HoldersChanged(network.ring))
        if A not in members:
            network.run(0.1)
    assert not network.coordinators[A].is_synchronized(network.now)
    assert network.coordinators[B].is_synchronized(network.now)
    network.run(0.1)
    assert network.coordinators[A].is_synchronized(network.now)


def test_journal_ends_when_too_many_entries_wait() -> None:
    persistence = ClaimPersistence(ClaimSettings(max_entries=2))
    entries = ClaimNetwork(durable=True).disks[A].writing
    assert entries is not None
    for _ in range(3):
        persistence.write(entries.records[0])
    assert not persistence.is_usable()
    assert [type(effect).__name__ for effect in persistence.flush(0.0)] == ["LogLine"]
