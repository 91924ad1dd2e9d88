"""Templates, plans and the committed record of a rollout. Times in seconds, shares in 0..1."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName


class JudgeLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """What rise of the candidate over the stable version counts as significant.

    ``error_rise``: absolute rise of the error rate that must be excluded or shown.
    ``first_token_ratio`` and ``token_gap_ratio``: ratio of medians. ``false_alarm``: probability of
    a wrong abort over a complete rollout, shared among all tests.
    """

    error_rise: float = 0.02
    first_token_ratio: float = 1.5
    token_gap_ratio: float = 1.5
    false_alarm: float = 0.005


class Pacing(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a plan's term is divided; the defaults are the schedule's own rules (docs/ROLLOUT.md, Short terms).

    ``step_s``: seconds of each step, empty for the shares of ``by_s``. ``reserve_s``: kept between the last
    step's end and the latest finish, 0 for the share of ``by_s``. ``done_delay_s``: *done* is reported
    so long after it is in force, so a rollout finishes that much earlier. ``last_step_paid``: least share of
    the last step that credits must pay for. ``allowance_part``: of the allowance, that is granted; the rest
    covers what a leader change hides. ``capacity_share``: of the stable engines' capacity, that the
    candidate's must have for the full weight. ``quick_handover``: in the canary a new leader grants after its
    first rounds, not after the former leases' end. ``needs_evidence``: nothing is finished, even at the term,
    before evidence of the last weight returned to the present leader, and a last look is taken at it.
    ``share_part``: of the exposure share, that may be spent before *done*; the rest is for what a version
    gets between *done* and the term, if it turns out bad. ``even``: zones aren't tried one after another, and
    each route gets about as many candidate prompts as another, so that a thin one is judged.
    """

    step_s: tuple[float, ...] = ()
    reserve_s: float = 0.0
    done_delay_s: float = msgspec.field(default=0.0, name="told_after_s")
    last_step_paid: float = 0.75
    allowance_part: float = 0.5
    capacity_share: float = 0.5
    quick_handover: bool = False
    needs_evidence: bool = False
    even: bool = False
    share_part: float = 1.0


class RolloutPlan(msgspec.Struct, frozen=True, omit_defaults=True):
    """A template stamped with a tenant's values; then only orders are needed.

    ``by_s``: term, in seconds of unpaused time from promotion, by which a good rollout is done.
    ``expose_share``: largest share of the service's prompts that a bad version may get.
    ``expose_allowance``: prompts on top of that share. ``rollback_ms``: time from the fiftieth bad
    answer to the last prompt sent. ``first_zones``: tried first; empty means the quietest, measured.
    """

    service: ServiceName
    candidate: VersionName
    by_s: float = 60.0
    expose_share: float = 0.10
    expose_allowance: int = 20
    rollback_ms: int = 5000
    canary_weight: float = 0.04
    steps: tuple[float, ...] = (0.10, 0.25, 0.50, 1.0)
    first_zones: tuple[ZoneName, ...] = ()
    limits: JudgeLimits = JudgeLimits()
    template: str = ""
    pacing: Pacing = Pacing()


class RolloutPhase(enum.StrEnum):
    """Where a rollout stands. ABORTED and DONE are terminal."""

    CANARY = "canary"
    SHIFTING = "shifting"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


TERMINAL_PHASES = frozenset({RolloutPhase.ABORTED, RolloutPhase.DONE})


class RolloutDecision(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why a rollout took its last turn: which test, which stratum, the figures, who decided."""

    decided_by: str
    reason: str
    test: str = ""
    stratum: str = ""
    figures: str = ""


class RolloutRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Committed state of one service's newest rollout.

    ``stable`` is the version that ordinary prompts get (after DONE it is the candidate).
    ``weight`` is the committed traffic weight of the candidate; ``elapsed_s`` the unpaused time
    used when the record was last committed. ``resume_phase`` is where RESUME returns to.
    """

    rollout: RolloutId
    service: ServiceName
    stable: VersionName
    candidate: VersionName
    plan: RolloutPlan
    phase: RolloutPhase
    weight: float
    step: int = 0
    elapsed_s: float = 0.0
    resume_phase: RolloutPhase = RolloutPhase.CANARY
    decision: RolloutDecision | None = None
