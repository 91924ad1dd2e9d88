"""Passes heartbeats on to the engines' home nodes, gathered for a moment and at most once a period each."""

from __future__ import annotations

from springmux.agent.directory.messages import EngineHeartbeatsRelay, EngineIncarnation
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, Send
from springmux.vocabulary.names import EngineId

_GATHER_S = 0.2
_PERIOD_SLACK = 0.8
"""Heartbeats jitter: one that comes a little early is still passed on."""


class HeartbeatForwarder:
    """What one node has to tell the homes of the engines that speak to it."""

    def __init__(self, own: NodeId, homes: OwnerNodes, settings: DirectorySettings) -> None:
        self._own = own
        self._homes = homes
        self._period_s = settings.forward_period_s * _PERIOD_SLACK
        self._forwarded_at: dict[EngineId, float] = {}
        self._waiting: dict[NodeId, list[EngineIncarnation]] = {}
        self._due_at = NEVER

    @property
    def due_at(self) -> float:
        """Time at which something is to be sent."""
        return self._due_at

    def add(self, life: EngineIncarnation, now: float) -> None:
        """Tell the other homes of ``life`` soon: none of them hears the engine itself."""
        if now - self._forwarded_at.get(life.engine, -NEVER) < self._period_s:
            return
        self._forwarded_at[life.engine] = now
        for home in self._homes.of(life.engine):
            if home != self._own:
                self._waiting.setdefault(home, []).append(life)
        if self._waiting:
            self._due_at = min(self._due_at, now + _GATHER_S)

    def send(self, now: float) -> list[Effect]:
        """Return what is due."""
        if now < self._due_at:
            return []
        waiting, self._waiting = self._waiting, {}
        self._due_at = NEVER
        return [Send(home, EngineHeartbeatsRelay(tuple(lives))) for home, lives in waiting.items()]

    def forget(self, engine: EngineId) -> None:
        """Drop what is remembered of an engine that is gone."""
        self._forwarded_at.pop(engine, None)
