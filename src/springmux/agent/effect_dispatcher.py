"""Routes the effects of components to other components of the same node or to the driver."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from springmux.agent import messages as agent_messages
from springmux.agent.components import NodeComponents
from springmux.agent.deadline_cache import DeadlineCache
from springmux.agent.directory import messages as directory_messages
from springmux.agent.group_orders import GroupOrders
from springmux.control import order_messages
from springmux.control.commands import AnyCommand
from springmux.control.delivery import messages as delivery_messages
from springmux.control.freshness import messages as freshness_messages
from springmux.control.order_events import SubmitOrder
from springmux.coordination.claims import messages as claim_messages
from springmux.coordination.consensus import messages as consensus_messages
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership import contact_messages
from springmux.coordination.membership import messages as membership_messages
from springmux.coordination.quota import messages as quota_messages
from springmux.coordination.state_machine import (
    Effect,
    Event,
    MessageReceived,
    PeerMessage,
    Send,
    StateMachine,
)
from springmux.coordination.usage import messages as usage_messages
from springmux.rollout import messages as rollout_messages

OWN_CORRELATION_ID = ""
"""Correlation id of orders that the node itself submits; their results are ignored."""

EffectHandler = Callable[[Any, float], list[Effect]]
"""Executes one effect and returns effects for the driver. Each handler accepts its own effect type."""


class EffectDispatcher:
    """Delivers events to the components of one node and executes the effects that they return."""

    def __init__(self, own: NodeId, components: NodeComponents) -> None:
        self.components = components
        self.deadlines = DeadlineCache(components.timed(), volatile=(components.quota, components.usage))
        self.group_orders = GroupOrders(own, components.replica)
        self._own = own
        self._handlers: dict[type[Effect], EffectHandler] = {Send: self._send}
        self._receivers = _message_receivers(components)

    def register(self, handlers: Mapping[type[Effect], EffectHandler]) -> None:
        """Add handlers for effects that this node executes itself."""
        self._handlers.update(handlers)

    def deliver(self, component: StateMachine, event: Event, now: float) -> list[Effect]:
        """Deliver an event to a component; return the effects for the driver."""
        self.deadlines.invalidate(component)
        return self.execute(component.handle(event, now), now)

    def deliver_to_replica(self, event: Event, now: float) -> list[Effect]:
        """Deliver an event to the node's own replica, if it has one."""
        return [] if self.components.replica is None else self.deliver(self.components.replica, event, now)

    def deliver_message(self, event: MessageReceived, now: float) -> list[Effect]:
        """Deliver a peer's message to the component that handles its type."""
        receiver = self._receivers.get(type(event.message))
        if receiver is not None:
            return self.deliver(receiver, event, now)
        if isinstance(event.message, agent_messages.MESSAGES):
            return self.execute(self.group_orders.handle_message(event.message, now), now)
        return []

    def submit_order(self, command: AnyCommand, now: float) -> list[Effect]:
        """Submit an order of the node itself."""
        return self.deliver(self.components.orders, SubmitOrder(OWN_CORRELATION_ID, command), now)

    def execute(self, effects: list[Effect], now: float) -> list[Effect]:
        """Execute the effects that have a handler; return the others in order, for the driver."""
        if not effects:
            return effects
        driver_effects: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            handler = self._handlers.get(type(effect))
            if handler is None:
                driver_effects.append(effect)
            else:
                driver_effects += handler(effect, now)
        return driver_effects

    def _send(self, effect: Send, now: float) -> list[Effect]:
        if effect.to != self._own:
            return [effect]
        return self.deliver_message(MessageReceived(self._own, effect.message), now)


def _message_receivers(components: NodeComponents) -> dict[type[PeerMessage], StateMachine]:
    receivers: list[tuple[tuple[type[PeerMessage], ...], StateMachine | None]] = [
        (membership_messages.MESSAGES, components.membership),
        (contact_messages.MESSAGES, components.contact),
        (directory_messages.MESSAGES, components.directory),
        (delivery_messages.MESSAGES, components.delivery),
        (freshness_messages.MESSAGES, components.freshness),
        (order_messages.MESSAGES, components.orders),
        (claim_messages.MESSAGES, components.claims),
        (quota_messages.MESSAGES, components.quota),
        (usage_messages.MESSAGES, components.usage),
        (rollout_messages.MESSAGES, components.rollout),
        (consensus_messages.MESSAGES, components.replica),
    ]
    return {
        message: component
        for messages, component in receivers
        if component is not None
        for message in messages
    }
