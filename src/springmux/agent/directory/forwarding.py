"""Forwards heartbeats to the engines' owner nodes in batches, at most one per engine and period."""

from __future__ import annotations

from springmux.agent.directory.messages import EngineHeartbeatsRelay, EngineIncarnation
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, Send
from springmux.vocabulary.names import EngineId

_BATCH_DELAY_S = 0.2
_PERIOD_SLACK = 0.8
"""Fraction of the period after which a heartbeat is forwarded, because jitter makes some arrive early."""


class HeartbeatForwarder:
    """Batches the heartbeats that this node receives from engines, per owner node."""

    def __init__(self, own: NodeId, owners: OwnerNodes, settings: DirectorySettings) -> None:
        self._own = own
        self._owners = owners
        self._period_s = settings.forward_period_s * _PERIOD_SLACK
        self._forwarded_at: dict[EngineId, float] = {}
        self._pending: dict[NodeId, list[EngineIncarnation]] = {}
        self._due_at = NEVER

    @property
    def due_at(self) -> float:
        """Time at which the next batch is due."""
        return self._due_at

    def add(self, incarnation_id: EngineIncarnation, now: float) -> None:
        """Queue a heartbeat for the other owners, because the engine sends it to this node only."""
        if now - self._forwarded_at.get(incarnation_id.engine, -NEVER) < self._period_s:
            return
        self._forwarded_at[incarnation_id.engine] = now
        for owner in self._owners.owners_of(incarnation_id.engine):
            if owner != self._own:
                self._pending.setdefault(owner, []).append(incarnation_id)
        if self._pending:
            self._due_at = min(self._due_at, now + _BATCH_DELAY_S)

    def send(self, now: float) -> list[Effect]:
        """Return the batches that are due."""
        if now < self._due_at:
            return []
        pending, self._pending = self._pending, {}
        self._due_at = NEVER
        return [
            Send(owner, EngineHeartbeatsRelay(tuple(incarnations))) for owner, incarnations in pending.items()
        ]

    def forget(self, engine: EngineId) -> None:
        """Drop the send time of a removed engine."""
        self._forwarded_at.pop(engine, None)
