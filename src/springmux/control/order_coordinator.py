"""Accepts operators' orders at any node, forwards them to the leader and returns the results.

An order may be sent several times and to several leaders. A retry is harmless, since the state machine
decides each order id once and returns the first result for a resent command. A client gets its reply when
this node has applied the command or the leader reports that it has, whichever comes first.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from springmux.control.commands import (
    AnyCommand,
    CommandResult,
    UnknownCommandError,
    decode_command,
    encode_command,
)
from springmux.control.events import LeadershipKnown
from springmux.control.order_events import (
    CommandDecided,
    ProposalEnded,
    ProposeCommand,
    ReplyToOrder,
    SubmitOrder,
)
from springmux.control.order_messages import ForwardOrder, OrderDecided, OrderRejected
from springmux.control.order_window import command_digest
from springmux.coordination.identifiers import NodeId, Term
from springmux.coordination.state_machine import NEVER, Effect, Event, MessageReceived, Send, Tick
from springmux.vocabulary.errors import ApiError, ErrorCode, Fate, FieldError
from springmux.vocabulary.names import OrderId

_UNAVAILABLE_MESSAGES = {
    ErrorCode.NO_QUORUM: "no leader with a majority of the controllers decided the order in time",
    ErrorCode.STORAGE_FULL: "the leader's disk is full; nothing was changed",
    ErrorCode.OVERLOADED: "too many orders are under way",
}
_UNKNOWN_ORDER_MESSAGE = "the leader's program does not know this kind of order"
_RESEND_ADVICE = "; send it again under the same order id"


class OrderSettings(msgspec.Struct, frozen=True):
    """Timeouts and bounds of the coordinator.

    ``reply_timeout_s``: time after which a client without a result gets the error ``no_quorum``.
    ``resend_s``: interval at which an undecided order is proposed or forwarded again.
    ``retry_after_s``: delay before a retry that error replies advise.
    ``max_pending``: bound on the undecided orders accepted here, and separately on the leader's proposals and
    on the orders forwarded before this node's leadership was confirmed.
    ``max_command_bytes``: largest encoded command.
    """

    reply_timeout_s: float = 5.0
    resend_s: float = 1.0
    retry_after_s: float = 2.0
    max_pending: int = 1000
    max_command_bytes: int = 9 << 20


class DecidedOrders(Protocol):
    """The coordinator's view of the control state."""

    def recall(self, data: bytes) -> CommandResult | None:
        """Return the first result of a resent command if its order was decided here, else ``None``.

        :raises UnknownCommandError: if the bytes can't be decoded.
        """
        ...


class _WaitingClient(msgspec.Struct, frozen=True):
    """A client that waits for the result of an order. ``deadline``: monotonic time of the error reply."""

    correlation_id: str
    deadline: float


class _PendingOrder(msgspec.Struct):
    """An order that this node accepted and that is not decided yet."""

    key: str
    order: OrderId
    data: bytes
    clients: list[_WaitingClient]
    resend_at: float = NEVER
    attempts: int = 0


class _Proposal(msgspec.Struct):
    """A command that this leader proposed, and the nodes that forwarded it."""

    order: OrderId
    senders: set[NodeId]


class OrderCoordinator:
    """State machine of the undecided orders of one node, without I/O. Every node has one.

    :param decided: looks up the results of orders that this node's control state has decided.
    """

    def __init__(self, own: NodeId, decided: DecidedOrders, settings: OrderSettings | None = None) -> None:
        self._own = own
        self._decided = decided
        self._settings = settings or OrderSettings()
        self._pending: dict[str, _PendingOrder] = {}
        self._proposals: dict[str, _Proposal] = {}
        self._early_forwards: dict[tuple[NodeId, str], bytes] = {}
        """Orders forwarded to this node before its leadership was confirmed, by sender and key."""
        self._leadership = LeadershipKnown(Term(0), None)
        self._handlers: dict[type[Event], Callable[[Any, float], list[Effect]]] = {
            SubmitOrder: self._on_submit,
            CommandDecided: self._on_decided,
            ProposalEnded: self._on_proposal_ended,
            LeadershipKnown: self._on_leadership,
            MessageReceived: self._on_message,
            Tick: self._on_tick,
        }

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event and return the effects to execute, in order."""
        handler = self._handlers.get(type(event))
        return handler(event, now) if handler is not None else []

    def next_deadline(self) -> float:
        """Return the monotonic time of the next :class:`Tick`."""
        deadlines = [pending.resend_at for pending in self._pending.values()]
        deadlines += [client.deadline for pending in self._pending.values() for client in pending.clients]
        return min(deadlines, default=NEVER)

    def _on_submit(self, event: SubmitOrder, now: float) -> list[Effect]:
        data = encode_command(event.command)
        invalid = self._validate(event.command.order, data)
        if invalid is not None:
            return [ReplyToOrder(event.correlation_id, None, invalid)]
        known = self._decided.recall(data)
        if known is not None:
            return [ReplyToOrder(event.correlation_id, known)]
        key = _order_key(event.command)
        client = _WaitingClient(event.correlation_id, now + self._settings.reply_timeout_s)
        if key in self._pending:
            self._pending[key].clients.append(client)
            return []
        if len(self._pending) >= self._settings.max_pending:
            overloaded = self._unavailable(ErrorCode.OVERLOADED, Fate.REFUSED)
            return [ReplyToOrder(event.correlation_id, None, overloaded)]
        pending = _PendingOrder(key, event.command.order, data, [client])
        self._pending[key] = pending
        return self._dispatch(pending, now)

    def _validate(self, order: OrderId, data: bytes) -> ApiError | None:
        if not order:
            missing = (FieldError("order", "an order needs an id, so that it can be sent again"),)
            return ApiError(ErrorCode.INVALID_ORDER, "the order has no id", 422, errors=missing)
        if len(data) > self._settings.max_command_bytes:
            message = f"the order has {len(data)} bytes, the limit is {self._settings.max_command_bytes}"
            return ApiError(ErrorCode.BODY_TOO_LARGE, message, 413)
        return None

    def _dispatch(self, pending: _PendingOrder, now: float) -> list[Effect]:
        """Propose the order if this node leads, else forward it to the leader. Without a leader it waits."""
        pending.resend_at = now + self._settings.resend_s
        if self._leadership.leading:
            # A proposal that another node forwarded counts as an attempt, since it may be committed.
            if pending.key not in self._proposals or not pending.attempts:
                pending.attempts += 1
            return self._propose(pending.key, pending.order, pending.data, None)
        leader = self._leadership.leader
        if leader is None or leader == self._own:
            return []
        pending.attempts += 1
        return [Send(leader, ForwardOrder(pending.key, pending.data))]

    def _propose(self, key: str, order: OrderId, data: bytes, sender: NodeId | None) -> list[Effect]:
        running = self._proposals.get(key)
        if running is None:
            self._proposals[key] = _Proposal(order, {sender} if sender is not None else set())
            return [ProposeCommand(key, data)]
        if sender is not None:
            running.senders.add(sender)
        return []

    def _on_decided(self, event: CommandDecided, _now: float) -> list[Effect]:
        order = event.result.order
        if not self._is_tracked(order):
            return []
        key = _order_key(decode_command(event.data))
        proposal = self._proposals.pop(key, None)
        senders = sorted(proposal.senders) if proposal is not None else ()
        effects: list[Effect] = [Send(sender, OrderDecided(key, event.result)) for sender in senders]
        return effects + self._reply_with_result(key, event.result)

    def _is_tracked(self, order: OrderId) -> bool:
        """Return whether this node accepted or proposed the order, which is false for most commands."""
        if any(proposal.order == order for proposal in self._proposals.values()):
            return True
        return any(pending.order == order for pending in self._pending.values())

    def _on_proposal_ended(self, event: ProposalEnded, _now: float) -> list[Effect]:
        proposal = self._proposals.pop(event.correlation_id, None)
        if proposal is None or not event.storage_full or event.unknown:
            return []
        rejected = OrderRejected(event.correlation_id, ErrorCode.STORAGE_FULL)
        effects: list[Effect] = [Send(sender, rejected) for sender in sorted(proposal.senders)]
        return effects + self._give_up(event.correlation_id, ErrorCode.STORAGE_FULL)

    def _on_leadership(self, event: LeadershipKnown, now: float) -> list[Effect]:
        if event == self._leadership or event.term < self._leadership.term:
            return []
        self._leadership = event
        if not event.leading:
            self._proposals.clear()
        effects = self._handle_early_forwards(event)
        for pending in self._pending.values():
            effects += self._dispatch(pending, now)
        return effects

    def _on_message(self, event: MessageReceived, _now: float) -> list[Effect]:
        match event.message:
            case ForwardOrder(key=key, data=data):
                return self._on_forward(event.sender, key, data)
            case OrderDecided(key=key, result=result):
                return self._reply_with_result(key, result)
            case OrderRejected(key=key, code=code):
                return self._give_up(key, code)
            case _:
                return []

    def _handle_early_forwards(self, event: LeadershipKnown) -> list[Effect]:
        if event.leader == self._own and not event.leading:
            return []
        forwards, self._early_forwards = self._early_forwards, {}
        effects: list[Effect] = []
        for (sender, key), data in forwards.items() if event.leading else ():
            effects += self._on_forward(sender, key, data)
        return effects

    def _defer_forward(self, sender: NodeId, key: str, data: bytes) -> None:
        """Keep an order that arrives between this node's election and its first commit.

        Such orders are common: every node forwards its pending orders as soon as it learns of a new leader.
        """
        if self._leadership.leader == self._own and len(self._early_forwards) < self._settings.max_pending:
            self._early_forwards[(sender, key)] = data

    def _on_forward(self, sender: NodeId, key: str, data: bytes) -> list[Effect]:
        if not self._leadership.leading:
            self._defer_forward(sender, key, data)
            return []
        try:
            known = self._decided.recall(data)
        except UnknownCommandError:
            return [Send(sender, OrderRejected(key, ErrorCode.INVALID_ORDER))]
        if known is not None:
            return [Send(sender, OrderDecided(key, known))]
        if key not in self._proposals and len(self._proposals) >= self._settings.max_pending:
            return [Send(sender, OrderRejected(key, ErrorCode.OVERLOADED))]
        return self._propose(key, decode_command(data).order, data, sender)

    def _on_tick(self, _event: Tick, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            effects += self._expire(pending, now)
            if pending.clients and now >= pending.resend_at:
                effects += self._dispatch(pending, now)
        return effects

    def _expire(self, pending: _PendingOrder, now: float) -> list[Effect]:
        """Reply with an error to clients whose deadline has passed; drop an order without clients."""
        fate = Fate.UNKNOWN if pending.attempts else Fate.REFUSED
        error = self._unavailable(ErrorCode.NO_QUORUM, fate)
        expired = [client for client in pending.clients if client.deadline <= now]
        pending.clients = [client for client in pending.clients if client.deadline > now]
        if not pending.clients:
            del self._pending[pending.key]
        return [ReplyToOrder(client.correlation_id, None, error) for client in expired]

    def _reply_with_result(self, key: str, result: CommandResult) -> list[Effect]:
        pending = self._pending.pop(key, None)
        clients = pending.clients if pending is not None else ()
        return [ReplyToOrder(client.correlation_id, result) for client in clients]

    def _give_up(self, key: str, code: ErrorCode) -> list[Effect]:
        """Reply to the clients immediately that the order was rejected.

        After more than one attempt the order's fate is unknown: an earlier one may have been committed.
        """
        pending = self._pending.pop(key, None)
        if pending is None:
            return []
        error = self._unavailable(code, Fate.REFUSED if pending.attempts <= 1 else Fate.UNKNOWN)
        return [ReplyToOrder(client.correlation_id, None, error) for client in pending.clients]

    def _unavailable(self, code: ErrorCode, fate: Fate) -> ApiError:
        return ApiError(
            code=code,
            message=_UNAVAILABLE_MESSAGES.get(code, _UNKNOWN_ORDER_MESSAGE) + _RESEND_ADVICE,
            status=503,
            fate=fate,
            retry_after_s=self._settings.retry_after_s,
        )


def _order_key(command: AnyCommand) -> str:
    """Return the key of an order. An order id that was used for two different commands gives two keys."""
    return f"{command.order}/{command_digest(command).hex()}"
