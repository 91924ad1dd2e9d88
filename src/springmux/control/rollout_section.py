"""Rollout records in the control state and their transitions, per service.

Only consistency with the committed state is checked here; a plan's own ranges are checked by
:mod:`springmux.rollout.planning.template` before the order is accepted.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

import msgspec

from springmux.control.commands import (
    AbortRollout,
    FinishRollout,
    PauseRollout,
    PromoteRollout,
    ResumeRollout,
    SetRolloutStep,
)
from springmux.control.configuration_section import RolloutConstraint
from springmux.control.verdict import ACCEPTED, Verdict, conflict, invalid, not_found
from springmux.coordination.identifiers import Revision
from springmux.rollout.plan import TERMINAL_PHASES, RolloutDecision, RolloutPhase, RolloutRecord
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName

MAX_ENDED_ROLLOUTS = 200


class EndedRollout(msgspec.Struct, frozen=True, array_like=True):
    """A rollout that is over: its last record, the version that was stable before, and when it ended."""

    record: RolloutRecord
    previous_stable: VersionName
    revision: Revision
    issued_by: str


class RolloutSection:
    """The newest rollout of each service, and the ended ones."""

    def __init__(self) -> None:
        self.records: Mapping[ServiceName, RolloutRecord] = {}
        self.ended: tuple[EndedRollout, ...] = ()

    def promote(self, command: PromoteRollout, stable: VersionName | None) -> Verdict:
        """Begin a rollout at the plan's canary weight.

        A candidate whose rollout is done is accepted again, since the order may be a resent one.

        :param stable: the service's stable version; ``None`` if there is no such service, empty if the
            version isn't known.
        """
        plan = command.plan
        if stable is None:
            return invalid(FieldError("plan.service", f"there is no service {plan.service!r}"))
        if not stable:
            return invalid(FieldError("stable", f"no version of {plan.service!r} is known to be released"))
        record = self.records.get(plan.service)
        if record is not None and record.phase not in TERMINAL_PHASES:
            return conflict(f"rollout {record.rollout!r} of {plan.service!r} is under way", _winner(record))
        if record is not None and record.phase is RolloutPhase.DONE and record.candidate == plan.candidate:
            return ACCEPTED
        if not command.rollout or self._is_used(command.rollout):
            return conflict(f"rollout id {command.rollout!r} is empty or was used before")
        if plan.candidate == stable:
            return invalid(FieldError("plan.candidate", f"{stable!r} is the stable version already"))
        begun = RolloutRecord(
            rollout=command.rollout,
            service=plan.service,
            stable=stable,
            candidate=plan.candidate,
            plan=plan,
            phase=RolloutPhase.CANARY,
            weight=plan.canary_weight,
        )
        self._set(begun)
        return ACCEPTED

    def pause(self, command: PauseRollout) -> Verdict:
        """Stop sending to the candidate; pausing a paused one changes nothing."""
        record = self.records.get(command.service)
        if record is None or record.phase in TERMINAL_PHASES:
            return _not_under_way(command.service, record)
        if record.phase is not RolloutPhase.PAUSED:
            self._set(msgspec.structs.replace(record, phase=RolloutPhase.PAUSED, resume_phase=record.phase))
        return ACCEPTED

    def resume(self, command: ResumeRollout) -> Verdict:
        """Continue a paused rollout; resuming a running one changes nothing."""
        record = self.records.get(command.service)
        if record is None or record.phase in TERMINAL_PHASES:
            return _not_under_way(command.service, record)
        if record.phase is RolloutPhase.PAUSED:
            self._set(msgspec.structs.replace(record, phase=record.resume_phase))
        return ACCEPTED

    def abort(self, command: AbortRollout, revision: Revision) -> Verdict:
        """End a rollout for good; aborting an aborted one changes nothing."""
        record = self.records.get(command.service)
        if record is None:
            return _not_under_way(command.service, None)
        if command.rollout and command.rollout != record.rollout:
            return conflict(f"rollout {command.rollout!r} is not the newest", _winner(record))
        if record.phase is RolloutPhase.ABORTED:
            return ACCEPTED
        if record.phase is RolloutPhase.DONE:
            return conflict("the rollout is done; promote the old version to return", _winner(record))
        decision = command.decision or RolloutDecision(command.issued_by, "aborted by order")
        aborted = msgspec.structs.replace(record, phase=RolloutPhase.ABORTED, weight=0.0, decision=decision)
        self._end(aborted, record.stable, revision, command.issued_by)
        return ACCEPTED

    def set_step(self, command: SetRolloutStep) -> Verdict:
        """Raise the weight to the next step, or record the time used within one."""
        record = self.records.get(command.service)
        refusal = _not_running(record, command.service, command.rollout)
        if record is None or refusal is not None:
            return refusal or _not_under_way(command.service, None)
        if not _is_checkpoint(command, record) and not _is_next_step(command, record):
            return conflict(
                f"step {command.step} to weight {command.weight:g} does not follow step {record.step}",
                _winner(record),
            )
        self._set(
            msgspec.structs.replace(
                record,
                phase=command.phase,
                step=command.step,
                weight=command.weight,
                elapsed_s=max(record.elapsed_s, command.elapsed_s),
            )
        )
        return ACCEPTED

    def finish(self, command: FinishRollout, revision: Revision) -> Verdict:
        """Make the candidate stable, once it has the whole weight."""
        record = self.records.get(command.service)
        refusal = _not_running(record, command.service, command.rollout)
        if record is None or refusal is not None:
            return refusal or _not_under_way(command.service, None)
        if record.weight < 1.0:
            return conflict(f"the candidate has weight {record.weight:g}, not all", _winner(record))
        done = msgspec.structs.replace(
            record,
            phase=RolloutPhase.DONE,
            stable=record.candidate,
            weight=1.0,
            elapsed_s=max(record.elapsed_s, command.elapsed_s),
        )
        self._end(done, record.stable, revision, command.issued_by)
        return ACCEPTED

    def constraints(self) -> tuple[RolloutConstraint, ...]:
        """Return the rollouts' constraints on their services."""
        return tuple(
            RolloutConstraint(record.service, record.stable, record.phase not in TERMINAL_PHASES)
            for record in self.records.values()
        )

    def forget_services(self, known: Collection[ServiceName]) -> None:
        """Drop records of services that no configuration has any more; their history stays.

        A running one is kept until it ends: the gateway's service may be removed while it is under way.
        """
        self.records = {
            name: record
            for name, record in self.records.items()
            if name in known or record.phase not in TERMINAL_PHASES
        }

    def restore(self, records: tuple[RolloutRecord, ...], ended: tuple[EndedRollout, ...]) -> None:
        """Replace the section by a snapshot's."""
        self.records = {record.service: record for record in records}
        self.ended = ended

    def _is_used(self, rollout: RolloutId) -> bool:
        ended = any(past.record.rollout == rollout for past in self.ended)
        return ended or any(record.rollout == rollout for record in self.records.values())

    def _set(self, record: RolloutRecord) -> None:
        self.records = {**self.records, record.service: record}

    def _end(self, record: RolloutRecord, previous: VersionName, revision: Revision, issued_by: str) -> None:
        self._set(record)
        self.ended = (*self.ended, EndedRollout(record, previous, revision, issued_by))[-MAX_ENDED_ROLLOUTS:]


def _is_checkpoint(command: SetRolloutStep, record: RolloutRecord) -> bool:
    """Return whether the command only records the time used, from which the next leader continues."""
    present = (record.phase, record.step, record.weight)
    return (command.phase, command.step, command.weight) == present


def _is_next_step(command: SetRolloutStep, record: RolloutRecord) -> bool:
    """Return whether this is the next step, to a higher weight."""
    is_next = command.step == record.step + 1 and command.phase is RolloutPhase.SHIFTING
    return is_next and record.weight < command.weight <= 1.0


def _winner(record: RolloutRecord) -> dict[str, Any]:
    return {
        "rollout": record.rollout,
        "candidate": record.candidate,
        "phase": record.phase.value,
        "step": record.step,
    }


def _not_under_way(service: ServiceName, record: RolloutRecord | None) -> Verdict:
    if record is None:
        return not_found(f"there is no rollout of {service!r}")
    return conflict(f"the rollout of {service!r} is {record.phase.value}", _winner(record))


def _not_running(record: RolloutRecord | None, service: ServiceName, rollout: RolloutId) -> Verdict | None:
    """Return the verdict that rejects the leader's own order, or ``None`` if the rollout runs."""
    if record is None or record.phase in TERMINAL_PHASES or record.phase is RolloutPhase.PAUSED:
        return _not_under_way(service, record)
    if record.rollout != rollout:
        return conflict(f"rollout {rollout!r} is not the newest", _winner(record))
    return None
