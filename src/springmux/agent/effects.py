"""Effects of the agent in addition to ``Send``, ``LogLine`` and the replica's storage effects."""

from __future__ import annotations

from springmux.control.commands import CommandResult
from springmux.control.delivery.arrival import Arrival
from springmux.coordination.claims.decision import ClaimDecision
from springmux.coordination.consensus.types import SnapshotMeta
from springmux.coordination.identifiers import Revision
from springmux.coordination.membership.effects import SendToAddress
from springmux.coordination.state_machine import Effect
from springmux.router.flow import RequestFlow
from springmux.vocabulary.errors import ApiError

__all__ = [
    "ClaimAnswered",
    "ControlChanged",
    "FlowsRevoked",
    "OrderAnswered",
    "PrepareCommands",
    "ReadinessChanged",
    "SendToAddress",
    "WriteSnapshot",
]


class OrderAnswered(Effect, frozen=True):
    """An operator's order was decided (``result``) or not (``error``, with a time after which to retry)."""

    correlation_id: str
    result: CommandResult | None
    error: ApiError | None = None


class ClaimAnswered(Effect, frozen=True):
    """The claim requested under ``correlation_id`` was decided."""

    correlation_id: str
    decision: ClaimDecision


class ControlChanged(Effect, frozen=True):
    """A newer control state is in force at this node; read it from ``agent.view``.

    ``gateway_version``: version of its gateway configuration. ``arrival``: how its newest command arrived.
    """

    revision: Revision
    gateway_version: int = 0
    arrival: Arrival | None = None


class FlowsRevoked(Effect, frozen=True):
    """Deliver ``KeyRevoked`` to these running requests: their key or tenant is no longer valid."""

    flows: tuple[RequestFlow, ...]


class ReadinessChanged(Effect, frozen=True):
    """The node's readiness or its reason changed. ``reason`` is empty while the node is ready."""

    ready: bool
    reason: str


class WriteSnapshot(Effect, frozen=True):
    """Store a serialized control state as snapshot ``meta``, then return the event ``SnapshotTaken``."""

    meta: SnapshotMeta
    data: bytes


class PrepareCommands(Effect, frozen=True):
    """Call ``agent.control.prepare`` for each off the event loop, then return ``CommandsPrepared``."""

    commands: tuple[bytes, ...]
