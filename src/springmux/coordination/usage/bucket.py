"""The fleet's bucket of one account as this node sees it, and whether a request is admitted.

Source of the sharing: Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007 (global
random drop): near the limit every node admits the same part of the tokens asked for, which follows from
the fleet's demand. Each gets its share in proportion to its demand so, and no node's saved-up part lies
idle. Which requests make up that part, ``request_sizes`` decides.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.usage.events import AccountLimit, UsageSettings
from springmux.coordination.usage.messages import AccountTotal, AccountUse
from springmux.coordination.usage.own_use import OwnUse, spread_s, weight

STEP_S = 0.01
"""The level is carried forward in steps of at least this much: 1% of a second's rate."""

CALM_LEVEL = 0.6
"""An account with at least this part of its burst is calm. With 0.75, totals at 90 nodes and 16 accounts took
603 bytes a node and second in a trial, which with the reports is more than 1 KB/s."""

FORGET_DEMAND_S = 5.0
"""After ten time constants nothing is left of a demand that was not reported again."""


class Standing(msgspec.Struct, frozen=True):
    """What this node may count on now.

    ``share``: part of the limit that is its own side's. ``silent``: peers that may be cut off, since when;
    each is taken to spend ``1 / fleet_size`` of the rate. ``horizon_s``: time within which spending is known
    to all; ``hold_s``: time to a peer's next report.
    """

    fleet_size: int
    share: float
    silent: Mapping[NodeId, float]
    horizon_s: float
    hold_s: float
    starting: bool = False


class PeerUse:
    """What is known of one peer's use: last report, and what is charged beyond it.

    ``assumed``: spent since the report that is due next; ``held``: its part of the rate while it was silent.
    """

    __slots__ = ("admitted", "assumed", "at", "demand", "held")

    def __init__(self, now: float) -> None:
        self.admitted: int | None = None
        self.demand = 0.0
        self.at = now
        self.assumed = 0.0
        self.held = 0.0

    def release(self) -> float:
        """Return what was charged beyond the last report, and charge it no more."""
        charged = self.assumed + self.held
        self.assumed = self.held = 0.0
        return charged


class Bucket:
    """Level in tokens; below zero after a request on credit, or after nodes spent the same remainder."""

    def __init__(self, limit: AccountLimit, settings: UsageSettings, standing: Standing, now: float) -> None:
        self._settings = settings
        self.limit = limit
        self.own = OwnUse(settings, now)
        self._peers: dict[NodeId, PeerUse] = {}
        self._at = now
        self._cap = limit.burst * standing.share
        self.level = 0.0 if standing.starting else self._cap
        self._guessed = standing.starting
        self._withheld = 0.0
        self._withheld_at = now
        self._others_demand = 0.0
        self._total_demand = 0.0
        self._total_at = now
        self.admit_probability = 1.0

    def advance(self, standing: Standing, now: float) -> None:
        """Carry the level forward: refill, and what the others are thought to have spent meanwhile."""
        elapsed = now - self._at
        if elapsed < STEP_S:
            return
        if self._guessed and not standing.starting:
            # Nobody told of this account while the node started, so nobody uses it: its bucket is full.
            self._guessed, self.level = False, self.limit.burst
        drained = self._drain_peers(standing, now) + self._drain_totals(standing, now)
        drained += self._drain_silent(standing, now)
        lost = len(standing.silent) / standing.fleet_size
        self._cap = self.limit.burst * standing.share * max(0.0, 1.0 - lost)
        refill = self.limit.rate_per_s * elapsed
        self.level = min(self._cap, self.level + refill * standing.share - drained)
        self._withhold(refill * (1.0 - standing.share), now)
        self._at = now
        self._set_probability(standing, now)

    def admit(self, tokens: float, standing: Standing, draw: float, now: float) -> float | None:
        """Admit and count a request, or return when to come back (seconds).

        :param draw: a random number in [0, 1).
        """
        self.own.ask(tokens, now)
        if tokens < self.limit.burst:
            self.own.sizes.note(tokens)
        self.advance(standing, now)
        self._set_probability(standing, now)
        needed = min(tokens, self._cap)
        others_soon = self._others_demand * standing.horizon_s
        is_plenty = self.level >= needed + others_soon
        if not is_plenty:
            on_credit = self.level >= min(0.0, needed - self._debt())
            if not on_credit or draw >= self._chance(tokens):
                return self._wait_s(tokens, standing, draw, now)
        self.spend(tokens, now)
        return None

    def _chance(self, tokens: float) -> float:
        """Return the chance of a request near the limit; one above the burst isn't judged by its size."""
        if tokens >= self.limit.burst:
            return self.admit_probability
        return self.own.sizes.chance(tokens, self.admit_probability)

    def spend(self, tokens: float, now: float) -> None:
        """Count tokens; less than zero for those given back."""
        self.own.spend(tokens, now)
        self.level = min(self._cap, self.level - tokens)

    def is_near_limit(self) -> bool:
        """Say whether nodes need fresh figures of this account."""
        return self.admit_probability < 1.0 or self.level < self.limit.burst * CALM_LEVEL

    def fleet_demand(self, now: float) -> float:
        """Return the tokens/s asked for at all nodes, as of the last step."""
        return self.own.demand(now) + self._others_demand

    def set_limit(self, limit: AccountLimit) -> None:
        """Bind a new limit at once. What is saved up is cut to the new burst, and never given for free."""
        self.limit = limit
        self.level = min(self.level, limit.burst)
        self._cap = min(self._cap, limit.burst)

    def hear_use(
        self, peer: NodeId, use: AccountUse, standing: Standing, after_gap: bool, now: float
    ) -> None:
        """Take a peer's figures in place of what was charged for it.

        :param after_gap: the peer was long not heard, so that its part of the rate may have been withheld.
        """
        self.advance(standing, now)
        known = self._peers.get(peer)
        if known is None:
            known = self._peers[peer] = PeerUse(now)
        if known.admitted is None:
            spent = min(use.admitted, use.recent)
        else:
            spent = use.admitted - known.admitted
        beyond = self._beyond_withheld(spent) if after_gap or standing.starting else spent
        self.level = min(self._cap, self.level + known.release() - beyond)
        known.admitted, known.demand, known.at = use.admitted, use.demand, now
        if standing.starting:
            self._guessed = False
            self.level = min(use.level, self.limit.burst)
        else:
            self.level += (use.level - self.level) * self._settings.level_pull / standing.fleet_size

    def hear_total(self, total: AccountTotal, included: int, standing: Standing, now: float) -> None:
        """Take a collector's level, less what this node spent since the report that is included in it."""
        self._guessed = False
        self.level = min(self.limit.burst, total.level - self.own.beyond(included, now))
        self._total_demand, self._total_at, self._at = total.demand, now, now
        self._others_demand = max(0.0, total.demand - self.own.demand(now))
        self._set_probability(standing, now)

    def release(self, peer: NodeId) -> None:
        """Give back what was charged for a peer that was silent; its report says what it really spent."""
        known = self._peers.get(peer)
        if known is not None:
            self.level = min(self._cap, self.level + known.release())

    def restart_peer(self, peer: NodeId) -> None:
        """Forget a peer's counts: it began again from zero. What it spent stays counted."""
        self._peers.pop(peer, None)

    def stand_still(self, now: float) -> None:
        """Withhold the refill of the time in which the process stood still and heard of no use."""
        self._withhold(self.limit.rate_per_s * (now - self._at), now)
        self._at = now

    def _withhold(self, tokens: float, now: float) -> None:
        """Set tokens aside that were the others' part: what they report as spent comes out of these first.

        Else a side that comes back would be charged for the others' part of the rate, which it never had.
        """
        if tokens > 0.0:
            self._withheld += tokens
            self._withheld_at = now
        elif now - self._withheld_at > self._settings.withheld_s:
            self._withheld = 0.0

    def _beyond_withheld(self, spent: float) -> float:
        covered = min(self._withheld, max(0.0, spent))
        self._withheld -= covered
        return spent - covered

    def _debt(self) -> float:
        window = self.limit.rate_per_s * self._settings.window_s + self.limit.burst
        return window * self._settings.debt_share

    def _set_probability(self, standing: Standing, now: float) -> None:
        """What is there and flows in within a horizon, by what will be asked for in that time."""
        rate = self.limit.rate_per_s * standing.share
        rate -= self.limit.rate_per_s * len(standing.silent) / standing.fleet_size
        rate = max(0.0, rate)
        cushion = rate * standing.horizon_s * self._settings.cushion_horizons
        available = rate + (self.level + cushion) / standing.horizon_s
        demand = self.fleet_demand(now)
        self.admit_probability = min(1.0, max(0.0, available / demand)) if demand > 0 else 1.0

    def _wait_s(self, tokens: float, standing: Standing, draw: float, now: float) -> float:
        """Return when this node's part of the rate will have covered debt and request.

        While more is asked for than the rate, a caller that comes back at once only adds to it. So it is
        told to wait, spread by ``draw``, for as long as the rate takes to work the latest excess off.
        """
        demand = self.fleet_demand(now)
        part = self.own.demand(now) / max(demand, 1.0)
        rate = max(1.0, self.limit.rate_per_s * standing.share)
        wait = max(0.0, -self.level) / rate + tokens / (rate * max(part, 1.0 / standing.fleet_size))
        settings = self._settings
        excess_s = (demand / rate - 1.0) * settings.demand_window_s
        spread = 0.5 + 0.5 * draw
        wait = max(wait, spread * min(excess_s, settings.longest_excess_wait_s))
        return min(settings.longest_wait_s, max(settings.shortest_wait_s, wait))

    def _drain_peers(self, standing: Standing, now: float) -> float:
        drained = demand = 0.0
        hold, window = standing.hold_s, self._settings.demand_window_s
        for known in self._peers.values():
            if known.demand <= 0.0:
                continue
            age = now - known.at
            lasting = 0.0 if age > FORGET_DEMAND_S else known.demand * weight(age, hold, window)
            # Had it spent anything before its last round, which was half a period ago on average, then it
            # would have reported.
            assumed = lasting * min(age, hold / 2) * self.admit_probability
            drained += assumed - known.assumed
            known.assumed = assumed
            demand += lasting
            if not lasting:
                known.demand = 0.0
        self._others_demand = demand
        return drained

    def _drain_totals(self, standing: Standing, now: float) -> float:
        if self._total_demand <= 0.0:
            return 0.0
        others = max(0.0, self._total_demand - self.own.demand(now))
        age = now - self._total_at
        if age > standing.horizon_s:
            # The collector tells of an account that is near its limit each period, so this one is calm.
            others = min(others, self.limit.rate_per_s)
        hold, window = self._settings.calm_totals_period_s, self._settings.demand_window_s
        seconds = spread_s(age, hold, window) - spread_s(self._at - self._total_at, hold, window)
        self._others_demand += others * weight(age, hold, window)
        if age > FORGET_DEMAND_S:
            self._total_demand = 0.0
        return others * seconds * self.admit_probability

    def _drain_silent(self, standing: Standing, now: float) -> float:
        drained = 0.0
        for peer, since in standing.silent.items():
            known = self._peers.get(peer)
            if known is None:
                known = self._peers[peer] = PeerUse(now)
            seconds = now - max(since, self._at)
            spent = max(0.0, seconds) * self.limit.rate_per_s / standing.fleet_size
            known.held += spent
            drained += spent
        return drained
