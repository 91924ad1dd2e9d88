"""What the driver needs of the agent and of the peers' transport."""

from __future__ import annotations

from typing import Protocol

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.state_machine import Effect, Event, PeerMessage


class CommandPreparer(Protocol):
    """What the driver needs of :class:`springmux.control.state.ControlState`."""

    def prepare(self, data: bytes) -> None:
        """Parse a large command ahead; may run in a thread."""


class AgentUnderDriver(Protocol):
    """What the driver needs of :class:`springmux.agent.agent.NodeAgent`."""

    @property
    def control(self) -> CommandPreparer:
        """The control state machine."""

    def start(self, now: float) -> list[Effect]:
        """Return the first effects."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event."""

    def next_deadline(self) -> float:
        """Return when a Tick is wanted."""


class PeerSender(Protocol):
    """What the driver needs of the peers' transport."""

    def send(self, to: NodeId, message: PeerMessage) -> None:
        """Queue a message for a node."""

    def send_to_address(self, address: Address, message: PeerMessage) -> None:
        """Queue a message for an address."""
