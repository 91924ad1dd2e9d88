"""Baselines to compare rollouts with: simpler variants that replace components within one process.

They are not options of the product, so this module installs them, and only while a trial runs.
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
THRESHOLD_ERROR_SHARE = 0.05
THRESHOLD_RESPONSES = 20
"""Minimum number of responses before the error threshold applies."""


class Variant(enum.StrEnum):
    """Rollout method of a trial. ``SPRINGMUX`` is the product itself."""

    SPRINGMUX = "springmux"
    FIXED_CANARY = "fixed 10% canary, error threshold"
    IGNORES_WARMTH = "judge ignores cache warmth"
    NO_LEDGER = "no ledger"

    def plan(self, plan: RolloutPlan) -> RolloutPlan:
        """Return the rollout plan, changed as the variant needs."""
        if self is Variant.FIXED_CANARY:
            return msgspec.structs.replace(plan, canary_weight=FIXED_CANARY, steps=(1.0,))
        return plan


class ThresholdJudge(Judge):
    """Aborts when the candidate's share of errors exceeds a fixed threshold, and checks nothing else."""

    def judge(self, evidence: EvidenceDigest) -> Verdict:
        """Return whether to abort, from the candidate's error share alone."""
        total, bad = evidence.candidate_total, evidence.candidate_bad
        if total >= THRESHOLD_RESPONSES and bad > THRESHOLD_ERROR_SHARE * total:
            return Verdict(True, False, RolloutDecision("", "errors above the threshold", "threshold"))
        return Verdict(False, True, None)


class CacheBlindEvidenceTable(EvidenceTable):
    """Compares all prompts of a route with one another, regardless of their expected cache hits."""

    def record(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        """Record one outcome with a constant expected hit share and prompt size."""
        super().record(msgspec.structs.replace(outcome, expected_hit=0.5, prompt_bytes=1024), now, watch)


def unlimited_pool(_plan: RolloutPlan, _phase: RolloutPhase, _totals: AccountTotals, _allowance: int) -> int:
    """Replace the ledger's credit pool by one that never runs out."""
    return UNLIMITED_CREDITS


class _Replacement(msgspec.Struct, frozen=True):
    """Replacement of a module's attribute while a variant is applied."""

    module: ModuleType
    name: str
    replacement: object


_THRESHOLD_JUDGE = _Replacement(participant, "Judge", ThresholdJudge)
_CACHE_BLIND_TABLE = _Replacement(participant, "EvidenceTable", CacheBlindEvidenceTable)
_UNLIMITED_POOL = _Replacement(issuer, "credit_pool", unlimited_pool)
_REPLACEMENTS = {
    Variant.SPRINGMUX: (),
    Variant.FIXED_CANARY: (_THRESHOLD_JUDGE, _UNLIMITED_POOL),
    Variant.IGNORES_WARMTH: (_CACHE_BLIND_TABLE,),
    Variant.NO_LEDGER: (_UNLIMITED_POOL,),
}


@contextmanager
def variant_applied(variant: Variant) -> Iterator[None]:
    """Replace the product's components by those of a variant until the block ends."""
    replacements = _REPLACEMENTS[variant]
    originals = [getattr(each.module, each.name) for each in replacements]
    for each in replacements:
        setattr(each.module, each.name, each.replacement)
    try:
        yield
    finally:
        for each, original in zip(replacements, originals, strict=True):
            setattr(each.module, each.name, original)
