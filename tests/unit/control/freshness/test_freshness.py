"""A node relies on its keys only while it can prove that they were the newest a moment ago."""

from __future__ import annotations

import random

import msgspec
import pytest

from springmux.control.delivery.events import MembershipChanged
from springmux.control.events import LeadershipKnown
from springmux.control.freshness import freshness_monitor as part_module
from springmux.control.freshness.events import ProofRequested
from springmux.control.freshness.freshness_monitor import FreshnessMonitor
from springmux.control.freshness.messages import FreshnessReply, FreshnessRequest
from springmux.control.freshness.settings import MIN_LEASE_S, FreshnessSettings, lease_for
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from tests.unit.control.freshness.world import REVOCATION_S, FleetNode, FreshnessWorld


def _settled(seed: int = 1) -> FreshnessWorld:
    world = FreshnessWorld(seed)
    world.run(3.0)
    return world


def _current(world: FreshnessWorld, name: str) -> bool:
    node = world.nodes[NodeId(name)]
    return node.part.is_current(world.now + node.clock_offset_s)


def test_every_node_of_a_calm_fleet_has_a_proof() -> None:
    """Given a leader with a quorum, after three seconds every node may rely on its state, and goes on to."""
    world = _settled()
    assert all(_current(world, name) for name in world.nodes)
    world.refused = 0
    world.run(20.0)
    assert world.refused == 0
    assert not world.stale


def test_without_the_promise_nothing_is_asked_and_all_is_current() -> None:
    """Given no lease, the part sends nothing by itself and every state is good."""
    part = FreshnessMonitor(
        NodeId("n"),
        random.Random(1),
        FreshnessSettings(),
        lambda: Revision(0),
        lambda: (LogIndex(0), Revision(0)),
    )
    assert part.handle(Tick(), 5.0) == []
    assert part.next_deadline() == float("inf")
    assert part.is_current(1e9)


def test_a_node_that_is_cut_off_stops_in_time_and_goes_on_when_it_is_back() -> None:
    """Given a cut, the node relies on its keys for a while, not beyond the promise, and again after it."""
    world = _settled()
    world.nodes[NodeId("n0")].cut = True
    world.run(1.0)
    assert _current(world, "n0")
    world.run(REVOCATION_S - 1.0)
    assert not _current(world, "n0")
    assert _current(world, "n1")
    world.nodes[NodeId("n0")].cut = False
    world.run(2.0)
    assert _current(world, "n0")


def test_a_frozen_node_wakes_with_an_old_lease() -> None:
    """Given a freeze of ten seconds, the node is not current at the moment when it wakes."""
    world = _settled()
    node = world.nodes[NodeId("n0")]
    node.frozen = True
    world.run(10.0)
    world.wake(node)
    assert not _current(world, "n0")


def test_a_restarted_node_asks_before_it_relies_on_its_keys() -> None:
    """Given a restart, the state is there at once, the proof only after an answer."""
    world = _settled()
    node = world.nodes[NodeId("n0")]
    node.restart(world.view_of(node))
    assert not _current(world, "n0")
    world.run(2.0)
    assert _current(world, "n0")


def test_a_proof_of_a_newer_state_counts_once_that_state_is_in_force() -> None:
    """Given an answer that names revision 7 at a node with 6, the node isn't current until it has 7."""
    node = FleetNode("n0", False, 1, 0.0)
    world = FreshnessWorld(1)
    node.part.handle(_members(world, node), 0.0)
    (asked,) = node.part.handle(Tick(), 10.0)
    assert isinstance(asked, Send) and isinstance(asked.message, FreshnessRequest)
    node.revision = Revision(6)
    reply = FreshnessReply(asked.message.request, 100, Revision(7))
    node.part.handle(MessageReceived(asked.to, reply), 10.2)
    assert not node.part.is_current(10.3)
    node.revision = Revision(7)
    assert node.part.is_current(10.3)


def test_a_proof_is_dated_from_the_question_not_from_the_answer() -> None:
    """Given an answer that was three seconds on its way, the lease began three seconds ago."""
    node = FleetNode("n0", False, 1, 0.0)
    world = FreshnessWorld(1)
    node.part.handle(_members(world, node), 0.0)
    (asked,) = node.part.handle(Tick(), 10.0)
    assert isinstance(asked, Send) and isinstance(asked.message, FreshnessRequest)
    reply = FreshnessReply(asked.message.request, 500, Revision(0))
    node.part.handle(MessageReceived(asked.to, reply), 13.0)
    lease_s = lease_for(REVOCATION_S).lease_s
    assert node.part.is_current(9.5 + lease_s - 0.01)
    assert not node.part.is_current(9.5 + lease_s)


def test_an_answer_to_nobodys_question_is_no_proof() -> None:
    """Given an answer to a question of an earlier life, nothing is proven."""
    node = FleetNode("n0", False, 1, 0.0)
    node.part.handle(MessageReceived(NodeId("c0"), FreshnessReply(12345, 0, Revision(0))), 10.0)
    assert not node.part.is_current(10.0)


@pytest.mark.parametrize("allowed_s", [0.0, 0.5, 5.0, 39.28])
def test_a_lease_is_shorter_than_what_is_allowed_unless_that_is_impossible(allowed_s: float) -> None:
    lease_s = lease_for(allowed_s).lease_s
    assert lease_s == MIN_LEASE_S or lease_s < allowed_s


def test_a_proof_that_is_wanted_is_asked_of_the_leader_at_once() -> None:
    """Given no lease and somebody who waits, the leader is asked, and its answer is the proof."""
    node = FleetNode("n0", False, 1, 0.0)
    part = FreshnessMonitor(
        node.name,
        random.Random(1),
        FreshnessSettings(),
        lambda: Revision(3),
        lambda: (LogIndex(0), Revision(0)),
    )
    assert part.handle(ProofRequested(), 10.0) == []  # nobody is known to lead
    part.handle(LeadershipKnown(Term(1), NodeId("c0"), False), 10.0)
    (asked,) = part.handle(ProofRequested(), 10.0)
    assert isinstance(asked, Send) and isinstance(asked.message, FreshnessRequest) and asked.to == "c0"
    reply = FreshnessReply(asked.message.request, 300, Revision(3))
    part.handle(MessageReceived(asked.to, reply), 10.1)
    assert part.proof_age_s(10.1) == pytest.approx(0.4)
    assert part.next_deadline() == float("inf")


def _members(world: FreshnessWorld, node: FleetNode) -> MembershipChanged:
    return MembershipChanged(world.view_of(node))


def _bad_day(seed: int) -> FreshnessWorld:
    """Return a fleet after a minute of changes, cuts, freezes, restarts and lost leaders."""
    world = _settled(seed)
    source = world.random

    def disturb() -> None:
        if source.random() < 0.02:
            world.change()
        if source.random() > 0.01:
            return
        node = world.nodes[source.choice(sorted(world.nodes))]
        what = source.randrange(4)
        if what == 0:
            node.cut = not node.cut
        elif what == 1 and node.frozen:
            world.wake(node)
        elif what == 1:
            node.frozen = True
        elif what == 2 and not node.frozen:
            node.restart(world.view_of(node))
        else:
            node.cut = False

    world.run(60.0, disturb)
    return world


@pytest.mark.parametrize("seed", range(40))
def test_no_node_relies_on_a_key_that_was_taken_away_too_long_ago(seed: int) -> None:
    """Given a bad day, no node ever relies on a state older than what was acknowledged 5 s before."""
    world = _bad_day(seed)
    assert world.served > 1000 and world.refused > 0
    assert world.stale == []


def test_the_check_catches_a_lease_that_is_dated_from_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Given a part that trusts an answer's age alone, some bad day shows a stale key."""

    def trusting(self: FreshnessMonitor, reply: FreshnessReply, now: float) -> None:
        self._proofs.append(part_module._Proof(reply.revision, now))
        self._request_at = now + 0.5

    monkeypatch.setattr(FreshnessMonitor, "_accept_reply", trusting)
    assert any(_bad_day(seed).stale for seed in range(10))


def test_the_check_catches_a_lease_that_never_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Given a part that is always current, as it was before there were leases, a bad day shows it."""
    monkeypatch.setattr(FreshnessMonitor, "is_current", lambda self, now: True)
    assert _bad_day(1).stale


def test_messages_are_small() -> None:
    """Given an answer, it takes well under a hundred bytes: twice a second at every node."""
    assert len(msgspec.msgpack.encode(FreshnessReply(1 << 47, 4000, Revision(1 << 30)))) < 60
