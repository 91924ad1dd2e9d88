"""Events and settings of the usage exchange."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class AccountLimit(msgspec.Struct, frozen=True):
    """A fleet-wide token bucket: ``rate_per_s`` tokens/s, at most ``burst`` tokens. Rate 0: no limit."""

    rate_per_s: float
    burst: float


class AccountLimitsChanged(Event, frozen=True):
    """The complete set of limits; an account that is missing has none."""

    limits: Mapping[str, AccountLimit]


class UsageMembersChanged(Event, frozen=True):
    """The present nodes changed."""

    view: MembershipView


class UsageSettings(msgspec.Struct, frozen=True):
    """Times and sizes of the usage exchange."""

    report_period_s: float = 0.2
    """Interval of reports in a fleet of up to ``direct_nodes`` nodes."""
    totals_period_s: float = 0.25
    """Interval of reports to collectors, and of their totals for accounts near their limit."""
    calm_totals_period_s: float = 1.0
    """Interval of totals for accounts far from their limit."""
    direct_nodes: int = 24
    """Largest fleet whose nodes report to each other; in a larger one they report to collectors."""
    collectors: int = 2
    """One that sends totals, and one on standby."""
    direct_horizon_s: float = 0.3
    """Time until all nodes know of a spent token: one period, one message, and jitter."""
    collected_horizon_s: float = 0.6
    """The same through a collector: two periods, two messages."""
    demand_window_s: float = 0.5
    """Time constant of the demand estimate, shorter than a burst lasts."""
    unresponsive_s: float = 1.0
    """Time without a reply after which a peer may be partitioned away."""
    isolated_s: float = 0.5
    """Time without any reply after which a node takes itself for isolated; over two periods."""
    totals_timeout_s: float = 1.2
    """Time without totals after which an active node takes the collectors for unreachable."""
    takeover_s: float = 0.6
    """Time without totals after which the standby collector takes over; over two periods."""
    startup_s: float = 1.0
    """A starting node keeps to its equal share for this long, or until a majority has reported."""
    catch_up_s: float = 0.1
    """Time to read messages that queued during a stall before the node counts as up to date."""
    stall_s: float = 0.5
    """Delay of a tick from which on the process is taken to have stalled."""
    reply_interval_s: float = 0.25
    """A report gets a reply, if need be an empty one, unless one was sent this recently."""
    repeat_s: float = 0.8
    """Time after which the final figures of an idle account are sent once more, in case of loss."""
    full_report_window_s: float = 30.0
    """An unresponsive peer is sent all accounts used within this time."""
    reference_size_s: float = 60.0
    """Period over which the largest fleet size is the reference for the sides of a partition."""
    debt_share: float = 0.1
    """Fraction of a window's tokens by which a request may take the bucket below zero."""
    window_s: float = 8.0
    """Length of the windows over which the quota bound holds."""
    cushion_horizons: float = 0.85
    """Horizons of the rate by which the bucket may stay below empty near the limit, so that noise of the
    demand estimate rejects no request of a tenant within its rate."""
    level_blend: float = 0.2
    """Fraction by which one round of all peers' levels moves the local one; old errors fade."""
    engine_refresh_s: float = 0.75
    """Interval at which an unchanged engine load is reported again, before it expires elsewhere."""
    engine_expiry_s: float = 1.5
    """Age at which a reported engine load is dropped."""
    withheld_s: float = 2.0
    """Time after a partition within which the others report what they spent during it."""
    shortest_wait_s: float = 0.05
    """Shortest retry delay of a rejected request."""
    longest_wait_s: float = 5.0
    """Longest retry delay; the estimate is not good for longer."""
    longest_excess_wait_s: float = 2.5
    """Longest retry delay that is due to excess demand alone: half of the shortest request deadline, so that
    a retry has time left."""
