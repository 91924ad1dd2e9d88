"""A complete node in virtual time: the real agent with an in-memory disk and without sockets.

Requests run through the real flows (:class:`~springmux.simulation.flow_driver.FlowDriver`). The node is a
:class:`~springmux.simulation.world.world.Process`. Messages are sent in an envelope as on the wire, so that
a node learns terms, leaders and revisions in the same way.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from springmux.agent.agent import NodeAgent
from springmux.agent.effects import SendToAddress
from springmux.agent.events import AgentSettings, LeaderObserved
from springmux.control.delivery.events import PeerRevisionObserved
from springmux.coordination.claims.journal import RecoveredClaims
from springmux.coordination.consensus.types import RecoveredState
from springmux.coordination.identifiers import Address, NodeId, Revision, Term
from springmux.coordination.membership.remembered import RememberedPeer
from springmux.coordination.state_machine import Effect, Event, MessageReceived, PeerMessage, Send, Tick
from springmux.router.events import UpstreamData
from springmux.simulation.flow_driver import ClientRequestArrived, FlowDriver, FlowInput


class Enveloped(PeerMessage, frozen=True, tag="Enveloped"):
    """A message with its sender's log position, as :mod:`springmux.agent.wire` puts it on the wire."""

    term: Term
    leader: NodeId
    revision: Revision
    message: PeerMessage


class HollowNode:
    """One boot of a node.

    :param recovered: state recovered from the disk, or ``None`` without one.
    :param claims: claims recovered from the claim journal, or ``None`` without one.
    :param remembered: peers recovered from the disk.
    :param find_node: returns the node that listens at an address now, if any.
    """

    def __init__(
        self,
        settings: AgentSettings,
        recovered: RecoveredState | None,
        source: random.Random,
        find_node: Callable[[Address], NodeId | None],
        boot: int = 1,
        claims: RecoveredClaims | None = None,
        remembered: tuple[RememberedPeer, ...] = (),
    ) -> None:
        self.agent = NodeAgent(settings, recovered, source, claims, remembered)
        self.boot = boot
        self.flows = FlowDriver(self.agent, f"{settings.node}/{boot}")
        self._find_node = find_node
        self._agent_deadline = 0.0

    def start(self, now: float) -> list[Effect]:
        """Start at monotonic time ``now``; return the effects to execute."""
        return self._wrap_all(self.agent.start(now))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        if isinstance(event, FlowInput):
            return self._handle_flow_input(event, now)
        if isinstance(event, ClientRequestArrived):
            return self._wrap_all(self.flows.open(event.request, now))
        if isinstance(event, MessageReceived) and isinstance(event.message, Enveloped):
            return self._receive(event.sender, event.message, now)
        if isinstance(event, Tick):
            return self._tick(event, now)
        return self._wrap_all(self.flows.handle_agent_effects(self.agent.handle(event, now), now))

    def next_deadline(self) -> float:
        """Return the time of the next tick."""
        return min(self._agent_deadline, self.flows.next_deadline())

    def _handle_flow_input(self, event: FlowInput, now: float) -> list[Effect]:
        effects = self.flows.handle(event.request, event.event, now)
        # Forwarding a chunk changes none of the agent's deadlines; this is the most frequent event.
        return effects if isinstance(event.event, UpstreamData) else self._wrap_all(effects)

    def _tick(self, event: Tick, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self.agent.next_deadline() <= now:
            effects = self.flows.handle_agent_effects(self.agent.handle(event, now), now)
        return self._wrap_all(effects + self.flows.tick(now))

    def _receive(self, sender: NodeId, envelope: Enveloped, now: float) -> list[Effect]:
        effects: list[Effect] = []
        position = self.agent.log_position
        if envelope.leader and (envelope.term > position.term or position.leader is None):
            effects += self.agent.handle(LeaderObserved(envelope.term, envelope.leader), now)
        observed = PeerRevisionObserved(sender, envelope.term, envelope.revision)
        effects += self.agent.handle(observed, now)
        effects += self.agent.handle(MessageReceived(sender, envelope.message), now)
        return self._wrap_all(self.flows.handle_agent_effects(effects, now))

    def _wrap_all(self, effects: list[Effect]) -> list[Effect]:
        self._agent_deadline = self.agent.next_deadline()
        wrapped = (self._wrap(effect) for effect in effects)
        return [effect for effect in wrapped if effect is not None]

    def _wrap(self, effect: Effect) -> Effect | None:
        if isinstance(effect, Send):
            record = self.agent.membership.nodes.get(effect.to)
            # As in the daemon: nothing can be sent to a node whose address is unknown.
            return self._send_to_listener(record.peer_address, effect.message) if record is not None else None
        if isinstance(effect, SendToAddress):
            return self._send_to_listener(effect.address, effect.message)
        return effect

    def _send_to_listener(self, address: Address, message: PeerMessage) -> Effect | None:
        """Return the effect that sends to the node listening at ``address`` now, if there is one."""
        target = self._find_node(address)
        return Send(target, self._envelope(message)) if target is not None else None

    def _envelope(self, message: PeerMessage) -> Enveloped:
        position = self.agent.log_position
        return Enveloped(position.term, position.leader or NodeId(""), position.revision, message)
