"""What a hollow back end tells the fleet: it announces itself, sends heartbeats, drains and leaves."""

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
"""About once a second, as docs/API.md asks."""
RETRY_S = 0.3
"""A report that no node took is repeated this soon."""
MAX_HEARTBEAT_DELAY_S = 0.5
"""A heartbeat is late by up to this."""


class ReportReceiver(Protocol):
    """The nodes as an engine reaches them."""

    def report(self, event: Event, source: random.Random) -> NodeId | None:
        """Hand a report to some node that takes it; ``None`` if none does now."""
        ...


class EngineLoadSample(msgspec.Struct, frozen=True):
    """Load at one moment."""

    running: int
    queued: int
    cache_used: float


class EngineReporter:
    """Reports one engine from its start to its end.

    :param stop_reported: called with the node that was told that the engine drains or leaves.
    """

    def __init__(
        self,
        record: EngineRecord,
        figures: Callable[[], EngineLoadSample],
        scheduler: Scheduler,
        clock: Callable[[], float],
        nodes: ReportReceiver,
        stop_reported: Callable[[NodeId], None],
        source: random.Random,
    ) -> None:
        self.record = record
        self.dark = False
        self.draining = False
        self._figures = figures
        self._scheduler = scheduler
        self._clock = clock
        self._nodes = nodes
        self._stop_reported = stop_reported
        self._random = source
        self._life = 0
        self._sequence = 0

    def start(self) -> None:
        """Announce until a node takes it, then send heartbeats."""
        self._life += 1
        self._announce(self._life)

    def end(self) -> None:
        """Say nothing more; what was already under way to a node still arrives."""
        self._life += 1

    def drain(self) -> None:
        """Say that no new request shall come."""
        self.draining = True
        self._report_stop(EngineDraining(self.record.engine, self.record.incarnation), self._life)

    def leave(self) -> None:
        """Say goodbye. Nothing more is said if no node hears it: the engine is gone."""
        self.draining = True
        self._report_stop(EngineLeft(self.record.engine, self.record.incarnation), self._life)

    def _announce(self, life: int) -> None:
        if life != self._life:
            return
        if self.dark or self._nodes.report(EngineAnnounced(self.record), self._random) is None:
            self._scheduler.after(RETRY_S, lambda: self._announce(life))
            return
        self._schedule_heartbeat(life)

    def _schedule_heartbeat(self, life: int) -> None:
        self._scheduler.after(
            HEARTBEAT_S * self._random.uniform(0.9, 1.1), lambda: self._send_heartbeat(life)
        )

    def _send_heartbeat(self, life: int) -> None:
        if life != self._life:
            return
        self._schedule_heartbeat(life)
        if self.dark:
            return
        heartbeat = self._heartbeat()
        draining = self.draining

        def tell() -> None:
            if life != self._life or self.dark:
                return
            node = self._nodes.report(heartbeat, self._random)
            if node is not None and draining:
                self._stop_reported(node)

        self._scheduler.after(MAX_HEARTBEAT_DELAY_S * self._random.random(), tell)

    def _heartbeat(self) -> EngineHeartbeat:
        self._sequence += 1
        status = EngineStatus.DRAINING if self.draining else EngineStatus.READY
        record = msgspec.structs.replace(self.record, sequence=self._sequence, status=status)
        figures = self._figures()
        load = EngineLoad(record.engine, figures.running, figures.queued, figures.cache_used, self._clock())
        return EngineHeartbeat(record, load)

    def _report_stop(self, event: Event, life: int) -> None:
        if life != self._life:
            return
        node = self._nodes.report(event, self._random)
        if node is None:
            self._scheduler.after(RETRY_S, lambda: self._report_stop(event, life))
            return
        self._stop_reported(node)
