"""The directory part: every node's picture of the back ends.

Engines speak to any node. That node spreads what changed to all nodes at once and passes heartbeats on to
the engine's home nodes; homes that hear nothing agree by vote that the engine is lost.
"""

from __future__ import annotations

import random

from springmux.agent.directory import messages as wire
from springmux.agent.directory.anti_entropy import AntiEntropy, relay_entries, relay_on
from springmux.agent.directory.catch_up import CatchUp
from springmux.agent.directory.effects import EnginesChanged
from springmux.agent.directory.engine_monitor import EngineMonitor, Findings
from springmux.agent.directory.entry import DirectoryEntry, bare, heard_again, stopped
from springmux.agent.directory.forwarding import HeartbeatForwarder
from springmux.agent.directory.log_events import old_life, status_note
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.stops import Stop, StopOrder
from springmux.agent.directory.table import DirectoryTable
from springmux.agent.events import EngineAnnounced, EngineDraining, EngineHeartbeat, EngineLeft
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.events import ContactChanged, MembershipUpdated
from springmux.coordination.state_machine import (
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    Send,
    Tick,
)
from springmux.vocabulary.engines import EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId


class EngineDirectory:
    """Directory of back ends at one node."""

    def __init__(self, own: NodeId, random: random.Random, settings: DirectorySettings | None = None) -> None:
        self._own = own
        self._random = random
        self._settings = settings or DirectorySettings()
        self._table = DirectoryTable()
        self._homes = OwnerNodes(own, self._settings)
        self._duty = EngineMonitor(own, self._table, self._homes, self._settings)
        self._repair = AntiEntropy(self._table, self._settings, random)
        self._catch_up = CatchUp(self._settings, random)
        self._handled_at: float | None = None
        self._changed: dict[EngineId, DirectoryEntry] = {}
        self._stops = StopOrder()
        self._forwarder = HeartbeatForwarder(own, self._homes, self._settings)
        self._scan_at = 0.0
        self._loads_at = 0.0
        self._spread_at = 0.0
        self._publish_at = 0.0
        self._unpublished = False

    @property
    def view(self) -> EnginesView:
        """Return the present immutable view."""
        return self._table.view()

    def next_deadline(self) -> float:
        """Return when the next tick is wanted."""
        deadline = min(self._repair.due_at, self._duty.next_deadline(), self._scan_at)
        deadline = min(deadline, self._forwarder.due_at, self._catch_up.due_at)
        if self._changed:
            deadline = min(deadline, self._spread_at)
        if self._unpublished:
            deadline = min(deadline, self._publish_at)
        return deadline

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        self._note_pause(now)
        effects: list[Effect] = []
        if isinstance(event, Tick):
            effects += self._tick(now)
        elif isinstance(event, MessageReceived):
            effects += self._receive(event.sender, event.message, now)
        elif isinstance(event, MembershipUpdated):
            self._homes.set_view(event.view)
        elif isinstance(event, ContactChanged):
            effects += self._change_contact(event, now)
        else:
            effects += self._hear_engine(event, now)
        return effects + self._spread(now) + self._publish(now)

    def catching_up(self, now: float) -> bool:
        """Say whether the directory may lack what happened while this node was cut off or not there."""
        return self._catch_up.running(now)

    def _change_contact(self, event: ContactChanged, now: float) -> list[Effect]:
        self._duty.connected = event.connected
        self._duty.grant_grace(now)
        if not event.connected:
            self._catch_up.stop()
            return []
        self._catch_up.begin(event.peers, now)
        return self._catch_up.ask(self._table.root(), now)

    def _note_pause(self, now: float) -> None:
        last, self._handled_at = self._handled_at, now
        if last is not None and now - last >= self._settings.pause_s:
            self._duty.grant_grace(now)

    def _batch_s(self) -> float:
        engines = len(self._table)
        if engines <= self._settings.batch_from_engines:
            return 0.0
        return engines * self._settings.batch_s_per_engine

    def _spread(self, now: float) -> list[Effect]:
        if not self._changed or now < self._spread_at:
            return []
        self._spread_at = now + self._batch_s()
        entries = list(self._changed.values())
        self._changed.clear()
        return relay_entries(entries, self._homes, self._own, self._random, self._settings)

    def _publish(self, now: float) -> list[Effect]:
        self._unpublished = self._unpublished or self._table.entries_changed
        entries_due = self._unpublished and now >= self._publish_at
        loads_due = self._table.loads_changed and now >= self._loads_at
        if not entries_due and not loads_due:
            return []
        self._unpublished = False
        self._publish_at = now + self._batch_s()
        self._loads_at = now + self._settings.loads_period_s
        return [EnginesChanged(self._table.view())]

    # --- what engines say ---

    def _hear_engine(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, EngineAnnounced):
            return self._hear_record(event.record, now, announced=True)
        if isinstance(event, EngineHeartbeat):
            effects = self._hear_record(event.record, now, announced=False)
            known = self._table.get(event.record.engine)
            if known is not None and known.record.incarnation == event.record.incarnation:
                self._table.put_load(event.load)
            return effects
        if isinstance(event, EngineDraining):
            return self._stop(event.engine, Stop(False, event.incarnation), now)
        if isinstance(event, EngineLeft):
            return self._stop(event.engine, Stop(True, event.incarnation), now)
        return []

    def _hear_record(self, record: EngineRecord, now: float, announced: bool) -> list[Effect]:
        known = self._table.get(record.engine)
        draining = record.status is EngineStatus.DRAINING
        if known is None or record.incarnation > known.record.incarnation:
            entry = DirectoryEntry(record=bare(record), intent=int(draining))
        elif record.incarnation < known.record.incarnation or known.left:
            return [old_life(record.engine, record.incarnation)] if announced else []
        else:
            late = self._stops.is_late(record.engine, now)
            entry = heard_again(known, record, draining, announced=announced and not late)
        effects = self._change(entry, now)
        life = wire.EngineIncarnation(record.engine, record.incarnation)
        if self._own in self._homes.of(life.engine):
            self._duty.heard_here(life, now)
        self._forwarder.add(life, now)
        return effects

    def _stop(self, engine: EngineId, stop: Stop, now: float) -> list[Effect]:
        known = self._table.get(engine)
        if known is None or known.record.incarnation < stop.incarnation:
            self._stops.keep(engine, stop, now)
            return [LogLine("directory_early_stop", LogLevel.WARNING, {"engine": engine, "left": stop.left})]
        if not stop.concerns(known.record.incarnation):
            return [old_life(engine, stop.incarnation)]
        return self._change(stopped(known, stop.left), now)

    def _change(self, entry: DirectoryEntry, now: float) -> list[Effect]:
        """Take a change that was made here, to be spread."""
        before = self._table.get(entry.record.engine)
        if not self._table.take(entry, now):
            return []
        self._changed[entry.record.engine] = entry
        return [*status_note(before, entry), *self._note_stops(before, entry, now)]

    def _take(self, entry: DirectoryEntry, now: float) -> list[Effect]:
        """Take a change that another node spreads."""
        before = self._table.get(entry.record.engine)
        return self._note_stops(before, entry, now) if self._table.take(entry, now) else []

    def _note_stops(self, before: DirectoryEntry | None, entry: DirectoryEntry, now: float) -> list[Effect]:
        """Note a drain that is news here; carry out a stop that waited for this life."""
        engine, incarnation = entry.record.engine, entry.record.incarnation
        same_life = before is not None and before.record.incarnation == incarnation
        if entry.intent % 2 and (before is None or not same_life or before.intent < entry.intent):
            self._stops.note_drain(engine, now)
        early = None if same_life else self._stops.take(engine, incarnation, now)
        return [] if early is None else self._change(stopped(entry, early.left), now)

    # --- home nodes ---

    def _conclude(self, findings: Findings, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for entry in findings.changes:
            effects += self._change(entry, now)
        return effects + findings.effects

    def _scan(self, now: float) -> None:
        """Find engines that this node became a home of without ever hearing them, a few at a time."""
        if now < self._scan_at:
            return
        self._scan_at = now + self._settings.scan_period_s
        self._forget(now)
        self._duty.scan(now)

    def _forget(self, now: float) -> None:
        self._stops.forget_old(now)
        for engine in self._table.forget_gone(now, self._settings):
            self._forwarder.forget(engine)
            self._duty.forget(engine)
            self._homes.forget(engine)

    # --- ticks and messages ---

    def _tick(self, now: float) -> list[Effect]:
        self._scan(now)
        others = [node for node in self._homes.zones if node != self._own]
        effects = self._forwarder.send(now) + self._conclude(self._duty.vote(now), now)
        effects += self._repair.begin(others, now)
        return effects + self._catch_up.ask(self._table.root(), now)

    def _receive(self, sender: NodeId, message: object, now: float) -> list[Effect]:
        if isinstance(message, wire.DirectoryRelay):
            effects = self._take_all(message.entries, now)
            return effects + relay_on(message, self._homes, self._own, self._settings)
        if isinstance(message, wire.EngineHeartbeatsRelay):
            return self._conclude(self._duty.take_heard(message.lives, now), now)
        if isinstance(message, wire.EngineTimeoutVote):
            return self._conclude(self._duty.take_votes(sender, message.lives, now), now)
        if isinstance(message, wire.DirectoryDigest):
            return self._repair.take_digest(sender, message, not self._catch_up.running(now))
        if isinstance(message, wire.DirectoryInSync):
            self._catch_up.stop()
        if isinstance(message, wire.DirectoryBuckets):
            return self._repair.take_buckets(sender, message, now)
        if isinstance(message, wire.DirectoryEntries):
            effects = self._take_all(message.entries, now)
            return effects + self._answer_entries(sender, message)
        return []

    def _take_all(self, entries: tuple[DirectoryEntry, ...], now: float) -> list[Effect]:
        return [effect for entry in entries for effect in self._take(entry, now)]

    def _answer_entries(self, sender: NodeId, message: wire.DirectoryEntries) -> list[Effect]:
        newer = self._repair.newer_than(message) if message.answer_wanted else []
        limit = self._settings.entries_per_message
        chunks = (newer[start : start + limit] for start in range(0, len(newer), limit))
        return [Send(sender, wire.DirectoryEntries(tuple(chunk))) for chunk in chunks]
