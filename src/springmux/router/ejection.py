"""Outlier ejection: engines that fail repeatedly or are unresponsive get no traffic for a while.

After its ejection an engine is half open: one client request serves as its probe. Success closes the circuit,
failure ejects the engine for twice as long (circuit breaker: Nygard, "Release It!", 2007; limits as in
Envoy's outlier detection). A version that fails on all engines is left to the rollout judge. The gateway
compares failure rates instead (:mod:`springmux.gateway.outlier_detection`): there an error status may be the
request's own fault.
"""

from __future__ import annotations

from springmux.rollout.outcome import Ending
from springmux.router.engine_table import EnginePool, EngineSlot

FAILURES_TO_EJECT = 3
"""Consecutive failures that eject an engine; three are rare for a healthy engine."""
REFUSED_EJECTION_S = 1.0
"""First ejection after a refused connection: about the time until the directory detects the loss."""
FAILURE_EJECTION_S = 2.0
"""First ejection after any other failure."""
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 1 / 3
"""Maximum share of a version's engines that are ejected at the same time. If there are at least two engines,
one may always be ejected."""


class Ejector:
    """Ejects engines; its state is in the slots. ``ejections``: number of ejections since the start."""

    def __init__(self) -> None:
        self.ejections = 0

    def allows(self, slot: EngineSlot, now: float, may_probe: bool) -> bool:
        """Return whether the engine may be chosen. ``may_probe``: the request may be its probe."""
        if slot.ejected_until < 0.0:
            return True
        if now < slot.ejected_until:
            return False
        return may_probe and not slot.probing

    def record_dispatch(self, slot: EngineSlot, now: float) -> bool:
        """Record a dispatch; return whether it is the probe of a half-open engine."""
        if slot.ejected_until < 0.0 or now < slot.ejected_until:
            return False
        slot.probing = True
        return True

    def record_success(self, slot: EngineSlot, was_probe: bool, began_at: float) -> None:
        """Record the success of a request sent at ``began_at``.

        The success of a request sent before the ejection does not end the ejection.
        """
        if was_probe:
            slot.probing = False
        if slot.ejected_until >= 0.0 and began_at < slot.ejected_until:
            return
        slot.failures = 0
        slot.ejected_until = -1.0
        slot.ejections = 0

    def record_no_evidence(self, slot: EngineSlot, was_probe: bool) -> None:
        """Record an ending that is no evidence about the engine; the next request may probe."""
        if was_probe:
            slot.probing = False

    def record_failure(
        self, slot: EngineSlot, ending: Ending, refused: bool, was_probe: bool, pool: EnginePool, now: float
    ) -> None:
        """Record a failure. ``pool``: all ready engines of the engine's version."""
        if was_probe:
            slot.probing = False
        slot.failures += 1
        unresponsive = ending is Ending.ENGINE_LOST and not refused
        if not (
            refused or was_probe or (unresponsive and slot.failures > 1) or slot.failures >= FAILURES_TO_EJECT
        ):
            return
        if 0.0 <= now < slot.ejected_until or not _may_eject(slot, pool):
            return
        first_s = REFUSED_EJECTION_S if refused else FAILURE_EJECTION_S
        slot.ejected_until = now + min(MAX_EJECTION_S, first_s * 2**slot.ejections)
        slot.ejections += 1
        self.ejections += 1


def _may_eject(slot: EngineSlot, pool: EnginePool) -> bool:
    ejected = sum(1 for other in pool.slots if other is not slot and other.ejected_until >= 0.0)
    count = len(pool.slots)
    limit = min(count - 1, max(1, int(count * MAX_EJECTED_SHARE)))
    return ejected < limit
