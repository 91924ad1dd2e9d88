"""Effects of membership beside ``Send`` and ``LogLine``."""

from __future__ import annotations

from springmux.coordination.identifiers import Address
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Effect, PeerMessage


class SendToAddress(Effect, frozen=True):
    """Send a message to a peer address whose node isn't known by name (seeds) or at this address (joins)."""

    address: Address
    message: PeerMessage


class MembershipChanged(Effect, frozen=True):
    """The view changed; hand it to the other components as ``events.MembershipUpdated``."""

    view: MembershipView
