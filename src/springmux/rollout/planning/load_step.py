"""The load step of a short term: the last step before the full weight tries the candidate under load.

A version may be bad only above a load that its engines meet after *done*, when the old engines are gone and
nothing can be taken back. So that it shows before, the step's prompts go to so few candidate engines that
each of them carries :data:`LOAD_FACTOR` times a stable engine's load, as far as its slots allow.
"""

from __future__ import annotations

import math

from springmux.rollout.plan import RolloutPlan

LOAD_FACTOR = 2.5
"""Times a stable engine's load. After *done* there may be two candidate engines for three stable ones, and a
burst on top; a fault that begins at half as much again must show by more than one or two prompts."""
MAX_LOAD_WEIGHT = 0.9
"""Some prompts stay on the stable version, to be compared with."""
MAX_SLOT_USE = 0.9
"""Part of an engine's slots that the step fills at most, unless stable engines are fuller themselves."""


def is_load_step(plan: RolloutPlan, weight: float) -> bool:
    """Return whether ``weight`` is the load step's or the full one; only short terms have a load step."""
    return plan.pacing.even and len(plan.steps) > 1 and weight >= plan.steps[-2]


def load_weight(least: float, stable_count: int) -> float:
    """Return the weight that gives one engine :data:`LOAD_FACTOR` times a stable one's load, or ``least``."""
    if stable_count == 0:
        return least
    return max(least, min(MAX_LOAD_WEIGHT, LOAD_FACTOR / stable_count))


def loaded_engines(
    weight: float, stable_count: int, candidate_count: int, capacity: int, in_flight: float = 0.0
) -> int:
    """Return on how many candidate engines ``weight`` is concentrated; 0 means all.

    :param capacity: requests that a candidate engine runs at once.
    :param in_flight: mean number of the service's requests that run at once on all engines; 0 if not known.
    """
    if stable_count == 0:
        return 0
    by_load = round(weight * stable_count / LOAD_FACTOR)
    stable_load = in_flight / stable_count
    room = max(MAX_SLOT_USE * capacity, stable_load)
    by_slots = math.ceil(weight * in_flight / room) if room > 0 else 0
    wanted = max(1, by_load, by_slots)
    return 0 if wanted >= candidate_count else wanted
