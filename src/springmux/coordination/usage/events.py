"""Events and settings of the usage exchange."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class AccountLimit(msgspec.Struct, frozen=True):
    """A fleet-wide token bucket, refilled at ``rate_per_s`` tokens/s up to ``burst`` tokens.

    A rate of 0 means no limit.
    """

    rate_per_s: float
    burst: float


class AccountLimitsChanged(Event, frozen=True):
    """The limits changed; ``limits`` is the complete set, and an account not in it has no limit."""

    limits: Mapping[str, AccountLimit]


class UsageMembersChanged(Event, frozen=True):
    """The present nodes changed."""

    view: MembershipView


class UsageSettings(msgspec.Struct, frozen=True):
    """Times (s) and sizes of the usage exchange."""

    report_period_s: float = 0.2
    """Interval between reports in a fleet of up to ``direct_nodes`` nodes."""
    totals_period_s: float = 0.25
    """Interval between reports to collectors, and between their totals for accounts near their limit."""
    low_usage_totals_period_s: float = 1.0
    """Interval between totals for accounts far from their limit; 16 such accounts then fit into 1 KB/s."""
    direct_nodes: int = 24
    """Largest fleet whose nodes report to each other; in a larger one they report to collectors."""
    collectors: int = 2
    """Number of collectors: one that sends totals, the others on standby."""
    direct_horizon_s: float = 0.3
    """Time until all nodes know of a spent token without collectors: one period, one message, and jitter."""
    collected_horizon_s: float = 0.6
    """Time until all nodes know of a spent token through a collector: two periods and two messages."""
    demand_window_s: float = 0.5
    """Time constant of the demand estimate: some requests at each of 12 nodes, yet shorter than a burst."""
    unresponsive_s: float = 1.0
    """Time without a reply after which a peer may be partitioned away."""
    isolated_s: float = 0.5
    """Time without a reply from any peer after which a node considers itself isolated: over two periods."""
    totals_timeout_s: float = 1.2
    """Time without totals after which an active node considers the collectors unreachable."""
    takeover_s: float = 0.6
    """Time without totals after which the standby collector takes over: over two periods."""
    startup_s: float = 1.0
    """Time for which a starting node uses only its equal share, unless a majority reports earlier."""
    catch_up_s: float = 0.1
    """Time for reading the messages that queued during a stall, before the node is considered up to date."""
    stall_s: float = 0.5
    """Delay of a tick beyond which the process is assumed to have stalled."""
    reply_interval_s: float = 0.25
    """Shortest interval between replies to one peer. A reply without changes is an empty report."""
    repeat_s: float = 0.8
    """Time after which the final counts of an idle account are sent once more, in case a report was lost."""
    full_report_window_s: float = 30.0
    """Full reports, as sent to an unresponsive peer, include all accounts used within this time."""
    reference_size_s: float = 60.0
    """Time for which the largest fleet size remains the reference size during a partition."""
    debt_share: float = 0.1
    """Fraction of one window's tokens by which a request may take the bucket below zero."""
    window_s: float = 8.0
    """Length of the sliding windows in which the quota bound holds."""
    cushion_horizons: float = 0.85
    """Number of horizons' worth of the rate by which the bucket may stay below zero near the limit: 0.25 s
    of the rate, or 0.5 s through a collector. Without it, noise in the demand estimate would reject requests
    of a tenant that keeps within its rate."""
    level_blend: float = 0.2
    """Weight of one round of reports by all peers in the local level, so that old errors decay."""
    engine_refresh_s: float = 0.75
    """Interval at which an unchanged engine load is reported again, before it expires at other nodes."""
    engine_expiry_s: float = 1.5
    """Age at which a reported engine load is dropped."""
    withheld_s: float = 2.0
    """Time after a partition within which the other nodes report the tokens that they spent during it."""
    shortest_wait_s: float = 0.05
    """Shortest retry delay of a rejected request."""
    longest_wait_s: float = 5.0
    """Longest retry delay, since the estimate is unreliable beyond it."""
    longest_excess_wait_s: float = 2.5
    """Longest retry delay caused by excess demand alone: half of the shortest request deadline (5 s), so
    that a retry still has time."""
