"""What a run was, beside its history: the checkers' frame of reference."""

from __future__ import annotations

import msgspec

from springmux.rollout.planning.plan import RolloutPlan
from springmux.simulation.deployments import Deployment


class DemandSurge(msgspec.Struct, frozen=True):
    """A tenant asks for far more than its quota for a while."""

    tenant: str
    begin: float
    end: float


class RunContext(msgspec.Struct, frozen=True, kw_only=True):
    """Times are virtual seconds. ``plan`` is ``None`` without a rollout; ``bad``: its candidate is bad.

    ``healed_at``: from then on nothing is broken; ``quiet_at``: from then on the fleet must be whole.
    ``swollen``: spans in which a tenant's demand is far above its quota. ``removed_at``: when the old
    engines began to leave after a finished rollout.
    """

    deployment: Deployment
    began_at: float
    healed_at: float
    quiet_at: float
    ended_at: float
    plan: RolloutPlan | None = None
    bad: bool = False
    swollen: tuple[DemandSurge, ...] = ()
    removed_at: float | None = None
