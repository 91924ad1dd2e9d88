"""Extra traffic of the faults that clients cause: a burst, a hot prefix, a tenant over its quota."""

from __future__ import annotations

from springmux.lab.load.traffic import Surge
from springmux.lab.plan import ExperimentPlan, TrafficPlan
from springmux.simulation.engine_model import BYTES_PER_TOKEN

SURGE_S = 10.0
BURST_FACTOR = 2.0
"""Added to the ordinary rate, so that a burst triples it."""
QUOTA_SURGE_S = 20.0
QUOTA_PRESSURE = 2.5
"""Traffic of the surging tenant, as a multiple of its quota."""


def burst_surge(plan: ExperimentPlan, from_s: float) -> Surge:
    """Return a burst of the busiest route."""
    traffic = max(plan.traffic, key=lambda traffic: traffic.rate_per_s)
    return Surge(
        route=traffic.route, from_s=from_s, for_s=SURGE_S, extra_per_s=BURST_FACTOR * traffic.rate_per_s
    )


def prefix_surge(plan: ExperimentPlan, from_s: float) -> Surge:
    """Return a surge with one of the longest prefixes."""
    traffic = max(plan.traffic, key=lambda traffic: traffic.prefix_bytes)
    return Surge(
        route=traffic.route,
        from_s=from_s,
        for_s=SURGE_S,
        extra_per_s=BURST_FACTOR * traffic.rate_per_s,
        prefix=0,
    )


def _mean_tokens(traffic: TrafficPlan) -> float:
    """Return the mean number of tokens that a prompt of the stream counts."""
    prompt_bytes = traffic.prefix_bytes + sum(traffic.own_bytes) / 2
    return prompt_bytes / BYTES_PER_TOKEN + sum(traffic.answer_tokens) / 2


def tenant_surge(plan: ExperimentPlan, from_s: float) -> Surge:
    """Return the traffic of the last, smaller tenant on top of its share."""
    tenant = plan.tenants[-1]
    traffic = max(plan.traffic, key=lambda traffic: traffic.rate_per_s)
    return Surge(
        route=traffic.route,
        from_s=from_s,
        for_s=QUOTA_SURGE_S,
        extra_per_s=QUOTA_PRESSURE * tenant.tokens_per_s / _mean_tokens(traffic),
        tenant=tenant.name,
    )
