"""Distinguishes a lost engine from a version that breaks off its streams.

A reset looks the same in both cases, so its outcome is pending until there is other evidence. A response to a
later request, a later request that the engine accepted before it reset that one too, a later load report, or
an accepted probe shows that the engine is up (the stream was *broken*). A refused connection or probe, the
directory, or a timeout shows that the engine is *lost*, which is no evidence against its version.

A timeout is ambiguous too. If the directory still has the engine ready well after it would have detected a
loss, the version is at fault.

The probe decides where the engine gets few requests, like a candidate in the canary: without it a version
that breaks off its streams would look like lost engines.
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
"""Longest time that a reset is pending; short beside the judge's rollback time."""

ACCEPTED_AFTER_S = 0.15
"""Idle connections of a lost process are known to be closed well before this; later use reached a live
one."""

UNRESPONSIVE_WAIT_S = 4.5
"""Time by which the directory would list an unresponsive engine as lost: three seconds without a heartbeat, a
vote, and the dissemination."""


class _Suspect(msgspec.Struct, frozen=True):
    """A pending outcome. ``reset_at``: when the reset came, or since when the engine is unresponsive."""

    slot: EngineSlot
    outcome: PromptOutcome
    reset_at: float
    unresponsive: bool = False


class _Probe(msgspec.Struct, frozen=True):
    slot: EngineSlot
    began_at: float


class LossClassifier:
    """Pending outcomes of attempts that were reset or timed out."""

    def __init__(self, observe: Callable[[PromptOutcome, float], None]) -> None:
        self.probe: Callable[[EngineRecord], None] | None = None
        """Set by the driver: connects to an engine, then calls :meth:`probed`."""
        self._observe = observe
        self._suspects: deque[_Suspect] = deque()
        self._probes: dict[EngineId, _Probe] = {}

    def suspect_reset(self, slot: EngineSlot, outcome: PromptOutcome, now: float) -> None:
        """Record an attempt that was reset just now."""
        self._suspects.append(_Suspect(slot, outcome, now))
        self._begin_probe(slot, now)

    def suspect_unresponsive(
        self, slot: EngineSlot, outcome: PromptOutcome, since: float, now: float
    ) -> None:
        """Record an attempt without received bytes since ``since``."""
        self._suspects.append(_Suspect(slot, outcome, since, unresponsive=True))
        self._begin_probe(slot, now)
        self.classify_pending(now)

    def probed(self, record: EngineRecord, alive: bool, now: float) -> None:
        """Record whether the engine accepted a probe's connection; a reset since then needs another probe."""
        probe = self._probes.pop(record.engine, None)
        if probe is None or probe.slot.record.incarnation != record.incarnation:
            return
        if alive:
            probe.slot.accepted_at = probe.began_at
        else:
            probe.slot.refused_at = now
        self.classify_pending(now)
        if any(suspect.slot is probe.slot and not suspect.unresponsive for suspect in self._suspects):
            self._begin_probe(probe.slot, now)

    def _begin_probe(self, slot: EngineSlot, now: float) -> None:
        if self.probe is not None and slot.record.engine not in self._probes:
            self._probes[slot.record.engine] = _Probe(slot, now)
            self.probe(slot.record)

    def classify_pending(self, now: float) -> None:
        """Report the pending outcomes that can be classified or whose time is up."""
        if not self._suspects:
            return
        pending: deque[_Suspect] = deque()
        for suspect in self._suspects:
            ending = (
                _classify_unresponsive(suspect, now)
                if suspect.unresponsive
                else _classify_reset(suspect, now)
            )
            if ending is None:
                pending.append(suspect)
            else:
                self._observe(msgspec.structs.replace(suspect.outcome, ending=ending), now)
        self._suspects = pending


def _classify_unresponsive(suspect: _Suspect, now: float) -> Ending | None:
    slot = suspect.slot
    if not slot.usable or slot.refused_at >= suspect.reset_at:
        return Ending.ENGINE_LOST
    if slot.heard_began_at > suspect.reset_at or now - suspect.reset_at >= UNRESPONSIVE_WAIT_S:
        return Ending.TIMED_OUT
    return None


def _classify_reset(suspect: _Suspect, now: float) -> Ending | None:
    slot = suspect.slot
    if not slot.usable or slot.refused_at >= suspect.reset_at:
        return Ending.ENGINE_LOST
    reported_at = slot.load.measured_at if slot.load is not None else -1.0
    if max(slot.heard_began_at, min(reported_at, now)) > suspect.reset_at:
        return Ending.BROKEN
    if slot.accepted_at >= suspect.reset_at:
        return Ending.BROKEN
    if slot.reset_began_at - suspect.reset_at > ACCEPTED_AFTER_S:
        return Ending.BROKEN
    return Ending.ENGINE_LOST if now - suspect.reset_at >= RESET_WAIT_S else None
