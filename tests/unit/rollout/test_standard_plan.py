"""The plan of an order that names only service, candidate and term."""

from __future__ import annotations

from springmux.rollout.planning.standard_plan import plan_for
from springmux.vocabulary.names import ServiceName, VersionName


def test_a_thin_services_canary_is_paid_for_by_the_allowance() -> None:
    """Given few prompts a second, the canary is larger, but never the whole of what a bad one may get."""
    thin = plan_for(ServiceName("pages"), VersionName("v2"), 14.0, 0.1, 50, 5000, prompts_per_s=30.0)
    usual = plan_for(ServiceName("pages"), VersionName("v2"), 14.0, 0.1, 50, 5000)
    assert usual.canary_weight < thin.canary_weight < thin.steps[0]
    assert thin.canary_weight * 30.0 * 14.0 <= 0.5 * (0.1 * 30.0 * 14.0 + 50) + 1e-9
    unknown = plan_for(ServiceName("pages"), VersionName("v2"), 14.0, 0.1, 50, 5000, prompts_per_s=0.0)
    assert unknown.canary_weight == usual.canary_weight
