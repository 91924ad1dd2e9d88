"""Outcomes and streams of them for the tests of the judge and its evidence."""

from __future__ import annotations

import random

from springmux.rollout.judgement.digest import EvidenceDigest
from springmux.rollout.judgement.evidence_table import EvidenceTable
from springmux.rollout.judgement.judge import Judge, Verdict
from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.rollout.plan import RolloutPlan
from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName

SERVICE = ServiceName("text")
STABLE = VersionName("v1")
CANDIDATE = VersionName("v2")
PLAN = RolloutPlan(SERVICE, CANDIDATE)


def outcome(
    version: VersionName = STABLE,
    *,
    ending: Ending = Ending.WHOLE,
    engine: str = "engine-0",
    route: str = "caption-hint",
    hit: float = 0.0,
    first_token_s: float | None = 0.1,
    token_gap_s: float | None = 0.02,
    prompt_bytes: int = 600,
    service: ServiceName = SERVICE,
) -> PromptOutcome:
    return PromptOutcome(
        service, version, EngineId(engine), RouteName(route), ending, prompt_bytes, hit,
        first_token_s, token_gap_s, 8,
    )  # fmt: skip


def new_table(plan: RolloutPlan = PLAN) -> EvidenceTable:
    return EvidenceTable(SERVICE, STABLE, CANDIDATE, plan)


def judge(digest: EvidenceDigest) -> Verdict:
    return Judge(PLAN).judge(digest)


class Stream:
    """Fills one evidence table: ``stable`` records stable answers, ``canary`` one candidate answer."""

    def __init__(self, seed: int = 0, plan: RolloutPlan = PLAN) -> None:
        self.table = new_table(plan)
        self.random = random.Random(seed)
        self.now = 0.0

    def first_token(self, median_s: float = 0.1) -> float:
        return median_s * self.random.lognormvariate(0.0, 0.4)

    def stable(self, count: int = 20, *, error_rate: float = 0.0, **fields: object) -> None:
        for _ in range(count):
            self.now += 0.01
            bad = self.random.random() < error_rate
            ending = Ending.ERROR_STATUS if bad else Ending.WHOLE
            given = {"first_token_s": self.first_token(), "ending": ending, **fields}
            self.table.record(outcome(STABLE, **given), self.now)  # type: ignore[arg-type]

    def canary(self, **fields: object) -> None:
        given = {"first_token_s": self.first_token(), **fields}
        self.table.record(outcome(CANDIDATE, **given), self.now)  # type: ignore[arg-type]

    def verdict(self) -> Verdict:
        return judge(self.table.digest())
