"""Messages of the order desks between nodes."""

from __future__ import annotations

from springmux.control.commands import CommandResult
from springmux.coordination.state_machine import PeerMessage
from springmux.vocabulary.errors import ErrorCode


class ForwardOrder(PeerMessage, frozen=True, tag="ForwardOrder"):
    """Have the leader decide a command. ``key`` names order and command in the answer."""

    key: str
    data: bytes


class OrderDecided(PeerMessage, frozen=True, tag="OrderDecided"):
    """The leader's answer: the command is committed and applied there."""

    key: str
    result: CommandResult


class OrderRejected(PeerMessage, frozen=True, tag="OrderNotTaken"):
    """The leader took nothing of this attempt (its disk is full, or it has too many)."""

    key: str
    code: ErrorCode


MESSAGES: tuple[type[PeerMessage], ...] = (ForwardOrder, OrderDecided, OrderRejected)
