"""Proposals of the rollout coordinator, which the agent turns into commands of the control log.

Order ids derive from rollout and step, so that a repeated proposal is one command.
"""

from __future__ import annotations

from springmux.coordination.state_machine import Effect
from springmux.rollout.plan import RolloutDecision, RolloutPhase
from springmux.vocabulary.names import RolloutId, ServiceName


class ProposeAbort(Effect, frozen=True):
    """Commit the abort of a rollout. Repeated about each second until the record is terminal."""

    service: ServiceName
    rollout: RolloutId
    decision: RolloutDecision


class ProposeStep(Effect, frozen=True):
    """Commit a step (leader only). A step of the same weight is a checkpoint of ``elapsed_s``."""

    service: ServiceName
    rollout: RolloutId
    phase: RolloutPhase
    step: int
    weight: float
    elapsed_s: float


class ProposeFinish(Effect, frozen=True):
    """Commit that the candidate is stable (leader only)."""

    service: ServiceName
    rollout: RolloutId
    elapsed_s: float
