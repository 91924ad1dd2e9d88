"""Events and settings of the quota."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class AccountRate(msgspec.Struct, frozen=True):
    """A quota: a token bucket of ``burst_tokens``, refilled at ``tokens_per_s``."""

    tokens_per_s: float
    burst_tokens: float


class AccountsChanged(Event, frozen=True):
    """Accounts were added, changed or removed. Accounts that are not mentioned are unchanged."""

    changed: Mapping[str, AccountRate]
    removed: tuple[str, ...] = ()


class QuotaMembersChanged(Event, frozen=True):
    """The present nodes changed, and with them the owners, which are chosen by rendezvous hash."""

    view: MembershipView


class QuotaSettings(msgspec.Struct, frozen=True):
    """Times (s) and fractions of the quota."""

    request_period_s: float = 0.2
    """Interval between requests for active accounts."""
    urgent_period_s: float = 0.03
    """Shortest interval between requests while a share is exhausted."""
    horizon_s: float = 0.5
    """Time for which a share should cover the node's demand: two request periods and a round trip."""
    lease_s: float = 2.0
    """Time after which a share that is not renewed expires at its node."""
    owner_margin_s: float = 1.0
    """Time that the owner waits beyond the lease, since its reply took time to arrive."""
    idle_s: float = 1.0
    """Time without demand after which a node returns its share and stops requesting."""
    owner_timeout_s: float = 0.45
    """Time without a reply (two requests) after which a node grants tokens to itself."""
    account_expiry_s: float = 30.0
    """Time for which an idle account's counts are kept, so that a change of nodes doesn't clear a debt."""
    takeover_s: float = 10.0
    """Time after a membership change in which an account new to its owner starts without its burst."""
    last_rate_s: float = 10.0
    """Time for which a node without a reachable owner continues at its last rate."""
    advance_share: float = 1.0
    """Fraction of the available tokens (of the burst, at a node without a grant yet) that one request may use
    in advance of the owner's reply."""
    demand_window_s: float = 1.0
    """Time constant of the demand estimate."""
