"""Effects of state delivery, for the agent to execute, besides ``Send`` and ``LogLine``."""

from __future__ import annotations

from springmux.control.delivery.messages import DeliveredCommand
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Effect


class ApplyCommands(Effect, frozen=True):
    """Apply the commands to the control state in order. They follow its revision without a gap."""

    commands: tuple[DeliveredCommand, ...]


class ReplaceState(Effect, frozen=True):
    """Restore the control state from a newer snapshot."""

    snapshot: bytes
    revision: Revision


class ProvideSnapshot(Effect, frozen=True):
    """Take a snapshot of the current state and reply with the event ``SnapshotProvided``."""


class ConfirmLeaderRevision(Effect, frozen=True):
    """Request a read index from this node's own replica, which leads. The reply is ``ConfirmedRevision``."""

    correlation_id: str
