"""Distinguishes a lost engine from a version that breaks off its streams.

A reset looks the same in both cases, so its outcome is pending until there is other evidence. A response to a
later request, a later request that the engine accepted before it reset that one too, a later load report, or
an accepted probe shows that the engine is up (the stream was *broken*). A refused connection or probe, the
directory, or a timeout shows that the engine is *lost*, which is no evidence against its version.

A timeout is ambiguous too. If the directory still lists the engine as ready well after it would have detected
a loss, the version is at fault.

The probe is needed for an engine that gets few requests, such as a candidate in the canary: without it, a
version that breaks off its streams would look like lost engines.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.router.engine_table import EngineSlot
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId

RESET_WAIT_S = 1.0
"""Maximum time that the outcome of a reset is pending; short compared with the judge's rollback time."""

IDLE_CLOSE_DETECTION_S = 0.15
"""Well within this time a node notices that the idle connections of a lost process are closed. A request that
was sent later and accepted therefore reached a live process."""

UNRESPONSIVE_WAIT_S = 4.5
"""Time by which the directory would list an unresponsive engine as lost: three seconds without a heartbeat, a
vote, and the dissemination."""


class _PendingOutcome(msgspec.Struct, frozen=True):
    """An outcome to classify. ``reset_at``: time of the reset, or since when the engine is unresponsive."""

    slot: EngineSlot
    outcome: PromptOutcome
    reset_at: float
    unresponsive: bool = False


class _Probe(msgspec.Struct, frozen=True):
    slot: EngineSlot
    began_at: float


class LossClassifier:
    """Holds the outcomes of attempts that were reset or timed out until they can be classified."""

    def __init__(self, observe: Callable[[PromptOutcome, float], None]) -> None:
        self.probe_listener: Callable[[EngineRecord], None] | None = None
        """Set by the driver: connects to an engine, then calls :meth:`handle_probe_result`."""
        self._observe = observe
        self._pending: deque[_PendingOutcome] = deque()
        self._probes: dict[EngineId, _Probe] = {}

    def add_reset(self, slot: EngineSlot, outcome: PromptOutcome, now: float) -> None:
        """Record an attempt that was reset just now."""
        self._pending.append(_PendingOutcome(slot, outcome, now))
        self._begin_probe(slot, now)

    def add_unresponsive(self, slot: EngineSlot, outcome: PromptOutcome, since: float, now: float) -> None:
        """Record an attempt without received bytes since ``since``."""
        self._pending.append(_PendingOutcome(slot, outcome, since, unresponsive=True))
        self._begin_probe(slot, now)
        self.classify_pending(now)

    def handle_probe_result(self, record: EngineRecord, alive: bool, now: float) -> None:
        """Record whether the engine accepted a probe's connection.

        The probe is no evidence about a later reset, which needs another probe.
        """
        probe = self._probes.pop(record.engine, None)
        if probe is None or probe.slot.record.incarnation != record.incarnation:
            return
        if alive:
            probe.slot.accepted_probe_began_at = probe.began_at
        else:
            probe.slot.refused_at = now
        self.classify_pending(now)
        if any(entry.slot is probe.slot and not entry.unresponsive for entry in self._pending):
            self._begin_probe(probe.slot, now)

    def _begin_probe(self, slot: EngineSlot, now: float) -> None:
        if self.probe_listener is not None and slot.record.engine not in self._probes:
            self._probes[slot.record.engine] = _Probe(slot, now)
            self.probe_listener(slot.record)

    def classify_pending(self, now: float) -> None:
        """Report the pending outcomes that can be classified or whose waiting time has passed."""
        if not self._pending:
            return
        pending: deque[_PendingOutcome] = deque()
        for entry in self._pending:
            ending = _classify_unresponsive(entry, now) if entry.unresponsive else _classify_reset(entry, now)
            if ending is None:
                pending.append(entry)
            else:
                self._observe(msgspec.structs.replace(entry.outcome, ending=ending), now)
        self._pending = pending


def _classify_unresponsive(entry: _PendingOutcome, now: float) -> Ending | None:
    slot = entry.slot
    if not slot.usable or slot.refused_at >= entry.reset_at:
        return Ending.ENGINE_LOST
    if slot.responded_request_sent_at > entry.reset_at or now - entry.reset_at >= UNRESPONSIVE_WAIT_S:
        return Ending.TIMED_OUT
    return None


def _classify_reset(entry: _PendingOutcome, now: float) -> Ending | None:
    slot = entry.slot
    if not slot.usable or slot.refused_at >= entry.reset_at:
        return Ending.ENGINE_LOST
    load_measured_at = slot.load.measured_at if slot.load is not None else -1.0
    if max(slot.responded_request_sent_at, min(load_measured_at, now)) > entry.reset_at:
        return Ending.BROKEN
    if slot.accepted_probe_began_at >= entry.reset_at:
        return Ending.BROKEN
    if slot.reset_request_sent_at - entry.reset_at > IDLE_CLOSE_DETECTION_S:
        return Ending.BROKEN
    return Ending.ENGINE_LOST if now - entry.reset_at >= RESET_WAIT_S else None
