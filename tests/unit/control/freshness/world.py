"""Simulates the freshness monitors of a fleet in virtual time.

Messages are delayed and lost, nodes are partitioned, frozen and restarted, and the leader changes. The
control log is simulated, too: a revision is acknowledged if the leader has a quorum, and reaches the other
nodes after a delay. Partitioned and frozen nodes get it some time after they are back.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from springmux.control.delivery.events import MembershipChanged
from springmux.control.events import LeadershipKnown
from springmux.control.freshness.events import QuorumConfirmed
from springmux.control.freshness.freshness_monitor import FreshnessMonitor
from springmux.control.freshness.settings import lease_for
from springmux.coordination.identifiers import Address, LogIndex, NodeId, ReplicaId, Revision, Term, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import Effect, Event, MessageReceived, PeerMessage, Send, Tick

REVOCATION_S = 5.0
STEP_S = 0.02
QUORUM_PERIOD_S = 0.4
MAX_DELAY_S = 0.25
CONTROLLERS = 3
ELECTION_S = 1.0


class FleetNode:
    """One node: its monitor, the revision of its state, and its faults."""

    def __init__(self, name: str, replica: bool, seed: int, clock_offset_s: float) -> None:
        self.name = NodeId(name)
        self.replica = replica
        self.seed = seed
        self.clock_offset_s = clock_offset_s
        """Offset of the node's monotonic clock. Clocks of different machines agree in their rate only."""
        self.revision = Revision(0)
        self.partitioned = False
        self.frozen = False
        self.deferred_events: list[Event] = []
        self.monitor = self._new_monitor()

    def _new_monitor(self) -> FreshnessMonitor:
        return FreshnessMonitor(
            self.name,
            random.Random(self.seed),
            lease_for(REVOCATION_S),
            lambda: self.revision,
            lambda: (LogIndex(self.revision), self.revision),
        )

    def restart(self, view: MembershipView) -> None:
        """Restart with the same state and no proof."""
        self.seed += 1000
        self.monitor = self._new_monitor()
        self.monitor.handle(MembershipChanged(view), 0.0)


class FreshnessWorld:
    """Runs the nodes.

    :attr:`stale_uses` describes each time at which a node relied on a state that was too old. :attr:`served`
    and :attr:`refused` count the checks of running nodes that were current and that were not.
    """

    def __init__(self, seed: int, others: int = 4) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self._sequence = itertools.count()
        self._event_queue: list[tuple[float, int, NodeId, Event]] = []
        names = [f"c{n}" for n in range(CONTROLLERS)] + [f"n{n}" for n in range(others)]
        self.nodes = {
            NodeId(name): FleetNode(name, name[0] == "c", seed * 100 + n, self.random.uniform(0, 1e5))
            for n, name in enumerate(names)
        }
        self.leader = NodeId("c0")
        self._term = 1
        self._election_at = float("inf")
        self._next_quorum_at = self.now
        self.acknowledged: list[tuple[float, Revision]] = []
        self.stale_uses: list[str] = []
        self.served = 0
        self.refused = 0
        self.view = MembershipView(NodeId(""), {node.name: _record(node) for node in self.nodes.values()})
        for node in self.nodes.values():
            self.handle_event(node, MembershipChanged(self.view_of(node)))
        self._announce_leader()

    def view_of(self, node: FleetNode) -> MembershipView:
        """Return the fleet as ``node`` sees it."""
        return MembershipView(node.name, self.view.nodes)

    def handle_event(self, node: FleetNode, event: Event) -> None:
        """Let a node handle an event at the time of its own clock, or after its freeze."""
        if node.frozen:
            node.deferred_events.append(event)
            return
        self._send(node, node.monitor.handle(event, self.now + node.clock_offset_s))

    def unfreeze(self, node: FleetNode) -> None:
        """End a freeze; the deferred events are handled in the order of their arrival."""
        node.frozen = False
        deferred_events, node.deferred_events = node.deferred_events, []
        for event in deferred_events:
            self.handle_event(node, event)

    def commit_change(self) -> None:
        """Commit and acknowledge one change, if the leader has a quorum."""
        if not self._has_quorum():
            return
        revision = Revision(max(node.revision for node in self.nodes.values()) + 1)
        self.nodes[self.leader].revision = revision
        self.acknowledged.append((self.now, revision))
        for node in self.nodes.values():
            if node.name != self.leader:
                self._schedule_state(node, revision, self.random.uniform(0.0, 1.0))

    def run(self, seconds: float, on_step: Callable[[], None] = lambda: None) -> None:
        """Advance the time in steps, and call ``on_step`` at each one."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            on_step()
            self._step()

    def _step(self) -> None:
        while self._event_queue and self._event_queue[0][0] <= self.now:
            _, _, to, event = heapq.heappop(self._event_queue)
            node = self.nodes[to]
            if isinstance(event, _StateDelivered):
                self._receive_state(node, event.revision)
            elif not node.partitioned:
                self.handle_event(node, event)
        self._update_leadership()
        for node in self.nodes.values():
            if node.frozen:
                continue
            if node.monitor.next_deadline() <= self.now + node.clock_offset_s:
                self.handle_event(node, Tick())
            self._check_freshness(node)

    def _check_freshness(self, node: FleetNode) -> None:
        if not node.monitor.is_current(self.now + node.clock_offset_s):
            self.refused += 1
            return
        self.served += 1
        due = [revision for at, revision in self.acknowledged if at < self.now - REVOCATION_S]
        if due and node.revision < due[-1]:
            self.stale_uses.append(f"{self.now:.2f}: {node.name} at {node.revision}, due {due[-1]}")

    def _has_quorum(self) -> bool:
        leader = self.nodes[self.leader]
        up = [
            node for node in self.nodes.values() if node.replica and not node.partitioned and not node.frozen
        ]
        return leader in up and 2 * len(up) > CONTROLLERS

    def _update_leadership(self) -> None:
        if self._has_quorum():
            self._election_at = float("inf")
            if self.now >= self._next_quorum_at:
                self._next_quorum_at = self.now + QUORUM_PERIOD_S
                leader = self.nodes[self.leader]
                index = LogIndex(leader.revision)
                self.handle_event(leader, QuorumConfirmed(self.now + leader.clock_offset_s, index))
            return
        if self._election_at == float("inf"):
            self._election_at = self.now + ELECTION_S
        if self.now >= self._election_at:
            self._elect()

    def _elect(self) -> None:
        candidates = [
            node for node in self.nodes.values() if node.replica and not node.partitioned and not node.frozen
        ]
        if 2 * len(candidates) <= CONTROLLERS:
            return
        # Only a replica whose log has everything acknowledged can win, even if it hasn't applied all of it.
        winner = max(candidates, key=lambda node: (node.revision, node.name))
        winner.revision = Revision(max([winner.revision, *(revision for _, revision in self.acknowledged)]))
        self.leader, self._term = winner.name, self._term + 1
        self._announce_leader()

    def _announce_leader(self) -> None:
        for node in self.nodes.values():
            if not node.partitioned:
                known = LeadershipKnown(Term(self._term), self.leader, node.name == self.leader)
                self.handle_event(node, known)

    def _schedule_state(self, node: FleetNode, revision: Revision, delay_s: float) -> None:
        heapq.heappush(
            self._event_queue,
            (self.now + delay_s, next(self._sequence), node.name, _StateDelivered(revision)),
        )

    def _receive_state(self, node: FleetNode, revision: Revision) -> None:
        if node.partitioned or node.frozen:  # it fetches the state some time later
            self._schedule_state(node, revision, self.random.uniform(0.1, 2.0))
        elif revision > node.revision:
            node.revision = revision

    def _send(self, node: FleetNode, effects: list[Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            if node.partitioned or self.nodes[effect.to].partitioned or self.random.random() < 0.05:
                continue
            self._schedule_message(node.name, effect.to, effect.message)

    def _schedule_message(self, sender: NodeId, to: NodeId, message: PeerMessage) -> None:
        at = self.now + self.random.uniform(0.001, MAX_DELAY_S)
        heapq.heappush(self._event_queue, (at, next(self._sequence), to, MessageReceived(sender, message)))


class _StateDelivered(Event, frozen=True):
    revision: Revision


def _record(node: FleetNode) -> NodeRecord:
    return NodeRecord(
        node=node.name,
        zone=ZoneName("north"),
        peer_address=Address("127.0.0.1:1"),
        client_address=Address("127.0.0.1:2"),
        admin_address=Address("127.0.0.1:3"),
        replica=ReplicaId(f"r-{node.name}") if node.replica else None,
    )
