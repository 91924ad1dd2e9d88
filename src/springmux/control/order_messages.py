"""Messages between the order coordinators of nodes."""

from __future__ import annotations

from springmux.control.commands import CommandResult
from springmux.coordination.state_machine import PeerMessage
from springmux.vocabulary.errors import ErrorCode


class ForwardOrder(PeerMessage, frozen=True, tag="ForwardOrder"):
    """Forward a command to the leader. ``key`` identifies order and command in the reply."""

    key: str
    data: bytes


class OrderDecided(PeerMessage, frozen=True, tag="OrderDecided"):
    """The leader's reply: the command is committed and applied there."""

    key: str
    result: CommandResult


class OrderRejected(PeerMessage, frozen=True, tag="OrderNotTaken"):
    """The leader rejected this attempt (its disk is full, or it has too many orders)."""

    key: str
    code: ErrorCode


MESSAGES: tuple[type[PeerMessage], ...] = (ForwardOrder, OrderDecided, OrderRejected)
