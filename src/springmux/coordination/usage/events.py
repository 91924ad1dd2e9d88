"""Events and settings of the usage part."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import Event


class AccountLimit(msgspec.Struct, frozen=True):
    """A fleet-wide token bucket: ``rate_per_s`` tokens/s, at most ``burst`` saved up. Rate 0: no limit."""

    rate_per_s: float
    burst: float


class AccountLimitsChanged(Event, frozen=True):
    """The whole set of limits; an account that is missing has none."""

    limits: Mapping[str, AccountLimit]


class UsageMembersChanged(Event, frozen=True):
    """The present nodes changed."""

    view: MembershipView


class UsageSettings(msgspec.Struct, frozen=True):
    """Times and sizes of the usage part."""

    report_period_s: float = 0.2
    """Pace of reports between up to ``direct_nodes`` nodes (task)."""
    totals_period_s: float = 0.25
    """Pace of reports to collectors, and of their totals for accounts that are near their limit (task)."""
    calm_totals_period_s: float = 1.0
    """Pace of totals for accounts far from their limit; 16 of them fit into 1 KB/s so."""
    direct_nodes: int = 24
    """Up to so many present nodes report to each other; above, to collectors (task)."""
    collectors: int = 2
    """One that sends totals, and one that stands by (task)."""
    direct_horizon_s: float = 0.3
    """Time within which what a node spends is known to all: a period, a message, and room for jitter."""
    collected_horizon_s: float = 0.6
    """The same by way of a collector: two periods, two messages."""
    demand_window_s: float = 0.5
    """Time constant of the demand estimate: some requests at each of 12 nodes, shorter than a burst lasts."""
    silent_s: float = 1.0
    """A peer that leaves reports unanswered for this long may be cut off (task)."""
    alone_s: float = 0.5
    """A node that is answered by nobody for this long takes itself for cut off: two periods and more."""
    totals_silent_s: float = 1.2
    """The same for collectors, which tell something at least each half second while a node is active."""
    stand_in_s: float = 0.6
    """The second collector speaks when the first was not heard for this long: two periods."""
    start_s: float = 1.0
    """A node that starts keeps to its equal share for this long, or until it heard a majority (task)."""
    catch_up_s: float = 0.1
    """Time to read what peers sent while the process stood still, before it counts as up to date."""
    stall_s: float = 0.5
    """A tick late by this much: the process stood still, and its picture is as old."""
    reply_s: float = 0.25
    """A report is answered, be it with an empty one, unless the peer was sent one so recently."""
    repeat_s: float = 0.8
    """The last figures of an account that fell idle are sent once more after this time, for loss."""
    full_s: float = 30.0
    """A silent peer is sent all accounts used within this time, so that it is up to date when it hears."""
    anchor_s: float = 60.0
    """Fleet size against which a side of a cut fleet measures itself: the largest seen in this time."""
    debt_share: float = 0.1
    """Part of a window's tokens by which a request may take the bucket below zero: the promise's tenth."""
    window_s: float = 8.0
    """Length of the promise's windows (task)."""
    cushion_horizons: float = 0.85
    """Near the limit the bucket is held so many horizons of its rate below empty (0.25 s of it, by way of a
    collector 0.5 s), so that noise of the demand estimate refuses nothing to a tenant within its rate."""
    level_pull: float = 0.2
    """Part by which a round of all peers' levels draws the own one: old errors fade within a second."""
    engine_refresh_s: float = 0.75
    """An unchanged engine load is told again after this time, before the others forget it."""
    engine_forget_s: float = 1.5
    """Engine loads older than this count for nothing (task)."""
    withheld_s: float = 2.0
    """Reports of what the others spent during a cut come within this time after it: views and two reports."""
    shortest_wait_s: float = 0.05
    """Least time after which a refused caller is told to come back (task)."""
    longest_wait_s: float = 5.0
    """Longest such time: the estimate isn't worth more."""
    longest_excess_wait_s: float = 2.5
    """Longest time for which a caller is sent away only because too much is asked for: half of the shortest
    deadline (5 s, task), so that a request has time left when it comes back."""
