"""Proposes the steps and the finish of one rollout at the leader, and samples its history."""

from __future__ import annotations

import msgspec

from springmux.coordination.state_machine import Effect, LogLevel, LogLine
from springmux.rollout.effects import ProposeAbort, ProposeFinish, ProposeStep
from springmux.rollout.engine_counts import ready_capacity, ready_count
from springmux.rollout.issuer import IssuedRollout
from springmux.rollout.judgement.final_analysis import final_analysis
from springmux.rollout.participant import ACTIVE_PHASES, Participant
from springmux.rollout.plan import RolloutDecision, RolloutPhase
from springmux.rollout.planning.load_step import is_load_step, load_weight
from springmux.rollout.planning.schedule import FIRST_ANSWERS_S, NextStep, Progress, StepKind, next_step
from springmux.rollout.status import EvidenceSummary, RolloutSample
from springmux.vocabulary.engines import EnginesView

PROPOSAL_RETRY_S = 0.5
"""A proposal that has not been committed is repeated after this time; its order id prevents duplicates."""


class StepProposer:
    """Proposes the steps that a rollout's progress allows; there is one per rollout and leadership."""

    def __init__(self, participant: Participant, issued: IssuedRollout, now: float) -> None:
        self.participant = participant
        self.issued = issued
        self.waiting = ""
        self.granting_from = now
        """When this leader grants its first credits. Before that there is no evidence about a weight."""
        self._weight = participant.record.weight
        self._weight_since = now
        self._bad_before_weight = issued.entry.evidence.candidate_bad
        self._last_proposal: tuple[StepKind, int] | None = None
        self._proposed_at = now
        self._refusal: RolloutDecision | None = None
        self._abort_due_at = now

    def propose(self, engines: EnginesView | None, minimum_ready: int, now: float) -> list[Effect]:
        """Return the proposals and log lines that are due.

        :param minimum_ready: number of ready candidate engines below which no step is proposed.
        """
        record = self.participant.record
        if record.weight != self._weight:
            self._weight = record.weight
            self._weight_since = now
            self._bad_before_weight = self.issued.entry.evidence.candidate_bad
        self.participant.history.add(self._sample(now), now)
        if self.participant.aborted or record.phase not in ACTIVE_PHASES:
            reason = "aborted" if self.participant.aborted else record.phase.value
            return self._set_wait_reason(reason) + self._propose_abort(now)
        step = next_step(record.plan, self._progress(engines, now))
        if step.kind is StepKind.WAIT:
            return self._set_wait_reason(step.reason)
        ready = ready_count(engines, record.service, record.candidate)
        if ready < minimum_ready and step.kind is not StepKind.CHECKPOINT:
            return self._set_wait_reason(
                f"{ready} candidate engines ready, minimum_ready_engines is {minimum_ready}"
            )
        if step.kind is StepKind.FINISH and record.plan.pacing.needs_evidence:
            decision = final_analysis(record.plan.limits, self.issued.entry.evidence)
            if decision is not None:
                self._refusal = msgspec.structs.replace(decision, decided_by="leader")
                self.participant.abort(self._refusal)
                return self._propose_abort(now)
        if step.kind is StepKind.STEP and is_load_step(record.plan, step.weight) and step.weight < 1.0:
            stable = ready_count(engines, record.service, record.stable)
            step = msgspec.structs.replace(step, weight=load_weight(step.weight, stable))
        return self._set_wait_reason(step.reason) + self._propose_step(step, now)

    def _propose_abort(self, now: float) -> list[Effect]:
        """Propose the abort of a candidate that failed the final analysis, until the abort is committed."""
        record = self.participant.record
        if self._refusal is None or record.phase is RolloutPhase.ABORTED or now < self._abort_due_at:
            return []
        self._abort_due_at = now + PROPOSAL_RETRY_S
        fields = {"service": record.service, "rollout": record.rollout, "reason": self._refusal.reason}
        return [
            ProposeAbort(record.service, record.rollout, self._refusal),
            LogLine("rollout_abort_wanted", LogLevel.WARNING, fields),
        ]

    def _progress(self, engines: EnginesView | None, now: float) -> Progress:
        record = self.participant.record
        totals = self.issued.totals()
        evidence_due = max(self._weight_since, self.granting_from) + FIRST_ANSWERS_S
        return Progress(
            weight=record.weight,
            elapsed_s=self.participant.clock.read(now),
            in_step_s=now - self._weight_since,
            committed_elapsed_s=record.elapsed_s,
            prompts_per_s=self.issued.prompts_per_s(),
            prompts=totals.prompts,
            committed=totals.committed,
            candidate_capacity=ready_capacity(engines, record.service, record.candidate),
            stable_capacity=ready_capacity(engines, record.service, record.stable),
            recent_bad=self.issued.entry.evidence.candidate_bad - self._bad_before_weight,
            evidence_fresh=self.issued.evidence_from >= evidence_due,
        )

    def _set_wait_reason(self, reason: str) -> list[Effect]:
        if reason == self.waiting:
            return []
        self.waiting = reason
        record = self.participant.record
        return [LogLine("rollout_waits", LogLevel.INFO, {"service": record.service, "reason": reason})]

    def _propose_step(self, step: NextStep, now: float) -> list[Effect]:
        record = self.participant.record
        # A checkpoint only records the elapsed time; the step number stays the same.
        number = record.step if step.kind is StepKind.CHECKPOINT else record.step + 1
        proposal = (step.kind, number)
        if proposal == self._last_proposal and now - self._proposed_at < PROPOSAL_RETRY_S:
            return []
        self._last_proposal = proposal
        self._proposed_at = now
        elapsed_s = self.participant.clock.read(now)
        fields = {"service": record.service, "rollout": record.rollout, "elapsed_s": round(elapsed_s, 2)}
        fields |= msgspec.structs.asdict(summarize(self.participant, self.issued))
        if step.kind is StepKind.FINISH:
            return [
                ProposeFinish(record.service, record.rollout, elapsed_s),
                LogLine("rollout_finish_wanted", LogLevel.INFO, fields),
            ]
        return [
            ProposeStep(record.service, record.rollout, step.phase, number, step.weight, elapsed_s),
            LogLine("rollout_step_wanted", LogLevel.INFO, {**fields, "weight": step.weight}),
        ]

    def _sample(self, now: float) -> RolloutSample:
        totals = self.issued.totals()
        record = self.participant.record
        return RolloutSample(
            elapsed_s=self.participant.clock.read(now),
            phase=record.phase,
            weight=record.weight,
            prompts=totals.prompts,
            prompts_per_s=self.issued.prompts_per_s(),
            sent=totals.sent,
            committed=totals.committed,
            evidence=summarize(self.participant, self.issued),
        )


def summarize(participant: Participant, issued: IssuedRollout | None) -> EvidenceSummary:
    """Return the counts of the newest merged evidence that this node has received."""
    entry = issued.entry if issued is not None else participant.last_entry
    if entry is None:
        return EvidenceSummary()
    evidence = entry.evidence
    return EvidenceSummary(
        candidate_total=evidence.candidate_total,
        candidate_bad=evidence.candidate_bad,
        stable_total=evidence.stable_total,
        stable_bad=evidence.stable_bad,
        passed=participant.verdict is not None and participant.verdict.passed,
    )
