"""Messages between the order coordinators of nodes."""

from __future__ import annotations

from springmux.control.commands import CommandResult
from springmux.coordination.state_machine import PeerMessage
from springmux.vocabulary.errors import ErrorCode


class ForwardOrder(PeerMessage, frozen=True, tag="ForwardOrder"):
    """Forwards an encoded command to the leader. ``key`` identifies the order and command in the reply."""

    key: str
    data: bytes


class OrderDecided(PeerMessage, frozen=True, tag="OrderDecided"):
    """The leader's reply after it committed and applied the command."""

    key: str
    result: CommandResult


class OrderRejected(PeerMessage, frozen=True, tag="OrderNotTaken"):
    """The leader's reply if it rejected this attempt.

    Its disk is full, it has too many undecided orders, or it can't decode the command.
    """

    key: str
    code: ErrorCode


MESSAGES: tuple[type[PeerMessage], ...] = (ForwardOrder, OrderDecided, OrderRejected)
