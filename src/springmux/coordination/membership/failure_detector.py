"""The failure detector: which status each node has, suspicions, and refutations of the own one.

Sources: SWIM, section 4.2 (suspicion, incarnations); Lifeguard, section III.
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.gossip_queue import GossipQueue
from springmux.coordination.membership.messages import Piggyback, StatusUpdate
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.suspicion import LocalHealth, Suspicion
from springmux.coordination.membership.table import PRESENT, MemberTable
from springmux.coordination.membership.view import NodeRecord, NodeStatus
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine

_CLASHES_IGNORED = 2
"""Records of an earlier process under the own name, of which peers may know different incarnations."""


class FailureDetector:
    """Applies updates, decides suspicions, and refutes wrong updates by raising the own incarnation."""

    def __init__(
        self,
        own: NodeRecord,
        table: MemberTable,
        queue: GossipQueue,
        health: LocalHealth,
        settings: MembershipSettings,
    ) -> None:
        self.own = own
        self.leaving = False
        self._table = table
        self._queue = queue
        self._health = health
        self._settings = settings
        self._suspicions: dict[NodeId, Suspicion] = {}
        self._clashes = 0

    def next_deadline(self, handled_at: float) -> float:
        """Return when a suspicion is to be decided; an overdue one is checked again shortly."""
        factor = self._health.factor
        deadlines = (each.deadline(self._settings, factor) for each in self._suspicions.values())
        earliest = min(deadlines, default=NEVER)
        if earliest <= handled_at:
            return handled_at + self._settings.direct_timeout_s
        return earliest

    def restart_suspicions(self, now: float) -> None:
        """Give every suspect its full time again after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.started_at = now

    def suspect(self, node: NodeId, now: float) -> list[Effect]:
        """Suspect a node whose probe failed."""
        record = self._table.get(node)
        if record is None or record.status not in PRESENT:
            return []
        suspicion = StatusUpdate(node, record.incarnation, NodeStatus.SUSPECT, self.own.node)
        return self.apply_status(suspicion, now)

    def decide_suspicions(self, now: float) -> list[Effect]:
        """Turn suspicions that weren't refuted in time into deaths, unless the own probes fail too."""
        factor = self._health.factor
        due = [n for n, each in self._suspicions.items() if each.deadline(self._settings, factor) <= now]
        effects: list[Effect] = []
        for node in due:
            suspicion = self._suspicions[node]
            if not self._health.may_declare_death(suspicion.started_at):
                continue
            death = StatusUpdate(node, suspicion.incarnation, NodeStatus.DEAD, self.own.node)
            effects += self.apply_status(death, now)
        return effects

    def buddy_update(self, target: NodeId) -> StatusUpdate | None:
        """Return the status that a node not believed alive must learn at once (Lifeguard, buddy system)."""
        record = self._table.get(target)
        if record is None or record.status is NodeStatus.ALIVE:
            return None
        return StatusUpdate(target, record.incarnation, record.status, self.own.node)

    def receive_updates(self, sender: NodeId, updates: Piggyback, now: float) -> list[Effect]:
        """Apply the updates that a message carried."""
        effects: list[Effect] = []
        for record in updates.records:
            effects += self.apply_record(record, now, authoritative=record.node == sender, disseminate=True)
        for update in updates.statuses:
            effects += self.apply_status(update, now)
        return effects

    def apply_record(
        self, record: NodeRecord, now: float, authoritative: bool, disseminate: bool
    ) -> list[Effect]:
        """Apply a complete record.

        :param authoritative: the node itself sent it, so that its tombstone is disregarded.
        :param disseminate: queue it for gossip; not for records of a bulk transfer, which most nodes know.
        """
        if record.node == self.own.node:
            return self._detect_clash(record) + self._refute(record.incarnation, record != self.own, now)
        if record.status is NodeStatus.SUSPECT:
            record = msgspec.structs.replace(record, status=NodeStatus.ALIVE)
        if not self._table.supersedes(record, authoritative):
            self._queue.note_duplicate(record)
            return []
        before = self._table.get(record.node)
        self._table.put(record, now)
        self._suspicions.pop(record.node, None)
        if disseminate:
            self._queue.add(record, now)
        return _status_line(before, record)

    def apply_status(self, update: StatusUpdate, now: float) -> list[Effect]:
        """Apply a bare status; that of an unknown node is ignored."""
        if update.node == self.own.node:
            return self._refute(update.incarnation, update.status is not NodeStatus.ALIVE, now)
        known = self._table.get(update.node)
        if known is None or update.incarnation < known.incarnation:
            return []
        if update.status is NodeStatus.SUSPECT and known.status in PRESENT:
            self._add_accuser(update, now)
        claimed = msgspec.structs.replace(known, incarnation=update.incarnation, status=update.status)
        if not self._table.supersedes(claimed, authoritative=False):
            return []
        self._table.put(claimed, now)
        if update.status is not NodeStatus.SUSPECT:
            self._suspicions.pop(update.node, None)
        self._queue.add(update, now)
        return _status_line(known, claimed)

    def _add_accuser(self, update: StatusUpdate, now: float) -> None:
        suspicion = self._suspicions.get(update.node)
        if suspicion is None or suspicion.incarnation < update.incarnation:
            suspicion = Suspicion(update.incarnation, now)
            self._suspicions[update.node] = suspicion
        enough = len(suspicion.accusers) > self._settings.suspicion_confirmations
        if update.accuser not in suspicion.accusers and not enough:
            suspicion.accusers.add(update.accuser)
            self._queue.add(update, now)  # Lifeguard, section III-B: confirmations are gossiped again.

    def _refute(self, incarnation: int, wrong: bool, now: float) -> list[Effect]:
        """Raise the own incarnation over a wrong update or an earlier process under the same name."""
        if self.leaving or not wrong or incarnation < self.own.incarnation:
            return []
        self.replace_own(self.own, incarnation + 1, now)
        self._health.add(1)
        return [LogLine("membership_refuted", LogLevel.INFO, {"incarnation": self.own.incarnation})]

    def _detect_clash(self, record: NodeRecord) -> list[Effect]:
        """Warn of another process under the own name; one that has ended raises no more incarnations."""
        if record.peer_address == self.own.peer_address or record.incarnation <= self.own.incarnation:
            return []
        self._clashes += 1
        if self._clashes <= _CLASHES_IGNORED:
            return []
        fields = {"address": record.peer_address, "incarnation": record.incarnation}
        return [LogLine("membership_name_clash", LogLevel.WARNING, fields)]

    def replace_own(self, record: NodeRecord, incarnation: int, now: float) -> None:
        """Store and disseminate another own record."""
        status = NodeStatus.LEFT if self.leaving else NodeStatus.ALIVE
        self.own = msgspec.structs.replace(record, node=self.own.node, incarnation=incarnation, status=status)
        self._table.put(self.own, now)
        self._queue.add(self.own, now)


def _status_line(before: NodeRecord | None, record: NodeRecord) -> list[Effect]:
    if before is not None and before.status is record.status:
        return []
    fields = {"node": record.node, "status": record.status.value, "incarnation": record.incarnation}
    level = LogLevel.WARNING if record.status is NodeStatus.DEAD else LogLevel.INFO
    return [LogLine("membership_status", level, fields)]
