"""Reports of a hollow backend to the fleet: announcement, heartbeats, drain and departure."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from springmux.agent.events import EngineAnnounced, EngineDraining, EngineHeartbeat, EngineLeft
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import Event
from springmux.simulation.world.scheduler import Scheduler
from springmux.vocabulary.engines import EngineLoad, EngineRecord, EngineStatus

HEARTBEAT_S = 1.0
"""Mean interval between heartbeats in seconds (docs/API.md)."""
RETRY_S = 0.3
"""Seconds before a report that no node accepted is resent."""
MAX_HEARTBEAT_DELAY_S = 0.5
"""Maximum random delay of a heartbeat, in seconds."""


class ReportReceiver(Protocol):
    """Delivers the reports of engines to nodes."""

    def report(self, event: Event, source: random.Random) -> NodeId | None:
        """Deliver a report to one node; return that node, or ``None`` if no node accepts reports now."""
        ...


class EngineLoadSample(msgspec.Struct, frozen=True):
    """Load of an engine at one moment. ``cache_used``: fraction of the cache in use, 0..1."""

    running: int
    queued: int
    cache_used: float


class EngineReporter:
    """Sends the reports of one engine from its start to its end.

    :param load: returns the engine's load now.
    :param stop_reported: called with the node that received the report of a drain or a departure.
    """

    def __init__(
        self,
        record: EngineRecord,
        load: Callable[[], EngineLoadSample],
        scheduler: Scheduler,
        clock: Callable[[], float],
        nodes: ReportReceiver,
        stop_reported: Callable[[NodeId], None],
        source: random.Random,
    ) -> None:
        self.record = record
        self.unresponsive = False
        self.draining = False
        self._sample_load = load
        self._scheduler = scheduler
        self._clock = clock
        self._nodes = nodes
        self._stop_reported = stop_reported
        self._random = source
        self._generation = 0
        """Incremented at each start and end; callbacks of an earlier generation are ignored."""
        self._sequence = 0

    def start(self) -> None:
        """Repeat the announcement until a node accepts it, then send heartbeats."""
        self._generation += 1
        self._announce(self._generation)

    def end(self) -> None:
        """Stop sending; reports already in flight still arrive."""
        self._generation += 1

    def drain(self) -> None:
        """Report that the engine accepts no new requests."""
        self.draining = True
        self._report_stop(EngineDraining(self.record.engine, self.record.incarnation), self._generation)

    def leave(self) -> None:
        """Report that the engine leaves. The report is not repeated once the engine has ended."""
        self.draining = True
        self._report_stop(EngineLeft(self.record.engine, self.record.incarnation), self._generation)

    def _announce(self, generation: int) -> None:
        if generation != self._generation:
            return
        if self.unresponsive or self._nodes.report(EngineAnnounced(self.record), self._random) is None:
            self._scheduler.after(RETRY_S, lambda: self._announce(generation))
            return
        self._schedule_heartbeat(generation)

    def _schedule_heartbeat(self, generation: int) -> None:
        self._scheduler.after(
            HEARTBEAT_S * self._random.uniform(0.9, 1.1), lambda: self._send_heartbeat(generation)
        )

    def _send_heartbeat(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._schedule_heartbeat(generation)
        if self.unresponsive:
            return
        heartbeat = self._heartbeat()
        draining = self.draining

        def send() -> None:
            if generation != self._generation or self.unresponsive:
                return
            node = self._nodes.report(heartbeat, self._random)
            if node is not None and draining:
                self._stop_reported(node)

        self._scheduler.after(MAX_HEARTBEAT_DELAY_S * self._random.random(), send)

    def _heartbeat(self) -> EngineHeartbeat:
        self._sequence += 1
        status = EngineStatus.DRAINING if self.draining else EngineStatus.READY
        record = msgspec.structs.replace(self.record, sequence=self._sequence, status=status)
        sample = self._sample_load()
        load = EngineLoad(record.engine, sample.running, sample.queued, sample.cache_used, self._clock())
        return EngineHeartbeat(record, load)

    def _report_stop(self, event: Event, generation: int) -> None:
        if generation != self._generation:
            return
        node = self._nodes.report(event, self._random)
        if node is None:
            self._scheduler.after(RETRY_S, lambda: self._report_stop(event, generation))
            return
        self._stop_reported(node)
