"""Decisions of the control state's sections on commands; the state machine makes results of them."""

from __future__ import annotations

from typing import Any

import msgspec

from springmux.control.commands import Outcome
from springmux.vocabulary.errors import FieldError


class Verdict(msgspec.Struct, frozen=True):
    """Outcome of a command with the details for its sender. Nothing changed unless it is accepted."""

    outcome: Outcome
    message: str = ""
    version: int = 0
    errors: tuple[FieldError, ...] = ()
    winner: dict[str, Any] | None = None


ACCEPTED = Verdict(Outcome.ACCEPTED)


def conflict(message: str, winner: dict[str, Any] | None = None) -> Verdict:
    """Return the verdict on a command that lost to an earlier one; ``winner`` describes that one."""
    return Verdict(Outcome.CONFLICT, message, winner=winner)


def invalid(*errors: FieldError) -> Verdict:
    """Return the verdict on a command with wrong fields."""
    return Verdict(Outcome.INVALID, "; ".join(error.message for error in errors[:3]), errors=errors)


def not_found(message: str) -> Verdict:
    """Return the verdict on a command whose subject doesn't exist."""
    return Verdict(Outcome.NOT_FOUND, message)
