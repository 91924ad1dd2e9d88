"""Effects of membership other than ``Send`` and ``LogLine``."""

from __future__ import annotations

from springmux.coordination.identifiers import Address
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Effect, PeerMessage


class SendToAddress(Effect, frozen=True):
    """Send a message to a peer address.

    Needed where the name of the node isn't known (seeds), or where the node isn't known at that address yet
    (replies to join requests).
    """

    address: Address
    message: PeerMessage


class MembershipChanged(Effect, frozen=True):
    """The view changed; pass it to the other components as ``events.MembershipUpdated``."""

    view: MembershipView
