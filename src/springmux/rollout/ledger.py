"""The exposure ledger: how many credits may be outstanding, and which writers get them.

The ledger is a hard bound on a bad candidate's prompts, independent of the judge. One credit pays for one
prompt sent to the candidate. The issuer grants credits so that the sent prompts plus the outstanding credits
stay below a share of the service's prompts plus an allowance. Outstanding credits of a lost node count as
spent; unspent credits return to the pool only when the node itself reports that they expired.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.plan import RolloutPhase, RolloutPlan
from springmux.rollout.token import Account, AccountTotals

EXPOSE_TARGET = 0.8
"""Fraction of ``expose_share`` that is granted as credits; the rest covers what a leader change hides."""
CANARY_SLACK = 1.25
"""Factor by which a canary may exceed its weight. Credits are whole numbers, and without slack those granted
to low-traffic nodes would use up the canary's credit."""
ZONE_SPREAD = 4.0
"""A zone gets at most this multiple of the fleet's weight, so a low-traffic zone isn't fully shifted."""


def allowance_part(plan: RolloutPlan) -> int:
    """Return how many credits are granted on top of the share of prompts."""
    return math.floor(plan.pacing.allowance_part * plan.expose_allowance)


def accruing_share(plan: RolloutPlan) -> float:
    """Return the fraction of the service's prompts that accrues as credit."""
    return EXPOSE_TARGET * plan.pacing.share_part * plan.expose_share


def credit_pool(plan: RolloutPlan, phase: RolloutPhase, totals: AccountTotals, allowance: int) -> int:
    """Return how many credits may be granted now, never negative.

    In the canary phase the canary's weight limits the credits too, so that credit is left for the steps.
    """
    limit = math.floor(accruing_share(plan) * totals.prompts) + allowance
    if phase is RolloutPhase.CANARY:
        limit = min(limit, math.floor(CANARY_SLACK * plan.canary_weight * totals.prompts) + allowance)
    return max(0, limit - totals.committed)


def zone_order(rates: Mapping[ZoneName, float], first_zones: Sequence[ZoneName]) -> tuple[ZoneName, ...]:
    """Return zones in the order in which they get weight: ``first_zones``, then by ascending prompt rate."""
    named_zones = [zone for zone in first_zones if zone in rates]
    others = sorted((zone for zone in rates if zone not in named_zones), key=lambda zone: (rates[zone], zone))
    return (*named_zones, *others)


def zone_weights(
    order: Sequence[ZoneName], rates: Mapping[ZoneName, float], weight: float
) -> dict[ZoneName, float]:
    """Return each zone's weight so that the fleet's weight is ``weight``; earlier zones are filled first."""
    if weight >= 1.0:
        return dict.fromkeys(order, 1.0)
    cap = min(1.0, ZONE_SPREAD * weight)
    remaining = weight * sum(rates.values())
    weights: dict[ZoneName, float] = {}
    for zone in order:
        share = min(cap, remaining / rates[zone]) if rates[zone] > 0 else cap
        weights[zone] = share
        remaining = max(0.0, remaining - share * rates[zone])
    return weights


class CreditDemand(msgspec.Struct, frozen=True):
    """Prompt rate and candidate weight of one writer, from which its need of credits follows."""

    writer: int
    rate_per_s: float
    weight: float


def allocate_credits(
    demands: Iterable[CreditDemand], accounts: Mapping[int, Account], pool: int, horizon_s: float
) -> dict[int, int]:
    """Return the credits to grant by writer, at most ``pool`` in total.

    Each writer with a weight above zero is topped up to the candidate prompts that it expects within
    ``horizon_s``, at least one credit. Every writer gets one credit first, in the order of ``demands``, so
    that a small pool reaches many writers; the rest is then shared.
    """
    missing_by_writer: dict[int, int] = {}
    for demand in demands:
        if demand.weight <= 0:
            continue
        target = max(1, math.ceil(demand.rate_per_s * demand.weight * horizon_s))
        missing = target - accounts[demand.writer].outstanding
        if missing > 0:
            missing_by_writer[demand.writer] = missing
    grants: dict[int, int] = {}
    for writer in missing_by_writer:
        if pool > 0:
            grants[writer] = 1
            pool -= 1
    remaining = sum(missing_by_writer.values()) - len(grants)
    if remaining <= 0 or pool <= 0:
        return grants
    share = min(1.0, pool / remaining)
    for writer in grants:
        extra = min(pool, math.ceil((missing_by_writer[writer] - 1) * share))
        grants[writer] += extra
        pool -= extra
    return grants
