"""What the node believes of the others and of itself: records, suspicions, refutations."""

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

_OLDER_LIVES = 2
"""So often the own name at another address may outbid this life without a warning: of an older life different
nodes may know different incarnations."""


class FailureDetector:
    """Takes rumours in, decides suspicions, and defends the own record by raising its incarnation."""

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
        self._outbid = 0

    def next_deadline(self, handled_at: float) -> float:
        """Return when a suspicion is to be decided; a held one is looked at again shortly."""
        factor = self._health.factor
        deadlines = (each.deadline(self._settings, factor) for each in self._suspicions.values())
        earliest = min(deadlines, default=NEVER)
        if earliest <= handled_at:
            return handled_at + self._settings.direct_timeout_s
        return earliest

    def restart_suspicions(self, now: float) -> None:
        """Give every suspect its whole time again: this process was paused."""
        for suspicion in self._suspicions.values():
            suspicion.started_at = now

    def accuse(self, node: NodeId, now: float) -> list[Effect]:
        """Suspect a node whose probe failed."""
        record = self._table.get(node)
        if record is None or record.status not in PRESENT:
            return []
        return self.take_status(
            StatusUpdate(node, record.incarnation, NodeStatus.SUSPECT, self.own.node), now
        )

    def decide_suspicions(self, now: float) -> list[Effect]:
        """Turn suspicions that weren't refuted in time into deaths, unless the own probes fail too."""
        factor = self._health.factor
        due = [n for n, each in self._suspicions.items() if each.deadline(self._settings, factor) <= now]
        effects: list[Effect] = []
        for node in due:
            suspicion = self._suspicions[node]
            if not self._health.may_declare_death(suspicion.started_at):
                continue
            incarnation = suspicion.incarnation
            rumour = StatusUpdate(node, incarnation, NodeStatus.DEAD, self.own.node)
            effects += self.take_status(rumour, now)
        return effects

    def buddy(self, target: NodeId) -> StatusUpdate | None:
        """Return what a node that isn't held as alive must hear at once (Lifeguard, buddy system)."""
        record = self._table.get(target)
        if record is None or record.status is NodeStatus.ALIVE:
            return None
        return StatusUpdate(target, record.incarnation, record.status, self.own.node)

    def take_news(self, sender: NodeId, news: Piggyback, now: float) -> list[Effect]:
        """Take in what rode on a message."""
        effects: list[Effect] = []
        for record in news.records:
            effects += self.take_record(record, now, vouched=record.node == sender, spread=True)
        for rumour in news.statuses:
            effects += self.take_status(rumour, now)
        return effects

    def take_record(self, record: NodeRecord, now: float, vouched: bool, spread: bool) -> list[Effect]:
        """Take in a whole record.

        :param vouched: the node itself sent it, so that a tombstone doesn't stand against it.
        :param spread: pass it on as news; not for records of a bulk transfer, which most nodes know.
        """
        if record.node == self.own.node:
            return self._note_clash(record) + self._defend(record.incarnation, record != self.own, now)
        if record.status is NodeStatus.SUSPECT:
            record = msgspec.structs.replace(record, status=NodeStatus.ALIVE)
        if not self._table.would_take(record, vouched):
            self._queue.heard_again(record)
            return []
        before = self._table.get(record.node)
        self._table.put(record, now)
        self._suspicions.pop(record.node, None)
        if spread:
            self._queue.add(record, now)
        return _status_note(before, record)

    def take_status(self, rumour: StatusUpdate, now: float) -> list[Effect]:
        """Take in a bare status; of an unknown node it says nothing."""
        if rumour.node == self.own.node:
            return self._defend(rumour.incarnation, rumour.status is not NodeStatus.ALIVE, now)
        known = self._table.get(rumour.node)
        if known is None or rumour.incarnation < known.incarnation:
            return []
        if rumour.status is NodeStatus.SUSPECT and known.status in PRESENT:
            self._suspect(rumour, now)
        claimed = msgspec.structs.replace(known, incarnation=rumour.incarnation, status=rumour.status)
        if not self._table.would_take(claimed, vouched=False):
            return []
        self._table.put(claimed, now)
        if rumour.status is not NodeStatus.SUSPECT:
            self._suspicions.pop(rumour.node, None)
        self._queue.add(rumour, now)
        return _status_note(known, claimed)

    def _suspect(self, rumour: StatusUpdate, now: float) -> None:
        suspicion = self._suspicions.get(rumour.node)
        if suspicion is None or suspicion.incarnation < rumour.incarnation:
            suspicion = Suspicion(rumour.incarnation, now)
            self._suspicions[rumour.node] = suspicion
        enough = len(suspicion.accusers) > self._settings.suspicion_confirmations
        if rumour.accuser not in suspicion.accusers and not enough:
            suspicion.accusers.add(rumour.accuser)
            self._queue.add(rumour, now)  # Lifeguard, section III-B: confirmations are gossiped again.

    def _defend(self, incarnation: int, wrong: bool, now: float) -> list[Effect]:
        """Raise the own incarnation over a wrong rumour or an older life under the same name."""
        if self.leaving or not wrong or incarnation < self.own.incarnation:
            return []
        self.replace_own(self.own, incarnation + 1, now)
        self._health.add(1)
        return [LogLine("membership_refuted", LogLevel.INFO, {"incarnation": self.own.incarnation})]

    def _note_clash(self, record: NodeRecord) -> list[Effect]:
        """Warn of another process under the own name: an older life is outbid once and then silent."""
        if record.peer_address == self.own.peer_address or record.incarnation <= self.own.incarnation:
            return []
        self._outbid += 1
        if self._outbid <= _OLDER_LIVES:
            return []
        fields = {"address": record.peer_address, "incarnation": record.incarnation}
        return [LogLine("membership_name_clash", LogLevel.WARNING, fields)]

    def replace_own(self, record: NodeRecord, incarnation: int, now: float) -> None:
        """Hold and spread another own record."""
        status = NodeStatus.LEFT if self.leaving else NodeStatus.ALIVE
        self.own = msgspec.structs.replace(record, node=self.own.node, incarnation=incarnation, status=status)
        self._table.put(self.own, now)
        self._queue.add(self.own, now)


def _status_note(before: NodeRecord | None, record: NodeRecord) -> list[Effect]:
    if before is not None and before.status is record.status:
        return []
    fields = {"node": record.node, "status": record.status.value, "incarnation": record.incarnation}
    level = LogLevel.WARNING if record.status is NodeStatus.DEAD else LogLevel.INFO
    return [LogLine("membership_status", level, fields)]
