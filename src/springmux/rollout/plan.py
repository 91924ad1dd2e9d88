"""Templates, plans and the committed record of a rollout. Times in seconds, shares in 0..1."""

from __future__ import annotations

import enum

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName


class JudgeLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Limits beyond which the candidate counts as worse than the stable version.

    ``error_rise``: absolute rise of the error rate that an abort must show and a pass must exclude.
    ``first_token_ratio`` and ``token_gap_ratio``: ratio of medians. ``false_alarm``: probability of a wrong
    abort over a complete rollout, shared among all tests.
    """

    error_rise: float = 0.02
    first_token_ratio: float = 1.5
    token_gap_ratio: float = 1.5
    false_alarm: float = 0.005


class Pacing(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a plan's time is divided; the defaults are the schedule's own rules (docs/ROLLOUT.md, Short terms).

    ``step_s``: seconds of each step; if empty, shares of ``by_s`` are used. ``reserve_s``: seconds between
    the last step's end and the latest finish; if 0, a share of ``by_s``. ``done_delay_s``: seconds between
    applying and reporting *done*; a rollout finishes that much earlier. ``last_step_paid``: smallest share of
    the last step's prompts that credits must cover. ``allowance_part``: part of the allowance that is
    granted; the rest covers grants that a leader change hides. ``capacity_share``: share of the stable
    engines' capacity that the candidate's engines need for the full weight. ``quick_handover``: in the canary
    a new leader grants credits after its first rounds instead of after the end of the previous leases.
    ``needs_evidence``: a rollout is not finished, even at the deadline, before evidence of the last weight
    has returned to the present leader and passed a final analysis. ``share_part``: part of the exposure share
    that may be spent before *done*; the rest covers the prompts of a version that turns out bad between
    *done* and the deadline. ``even``: all zones get the same weight instead of one after another, and all
    routes get about the same number of candidate prompts, so that low-traffic routes are judged too.
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
    """Parameters of one rollout: a template filled with a tenant's values.

    ``by_s``: deadline, in seconds of unpaused time from promotion, by which a good rollout is done.
    ``expose_share``: largest share of the service's prompts that a bad version may get.
    ``expose_allowance``: prompts on top of that share. ``rollback_ms``: milliseconds from the fiftieth bad
    answer to the last prompt sent. ``canary_weight`` and ``steps``: the candidate's weights, 0..1.
    ``first_zones``: zones that get weight first; if empty, zones follow by ascending measured traffic.
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
    """Phase of a rollout. ABORTED and DONE are terminal."""

    CANARY = "canary"
    SHIFTING = "shifting"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


TERMINAL_PHASES = frozenset({RolloutPhase.ABORTED, RolloutPhase.DONE})


class RolloutDecision(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why a rollout was aborted or changed: the deciding node, reason, test, stratum and figures."""

    decided_by: str
    reason: str
    test: str = ""
    stratum: str = ""
    figures: str = ""


class RolloutRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Committed state of one service's newest rollout.

    ``stable`` is the version that serves prompts outside the rollout (after DONE it is the candidate).
    ``weight`` is the committed traffic weight of the candidate, ``elapsed_s`` the unpaused time when the
    record was last committed. ``resume_phase`` is the phase that RESUME restores.
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
