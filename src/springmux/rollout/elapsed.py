"""The unpaused time of a rollout, which every node measures with its monotonic clock."""

from __future__ import annotations


class ElapsedClock:
    """Clock that runs while the rollout isn't paused. A new leader continues from its own clock.

    Every node sets its clock from the token, whose issuer is authoritative. The clock never falls behind the
    committed record, so a leader change doesn't set a rollout back.
    """

    def __init__(self, elapsed_s: float, running: bool, now: float) -> None:
        self._elapsed_s = elapsed_s
        self._at = now
        self._running = running

    def read(self, now: float) -> float:
        """Return the unpaused seconds since promotion."""
        return self._elapsed_s + (max(0.0, now - self._at) if self._running else 0.0)

    def advance_to(self, elapsed_s: float, now: float) -> None:
        """Set the clock to ``elapsed_s`` unless it already shows a later time."""
        self._elapsed_s = max(elapsed_s, self.read(now))
        self._at = now

    def set_to(self, elapsed_s: float, now: float) -> None:
        """Set the clock to the issuer's reading."""
        self._elapsed_s = elapsed_s
        self._at = now

    def set_running(self, running: bool, now: float) -> None:
        """Stop or start the clock."""
        self._elapsed_s = self.read(now)
        self._at = now
        self._running = running
