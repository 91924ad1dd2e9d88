"""The failure detector: status of each node, suspicions, and refutation of wrong reports about this node.

Sources: SWIM, section 4.2 (suspicion, incarnations); Lifeguard, section III.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.gossip_queue import GossipQueue
from springmux.coordination.membership.messages import Piggyback, StatusUpdate
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.suspicion import LocalHealth, Suspicion
from springmux.coordination.membership.table import PRESENT_STATUSES, MemberTable
from springmux.coordination.membership.view import NodeRecord, NodeStatus
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine

_IGNORED_CLASHES = 2
"""Name clashes that aren't logged: peers may still send records of an earlier process of this node, with
different incarnations."""


def never_proven(_now: float) -> float:
    """Return the time of the evidence of a node whose contact with the fleet is never proven."""
    return -math.inf


class FailureDetector:
    """Applies updates, decides suspicions, and refutes wrong updates by raising this node's incarnation.

    :param quorum_proven_at: returns the time of the newest evidence of contact with the deciding part of the
        fleet (``ContactMonitor.proven_at``).
    """

    def __init__(
        self,
        own: NodeRecord,
        table: MemberTable,
        queue: GossipQueue,
        health: LocalHealth,
        settings: MembershipSettings,
        quorum_proven_at: Callable[[float], float] = never_proven,
    ) -> None:
        self.own = own
        self.leaving = False
        self._table = table
        self._queue = queue
        self._health = health
        self._settings = settings
        self._quorum_proven_at = quorum_proven_at
        self._suspicions: dict[NodeId, Suspicion] = {}
        self._clashes = 0

    def next_deadline(self, handled_at: float) -> float:
        """Return when the next suspicion times out, or is checked again because its death is postponed."""
        factor = self._health.factor
        deadlines = (suspicion.deadline(self._settings, factor) for suspicion in self._suspicions.values())
        earliest = min(deadlines, default=NEVER)
        if earliest <= handled_at:
            return handled_at + self._settings.direct_timeout_s
        return earliest

    def restart_suspicions(self, now: float) -> None:
        """Restart the timeout of every suspicion, after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.started_at = now

    def suspect(self, node: NodeId, now: float) -> list[Effect]:
        """Suspect a node whose probe failed."""
        record = self._table.get(node)
        if record is None or record.status not in PRESENT_STATUSES:
            return []
        suspicion = StatusUpdate(node, record.incarnation, NodeStatus.SUSPECT, self.own.node)
        return self.apply_status(suspicion, now)

    def decide_suspicions(self, now: float) -> list[Effect]:
        """Declare suspects dead that didn't refute in time, unless this node may be the one that is cut off.

        It isn't if most of its own probes since then succeeded, or if the contact rule proved since then that
        it is on the deciding side: after the loss of most nodes, most probes of the others fail.
        """
        proven_at = self._quorum_proven_at(now) if self._suspicions else -math.inf
        factor = self._health.factor
        due = [
            node
            for node, suspected in self._suspicions.items()
            if suspected.deadline(self._settings, factor) <= now
        ]
        effects: list[Effect] = []
        for node in due:
            suspicion = self._suspicions[node]
            is_cut_off = proven_at <= suspicion.started_at
            if is_cut_off and not self._health.may_declare_death(suspicion.started_at):
                continue
            death = StatusUpdate(node, suspicion.incarnation, NodeStatus.DEAD, self.own.node)
            effects += self.apply_status(death, now)
        return effects

    def buddy_update(self, target: NodeId) -> StatusUpdate | None:
        """Return the status to send to ``target`` if it isn't believed alive (Lifeguard, buddy system).

        The target can then refute it without waiting for gossip.
        """
        record = self._table.get(target)
        if record is None or record.status is NodeStatus.ALIVE:
            return None
        return StatusUpdate(target, record.incarnation, record.status, self.own.node)

    def receive_updates(self, sender: NodeId, updates: Piggyback, now: float) -> list[Effect]:
        """Apply the updates piggybacked on a message from ``sender``."""
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

        :param authoritative: whether the node itself sent the record, so that its tombstone is ignored.
        :param disseminate: whether to queue the record for gossip; ``False`` for records of a bulk
            transfer, which most nodes know already.
        """
        if record.node == self.own.node:
            return self._detect_clash(record) + self._refute(record.incarnation, record != self.own, now)
        if record.status is NodeStatus.SUSPECT:
            record = msgspec.structs.replace(record, status=NodeStatus.ALIVE)
        if not self._table.supersedes(record, authoritative):
            self._queue.count_duplicate(record)
            return []
        before = self._table.get(record.node)
        self._table.put(record, now)
        self._suspicions.pop(record.node, None)
        if disseminate:
            self._queue.add(record, now)
        return _status_line(before, record)

    def apply_status(self, update: StatusUpdate, now: float) -> list[Effect]:
        """Apply a status without a record; the status of an unknown node is ignored."""
        if update.node == self.own.node:
            return self._refute(update.incarnation, update.status is not NodeStatus.ALIVE, now)
        known = self._table.get(update.node)
        if known is None or update.incarnation < known.incarnation:
            return []
        if update.status is NodeStatus.SUSPECT and known.status in PRESENT_STATUSES:
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
        """Raise the own incarnation above that of a wrong update or an earlier process of the same name."""
        if self.leaving or not wrong or incarnation < self.own.incarnation:
            return []
        self.replace_own_record(self.own, incarnation + 1, now)
        self._health.adjust_score(1)
        return [LogLine("membership_refuted", LogLevel.INFO, {"incarnation": self.own.incarnation})]

    def _detect_clash(self, record: NodeRecord) -> list[Effect]:
        """Log a warning if another process uses this node's name.

        The process still runs if its incarnation keeps rising: an ended one raises no incarnation.
        """
        if record.peer_address == self.own.peer_address or record.incarnation <= self.own.incarnation:
            return []
        self._clashes += 1
        if self._clashes <= _IGNORED_CLASHES:
            return []
        fields = {"address": record.peer_address, "incarnation": record.incarnation}
        return [LogLine("membership_name_clash", LogLevel.WARNING, fields)]

    def replace_own_record(self, record: NodeRecord, incarnation: int, now: float) -> None:
        """Replace this node's record, keeping its name, and disseminate it."""
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
