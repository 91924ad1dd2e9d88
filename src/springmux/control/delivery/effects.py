"""What the delivery asks of the agent, beside ``Send`` and ``LogLine``."""

from __future__ import annotations

from springmux.control.delivery.messages import DeliveredCommand
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Effect


class ApplyCommands(Effect, frozen=True):
    """Apply these to the control state, in order. They follow its revision without a gap."""

    commands: tuple[DeliveredCommand, ...]


class ReplaceState(Effect, frozen=True):
    """Restore the control state from an image that is newer than it."""

    snapshot: bytes
    revision: Revision


class ProvideSnapshot(Effect, frozen=True):
    """Make an image of the present state, then give back ``SnapshotProvided``."""


class ConfirmLeaderRevision(Effect, frozen=True):
    """Ask the own, leading replica for a read point, then give back ``ConfirmedRevision``."""

    correlation_id: str
