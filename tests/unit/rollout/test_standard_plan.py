"""The plan of an order that specifies only service, candidate and deadline."""

from __future__ import annotations

from springmux.rollout.planning.standard_plan import plan_for
from springmux.vocabulary.names import ServiceName, VersionName


def test_the_canary_of_a_low_traffic_service_uses_the_allowance() -> None:
    """With few prompts per second the canary is larger, but uses only a part of the exposure bound."""
    low_traffic = plan_for(ServiceName("pages"), VersionName("v2"), 14.0, 0.1, 50, 5000, prompts_per_s=30.0)
    usual = plan_for(ServiceName("pages"), VersionName("v2"), 14.0, 0.1, 50, 5000)
    assert usual.canary_weight < low_traffic.canary_weight < low_traffic.steps[0]
    assert low_traffic.canary_weight * 30.0 * 14.0 <= 0.5 * (0.1 * 30.0 * 14.0 + 50) + 1e-9
    unknown = plan_for(ServiceName("pages"), VersionName("v2"), 14.0, 0.1, 50, 5000, prompts_per_s=0.0)
    assert unknown.canary_weight == usual.canary_weight
