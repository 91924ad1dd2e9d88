"""Additional traffic of the faults that clients cause: a burst, a hot prefix, a tenant over its quota."""

from __future__ import annotations

from springmux.lab.load.traffic import Surge
from springmux.lab.plan import ExperimentPlan, TrafficPlan
from springmux.simulation.engine_model import BYTES_PER_TOKEN

SURGE_S = 10.0
BURST_FACTOR = 2.0
"""Additional traffic as a multiple of the ordinary rate: a burst triples the total."""
QUOTA_SURGE_S = 20.0
QUOTA_FACTOR = 2.5
"""Additional traffic of the surging tenant, as a multiple of its quota."""


def burst_surge(plan: ExperimentPlan, from_s: float) -> Surge:
    """Return a burst on the route with the highest request rate."""
    traffic = max(plan.traffic, key=lambda traffic: traffic.rate_per_s)
    return Surge(
        route=traffic.route, from_s=from_s, for_s=SURGE_S, extra_per_s=BURST_FACTOR * traffic.rate_per_s
    )


def prefix_surge(plan: ExperimentPlan, from_s: float) -> Surge:
    """Return a surge of requests with one prefix, on the route that has the longest prefixes."""
    traffic = max(plan.traffic, key=lambda traffic: traffic.prefix_bytes)
    return Surge(
        route=traffic.route,
        from_s=from_s,
        for_s=SURGE_S,
        extra_per_s=BURST_FACTOR * traffic.rate_per_s,
        prefix=0,
    )


def _mean_tokens(traffic: TrafficPlan) -> float:
    """Return the mean number of tokens of a request of the stream, prompt and response together."""
    prompt_bytes = traffic.prefix_bytes + sum(traffic.own_bytes) / 2
    return prompt_bytes / BYTES_PER_TOKEN + sum(traffic.answer_tokens) / 2


def tenant_surge(plan: ExperimentPlan, from_s: float) -> Surge:
    """Return traffic of the plan's last tenant, a smaller one, in addition to its ordinary share."""
    tenant = plan.tenants[-1]
    traffic = max(plan.traffic, key=lambda traffic: traffic.rate_per_s)
    return Surge(
        route=traffic.route,
        from_s=from_s,
        for_s=QUOTA_SURGE_S,
        extra_per_s=QUOTA_FACTOR * tenant.tokens_per_s / _mean_tokens(traffic),
        tenant=tenant.name,
    )
