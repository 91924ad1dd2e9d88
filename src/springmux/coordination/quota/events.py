"""Events and settings of the quota part."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class AccountRate(msgspec.Struct, frozen=True):
    """A quota: refilled at ``tokens_per_s``, never more than ``burst_tokens`` saved up."""

    tokens_per_s: float
    burst_tokens: float


class AccountsChanged(Event, frozen=True):
    """Accounts that are new or changed, and those that are gone. Others stay as they are."""

    changed: Mapping[str, AccountRate]
    removed: tuple[str, ...] = ()


class QuotaMembersChanged(Event, frozen=True):
    """The present nodes changed; owners follow by rendezvous hash."""

    view: MembershipView


class QuotaSettings(msgspec.Struct, frozen=True):
    """Times and shares of the quota part."""

    ask_period_s: float = 0.2
    """Pace of asks for active accounts: five small messages a second to an owner."""
    hurry_period_s: float = 0.03
    """Shortest time between two asks when a share has run out."""
    horizon_s: float = 0.5
    """Tokens at hand are worth this much of the node's demand: two ask periods and a round trip."""
    lease_s: float = 2.0
    """A share not renewed lapses after this time; the owner takes the rest back a little later."""
    owner_margin_s: float = 1.0
    """What the owner waits beyond the lease, for the age of the answer."""
    idle_s: float = 1.0
    """A node without demand for this long gives its share back and falls silent."""
    silence_s: float = 0.45
    """An owner that has not answered for this long (two asks) is done without."""
    forget_s: float = 30.0
    """Figures of an idle account are kept this long, so that a debt is not slept off by changing nodes."""
    take_over_s: float = 10.0
    """For this long after a change of nodes an account new to its owner begins with no saved burst."""
    last_share_s: float = 10.0
    """How long a node without its owner goes on at its last rate (brief of the project's design)."""
    starter_share: float = 1.0
    """A node may go ahead of its owner's answer with one request of up to this part of the spare tokens
    (of the burst, on a node that has not heard of the account yet). Measured in docs/notes/quota.md."""
    demand_window_s: float = 1.0
    """Time constant of the demand estimate."""
