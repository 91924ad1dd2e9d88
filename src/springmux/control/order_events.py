"""Events and effects of the order coordinator, besides messages, ticks and ``LeadershipKnown``."""

from __future__ import annotations

from springmux.control.commands import AnyCommand, CommandResult
from springmux.coordination.state_machine import Effect, Event
from springmux.vocabulary.errors import ApiError


class SubmitOrder(Event, frozen=True):
    """A client submitted a command to this node. ``correlation_id`` matches the reply to it."""

    correlation_id: str
    command: AnyCommand


class CommandDecided(Event, frozen=True):
    """A committed command was applied to this node's control state."""

    data: bytes
    result: CommandResult


class StateReplaced(Event, frozen=True):
    """The control state was replaced by a snapshot, whose decisions are of unknown age."""


class ProposalEnded(Event, frozen=True):
    """The replica dropped a proposal. ``unknown``: whether the command may be committed nevertheless."""

    correlation_id: str
    unknown: bool
    storage_full: bool = False


class ProposeCommand(Effect, frozen=True):
    """Propose a command to this node's own replica, which leads. ``ProposalEnded`` reports a dropped one."""

    correlation_id: str
    data: bytes


class ReplyToOrder(Effect, frozen=True):
    """Reply to a client with the result, or with an error if there is none.

    ``correlation_id`` is that of the client's :class:`SubmitOrder`.
    """

    correlation_id: str
    result: CommandResult | None
    error: ApiError | None = None
