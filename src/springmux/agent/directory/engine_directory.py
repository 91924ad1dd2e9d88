"""Replicated directory of engines: every node's view of the back ends.

An engine connects to any node. That node relays changes to all nodes immediately and forwards heartbeats
to the engine's owner nodes. Owners that receive no heartbeat vote to mark the engine lost.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from springmux.agent.directory import messages as wire
from springmux.agent.directory.anti_entropy import AntiEntropy
from springmux.agent.directory.catch_up import CatchUp
from springmux.agent.directory.change_relay import ChangeRelay
from springmux.agent.directory.effects import EnginesChanged
from springmux.agent.directory.engine_monitor import EngineMonitor, MonitorResult
from springmux.agent.directory.entry import (
    DirectoryEntry,
    departed_entry,
    refresh_entry,
    stop_entry,
    with_status_ready,
)
from springmux.agent.directory.forwarding import HeartbeatForwarder
from springmux.agent.directory.log_lines import outdated_incarnation_log_line, status_log_line
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.relay_queue import RelayQueue
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.stop_confirmations import StopConfirmations
from springmux.agent.directory.stops import Stop, StopReorderBuffer
from springmux.agent.directory.table import DirectoryTable
from springmux.agent.directory.unresponsive_peers import UnresponsivePeers
from springmux.agent.events import EngineAnnounced, EngineDraining, EngineHeartbeat, EngineLeft
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.events import ContactChanged, MembershipUpdated
from springmux.coordination.state_machine import (
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)
from springmux.vocabulary.engines import EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId

MessageHandler = Callable[[NodeId, Any, float], list[Effect]]
"""Handles a peer's message; each handler accepts its own message type."""


class EngineDirectory:
    """One node's replica of the directory: handles events of its engines and messages of its peers."""

    def __init__(self, own: NodeId, random: random.Random, settings: DirectorySettings | None = None) -> None:
        self._own = own
        self._settings = settings or DirectorySettings()
        self._table = DirectoryTable()
        self._owners = OwnerNodes(own, self._settings)
        self._monitor = EngineMonitor(own, self._table, self._owners, self._settings)
        self._unresponsive = UnresponsivePeers(self._settings.unresponsive_s)
        self._anti_entropy = AntiEntropy(self._table, self._unresponsive, self._settings, random)
        self._relay = ChangeRelay(own, self._owners, self._unresponsive, random, self._settings)
        self._catch_up = CatchUp(self._settings, random)
        self._handled_at: float | None = None
        self._relay_queue = RelayQueue(self._table, self._settings)
        self._stops = StopReorderBuffer()
        self._confirmations = StopConfirmations(own, self._settings.stop_receipts_s)
        self._forwarder = HeartbeatForwarder(own, self._owners, self._settings)
        self._scan_at = 0.0
        self._loads_at = 0.0
        self._publish_at = 0.0
        self._unpublished = False
        self._message_handlers = self._make_message_handlers()

    @property
    def view(self) -> EnginesView:
        """Return the current immutable view."""
        return self._table.view()

    def next_deadline(self) -> float:
        """Return when the next tick is due."""
        deadline = min(self._anti_entropy.due_at, self._monitor.next_deadline(), self._scan_at)
        deadline = min(deadline, self._forwarder.due_at, self._catch_up.due_at, self._relay_queue.due_at)
        deadline = min(deadline, self._relay.due_at)
        if self._unpublished:
            deadline = min(deadline, self._publish_at)
        return deadline

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        self._detect_pause(now)
        effects: list[Effect] = []
        if isinstance(event, Tick):
            effects += self._tick(now)
        elif isinstance(event, MessageReceived):
            effects += self._handle_message(event.sender, event.message, now)
        elif isinstance(event, MembershipUpdated):
            self._owners.update_view(event.view)
            self._unresponsive.update_view(event.view)
            self._confirmations.update_view(event.view)
        elif isinstance(event, ContactChanged):
            effects += self._change_contact(event, now)
        else:
            effects += self._handle_engine_event(event, now)
        return effects + self._relay_changes(now) + self._publish(now)

    def catching_up(self, now: float) -> bool:
        """Return whether the directory may lack changes made while this node was partitioned or down."""
        return self._catch_up.running(now)

    def stop_holders(self, engine: EngineId) -> frozenset[NodeId]:
        """Return the nodes known to know that an engine drains or has left, as it last told this node."""
        return self._confirmations.holders(engine)

    def _change_contact(self, event: ContactChanged, now: float) -> list[Effect]:
        self._monitor.connected = event.connected
        self._monitor.restart_timeouts(now)
        self._relay_queue.change_contact(event.connected)
        if not event.connected:
            self._catch_up.stop()
            return []
        self._catch_up.begin(event.peers, now)
        self._anti_entropy.settle(now)
        return self._send_catch_up_digests(now)

    def _send_catch_up_digests(self, now: float) -> list[Effect]:
        return self._anti_entropy.digests(self._catch_up.receivers(now), reply_wanted=True)

    def _detect_pause(self, now: float) -> None:
        last, self._handled_at = self._handled_at, now
        if last is not None and now - last >= self._settings.pause_s:
            self._monitor.restart_timeouts(now)

    def _batch_s(self) -> float:
        engines = len(self._table)
        if engines <= self._settings.batch_from_engines:
            return 0.0
        return engines * self._settings.batch_s_per_engine

    def _relay_changes(self, now: float) -> list[Effect]:
        entries = self._relay_queue.take(self._batch_s(), now)
        return self._relay.send(entries, now)

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

    # --- engine events ---

    def _handle_engine_event(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, EngineAnnounced):
            return self._handle_record(event.record, now, announced=True)
        if isinstance(event, EngineHeartbeat):
            effects = self._handle_record(event.record, now, announced=False)
            known = self._table.get(event.record.engine)
            if known is not None and known.record.incarnation == event.record.incarnation:
                self._table.put_load(event.load)
            if event.record.status is EngineStatus.DRAINING:
                effects += self._request_confirmation(event.record.engine, event.record.incarnation, now)
            return effects
        if isinstance(event, EngineDraining | EngineLeft):
            stop = Stop(isinstance(event, EngineLeft), event.incarnation)
            effects = self._handle_stop(event.engine, stop, now)
            return effects + self._request_confirmation(event.engine, event.incarnation, now)
        return []

    def _request_confirmation(self, engine: EngineId, incarnation: int, now: float) -> list[Effect]:
        """Tell the controllers of a stop. A node that doesn't know the engine passes on that it has left."""
        known = self._table.get(engine)
        if known is None:
            return self._confirmations.request(departed_entry(engine, incarnation), now)
        return self._confirmations.request(known, now) if known.draining or known.left else []

    def _handle_record(self, record: EngineRecord, now: float, announced: bool) -> list[Effect]:
        known = self._table.get(record.engine)
        draining = record.status is EngineStatus.DRAINING
        if known is None or record.incarnation > known.record.incarnation:
            entry = DirectoryEntry(record=with_status_ready(record), intent=int(draining))
        elif record.incarnation < known.record.incarnation or known.left:
            return [outdated_incarnation_log_line(record.engine, record.incarnation)] if announced else []
        else:
            late = self._stops.is_late(record.engine, now)
            entry = refresh_entry(known, record, draining, announced=announced and not late)
        effects = self._apply_local_change(entry, now)
        incarnation_id = wire.EngineIncarnation(record.engine, record.incarnation)
        if self._own in self._owners.owners_of(incarnation_id.engine):
            self._monitor.record_heartbeat(incarnation_id, now)
        self._forwarder.add(incarnation_id, now)
        return effects

    def _handle_stop(self, engine: EngineId, stop: Stop, now: float) -> list[Effect]:
        known = self._table.get(engine)
        if known is None or known.record.incarnation < stop.incarnation:
            self._stops.buffer(engine, stop, now)
            if stop.left and stop.incarnation:
                # Nodes that list the engine as lost know it, although this one is not told of lost engines.
                self._relay_queue.add(departed_entry(engine, stop.incarnation), now)
            return [LogLine("directory_early_stop", LogLevel.WARNING, {"engine": engine, "left": stop.left})]
        if not stop.applies_to(known.record.incarnation):
            return [outdated_incarnation_log_line(engine, stop.incarnation)]
        return self._apply_local_change(stop_entry(known, stop.left), now)

    def _apply_local_change(self, entry: DirectoryEntry, now: float) -> list[Effect]:
        """Merge a change that originated at this node and queue it for the relay."""
        before = self._table.get(entry.record.engine)
        if not self._table.merge(entry, now):
            return []
        self._relay_queue.add(entry, now)
        return [*status_log_line(before, entry), *self._process_stops(before, entry, now)]

    def _merge_from_peer(self, entry: DirectoryEntry, now: float) -> list[Effect]:
        """Merge a change that another node relayed."""
        before = self._table.get(entry.record.engine)
        return self._process_stops(before, entry, now) if self._table.merge(entry, now) else []

    def _process_stops(
        self, before: DirectoryEntry | None, entry: DirectoryEntry, now: float
    ) -> list[Effect]:
        """Record a new drain; apply a stop that was buffered for this incarnation."""
        engine, incarnation = entry.record.engine, entry.record.incarnation
        same_incarnation = before is not None and before.record.incarnation == incarnation
        if entry.draining and (before is None or not same_incarnation or before.intent < entry.intent):
            self._stops.record_drain(engine, now)
        early_stop = None if same_incarnation else self._stops.pop(engine, incarnation, now)
        return [] if early_stop is None else self._apply_local_change(stop_entry(entry, early_stop.left), now)

    # --- owner nodes ---

    def _apply_result(self, result: MonitorResult, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for entry in result.changes:
            effects += self._apply_local_change(entry, now)
        return effects + result.effects

    def _scan(self, now: float) -> None:
        """Expire old state, and start tracking a few of the engines that this node now owns."""
        if now < self._scan_at:
            return
        self._scan_at = now + self._settings.scan_period_s
        self._expire(now)
        self._monitor.scan(now)

    def _expire(self, now: float) -> None:
        self._stops.expire(now)
        self._relay_queue.expire(now)
        self._confirmations.expire(now)
        for engine in self._table.remove_expired(now, self._settings):
            self._forwarder.forget(engine)
            self._monitor.forget(engine)
            self._owners.forget(engine)

    # --- ticks and messages ---

    def _tick(self, now: float) -> list[Effect]:
        self._scan(now)
        others = [node for node in self._owners.zones if node != self._own]
        effects = self._forwarder.send(now) + self._apply_result(self._monitor.vote(now), now)
        effects += self._relay.replace_expired(now)
        effects += self._anti_entropy.begin(others, now)
        return effects + self._send_catch_up_digests(now)

    def _handle_message(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        self._unresponsive.discard(sender)
        handler = self._message_handlers.get(type(message))
        return [] if handler is None else handler(sender, message, now)

    def _make_message_handlers(self) -> dict[type[PeerMessage], MessageHandler]:
        return {
            wire.DirectoryRelay: self._on_relay,
            wire.DirectoryRelayAck: self._on_relay_ack,
            wire.EngineStopNotice: self._on_stop_notice,
            wire.EngineStopReceipt: self._on_stop_receipt,
            wire.EngineHeartbeatsRelay: self._on_heartbeats,
            wire.EngineTimeoutVote: self._on_votes,
            wire.DirectoryDigest: self._on_digest,
            wire.LostEnginesQuery: self._on_lost_query,
            wire.DirectoryInSync: self._on_in_sync,
            wire.DirectoryBuckets: self._on_buckets,
            wire.DirectoryEntries: self._on_entries,
        }

    def _on_relay(self, sender: NodeId, message: wire.DirectoryRelay, now: float) -> list[Effect]:
        effects = self._merge_received(message.entries, now)
        return effects + self._relay.forward(sender, message, now)

    def _on_relay_ack(self, sender: NodeId, message: wire.DirectoryRelayAck, _now: float) -> list[Effect]:
        self._relay.acknowledge(sender, message)
        return []

    def _on_stop_notice(self, sender: NodeId, message: wire.EngineStopNotice, now: float) -> list[Effect]:
        entry = message.entry
        receipt = wire.EngineStopReceipt(entry.record.engine, entry.left)
        return [*self._merge_received((entry,), now), Send(sender, receipt)]

    def _on_stop_receipt(self, sender: NodeId, message: wire.EngineStopReceipt, _now: float) -> list[Effect]:
        self._confirmations.record(sender, message)
        return []

    def _on_heartbeats(
        self, _sender: NodeId, message: wire.EngineHeartbeatsRelay, now: float
    ) -> list[Effect]:
        return self._apply_result(self._monitor.handle_heartbeats(message.incarnations, now), now)

    def _on_votes(self, sender: NodeId, message: wire.EngineTimeoutVote, now: float) -> list[Effect]:
        return self._apply_result(self._monitor.handle_votes(sender, message.incarnations, now), now)

    def _on_digest(self, sender: NodeId, message: wire.DirectoryDigest, now: float) -> list[Effect]:
        return self._anti_entropy.handle_digest(sender, message, not self._catch_up.running(now))

    def _on_lost_query(self, sender: NodeId, message: wire.LostEnginesQuery, _now: float) -> list[Effect]:
        return self._anti_entropy.handle_lost_query(sender, message)

    def _on_in_sync(self, _sender: NodeId, _message: wire.DirectoryInSync, _now: float) -> list[Effect]:
        self._catch_up.stop()
        return []

    def _on_buckets(self, sender: NodeId, message: wire.DirectoryBuckets, now: float) -> list[Effect]:
        return self._anti_entropy.handle_buckets(sender, message, now)

    def _on_entries(self, sender: NodeId, message: wire.DirectoryEntries, now: float) -> list[Effect]:
        effects = self._merge_received(message.entries, now)
        return effects + self._reply_to_entries(sender, message)

    def _merge_received(self, entries: tuple[DirectoryEntry, ...], now: float) -> list[Effect]:
        return [effect for entry in entries for effect in self._merge_from_peer(entry, now)]

    def _reply_to_entries(self, sender: NodeId, message: wire.DirectoryEntries) -> list[Effect]:
        newer = self._anti_entropy.entries_missing_at_sender(message) if message.reply_wanted else []
        limit = self._settings.entries_per_message
        chunks = (newer[start : start + limit] for start in range(0, len(newer), limit))
        return [Send(sender, wire.DirectoryEntries(tuple(chunk))) for chunk in chunks]
