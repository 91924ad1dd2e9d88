"""Tests that a node relies on its state only while it can prove that it was the newest shortly before.

Otherwise a partitioned, frozen or restarted node would go on accepting keys that were revoked long ago.
"""

from __future__ import annotations

import random

import msgspec
import pytest

from springmux.control.delivery.events import MembershipChanged
from springmux.control.events import LeadershipKnown
from springmux.control.freshness import freshness_monitor as monitor_module
from springmux.control.freshness.events import ProofRequested
from springmux.control.freshness.freshness_monitor import FreshnessMonitor
from springmux.control.freshness.messages import FreshnessReply, FreshnessRequest
from springmux.control.freshness.settings import MIN_LEASE_S, FreshnessSettings, lease_for
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.state_machine import MessageReceived, Send, Tick
from tests.unit.control.freshness.world import REVOCATION_S, FleetNode, FreshnessWorld


def _settled_world(seed: int = 1) -> FreshnessWorld:
    world = FreshnessWorld(seed)
    world.run(3.0)
    return world


def _is_current(world: FreshnessWorld, name: str) -> bool:
    node = world.nodes[NodeId(name)]
    return node.monitor.is_current(world.now + node.clock_offset_s)


def test_every_node_of_a_healthy_fleet_has_a_current_proof() -> None:
    """With a leader that has a quorum, after three seconds every node is current and stays so."""
    world = _settled_world()
    assert all(_is_current(world, name) for name in world.nodes)
    world.refused = 0
    world.run(20.0)
    assert world.refused == 0
    assert not world.stale_uses


def test_without_a_lease_no_request_is_sent_and_every_state_is_current() -> None:
    """Without a lease, the monitor sends no periodic requests and treats every state as current."""
    monitor = FreshnessMonitor(
        NodeId("n"),
        random.Random(1),
        FreshnessSettings(),
        lambda: Revision(0),
        lambda: (LogIndex(0), Revision(0)),
    )
    assert monitor.handle(Tick(), 5.0) == []
    assert monitor.next_deadline() == float("inf")
    assert monitor.is_current(1e9)


def test_a_partitioned_node_stops_in_time_and_is_current_again_after_the_partition() -> None:
    """A partitioned node is current until its lease ends, which is before the revocation bound."""
    world = _settled_world()
    world.nodes[NodeId("n0")].partitioned = True
    world.run(1.0)
    assert _is_current(world, "n0")
    world.run(REVOCATION_S - 1.0)
    assert not _is_current(world, "n0")
    assert _is_current(world, "n1")
    world.nodes[NodeId("n0")].partitioned = False
    world.run(2.0)
    assert _is_current(world, "n0")


def test_a_node_is_not_current_when_a_long_freeze_ends() -> None:
    """After a freeze of ten seconds the node is not current when it handles its first events."""
    world = _settled_world()
    node = world.nodes[NodeId("n0")]
    node.frozen = True
    world.run(10.0)
    world.unfreeze(node)
    assert not _is_current(world, "n0")


def test_a_restarted_node_is_current_only_after_a_reply() -> None:
    """A restarted node has its state immediately, but a proof only after a reply."""
    world = _settled_world()
    node = world.nodes[NodeId("n0")]
    node.restart(world.view_of(node))
    assert not _is_current(world, "n0")
    world.run(2.0)
    assert _is_current(world, "n0")


def test_a_proof_of_a_newer_state_counts_once_that_state_is_in_force() -> None:
    """After a reply that proves revision 7, a node at revision 6 isn't current until it has 7."""
    node = FleetNode("n0", False, 1, 0.0)
    world = FreshnessWorld(1)
    node.monitor.handle(_members(world, node), 0.0)
    (sent,) = node.monitor.handle(Tick(), 10.0)
    assert isinstance(sent, Send) and isinstance(sent.message, FreshnessRequest)
    node.revision = Revision(6)
    reply = FreshnessReply(sent.message.request, 100, Revision(7))
    node.monitor.handle(MessageReceived(sent.to, reply), 10.2)
    assert not node.monitor.is_current(10.3)
    node.revision = Revision(7)
    assert node.monitor.is_current(10.3)


def test_a_proof_is_dated_from_the_request_not_from_the_reply() -> None:
    """If a reply arrives three seconds after its request, the lease began three seconds ago.

    Dating the proof from the reply would make it younger than it is.
    """
    node = FleetNode("n0", False, 1, 0.0)
    world = FreshnessWorld(1)
    node.monitor.handle(_members(world, node), 0.0)
    (sent,) = node.monitor.handle(Tick(), 10.0)
    assert isinstance(sent, Send) and isinstance(sent.message, FreshnessRequest)
    reply = FreshnessReply(sent.message.request, 500, Revision(0))
    node.monitor.handle(MessageReceived(sent.to, reply), 13.0)
    lease_s = lease_for(REVOCATION_S).lease_s
    assert node.monitor.is_current(9.5 + lease_s - 0.01)
    assert not node.monitor.is_current(9.5 + lease_s)


def test_a_reply_without_a_pending_request_is_no_proof() -> None:
    """A reply to a request of an earlier process proves nothing."""
    node = FleetNode("n0", False, 1, 0.0)
    node.monitor.handle(MessageReceived(NodeId("c0"), FreshnessReply(12345, 0, Revision(0))), 10.0)
    assert not node.monitor.is_current(10.0)


@pytest.mark.parametrize("allowed_s", [0.0, 0.5, 5.0, 39.28])
def test_a_lease_is_shorter_than_the_allowed_time_unless_it_is_the_minimum(allowed_s: float) -> None:
    lease_s = lease_for(allowed_s).lease_s
    assert lease_s == MIN_LEASE_S or lease_s < allowed_s


def test_a_requested_proof_is_requested_from_the_leader_immediately() -> None:
    """Without a lease, a waiting client causes a request to the leader, whose reply is the proof."""
    node = FleetNode("n0", False, 1, 0.0)
    monitor = FreshnessMonitor(
        node.name,
        random.Random(1),
        FreshnessSettings(),
        lambda: Revision(3),
        lambda: (LogIndex(0), Revision(0)),
    )
    assert monitor.handle(ProofRequested(), 10.0) == []  # no leader is known
    monitor.handle(LeadershipKnown(Term(1), NodeId("c0"), False), 10.0)
    (sent,) = monitor.handle(ProofRequested(), 10.0)
    assert isinstance(sent, Send) and isinstance(sent.message, FreshnessRequest) and sent.to == "c0"
    reply = FreshnessReply(sent.message.request, 300, Revision(3))
    monitor.handle(MessageReceived(sent.to, reply), 10.1)
    assert monitor.proof_age_s(10.1) == pytest.approx(0.4)
    assert monitor.next_deadline() == float("inf")


def _members(world: FreshnessWorld, node: FleetNode) -> MembershipChanged:
    return MembershipChanged(world.view_of(node))


def _run_with_faults(seed: int) -> FreshnessWorld:
    """Return a fleet after a minute of changes, partitions, freezes, restarts and leader changes."""
    world = _settled_world(seed)
    source = world.random

    def inject_faults() -> None:
        if source.random() < 0.02:
            world.commit_change()
        if source.random() > 0.01:
            return
        node = world.nodes[source.choice(sorted(world.nodes))]
        fault = source.randrange(4)
        if fault == 0:
            node.partitioned = not node.partitioned
        elif fault == 1 and node.frozen:
            world.unfreeze(node)
        elif fault == 1:
            node.frozen = True
        elif fault == 2 and not node.frozen:
            node.restart(world.view_of(node))
        else:
            node.partitioned = False

    world.run(60.0, inject_faults)
    return world


@pytest.mark.parametrize("seed", range(40))
def test_no_node_relies_on_a_state_older_than_the_revocation_bound(seed: int) -> None:
    """Under random faults, no node relies on a state that lacks a change acknowledged 5 s before."""
    world = _run_with_faults(seed)
    assert world.served > 1000 and world.refused > 0
    assert world.stale_uses == []


def test_the_check_detects_a_lease_dated_from_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    """If proofs are dated from the receipt of the reply, a node relies on a stale state under some seed."""

    def accept_as_of_now(self: FreshnessMonitor, reply: FreshnessReply, now: float) -> None:
        self._proofs.append(monitor_module._Proof(reply.revision, now))
        self._request_at = now + 0.5

    monkeypatch.setattr(FreshnessMonitor, "_accept_reply", accept_as_of_now)
    assert any(_run_with_faults(seed).stale_uses for seed in range(10))


def test_the_check_detects_a_lease_that_never_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """If a monitor is always current, as without a lease, a node relies on a stale state."""
    monkeypatch.setattr(FreshnessMonitor, "is_current", lambda self, now: True)
    assert _run_with_faults(1).stale_uses


def test_a_reply_is_small() -> None:
    """A reply must take well under a hundred bytes, since every node receives two per second."""
    assert len(msgspec.msgpack.encode(FreshnessReply(1 << 47, 4000, Revision(1 << 30)))) < 60
