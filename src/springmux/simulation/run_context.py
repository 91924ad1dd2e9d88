"""Context of a run, which the checkers need in addition to its history."""

from __future__ import annotations

import msgspec

from springmux.rollout.plan import RolloutPlan
from springmux.simulation.deployments import Deployment


class DemandSurge(msgspec.Struct, frozen=True):
    """Time span in which a tenant requests far more than its quota."""

    tenant: str
    begin: float
    end: float


class RunContext(msgspec.Struct, frozen=True, kw_only=True):
    """Deployment, plan and phases of a run; times are virtual seconds.

    ``plan``: ``None`` without a rollout. ``bad``: whether its candidate is bad. ``healed_at``: time
    after which there are no faults. ``quiet_at``: time after which the fleet must be healthy. ``surges``:
    spans in which a tenant's demand is far above its quota. ``removed_at``: time at which the old engines
    began to leave after a finished rollout, ``None`` if they have not.
    """

    deployment: Deployment
    began_at: float
    healed_at: float
    quiet_at: float
    ended_at: float
    plan: RolloutPlan | None = None
    bad: bool = False
    surges: tuple[DemandSurge, ...] = ()
    removed_at: float | None = None
