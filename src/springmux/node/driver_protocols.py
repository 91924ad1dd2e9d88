"""Interfaces that the driver needs of the agent and of the peer transport."""

from __future__ import annotations

from typing import Protocol

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.state_machine import Effect, Event, PeerMessage


class CommandPreparer(Protocol):
    """Interface to :class:`springmux.control.state.ControlState`."""

    def prepare(self, data: bytes) -> None:
        """Parse a large command before it is applied. May be called from another thread."""


class DrivenAgent(Protocol):
    """Interface to :class:`springmux.agent.agent.NodeAgent`."""

    @property
    def control(self) -> CommandPreparer:
        """The control state machine."""

    def start(self, now: float) -> list[Effect]:
        """Start at ``now`` (event loop time) and return the first effects to execute."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event at ``now`` (event loop time) and return the effects to execute."""

    def next_deadline(self) -> float:
        """Return the time at which the next Tick is due (event loop time)."""


class PeerSender(Protocol):
    """Interface to :class:`springmux.node.peer.transport.PeerTransport`."""

    def send(self, to: NodeId, message: PeerMessage) -> None:
        """Queue a message for a node."""

    def send_to_address(self, address: Address, message: PeerMessage) -> None:
        """Queue a message for the node at an address."""
