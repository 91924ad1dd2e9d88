"""Reordering of engine events: a stop before its engine is known, an old announcement after a drain."""

from __future__ import annotations

import msgspec

from springmux.vocabulary.names import EngineId

_EARLY_STOP_TTL_S = 5.0
"""How long a stop that arrives before its announcement is buffered; more than twice the relay time."""
_EARLY_STOPS_MAX = 1024
"""Far more than the engines that stop within that time; bounds the memory that invented names can occupy."""
_LATE_ANNOUNCEMENT_S = 10.0
"""How long after a drain an announcement may be an older one. A node that was paused with an announcement in
its buffers receives a later drain shortly before or after it. The value is well above the time for which TCP
and a client's timeout can delay a request."""


class Stop(msgspec.Struct, frozen=True):
    """A drain or leave. ``incarnation`` is 0 if the engine didn't state it; the stop then applies to any."""

    left: bool
    incarnation: int = 0

    def applies_to(self, incarnation: int) -> bool:
        """Return whether the stop applies to this incarnation."""
        return self.incarnation in (0, incarnation)


class PendingStop(msgspec.Struct, frozen=True):
    """A stop whose engine isn't known yet, valid until the local time ``until``."""

    stop: Stop
    until: float


class StopReorderBuffer:
    """Buffers stops that arrived before their engine was known, and recent drains, for a few seconds."""

    def __init__(self) -> None:
        self._early: dict[EngineId, PendingStop] = {}
        self._drained_at: dict[EngineId, float] = {}

    def __len__(self) -> int:
        return len(self._early) + len(self._drained_at)

    def buffer(self, engine: EngineId, stop: Stop, now: float) -> None:
        """Buffer a stop whose engine or incarnation isn't known yet."""
        self._early[engine] = PendingStop(stop, now + _EARLY_STOP_TTL_S)
        if len(self._early) > _EARLY_STOPS_MAX:
            del self._early[next(iter(self._early))]

    def pop(self, engine: EngineId, incarnation: int, now: float) -> Stop | None:
        """Remove and return the buffered stop of this incarnation, if any."""
        early = self._early.get(engine)
        if early is None or now >= early.until or not early.stop.applies_to(incarnation):
            return None
        del self._early[engine]
        return early.stop

    def record_drain(self, engine: EngineId, now: float) -> None:
        """Record that this node received a drain of ``engine`` at ``now``."""
        self._drained_at[engine] = now

    def is_late(self, engine: EngineId, now: float) -> bool:
        """Return whether an announcement may be older than a drain that this node received recently."""
        drained_at = self._drained_at.get(engine)
        return drained_at is not None and now - drained_at < _LATE_ANNOUNCEMENT_S

    def expire(self, now: float) -> None:
        """Drop expired stops and drains."""
        self._early = {name: early for name, early in self._early.items() if now < early.until}
        self._drained_at = {name: at for name, at in self._drained_at.items() if self.is_late(name, now)}
