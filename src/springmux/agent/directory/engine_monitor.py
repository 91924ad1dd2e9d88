"""Failure detector for engines: their owner nodes track heartbeats and vote an unresponsive engine lost."""

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
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.names import EngineId


class MonitorResult(msgspec.Struct):
    """Changed entries, which the directory relays to all nodes, and messages to other owners."""

    changes: list[DirectoryEntry] = []
    effects: list[Effect] = []


class EngineMonitor:
    """Monitors the engines that this node owns. Only owners in contact with the fleet mark an engine lost."""

    def __init__(
        self, own: NodeId, table: DirectoryTable, owners: OwnerNodes, settings: DirectorySettings
    ) -> None:
        self._own = own
        self._table = table
        self._owners = owners
        self._settings = settings
        self._heartbeats = HeartbeatTracker(settings)
        self._vote_at = 0.0
        self._scan_left: list[EngineId] = []
        self.connected = True

    def next_deadline(self) -> float:
        """Return when votes are due."""
        return self._vote_at

    def grant_grace(self, now: float) -> None:
        """Restart every engine's timeout, after a time in which this node couldn't receive heartbeats."""
        self._heartbeats.grant_grace(now)

    def forget(self, engine: EngineId) -> None:
        """Stop monitoring a removed engine."""
        self._heartbeats.forget(engine)

    def record_heartbeat(self, incarnation_id: wire.EngineIncarnation, now: float) -> None:
        """Record a heartbeat that the engine sent to this node."""
        self._heartbeats.record(incarnation_id, now)

    def handle_heartbeats(
        self, incarnations: tuple[wire.EngineIncarnation, ...], now: float
    ) -> MonitorResult:
        """Record forwarded heartbeats; mark a lost engine alive again."""
        result = MonitorResult()
        for incarnation_id in incarnations:
            entry = self._table.get(incarnation_id.engine)
            if entry is None or entry.record.incarnation != incarnation_id.incarnation or entry.left:
                continue
            self._heartbeats.record(incarnation_id, now)
            if entry.health % 2:
                result.changes.append(_health_changed(entry))
        return result

    def vote(self, now: float) -> MonitorResult:
        """Send the other owners a vote on unresponsive engines; mark lost those with enough votes."""
        result = MonitorResult()
        if now < self._vote_at:
            return result
        self._vote_at = now + self._settings.vote_period_s
        if not self.connected:
            return result
        ballots: dict[NodeId, list[wire.EngineIncarnation]] = {}
        for engine in self._heartbeats.unresponsive(now)[: self._settings.votes_per_message]:
            entry = self._table.get(engine)
            owners = self._owners.of(engine)
            if entry is None or entry.left or entry.health % 2 or self._own not in owners:
                self._heartbeats.forget(engine)
                continue
            incarnation_id = wire.EngineIncarnation(engine, entry.record.incarnation)
            for owner in owners:
                if owner != self._own:
                    ballots.setdefault(owner, []).append(incarnation_id)
            self._count_vote(self._own, incarnation_id, entry, result, now)
        result.effects += [
            Send(owner, wire.EngineTimeoutVote(tuple(each))) for owner, each in ballots.items()
        ]
        return result

    def handle_votes(
        self, sender: NodeId, incarnations: tuple[wire.EngineIncarnation, ...], now: float
    ) -> MonitorResult:
        """Count another owner's votes; reply with the engines whose heartbeats arrived here recently."""
        result = MonitorResult()
        recent: list[wire.EngineIncarnation] = []
        unresponsive = set(self._heartbeats.unresponsive(now))
        for incarnation_id in incarnations:
            entry = self._table.get(incarnation_id.engine)
            if entry is None or entry.record.incarnation != incarnation_id.incarnation or entry.health % 2:
                continue
            if incarnation_id.engine in unresponsive and sender in self._owners.of(incarnation_id.engine):
                self._count_vote(sender, incarnation_id, entry, result, now)
            elif self._heartbeats.heard_within(
                incarnation_id.engine, self._settings.heartbeat_timeout_s / 3, now
            ):
                recent.append(incarnation_id)
        if recent and self.connected:
            result.effects.append(Send(sender, wire.EngineHeartbeatsRelay(tuple(recent))))
        return result

    def scan(self, now: float) -> None:
        """Start tracking owned engines whose heartbeat never arrived here, a few at a time."""
        self._scan_left = self._scan_left or self._table.names()
        for engine in self._scan_left[: self._settings.scan_engines]:
            entry = self._table.get(engine)
            if entry is None or entry.status in (EngineStatus.LOST, EngineStatus.LEFT):
                continue
            if engine not in self._heartbeats and self._own in self._owners.of(engine):
                self._heartbeats.record(wire.EngineIncarnation(engine, entry.record.incarnation), now)
        del self._scan_left[: self._settings.scan_engines]

    def _count_vote(
        self,
        voter: NodeId,
        incarnation_id: wire.EngineIncarnation,
        entry: DirectoryEntry,
        result: MonitorResult,
        now: float,
    ) -> None:
        votes = self._heartbeats.add_vote(voter, incarnation_id, now)
        if votes < self._owners.needed_votes() or not self.connected:
            return
        self._heartbeats.forget(incarnation_id.engine)
        result.changes.append(_health_changed(entry))


def _health_changed(entry: DirectoryEntry) -> DirectoryEntry:
    """Return the entry with the next health counter: odd is lost, even is alive."""
    return msgspec.structs.replace(entry, health=entry.health + 1)
