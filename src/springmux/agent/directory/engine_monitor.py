"""What a home node does for its engines: hear their heartbeats, vote on silence, find lost and back."""

from __future__ import annotations

import msgspec

from springmux.agent.directory import messages as wire
from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.owner_nodes import OwnerNodes, Watch
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.table import DirectoryTable
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Effect, Send
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.names import EngineId


class Findings(msgspec.Struct):
    """Entries that the home changes, to be spread by the directory, and messages to other homes."""

    changes: list[DirectoryEntry] = []
    effects: list[Effect] = []


class EngineMonitor:
    """The own node as a home. Only homes in contact with the fleet find an engine lost."""

    def __init__(
        self, own: NodeId, table: DirectoryTable, homes: OwnerNodes, settings: DirectorySettings
    ) -> None:
        self._own = own
        self._table = table
        self._homes = homes
        self._settings = settings
        self._watch = Watch(settings)
        self._vote_at = 0.0
        self._scan_left: list[EngineId] = []
        self.connected = True

    def next_deadline(self) -> float:
        """Return when votes are due."""
        return self._vote_at

    def grant_grace(self, now: float) -> None:
        """Give every engine its whole time again: this node couldn't have heard it."""
        self._watch.grant_grace(now)

    def forget(self, engine: EngineId) -> None:
        """Stop to watch an engine that is gone."""
        self._watch.forget(engine)

    def heard_here(self, life: wire.EngineIncarnation, now: float) -> None:
        """Note a heartbeat that came to this node itself."""
        self._watch.heard(life, now)

    def take_heard(self, lives: tuple[wire.EngineIncarnation, ...], now: float) -> Findings:
        """Note heartbeats that other nodes pass on; a lost engine that speaks is back."""
        findings = Findings()
        for life in lives:
            entry = self._table.get(life.engine)
            if entry is None or entry.record.incarnation != life.incarnation or entry.left:
                continue
            self._watch.heard(life, now)
            if entry.health % 2:
                findings.changes.append(_health_changed(entry))
        return findings

    def vote(self, now: float) -> Findings:
        """Tell the other homes which engines are silent; find lost those on which homes agree."""
        findings = Findings()
        if now < self._vote_at:
            return findings
        self._vote_at = now + self._settings.vote_period_s
        if not self.connected:
            return findings
        ballots: dict[NodeId, list[wire.EngineIncarnation]] = {}
        for engine in self._watch.silent(now)[: self._settings.votes_per_message]:
            entry = self._table.get(engine)
            homes = self._homes.of(engine)
            if entry is None or entry.left or entry.health % 2 or self._own not in homes:
                self._watch.forget(engine)
                continue
            life = wire.EngineIncarnation(engine, entry.record.incarnation)
            for home in homes:
                if home != self._own:
                    ballots.setdefault(home, []).append(life)
            self._count(self._own, life, entry, findings, now)
        findings.effects += [
            Send(home, wire.EngineTimeoutVote(tuple(each))) for home, each in ballots.items()
        ]
        return findings

    def take_votes(self, sender: NodeId, lives: tuple[wire.EngineIncarnation, ...], now: float) -> Findings:
        """Count another home's votes; answer with the engines that were heard here lately."""
        findings = Findings()
        heard: list[wire.EngineIncarnation] = []
        silent = set(self._watch.silent(now))
        for life in lives:
            entry = self._table.get(life.engine)
            if entry is None or entry.record.incarnation != life.incarnation or entry.health % 2:
                continue
            if life.engine in silent and sender in self._homes.of(life.engine):
                self._count(sender, life, entry, findings, now)
            elif self._watch.heard_within(life.engine, self._settings.silence_s / 3, now):
                heard.append(life)
        if heard and self.connected:
            findings.effects.append(Send(sender, wire.EngineHeartbeatsRelay(tuple(heard))))
        return findings

    def scan(self, now: float) -> None:
        """Find engines that this node became a home of without ever hearing them, a few at a time."""
        self._scan_left = self._scan_left or self._table.names()
        for engine in self._scan_left[: self._settings.scan_engines]:
            entry = self._table.get(engine)
            if entry is None or entry.status in (EngineStatus.LOST, EngineStatus.LEFT):
                continue
            if engine not in self._watch and self._own in self._homes.of(engine):
                self._watch.heard(wire.EngineIncarnation(engine, entry.record.incarnation), now)
        del self._scan_left[: self._settings.scan_engines]

    def _count(
        self,
        voter: NodeId,
        life: wire.EngineIncarnation,
        entry: DirectoryEntry,
        findings: Findings,
        now: float,
    ) -> None:
        votes = self._watch.vote(voter, life, now)
        if votes < self._homes.needed_votes() or not self.connected:
            return
        self._watch.forget(life.engine)
        findings.changes.append(_health_changed(entry))


def _health_changed(entry: DirectoryEntry) -> DirectoryEntry:
    """Return the entry with the next health number: odd ones are lost, even ones alive."""
    return msgspec.structs.replace(entry, health=entry.health + 1)
