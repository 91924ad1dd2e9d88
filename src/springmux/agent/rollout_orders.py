"""Converts rollout proposals into commands with order ids that are derived from rollout and step."""

from __future__ import annotations

from springmux.control.commands import AbortRollout, FinishRollout, SetRolloutStep
from springmux.rollout.effects import ProposeAbort, ProposeFinish, ProposeStep
from springmux.vocabulary.names import OrderId

SYSTEM = "system"

RolloutProposal = ProposeAbort | ProposeStep | ProposeFinish


def command_for(proposal: RolloutProposal) -> AbortRollout | SetRolloutStep | FinishRollout:
    """Return the command for ``proposal``; equal proposals have equal order ids."""
    if isinstance(proposal, ProposeAbort):
        return AbortRollout(
            order=OrderId(f"abort/{proposal.rollout}/{proposal.decision.decided_by}"),
            issued_by=SYSTEM,
            service=proposal.service,
            rollout=proposal.rollout,
            decision=proposal.decision,
        )
    if isinstance(proposal, ProposeStep):
        return SetRolloutStep(
            order=OrderId(f"step/{proposal.rollout}/{proposal.step}/{proposal.elapsed_s:.3f}"),
            issued_by=SYSTEM,
            service=proposal.service,
            rollout=proposal.rollout,
            phase=proposal.phase,
            step=proposal.step,
            weight=proposal.weight,
            elapsed_s=proposal.elapsed_s,
        )
    return FinishRollout(
        order=OrderId(f"finish/{proposal.rollout}"),
        issued_by=SYSTEM,
        service=proposal.service,
        rollout=proposal.rollout,
        elapsed_s=proposal.elapsed_s,
    )
