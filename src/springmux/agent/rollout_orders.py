"""Turns the rollout part's wishes into commands whose order ids come from rollout and step."""

from __future__ import annotations

from springmux.control.commands import AbortRollout, FinishRollout, SetRolloutStep
from springmux.rollout.effects import ProposeAbort, ProposeFinish, ProposeStep
from springmux.vocabulary.names import OrderId

SYSTEM = "system"

RolloutProposal = ProposeAbort | ProposeStep | ProposeFinish


def command_for(wish: RolloutProposal) -> AbortRollout | SetRolloutStep | FinishRollout:
    """Return the command for ``wish``; the same wish always makes the same order."""
    if isinstance(wish, ProposeAbort):
        return AbortRollout(
            order=OrderId(f"abort/{wish.rollout}/{wish.decision.decided_by}"),
            issued_by=SYSTEM,
            service=wish.service,
            rollout=wish.rollout,
            decision=wish.decision,
        )
    if isinstance(wish, ProposeStep):
        return SetRolloutStep(
            order=OrderId(f"step/{wish.rollout}/{wish.step}/{wish.elapsed_s:.3f}"),
            issued_by=SYSTEM,
            service=wish.service,
            rollout=wish.rollout,
            phase=wish.phase,
            step=wish.step,
            weight=wish.weight,
            elapsed_s=wish.elapsed_s,
        )
    return FinishRollout(
        order=OrderId(f"finish/{wish.rollout}"),
        issued_by=SYSTEM,
        service=wish.service,
        rollout=wish.rollout,
        elapsed_s=wish.elapsed_s,
    )
