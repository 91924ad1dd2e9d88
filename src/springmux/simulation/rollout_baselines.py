"""Simpler ways to roll out, to compare with: they replace components of the rollout within one process.

They are no options of the product, so they are put in place from here, and only while a trial runs.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType

import msgspec

from springmux.rollout import issuer, participant
from springmux.rollout.judgement.digest import EvidenceDigest
from springmux.rollout.judgement.evidence_table import EvidenceTable
from springmux.rollout.judgement.judge import Judge, Verdict
from springmux.rollout.outcome import FirstTokenWatch, PromptOutcome
from springmux.rollout.plan import RolloutDecision, RolloutPhase, RolloutPlan
from springmux.rollout.token import AccountTotals

UNLIMITED_CREDITS = 1_000_000
FIXED_CANARY = 0.10
"""Paper, section V.C: "maybe 1% or 10% of the production traffic"."""
THRESHOLD_ERRORS = 0.05
THRESHOLD_ANSWERS = 20
"""Errors among at least so many answers; values of our own for the comparison."""


class Variant(enum.StrEnum):
    """How a trial rolls out. ``SPRINGMUX`` is the product itself."""

    SPRINGMUX = "springmux"
    FIXED_CANARY = "fixed 10% canary, error threshold"
    IGNORES_WARMTH = "judge ignores cache warmth"
    NO_LEDGER = "no ledger"

    def plan(self, plan: RolloutPlan) -> RolloutPlan:
        """Return the plan that the variant runs."""
        if self is Variant.FIXED_CANARY:
            return msgspec.structs.replace(plan, canary_weight=FIXED_CANARY, steps=(1.0,))
        return plan


class ThresholdJudge(Judge):
    """Aborts when the candidate's share of errors is above a fixed one; looks at nothing else."""

    def judge(self, evidence: EvidenceDigest) -> Verdict:
        """Return the verdict."""
        total, bad = evidence.candidate_total, evidence.candidate_bad
        if total >= THRESHOLD_ANSWERS and bad > THRESHOLD_ERRORS * total:
            return Verdict(True, False, RolloutDecision("", "errors above the threshold", "threshold"))
        return Verdict(False, True, None)


class WarmthBlindEvidenceTable(EvidenceTable):
    """Compares every prompt of a route with every other, whatever was expected in the cache."""

    def record(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        """Record one outcome."""
        super().record(msgspec.structs.replace(outcome, expected_hit=0.5, prompt_bytes=1024), now, watch)


def unlimited_pool(_plan: RolloutPlan, _phase: RolloutPhase, _totals: AccountTotals, _allowance: int) -> int:
    """Stand in for the ledger's pool: there is always credit."""
    return UNLIMITED_CREDITS


class _Replaced(msgspec.Struct, frozen=True):
    """A name of a module that stands for something else while a variant is in force."""

    module: ModuleType
    name: str
    stand_in: object


_JUDGED_BY_THRESHOLD = _Replaced(participant, "Judge", ThresholdJudge)
_IGNORING_WARMTH = _Replaced(participant, "EvidenceTable", WarmthBlindEvidenceTable)
_WITHOUT_LEDGER = _Replaced(issuer, "credit_pool", unlimited_pool)
_REPLACED = {
    Variant.SPRINGMUX: (),
    Variant.FIXED_CANARY: (_JUDGED_BY_THRESHOLD, _WITHOUT_LEDGER),
    Variant.IGNORES_WARMTH: (_IGNORING_WARMTH,),
    Variant.NO_LEDGER: (_WITHOUT_LEDGER,),
}


@contextmanager
def in_force(variant: Variant) -> Iterator[None]:
    """Put a variant's components in place of the product's until the block ends."""
    replaced = _REPLACED[variant]
    kept = [getattr(each.module, each.name) for each in replaced]
    for each in replaced:
        setattr(each.module, each.name, each.stand_in)
    try:
        yield
    finally:
        for each, original in zip(replaced, kept, strict=True):
            setattr(each.module, each.name, original)
