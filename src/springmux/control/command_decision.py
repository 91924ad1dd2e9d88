"""Decisions of the control state's sections on commands, which the state machine turns into results."""

from __future__ import annotations

from typing import Any

import msgspec

from springmux.control.commands import Outcome
from springmux.vocabulary.errors import FieldError


class CommandDecision(msgspec.Struct, frozen=True):
    """Outcome of a command with details for its sender. Only an accepted command may change the state.

    The result of a decided order, with its message, becomes part of the replicated state. Nodes whose
    programs word a message differently would hold different states.
    """

    outcome: Outcome
    message: str = ""
    version: int = 0
    errors: tuple[FieldError, ...] = ()
    winner: dict[str, Any] | None = None


ACCEPTED = CommandDecision(Outcome.ACCEPTED)


def conflict(message: str, winner: dict[str, Any] | None = None) -> CommandDecision:
    """Return the decision on a command that conflicts with an earlier one, described by ``winner``."""
    return CommandDecision(Outcome.CONFLICT, message, winner=winner)


def invalid(*errors: FieldError) -> CommandDecision:
    """Return the decision on a command with invalid fields."""
    return CommandDecision(Outcome.INVALID, "; ".join(error.message for error in errors[:3]), errors=errors)


def not_found(message: str) -> CommandDecision:
    """Return the decision on a command whose subject doesn't exist."""
    return CommandDecision(Outcome.NOT_FOUND, message)
