"""Holders with disks: what outlives a restart of everything, a wiped disk, and a disk that doesn't answer."""

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
RESTART_BOUND_S = 2.0
RULE = pytest.mark.parametrize("rule_kept", [True, False], ids=["rule kept", "rule broken"])


@pytest.fixture
def network() -> ClaimNetwork:
    """Holders a, b, c with disks, in step after a tenth of a second; d and e only claim."""
    network = ClaimNetwork(nodes=(A, B, C), durable=True)
    network.settle_down(0.1)
    return network


def granted(network: ClaimNetwork, attempt: str, key: str = "key", without: tuple[NodeId, ...] = ()) -> bool:
    network.claim(D, attempt, key)
    network.settle_down(0.3, without=without)
    return network.verdict(attempt) is GRANTED


@RULE
def test_a_grant_is_answered_only_after_the_sync(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not rule_kept:
        network.coordinators[A]._holder._persistence = None
    network.claim(D, "t1")
    for sender, to, message in network.take_all():
        network.give(to, MessageReceived(sender, message))
    replies = [sender for sender, _, message in network.bag if isinstance(message, ClaimReply)]
    assert (replies == []) is rule_kept
    for holder in (A, B, C):
        network.sync(holder)
    assert {sender for sender, _, message in network.bag if isinstance(message, ClaimReply)} == {A, B, C}


def test_a_resend_after_a_power_cut_between_grant_and_dispatch_does_not_run(network: ClaimNetwork) -> None:
    assert granted(network, "t1")
    network.power_cut(NODES)
    network.settle_down(RESTART_BOUND_S)
    network.claim(E, "t2")
    network.settle_down(0.3)
    assert network.verdict("t2") is RUNNING
    assert granted(network, "t3", "another key")


def test_a_power_cut_before_the_sync_leaves_the_key_free(network: ClaimNetwork) -> None:
    network.claim(D, "t1")
    for sender, to, message in network.take_all():
        network.give(to, MessageReceived(sender, message))
    network.power_cut(NODES)
    network.settle_down(RESTART_BOUND_S)
    assert granted(network, "t2")
    assert network.verdict("t1") is None


@pytest.mark.parametrize("lost", [A, B, C])
@pytest.mark.parametrize("silent", [A, B, C])
def test_after_a_restart_of_everything_one_wiped_holder_learns_what_it_had(
    network: ClaimNetwork, lost: NodeId, silent: NodeId
) -> None:
    """t1 has two of three; whichever of them was wiped, the other still refuses the resend."""
    assert granted(network, "t1", without=(silent,))
    network.power_cut(NODES, wiped=(lost,))
    network.settle_down(RESTART_BOUND_S)
    assert not granted(network, "t2")
    assert granted(network, "t3", "another key")


@RULE
def test_a_wiped_holder_needs_both_others_however_long(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """a and b gave t1; a is wiped and b stays down: c doesn't know of t1, so a must not help it to grant."""
    if not rule_kept:
        monkeypatch.setattr(Synchronizer, "may_grant", _one_pulled_is_enough)
        monkeypatch.setattr(Synchronizer, "is_intact", lambda *_: True)
    assert granted(network, "t1", without=(C,))
    network.power_cut(NODES, wiped=(A,))
    network.settle_down(60.0, without=(B,))
    assert granted(network, "t2", without=(B,)) is not rule_kept


def _one_pulled_is_enough(synchronizer: Synchronizer, span: HolderSpan, _: float) -> bool:
    return any(synchronizer._pulled.get(holder, 0) >= span.since for holder in span.holders)


@RULE
def test_with_two_wiped_holders_claims_are_refused(
    network: ClaimNetwork, rule_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not rule_kept:
        monkeypatch.setattr(Synchronizer, "_accepts_incomplete_peers", lambda *_: True)
    assert granted(network, "t1", without=(C,))
    network.power_cut(NODES, wiped=(A, B))
    network.settle_down(60.0)
    assert granted(network, "t2") is not rule_kept
    assert granted(network, "t3", "another key") is not rule_kept


def test_after_a_restart_of_everything_two_intact_holders_are_enough(network: ClaimNetwork) -> None:
    assert granted(network, "t1", without=(C,))
    network.power_cut(NODES)
    network.settle_down(RESTART_BOUND_S, without=(C,))
    assert granted(network, "t2", "another key", without=(C,))
    assert not granted(network, "t3", without=(C,))


@RULE
@pytest.mark.parametrize("finished", [0, 40], ids=["from the beginning", "from its newest keys"])
def test_a_restarted_holder_grants_no_key_that_the_others_gave(
    network: ClaimNetwork, rule_kept: bool, finished: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not rule_kept:
        monkeypatch.setattr(Synchronizer, "may_grant", lambda *_: True)
    for number in range(finished):
        assert granted(network, f"f{number}", f"finished{number}")
        network.end(f"f{number}")
    network.settle_down(0.3)
    assert granted(network, "t1", without=(C,))
    network.power_cut((C,))
    network.settle_down(0.02, without=(D,))
    pages = [entry for entry in network.bag if isinstance(entry[2], ClaimPage)]
    network.bag = []
    network.claim(E, "t2")
    request = next(entry[2] for entry in network.bag if isinstance(entry[2], ClaimRequest))
    network.give(C, MessageReceived(E, request))
    network.sync(C)
    replies = [each.status for _, to, each in network.bag if to == E and isinstance(each, ClaimReply)]
    assert (GRANTED.name not in [status.name for status in replies]) is rule_kept
    assert sum(len(page.records) for _, _, page in pages if isinstance(page, ClaimPage)) <= 2 * 34
    if rule_kept:
        network.bag = pages
        network.settle_down(1.0)
        assert network.coordinators[C]._holder.store.find("key") is not None
        assert network.coordinators[C]._synchronizer.may_grant(
            network.coordinators[C]._rings.span("key"), network.now
        )


def test_the_claimant_goes_on_without_a_stalled_disk(network: ClaimNetwork) -> None:
    network.disks[A].stalled = True
    assert granted(network, "t1")
    network.settle_down(1.5)
    assert "claims_disk_stalled" in network.log_names
    assert granted(network, "t2", "second")
    assert network.coordinators[A]._holder.store.find("second") is None
    network.disks[A].stalled = False
    network.settle_down(0.5)
    assert "claims_disk_resumed" in network.log_names
    assert granted(network, "t3", "third", without=(B,))


@pytest.mark.parametrize("full", [True, False])
def test_a_full_disk_is_tried_again_and_a_failed_one_never(network: ClaimNetwork, full: bool) -> None:
    network.disks[A].stalled = True
    assert granted(network, "t1")
    network.fail_disk(A, full)
    network.disks[A].stalled = False
    network.settle_down(0.2)
    assert network.log_names[-1] == ("claims_disk_full" if full else "claims_disk_failed")
    assert granted(network, "t2", "second")
    network.settle_down(ClaimSettings().disk_retry_s)
    assert granted(network, "t3", "third", without=(B,)) is full


def test_a_wiped_holder_is_whole_again_after_it_pulled(network: ClaimNetwork) -> None:
    """Wiped one after the other, with time to pull between them, the holders lose nothing."""
    assert granted(network, "t1")
    for holder in (A, B, C):
        network.power_cut((holder,), wiped=(holder,))
        network.settle_down(RESTART_BOUND_S)
    network.power_cut(NODES)
    network.settle_down(RESTART_BOUND_S)
    assert not granted(network, "t2")
    assert granted(network, "t3", "another key")


def test_a_holder_that_was_out_of_the_ring_is_not_whole_before_it_pulled(network: ClaimNetwork) -> None:
    for members in ((B, C), (A, B, C)):
        network.change_ring(members)
        for holder in (A, B, C):
            network.give(holder, HoldersChanged(network.ring))
        if A not in members:
            network.settle_down(0.1)
    assert not network.coordinators[A].is_synchronized(network.now)
    assert network.coordinators[B].is_synchronized(network.now)
    network.settle_down(0.1)
    assert network.coordinators[A].is_synchronized(network.now)


def test_a_journal_that_can_not_keep_up_ends() -> None:
    persistence = ClaimPersistence(ClaimSettings(max_entries=2))
    entries = ClaimNetwork(durable=True).disks[A].writing
    assert entries is not None
    for _ in range(3):
        persistence.write(entries.records[0])
    assert not persistence.is_usable()
    assert [type(effect).__name__ for effect in persistence.flush(0.0)] == ["LogLine"]
