"""Proposals of the rollout coordinator, which the agent converts into commands of the control log.

Order ids are derived from the rollout and the step, so a repeated proposal takes effect once.
"""

from __future__ import annotations

from springmux.coordination.state_machine import Effect
from springmux.rollout.plan import RolloutDecision, RolloutPhase
from springmux.vocabulary.names import RolloutId, ServiceName


class ProposeAbort(Effect, frozen=True):
    """Propose the abort of a rollout. It is repeated about every second until the record is terminal."""

    service: ServiceName
    rollout: RolloutId
    decision: RolloutDecision


class ProposeStep(Effect, frozen=True):
    """Propose a step (leader only). A step with the present weight is a checkpoint of ``elapsed_s``."""

    service: ServiceName
    rollout: RolloutId
    phase: RolloutPhase
    step: int
    weight: float
    elapsed_s: float


class ProposeFinish(Effect, frozen=True):
    """Propose to finish a rollout, which makes the candidate the stable version (leader only)."""

    service: ServiceName
    rollout: RolloutId
    elapsed_s: float
