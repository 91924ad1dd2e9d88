"""State of a ring's issuer, the node that launches its rounds: accounts, evidence, rates, granted credits."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.ledger import CreditDemand, allocate_credits, credit_pool, zone_order, zone_weights
from springmux.rollout.plan import RolloutRecord
from springmux.rollout.rate_meter import RateMeter
from springmux.rollout.token import (
    BASIS_POINTS,
    Account,
    AccountTotals,
    RolloutEntry,
    by_writer,
    merge_accounts,
    total_accounts,
)

MEASURE_RATES_S = 1.5
"""Prompt rates are measured for this long before the first grant, to find the zones with least traffic."""
GRANT_HORIZON_ROUNDS = 2.0
"""Rounds that a grant covers: the present one, and the next one if it is late or lost."""
WIDEN_AFTER_S = 3.0
"""Interval at which the candidate's prompts are compared with the weight."""
WIDEN_FACTOR = 1.5
"""If a few large prefixes make up the traffic, hardly any may hash into the candidate's slice. The slice is
widened by this factor until the candidate gets half of its weight."""


class IssuedRollout:
    """State of one rollout in one ring that the ring's issuer keeps between rounds."""

    def __init__(self, entry: RolloutEntry, now: float) -> None:
        self.entry = entry
        self.began_at = now
        self.live_writers: set[int] = set()
        self.evidence_from = now
        """Launch time of the newest round that returned."""
        self._meters: dict[int, RateMeter] = {}
        self._order: tuple[ZoneName, ...] = ()
        self._order_weight = -1.0
        self._widening_factor = 1.0
        self._widening_weight = -1.0
        self._widening_checked_at = now
        self._widening_totals = self.totals()

    def totals(self) -> AccountTotals:
        """Return the sums over the ring's accounts, including those of lost writers."""
        return total_accounts(self.entry.accounts)

    def prompts_per_s(self) -> float:
        """Return the measured prompt rate of all live writers, per second."""
        return sum(self.rate_of(writer) for writer in self.live_writers)

    def rate_of(self, writer: int) -> float:
        """Return the measured prompt rate of one writer, per second; 0 if it is unknown."""
        meter = self._meters.get(writer)
        return meter.per_s if meter is not None else 0.0

    def merge_returned(self, returned: RolloutEntry, launched_at: float | None, now: float) -> None:
        """Merge a returned round; of a superseded one (``launched_at`` ``None``) only the counters."""
        current = launched_at is not None
        known = by_writer(self.entry.accounts)
        accounts = dict(known)
        live_writers: set[int] = set()
        for account in returned.accounts:
            former = known.get(account.writer)
            accounts[account.writer] = _merge_account(account, former, current)
            if former is None or account.visits > former.visits:
                live_writers.add(account.writer)
                self._measure(account, now)
        self.entry = msgspec.structs.replace(
            self.entry,
            accounts=tuple(accounts.values()),
            evidence=returned.evidence if current else self.entry.evidence,
            aborted=self.entry.aborted or returned.aborted,
            decision=self.entry.decision or returned.decision,
        )
        if launched_at is not None:
            self.live_writers = live_writers
            self.evidence_from = launched_at

    def _measure(self, account: Account, now: float) -> None:
        meter = self._meters.get(account.writer)
        if meter is None:
            self._meters[account.writer] = RateMeter(account.prompts, now)
        else:
            meter.update(account.prompts, now)

    def zone_rates(self, zones: tuple[ZoneName, ...]) -> dict[ZoneName, float]:
        """Return the measured prompt rate of each zone with a live writer."""
        rates: dict[ZoneName, float] = {}
        for account in self.entry.accounts:
            if account.writer in self.live_writers and account.zone < len(zones):
                zone = zones[account.zone]
                rates[zone] = rates.get(zone, 0.0) + self.rate_of(account.writer)
        return rates

    def order(self, zones: tuple[ZoneName, ...], record: RolloutRecord) -> tuple[ZoneName, ...]:
        """Return the zones in the order in which they get weight.

        The order changes only with the weight or the set of zones, so that varying rates don't reorder zones
        within a step.
        """
        rates = self.zone_rates(zones)
        if self._order_weight != record.weight or set(self._order) != set(rates):
            self._order = zone_order(rates, record.plan.first_zones)
            self._order_weight = record.weight
        return self._order

    def _targets(self, zones: tuple[ZoneName, ...], record: RolloutRecord) -> dict[ZoneName, float]:
        """Return each zone's target weight; with ``pacing.even`` all zones have the same."""
        rates = self.zone_rates(zones)
        if record.plan.pacing.even:
            return dict.fromkeys(rates, record.weight)
        return zone_weights(self.order(zones, record), rates, record.weight)

    def set_zone_weights(self, zones: tuple[ZoneName, ...], record: RolloutRecord, now: float) -> None:
        """Set the zones' weights in the entry; within a rollout a weight never falls."""
        self._widen_if_underused(record, now)
        rates = self.zone_rates(zones)
        targets = self._targets(zones, record)
        former = self.entry.zone_weights_bp
        weights: list[int] = []
        for index, zone in enumerate(zones):
            target = min(1.0, targets.get(zone, 0.0) * self._widening_factor)
            known = former[index] if index < len(former) else 0
            weights.append(max(known, round(target * BASIS_POINTS)))
        per_ten_s = tuple(round(10 * rates.get(zone, 0.0)) for zone in zones)
        self.entry = msgspec.structs.replace(self.entry, zone_weights_bp=tuple(weights), zone_rates=per_ten_s)

    def _widen_if_underused(self, record: RolloutRecord, now: float) -> None:
        if record.plan.pacing.even and record.weight != self._widening_weight:
            self._widening_factor = 1.0
            self._widening_weight = record.weight
        if now - self._widening_checked_at < WIDEN_AFTER_S:
            return
        added = self.totals().minus(self._widening_totals)
        pool = credit_pool(record.plan, record.phase, self.totals(), self.entry.allowance)
        if record.weight > 0 and pool > 0 and added.sent < 0.5 * record.weight * added.prompts:
            self._widening_factor = min(self._widening_factor * WIDEN_FACTOR, 1.0 / record.weight)
        self._widening_checked_at = now
        self._widening_totals = self.totals()

    def grant_from_ledger(
        self, zones: tuple[ZoneName, ...], record: RolloutRecord, round_s: float
    ) -> dict[int, int]:
        """Grant credits up to the ledger's bound, in the order of the zones; return them by writer."""
        targets = self._targets(zones, record)
        pool = credit_pool(record.plan, record.phase, self.totals(), self.entry.allowance)
        ranks = {zone: rank for rank, zone in enumerate(self.order(zones, record))}
        demands = [
            (ranks.get(zones[account.zone], len(ranks)), account)
            for account in self.entry.accounts
            if account.writer in self.live_writers and account.zone < len(zones)
        ]
        demands.sort(key=lambda pair: (pair[0], pair[1].spent, pair[1].writer))
        return self._grant(
            [
                CreditDemand(a.writer, self.rate_of(a.writer), targets.get(zones[a.zone], 0.0))
                for _, a in demands
            ],
            pool,
            round_s,
        )

    def grant_from_pool(self, weight: float, pool: int, round_s: float) -> dict[int, int]:
        """Grant the writers of a zone ring the credits that its leader received; return them by writer."""
        live_writers = sorted(
            (a for a in self.entry.accounts if a.writer in self.live_writers),
            key=lambda a: (a.spent, a.writer),
        )
        return self._grant(
            [CreditDemand(a.writer, self.rate_of(a.writer), weight) for a in live_writers], pool, round_s
        )

    def _grant(self, demands: list[CreditDemand], pool: int, round_s: float) -> dict[int, int]:
        accounts = by_writer(self.entry.accounts)
        grants = allocate_credits(demands, accounts, pool, GRANT_HORIZON_ROUNDS * round_s)
        for writer, credits in grants.items():
            account = accounts[writer]
            accounts[writer] = msgspec.structs.replace(account, granted=account.granted + credits)
        if grants:
            self.entry = msgspec.structs.replace(self.entry, accounts=tuple(accounts.values()))
        return grants


def _merge_account(account: Account, former: Account | None, current: bool) -> Account:
    if former is None:
        return account if current else msgspec.structs.replace(account, visits=0)
    merged = merge_accounts(account if current else former, former if current else account)
    return msgspec.structs.replace(merged, zone=account.zone)
