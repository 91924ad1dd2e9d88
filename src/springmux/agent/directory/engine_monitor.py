"""Failure detector for engines: owner nodes track heartbeats and vote to mark an unresponsive engine lost."""

from __future__ import annotations

import msgspec

from springmux.agent.directory import messages as wire
from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.heartbeat_tracker import HeartbeatTracker
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.table import DirectoryTable
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Effect, Send
from springmux.vocabulary.names import EngineId


class MonitorResult(msgspec.Struct):
    """Changed entries, which the directory relays to all nodes, and messages to other owners."""

    changes: list[DirectoryEntry] = []
    effects: list[Effect] = []


class EngineMonitor:
    """Monitors the engines that this node owns.

    An owner that is out of contact with the fleet neither votes nor marks an engine lost.
    """

    def __init__(
        self, own: NodeId, table: DirectoryTable, owners: OwnerNodes, settings: DirectorySettings
    ) -> None:
        self._own = own
        self._table = table
        self._owners = owners
        self._settings = settings
        self._heartbeats = HeartbeatTracker(settings)
        self._vote_at = 0.0
        self._scan_queue: list[EngineId] = []
        self.connected = True

    def next_deadline(self) -> float:
        """Return when the next votes are due."""
        return self._vote_at

    def restart_timeouts(self, now: float) -> None:
        """Restart every engine's timeout after a period in which this node couldn't receive heartbeats."""
        self._heartbeats.restart_timeouts(now)

    def forget(self, engine: EngineId) -> None:
        """Stop monitoring a removed engine."""
        self._heartbeats.forget(engine)

    def record_heartbeat(self, incarnation_id: wire.EngineIncarnation, now: float) -> None:
        """Record a heartbeat that the engine sent to this node."""
        self._heartbeats.record(incarnation_id, now)

    def handle_heartbeats(
        self, incarnations: tuple[wire.EngineIncarnation, ...], now: float
    ) -> MonitorResult:
        """Record forwarded heartbeats, and mark lost engines among them alive again."""
        result = MonitorResult()
        for incarnation_id in incarnations:
            entry = self._table.get(incarnation_id.engine)
            if entry is None or entry.record.incarnation != incarnation_id.incarnation or entry.left:
                continue
            self._heartbeats.record(incarnation_id, now)
            if entry.lost:
                result.changes.append(_health_changed(entry))
        return result

    def vote(self, now: float) -> MonitorResult:
        """Send the other owners votes for unresponsive engines, and mark engines with enough votes lost."""
        result = MonitorResult()
        if now < self._vote_at:
            return result
        self._vote_at = now + self._settings.vote_period_s
        if not self.connected:
            return result
        votes_by_owner: dict[NodeId, list[wire.EngineIncarnation]] = {}
        for engine in self._heartbeats.unresponsive(now)[: self._settings.votes_per_message]:
            entry = self._table.get(engine)
            owners = self._owners.owners_of(engine)
            if entry is None or entry.left or entry.lost or self._own not in owners:
                self._heartbeats.forget(engine)
                continue
            incarnation_id = wire.EngineIncarnation(engine, entry.record.incarnation)
            for owner in owners:
                if owner != self._own:
                    votes_by_owner.setdefault(owner, []).append(incarnation_id)
            self._count_vote(self._own, incarnation_id, entry, result, now)
        result.effects += [
            Send(owner, wire.EngineTimeoutVote(tuple(incarnations)))
            for owner, incarnations in votes_by_owner.items()
        ]
        return result

    def handle_votes(
        self, sender: NodeId, incarnations: tuple[wire.EngineIncarnation, ...], now: float
    ) -> MonitorResult:
        """Count another owner's votes, and reply with the engines whose heartbeats recently arrived here."""
        result = MonitorResult()
        recent: list[wire.EngineIncarnation] = []
        unresponsive = set(self._heartbeats.unresponsive(now))
        for incarnation_id in incarnations:
            entry = self._table.get(incarnation_id.engine)
            if entry is None or entry.record.incarnation != incarnation_id.incarnation or entry.lost:
                continue
            if incarnation_id.engine in unresponsive and sender in self._owners.owners_of(
                incarnation_id.engine
            ):
                self._count_vote(sender, incarnation_id, entry, result, now)
            elif self._heartbeats.received_within(
                incarnation_id.engine, self._settings.heartbeat_timeout_s / 3, now
            ):
                recent.append(incarnation_id)
        if recent and self.connected:
            result.effects.append(Send(sender, wire.EngineHeartbeatsRelay(tuple(recent))))
        return result

    def scan(self, now: float) -> None:
        """Start tracking owned engines that sent no heartbeat here so far; checks a few engines per call."""
        self._scan_queue = self._scan_queue or self._table.engine_ids()
        for engine in self._scan_queue[: self._settings.scan_engines]:
            entry = self._table.get(engine)
            if entry is None or entry.gone:
                continue
            if engine not in self._heartbeats and self._own in self._owners.owners_of(engine):
                self._heartbeats.record(wire.EngineIncarnation(engine, entry.record.incarnation), now)
        del self._scan_queue[: self._settings.scan_engines]

    def _count_vote(
        self,
        voter: NodeId,
        incarnation_id: wire.EngineIncarnation,
        entry: DirectoryEntry,
        result: MonitorResult,
        now: float,
    ) -> None:
        votes = self._heartbeats.add_vote(voter, incarnation_id, now)
        if votes < self._owners.required_votes() or not self.connected:
            return
        self._heartbeats.forget(incarnation_id.engine)
        result.changes.append(_health_changed(entry))


def _health_changed(entry: DirectoryEntry) -> DirectoryEntry:
    """Return the entry with the next health counter: odd is lost, even is alive."""
    return msgspec.structs.replace(entry, health=entry.health + 1)
