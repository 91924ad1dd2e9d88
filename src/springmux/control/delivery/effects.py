"""Effects that state delivery requests from the agent, besides ``Send`` and ``LogLine``."""

from __future__ import annotations

from springmux.control.delivery.messages import DeliveredCommand
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Effect


class ApplyCommands(Effect, frozen=True):
    """Apply these to the control state, in order. They follow its revision without a gap."""

    commands: tuple[DeliveredCommand, ...]


class ReplaceState(Effect, frozen=True):
    """Restore the control state from a newer snapshot."""

    snapshot: bytes
    revision: Revision


class ProvideSnapshot(Effect, frozen=True):
    """Take a snapshot of the present state and reply with ``SnapshotProvided``."""


class ConfirmLeaderRevision(Effect, frozen=True):
    """Request a read index from the node's own leading replica; the reply is ``ConfirmedRevision``."""

    correlation_id: str
