"""A fleet of freshness parts in virtual time: random delays, cuts, freezes, restarts and a change of leader.

The control log is played: a revision is acknowledged once a majority of the controllers has it, and reaches
the other nodes late or, while they are cut off, not at all.
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
MOST_DELAY_S = 0.25
CONTROLLERS = 3
ELECTION_S = 1.0


class FleetNode:
    """One node: its part, its state and what holds it up."""

    def __init__(self, name: str, replica: bool, seed: int, clock_offset_s: float) -> None:
        self.name = NodeId(name)
        self.replica = replica
        self.seed = seed
        self.clock_offset_s = clock_offset_s
        """Monotonic clocks of different machines have nothing in common but their rate."""
        self.revision = Revision(0)
        self.cut = False
        self.frozen = False
        self.waiting: list[Event] = []
        self.part = self._new_part()

    def _new_part(self) -> FreshnessMonitor:
        return FreshnessMonitor(
            self.name,
            random.Random(self.seed),
            lease_for(REVOCATION_S),
            lambda: self.revision,
            lambda: (LogIndex(self.revision), self.revision),
        )

    def restart(self, view: MembershipView) -> None:
        """Begin anew with the state that was there, and no proof."""
        self.seed += 1000
        self.part = self._new_part()
        self.part.handle(MembershipChanged(view), 0.0)


class FreshnessWorld:
    """Runs the nodes; :attr:`stale` collects every moment at which a node relied on too old a state."""

    def __init__(self, seed: int, others: int = 4) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self._numbers = itertools.count()
        self._mail: list[tuple[float, int, NodeId, Event]] = []
        names = [f"c{n}" for n in range(CONTROLLERS)] + [f"n{n}" for n in range(others)]
        self.nodes = {
            NodeId(name): FleetNode(name, name[0] == "c", seed * 100 + n, self.random.uniform(0, 1e5))
            for n, name in enumerate(names)
        }
        self.leader = NodeId("c0")
        self._term = 1
        self._elect_at = float("inf")
        self._quorum_at = self.now
        self.acknowledged: list[tuple[float, Revision]] = []
        self.stale: list[str] = []
        self.served = 0
        self.refused = 0
        self.view = MembershipView(NodeId(""), {node.name: _record(node) for node in self.nodes.values()})
        for node in self.nodes.values():
            self.give(node, MembershipChanged(self.view_of(node)))
        self._tell_leader()

    def view_of(self, node: FleetNode) -> MembershipView:
        """Return the fleet as ``node`` sees it."""
        return MembershipView(node.name, self.view.nodes)

    def give(self, node: FleetNode, event: Event) -> None:
        """Have a node handle an event by its own clock; a frozen one gets it when it wakes."""
        if node.frozen:
            node.waiting.append(event)
            return
        self._send(node, node.part.handle(event, self.now + node.clock_offset_s))

    def wake(self, node: FleetNode) -> None:
        """End a freeze; what waited is handled in the order in which it came."""
        node.frozen = False
        waiting, node.waiting = node.waiting, []
        for event in waiting:
            self.give(node, event)

    def change(self) -> None:
        """Commit one change at a majority of the controllers, if they are there, and acknowledge it."""
        if not self._has_quorum():
            return
        revision = Revision(max(node.revision for node in self.nodes.values()) + 1)
        self.nodes[self.leader].revision = revision
        self.acknowledged.append((self.now, revision))
        for node in self.nodes.values():
            if node.name != self.leader:
                self._deliver_state(node, revision, self.random.uniform(0.0, 1.0))

    def run(self, seconds: float, between: Callable[[], None] = lambda: None) -> None:
        """Let time pass; ``between`` is called at each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            between()
            self._step()

    def _step(self) -> None:
        while self._mail and self._mail[0][0] <= self.now:
            _, _, to, event = heapq.heappop(self._mail)
            node = self.nodes[to]
            if isinstance(event, _StateArrived):
                self._take_state(node, event.revision)
            elif not node.cut:
                self.give(node, event)
        self._lead()
        for node in self.nodes.values():
            if node.frozen:
                continue
            if node.part.next_deadline() <= self.now + node.clock_offset_s:
                self.give(node, Tick())
            self._check(node)

    def _check(self, node: FleetNode) -> None:
        if not node.part.is_current(self.now + node.clock_offset_s):
            self.refused += 1
            return
        self.served += 1
        due = [revision for at, revision in self.acknowledged if at < self.now - REVOCATION_S]
        if due and node.revision < due[-1]:
            self.stale.append(f"{self.now:.2f}: {node.name} at {node.revision}, due {due[-1]}")

    def _has_quorum(self) -> bool:
        leader = self.nodes[self.leader]
        up = [node for node in self.nodes.values() if node.replica and not node.cut and not node.frozen]
        return leader in up and 2 * len(up) > CONTROLLERS

    def _lead(self) -> None:
        if self._has_quorum():
            self._elect_at = float("inf")
            if self.now >= self._quorum_at:
                self._quorum_at = self.now + QUORUM_PERIOD_S
                leader = self.nodes[self.leader]
                index = LogIndex(leader.revision)
                self.give(leader, QuorumConfirmed(self.now + leader.clock_offset_s, index))
            return
        if self._elect_at == float("inf"):
            self._elect_at = self.now + ELECTION_S
        if self.now >= self._elect_at:
            self._elect()

    def _elect(self) -> None:
        able = [node for node in self.nodes.values() if node.replica and not node.cut and not node.frozen]
        if 2 * len(able) <= CONTROLLERS:
            return
        # Only a replica that has all that was acknowledged can win; it has it, applied or not.
        winner = max(able, key=lambda node: (node.revision, node.name))
        winner.revision = Revision(max([winner.revision, *(revision for _, revision in self.acknowledged)]))
        self.leader, self._term = winner.name, self._term + 1
        self._tell_leader()

    def _tell_leader(self) -> None:
        for node in self.nodes.values():
            if not node.cut:
                known = LeadershipKnown(Term(self._term), self.leader, node.name == self.leader)
                self.give(node, known)

    def _deliver_state(self, node: FleetNode, revision: Revision, delay_s: float) -> None:
        heapq.heappush(
            self._mail, (self.now + delay_s, next(self._numbers), node.name, _StateArrived(revision))
        )

    def _take_state(self, node: FleetNode, revision: Revision) -> None:
        if node.cut or node.frozen:  # fetched some time after it is back
            self._deliver_state(node, revision, self.random.uniform(0.1, 2.0))
        elif revision > node.revision:
            node.revision = revision

    def _send(self, node: FleetNode, effects: list[Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            if node.cut or self.nodes[effect.to].cut or self.random.random() < 0.05:
                continue
            self._post(node.name, effect.to, effect.message)

    def _post(self, sender: NodeId, to: NodeId, message: PeerMessage) -> None:
        at = self.now + self.random.uniform(0.001, MOST_DELAY_S)
        heapq.heappush(self._mail, (at, next(self._numbers), to, MessageReceived(sender, message)))


class _StateArrived(Event, frozen=True):
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
