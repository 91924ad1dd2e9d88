"""The load step of a short rollout: the last step before the full weight tests the candidate under load.

A version may fail only above a load that its engines first reach after *done*, when the old engines are gone
and the rollout can't be reversed. To detect that earlier, the step's prompts go to so few candidate engines
that each carries :data:`LOAD_FACTOR` times a stable engine's load, as far as its slots allow.
"""

from __future__ import annotations

import math

from springmux.rollout.plan import RolloutPlan

LOAD_FACTOR = 2.5
"""Multiple of a stable engine's load. After *done* two candidate engines may replace three stable ones, and a
burst may come on top; a fault that begins at 1.5 times the load must affect more than one or two prompts."""
MAX_LOAD_WEIGHT = 0.9
"""Largest weight of the load step, so that some stable answers are left for comparison."""
MAX_SLOT_USE = 0.9
"""Largest part of a candidate engine's slots that the step fills, unless stable engines are busier."""


def is_load_step(plan: RolloutPlan, weight: float) -> bool:
    """Return whether ``weight`` is that of the load step or larger; only short rollouts have a load step."""
    return plan.pacing.even and len(plan.steps) > 1 and weight >= plan.steps[-2]


def load_weight(least: float, stable_count: int) -> float:
    """Return the weight, at least ``least``, that gives an engine :data:`LOAD_FACTOR` stable loads."""
    if stable_count == 0:
        return least
    return max(least, min(MAX_LOAD_WEIGHT, LOAD_FACTOR / stable_count))


def loaded_engines(
    weight: float, stable_count: int, candidate_count: int, capacity: int, in_flight: float = 0.0
) -> int:
    """Return on how many candidate engines ``weight`` is concentrated; 0 means all.

    :param capacity: requests that a candidate engine can run concurrently.
    :param in_flight: mean number of the service's requests in flight on all engines; 0 if unknown.
    """
    if stable_count == 0:
        return 0
    by_load = round(weight * stable_count / LOAD_FACTOR)
    stable_load = in_flight / stable_count
    room = max(MAX_SLOT_USE * capacity, stable_load)
    by_slots = math.ceil(weight * in_flight / room) if room > 0 else 0
    wanted = max(1, by_load, by_slots)
    return 0 if wanted >= candidate_count else wanted
