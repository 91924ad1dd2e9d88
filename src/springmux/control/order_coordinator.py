"""Takes operators' orders at any node and sees each through to the leader and its answer back.

An order may be sent to several leaders, several times: the state machine decides an order id once
and gives the first answer again, so resending is harmless. A client is answered when the command is
applied here or the leader says it is applied there, whichever is seen first.
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


class OrderSettings(msgspec.Struct, frozen=True):
    """Times in seconds. ``answer_timeout_s``: after it the client is told that there is no quorum."""

    answer_timeout_s: float = 5.0
    resend_s: float = 1.0
    retry_after_s: float = 2.0
    max_pending: int = 1000
    max_command_bytes: int = 9 << 20


class DecidedOrders(Protocol):
    """What the coordinator asks of the control state."""

    def recall(self, data: bytes) -> CommandResult | None:
        """Return the result that a command sent again gets, if its order was decided here.

        :raises UnknownCommandError: if the bytes can't be read.
        """
        ...


class _Pending(msgspec.Struct):
    """An order taken here. ``waiting``: clients with the times at which they are given up."""

    key: str
    order: OrderId
    data: bytes
    waiting: list[tuple[str, float]]
    resend_at: float = NEVER
    attempts: int = 0


class _Proposal(msgspec.Struct):
    """A command proposed by this leader, and the nodes that forwarded it."""

    order: OrderId
    senders: set[NodeId]


class OrderCoordinator:
    """The pure part; one in every node."""

    def __init__(self, own: NodeId, decided: DecidedOrders, settings: OrderSettings | None = None) -> None:
        self._own = own
        self._decided = decided
        self._settings = settings or OrderSettings()
        self._pending: dict[str, _Pending] = {}
        self._proposals: dict[str, _Proposal] = {}
        self._held: dict[tuple[NodeId, str], bytes] = {}
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
        """Take one event; see :class:`springmux.coordination.state_machine.StateMachine`."""
        handler = self._handlers.get(type(event))
        return handler(event, now) if handler is not None else []

    def next_deadline(self) -> float:
        """Return when a :class:`Tick` is wanted."""
        deadlines = [pending.resend_at for pending in self._pending.values()]
        deadlines += [until for pending in self._pending.values() for _, until in pending.waiting]
        return min(deadlines, default=NEVER)

    def _on_submit(self, event: SubmitOrder, now: float) -> list[Effect]:
        data = encode_command(event.command)
        refusal = self._refusal(event.command.order, data)
        if refusal is not None:
            return [ReplyToOrder(event.correlation_id, None, refusal)]
        known = self._decided.recall(data)
        if known is not None:
            return [ReplyToOrder(event.correlation_id, known)]
        key = _key(event.command)
        client = (event.correlation_id, now + self._settings.answer_timeout_s)
        if key in self._pending:
            self._pending[key].waiting.append(client)
            return []
        if len(self._pending) >= self._settings.max_pending:
            return [
                ReplyToOrder(
                    event.correlation_id, None, self._unavailable(ErrorCode.OVERLOADED, Fate.REFUSED)
                )
            ]
        pending = _Pending(key, event.command.order, data, [client])
        self._pending[key] = pending
        return self._dispatch(pending, now)

    def _refusal(self, order: OrderId, data: bytes) -> ApiError | None:
        if not order:
            missing = (FieldError("order", "an order needs an id, so that it can be sent again"),)
            return ApiError(ErrorCode.INVALID_ORDER, "the order has no id", 422, errors=missing)
        if len(data) > self._settings.max_command_bytes:
            message = f"the order has {len(data)} bytes, the limit is {self._settings.max_command_bytes}"
            return ApiError(ErrorCode.BODY_TOO_LARGE, message, 413)
        return None

    def _dispatch(self, pending: _Pending, now: float) -> list[Effect]:
        """Propose here or forward to the leader; without a leader wait for one."""
        pending.resend_at = now + self._settings.resend_s
        if self._leadership.leading:
            # One that another node forwarded counts as an attempt too: it may be committed.
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

    def _on_decided(self, event: CommandDecided, now: float) -> list[Effect]:
        order = event.result.order
        if not self._concerns(order):
            return []
        key = _key(decode_command(event.data))
        effects: list[Effect] = []
        proposal = self._proposals.pop(key, None)
        for sender in sorted(proposal.senders) if proposal is not None else ():
            effects.append(Send(sender, OrderDecided(key, event.result)))
        return effects + self._answer(key, event.result)

    def _concerns(self, order: OrderId) -> bool:
        """Say whether the order is one of this desk's (most commands are others')."""
        if any(proposal.order == order for proposal in self._proposals.values()):
            return True
        return any(pending.order == order for pending in self._pending.values())

    def _on_proposal_ended(self, event: ProposalEnded, now: float) -> list[Effect]:
        proposal = self._proposals.pop(event.correlation_id, None)
        if proposal is None or not event.storage_full or event.unknown:
            return []
        not_taken = OrderRejected(event.correlation_id, ErrorCode.STORAGE_FULL)
        effects: list[Effect] = [Send(sender, not_taken) for sender in sorted(proposal.senders)]
        return effects + self._give_up(event.correlation_id, ErrorCode.STORAGE_FULL)

    def _on_leadership(self, event: LeadershipKnown, now: float) -> list[Effect]:
        if event == self._leadership or event.term < self._leadership.term:
            return []
        self._leadership = event
        if not event.leading:
            self._proposals.clear()
        effects = self._take_held(event)
        for pending in self._pending.values():
            effects += self._dispatch(pending, now)
        return effects

    def _on_message(self, event: MessageReceived, now: float) -> list[Effect]:
        match event.message:
            case ForwardOrder(key=key, data=data):
                return self._on_forward(event.sender, key, data)
            case OrderDecided(key=key, result=result):
                return self._answer(key, result)
            case OrderRejected(key=key, code=code):
                return self._give_up(key, code)
            case _:
                return []

    def _take_held(self, event: LeadershipKnown) -> list[Effect]:
        if event.leader == self._own and not event.leading:
            return []
        held, self._held = self._held, {}
        effects: list[Effect] = []
        for (sender, key), data in held.items() if event.leading else ():
            effects += self._on_forward(sender, key, data)
        return effects

    def _hold(self, sender: NodeId, key: str, data: bytes) -> None:
        """Keep an order that came between this node's election and its first commit, some round trips later.

        Every node that had orders waiting sends them at once to whom it hears to be elected.
        """
        if self._leadership.leader == self._own and len(self._held) < self._settings.max_pending:
            self._held[(sender, key)] = data

    def _on_forward(self, sender: NodeId, key: str, data: bytes) -> list[Effect]:
        if not self._leadership.leading:
            self._hold(sender, key, data)
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

    def _on_tick(self, event: Tick, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            effects += self._expire(pending, now)
            if pending.waiting and now >= pending.resend_at:
                effects += self._dispatch(pending, now)
        return effects

    def _expire(self, pending: _Pending, now: float) -> list[Effect]:
        """Answer the clients whose time is up."""
        fate = Fate.UNKNOWN if pending.attempts else Fate.REFUSED
        error = self._unavailable(ErrorCode.NO_QUORUM, fate)
        expired = [correlation_id for correlation_id, until in pending.waiting if until <= now]
        pending.waiting = [
            (correlation_id, until) for correlation_id, until in pending.waiting if until > now
        ]
        if not pending.waiting:
            del self._pending[pending.key]
        return [ReplyToOrder(correlation_id, None, error) for correlation_id in expired]

    def _answer(self, key: str, result: CommandResult) -> list[Effect]:
        pending = self._pending.pop(key, None)
        return (
            [ReplyToOrder(correlation_id, result) for correlation_id, _ in pending.waiting] if pending else []
        )

    def _give_up(self, key: str, code: ErrorCode) -> list[Effect]:
        """Answer at once that the order isn't taken; an earlier attempt may still have been."""
        pending = self._pending.pop(key, None)
        if pending is None:
            return []
        error = self._unavailable(code, Fate.REFUSED if pending.attempts <= 1 else Fate.UNKNOWN)
        return [ReplyToOrder(correlation_id, None, error) for correlation_id, _ in pending.waiting]

    def _unavailable(self, code: ErrorCode, fate: Fate) -> ApiError:
        messages = {
            ErrorCode.NO_QUORUM: "no leader with a majority of the controllers decided the order in time",
            ErrorCode.STORAGE_FULL: "the leader's disk is full; nothing was changed",
            ErrorCode.OVERLOADED: "too many orders are under way",
        }
        default = "the leader's program does not know this kind of order"
        advice = "; send it again under the same order id"
        return ApiError(
            code=code,
            message=messages.get(code, default) + advice,
            status=503,
            fate=fate,
            retry_after_s=self._settings.retry_after_s,
        )


def _key(command: AnyCommand) -> str:
    """Name an order together with its command: an id used twice names two."""
    return f"{command.order}/{command_digest(command).hex()}"
