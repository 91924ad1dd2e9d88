"""One account's fleet-wide token bucket as estimated by this node, and the admission decision.

Source: Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007 (global random drop).
Near the limit every node admits the same fraction of the requested tokens, derived from the fleet's demand.
Each node's share is thereby proportional to its demand, and no node's unused tokens lie idle.
:mod:`request_sizes` derives each request's admit probability from that fraction.
"""

from __future__ import annotations

from springmux.coordination.identifiers import NodeId
from springmux.coordination.usage.events import AccountLimit, UsageSettings
from springmux.coordination.usage.extrapolation import effective_age_s, extrapolation_weight
from springmux.coordination.usage.fleet_view import FleetView
from springmux.coordination.usage.local_usage import LocalUsage
from springmux.coordination.usage.messages import AccountTotal, AccountUse

STEP_S = 0.01
"""Shortest interval, in seconds, between two updates of the level."""

LOW_USAGE_LEVEL = 0.6
"""Fraction of the burst at or above which an account is far from its limit and is published less often. With
0.75, totals of 16 accounts at 90 nodes took 603 B/s per node, which with the reports exceeds 1 KB/s."""

DEMAND_EXPIRY_S = 5.0
"""Age after which a reported demand is dropped: ten time constants of the demand estimate."""


class PeerUsage:
    """One peer's last report, and the tokens charged beyond it.

    ``assumed``: tokens that the peer is estimated to have spent since that report. ``reserved``: tokens
    charged for its share of the rate while it is unresponsive.
    """

    __slots__ = ("admitted", "assumed", "demand", "reported_at", "reserved")

    def __init__(self, now: float) -> None:
        self.admitted: int | None = None
        self.demand = 0.0
        self.reported_at = now
        self.assumed = 0.0
        self.reserved = 0.0

    def release(self) -> float:
        """Return the tokens charged beyond the last report, and reset them."""
        charged = self.assumed + self.reserved
        self.assumed = self.reserved = 0.0
        return charged


class Bucket:
    """Token bucket of one account.

    The level is negative after a request admitted on credit, or after several nodes spent the same tokens.
    """

    def __init__(self, limit: AccountLimit, settings: UsageSettings, fleet: FleetView, now: float) -> None:
        self._settings = settings
        self.limit = limit
        self.local = LocalUsage(settings, now)
        self._peers: dict[NodeId, PeerUsage] = {}
        self._advanced_at = now
        self._capacity = limit.burst * fleet.share
        self.level = 0.0 if fleet.starting else self._capacity
        self._level_is_provisional = fleet.starting
        self._withheld = 0.0
        self._withheld_at = now
        self._others_demand = 0.0
        self._total_demand = 0.0
        self._total_at = now
        self.admit_probability = 1.0

    def advance(self, fleet: FleetView, now: float) -> None:
        """Advance the level to ``now``: add the refill, subtract the other nodes' estimated spending."""
        elapsed = now - self._advanced_at
        if elapsed < STEP_S:
            return
        if self._level_is_provisional and not fleet.starting:
            # No node reported this account during startup, so it is unused and its bucket is full.
            self._level_is_provisional, self.level = False, self.limit.burst
        drained = self._drain_peers(fleet, now) + self._drain_totals(fleet, now)
        drained += self._drain_unresponsive(fleet, now)
        unresponsive_fraction = len(fleet.unresponsive) / fleet.size
        self._capacity = self.limit.burst * fleet.share * max(0.0, 1.0 - unresponsive_fraction)
        refill = self.limit.rate_per_s * elapsed
        self.level = min(self._capacity, self.level + refill * fleet.share - drained)
        self._withhold(refill * (1.0 - fleet.share), now)
        self._advanced_at = now
        self._set_probability(fleet, now)

    def admit(self, tokens: float, fleet: FleetView, draw: float, now: float) -> float | None:
        """Admit and count a request.

        :param draw: a random number in [0, 1).
        :returns: ``None`` if admitted, else the delay in seconds after which the client should retry.
        """
        self.local.record_request(tokens, now)
        if tokens < self.limit.burst:
            self.local.sizes.record(tokens)
        self.advance(fleet, now)
        self._set_probability(fleet, now)
        needed = min(tokens, self._capacity)
        others_soon = self._others_demand * fleet.horizon_s
        covers_all_demand = self.level >= needed + others_soon
        if not covers_all_demand:
            on_credit = self.level >= min(0.0, needed - self._largest_debt())
            if not on_credit or draw >= self._probability(tokens):
                return self._retry_after_s(tokens, fleet, draw, now)
        self.spend(tokens, now)
        return None

    def _probability(self, tokens: float) -> float:
        """Return the admit probability of a request near the limit, independent of size above the burst."""
        if tokens >= self.limit.burst:
            return self.admit_probability
        return self.local.sizes.probability(tokens, self.admit_probability)

    def spend(self, tokens: float, now: float) -> None:
        """Count admitted tokens; a negative number refunds them."""
        self.local.record_admitted(tokens, now)
        self.level = min(self._capacity, self.level - tokens)

    def is_near_limit(self) -> bool:
        """Return whether the account is close enough to its limit to need frequent updates."""
        return self.admit_probability < 1.0 or self.level < self.limit.burst * LOW_USAGE_LEVEL

    def fleet_demand(self, now: float) -> float:
        """Return the demand (tokens/s) at all nodes, as of the last update of the level."""
        return self.local.demand(now) + self._others_demand

    def set_limit(self, limit: AccountLimit) -> None:
        """Apply a new limit immediately. The level is capped to the new burst and never raised."""
        self.limit = limit
        self.level = min(self.level, limit.burst)
        self._capacity = min(self._capacity, limit.burst)

    def apply_peer_usage(
        self, peer: NodeId, use: AccountUse, fleet: FleetView, after_gap: bool, now: float
    ) -> None:
        """Replace the tokens charged for a peer by the counts that it reported.

        :param after_gap: whether no message of the peer arrived for some time, so that its share may have
            been withheld.
        """
        self.advance(fleet, now)
        peer_usage = self._peers.get(peer)
        if peer_usage is None:
            peer_usage = self._peers[peer] = PeerUsage(now)
        if peer_usage.admitted is None:
            spent = min(use.admitted, use.recent)
        else:
            spent = use.admitted - peer_usage.admitted
        uncovered = self._beyond_withheld(spent) if after_gap or fleet.starting else spent
        self.level = min(self._capacity, self.level + peer_usage.release() - uncovered)
        peer_usage.admitted, peer_usage.demand, peer_usage.reported_at = use.admitted, use.demand, now
        if fleet.starting:
            self._level_is_provisional = False
            self.level = min(use.level, self.limit.burst)
        else:
            self.level += (use.level - self.level) * self._settings.level_blend / fleet.size

    def apply_total(self, total: AccountTotal, included: int, fleet: FleetView, now: float) -> None:
        """Set the level from a collector's total, less the tokens admitted here after report ``included``."""
        self._level_is_provisional = False
        self.level = min(self.limit.burst, total.level - self.local.admitted_since(included, now))
        self._total_demand, self._total_at, self._advanced_at = total.demand, now, now
        self._others_demand = max(0.0, total.demand - self.local.demand(now))
        self._set_probability(fleet, now)

    def release(self, peer: NodeId) -> None:
        """Refund the tokens charged for an unresponsive peer, since its report contains the actual counts."""
        peer_usage = self._peers.get(peer)
        if peer_usage is not None:
            self.level = min(self._capacity, self.level + peer_usage.release())

    def reset_peer(self, peer: NodeId) -> None:
        """Drop the counters of a restarted peer, which restart at zero. Its past spending stays charged."""
        self._peers.pop(peer, None)

    def skip_stall(self, now: float) -> None:
        """Withhold the refill for the time of a process stall, during which no reports were received."""
        self._withhold(self.limit.rate_per_s * (now - self._advanced_at), now)
        self._advanced_at = now

    def _withhold(self, tokens: float, now: float) -> None:
        """Withhold the refill that belonged to the other nodes; their later reports are charged to it first.

        Otherwise, after a partition heals, a side would be charged for a share of the rate that it never
        received.
        """
        if tokens > 0.0:
            self._withheld += tokens
            self._withheld_at = now
        elif now - self._withheld_at > self._settings.withheld_s:
            self._withheld = 0.0

    def _beyond_withheld(self, spent: float) -> float:
        """Charge reported tokens to the withheld ones; return the tokens that exceed those."""
        covered = min(self._withheld, max(0.0, spent))
        self._withheld -= covered
        return spent - covered

    def _largest_debt(self) -> float:
        """Return the number of tokens by which a request on credit may take the level below zero."""
        window = self.limit.rate_per_s * self._settings.window_s + self.limit.burst
        return window * self._settings.debt_share

    def _set_probability(self, fleet: FleetView, now: float) -> None:
        """Set the admit probability: tokens available within a horizon over the demand in that time."""
        rate = self.limit.rate_per_s * fleet.share
        rate -= self.limit.rate_per_s * len(fleet.unresponsive) / fleet.size
        rate = max(0.0, rate)
        cushion = rate * fleet.horizon_s * self._settings.cushion_horizons
        available = rate + (self.level + cushion) / fleet.horizon_s
        demand = self.fleet_demand(now)
        self.admit_probability = min(1.0, max(0.0, available / demand)) if demand > 0 else 1.0

    def _retry_after_s(self, tokens: float, fleet: FleetView, draw: float, now: float) -> float:
        """Return the delay (s) until this node's share of the rate covers the debt and the request.

        While demand exceeds the rate, an early retry only adds load, so the delay is at least the time in
        which the rate covers the recent excess demand, with jitter from ``draw``.
        """
        demand = self.fleet_demand(now)
        local_fraction = self.local.demand(now) / max(demand, 1.0)
        rate = max(1.0, self.limit.rate_per_s * fleet.share)
        wait = max(0.0, -self.level) / rate + tokens / (rate * max(local_fraction, 1.0 / fleet.size))
        settings = self._settings
        excess_s = (demand / rate - 1.0) * settings.demand_window_s
        jitter = 0.5 + 0.5 * draw
        wait = max(wait, jitter * min(excess_s, settings.longest_excess_wait_s))
        return min(settings.longest_wait_s, max(settings.shortest_wait_s, wait))

    def _drain_peers(self, fleet: FleetView, now: float) -> float:
        """Return the tokens newly assumed spent by peers since their reports; update their demand."""
        drained = demand = 0.0
        hold, window = fleet.report_interval_s, self._settings.demand_window_s
        for peer_usage in self._peers.values():
            if peer_usage.demand <= 0.0:
                continue
            age = now - peer_usage.reported_at
            current_demand = (
                0.0 if age > DEMAND_EXPIRY_S else peer_usage.demand * extrapolation_weight(age, hold, window)
            )
            # Tokens spent before the peer's last period, which on average began half a period ago, would have
            # been reported.
            assumed = current_demand * min(age, hold / 2) * self.admit_probability
            drained += assumed - peer_usage.assumed
            peer_usage.assumed = assumed
            demand += current_demand
            if not current_demand:
                peer_usage.demand = 0.0
        self._others_demand = demand
        return drained

    def _drain_totals(self, fleet: FleetView, now: float) -> float:
        """Return the tokens assumed spent by others since the last update, from the collector's demand."""
        if self._total_demand <= 0.0:
            return 0.0
        others = max(0.0, self._total_demand - self.local.demand(now))
        age = now - self._total_at
        if age > fleet.horizon_s:
            # An account near its limit would have been published in each period, so this one is far from it.
            others = min(others, self.limit.rate_per_s)
        hold, window = self._settings.low_usage_totals_period_s, self._settings.demand_window_s
        seconds = effective_age_s(age, hold, window) - effective_age_s(
            self._advanced_at - self._total_at, hold, window
        )
        self._others_demand += others * extrapolation_weight(age, hold, window)
        if age > DEMAND_EXPIRY_S:
            self._total_demand = 0.0
        return others * seconds * self.admit_probability

    def _drain_unresponsive(self, fleet: FleetView, now: float) -> float:
        """Return the tokens reserved since the last update for peers that may be partitioned away."""
        drained = 0.0
        for peer, since in fleet.unresponsive.items():
            peer_usage = self._peers.get(peer)
            if peer_usage is None:
                peer_usage = self._peers[peer] = PeerUsage(now)
            seconds = now - max(since, self._advanced_at)
            spent = max(0.0, seconds) * self.limit.rate_per_s / fleet.size
            peer_usage.reserved += spent
            drained += spent
        return drained
