"""Rollout records in the control state and their transitions, per service.

Only consistency with the committed state is checked here. :mod:`springmux.rollout.planning.template` checks
the ranges of a plan before the order is accepted.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

import msgspec

from springmux.control.command_decision import ACCEPTED, CommandDecision, conflict, invalid, not_found
from springmux.control.commands import (
    AbortRollout,
    FinishRollout,
    PauseRollout,
    PromoteRollout,
    ResumeRollout,
    SetRolloutStep,
)
from springmux.control.configuration_section import RolloutConstraint
from springmux.coordination.identifiers import Revision
from springmux.rollout.plan import TERMINAL_PHASES, RolloutDecision, RolloutPhase, RolloutRecord
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName

MAX_ENDED_ROLLOUTS = 200


class EndedRollout(msgspec.Struct, frozen=True, array_like=True):
    """An ended rollout: its last record, the version that was stable before, and the revision of its end."""

    record: RolloutRecord
    previous_stable: VersionName
    revision: Revision
    issued_by: str


class RolloutSection:
    """The newest rollout of each service, and the most recently ended ones."""

    def __init__(self) -> None:
        self.records: Mapping[ServiceName, RolloutRecord] = {}
        self.ended: tuple[EndedRollout, ...] = ()

    def promote(self, command: PromoteRollout, stable: VersionName | None) -> CommandDecision:
        """Start a rollout at the plan's canary weight.

        If the newest rollout of the same candidate is done, the order is accepted without a change, since it
        may be a resent one.

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
            return conflict(
                f"rollout {record.rollout!r} of {plan.service!r} is under way", _describe_winner(record)
            )
        if record is not None and record.phase is RolloutPhase.DONE and record.candidate == plan.candidate:
            return ACCEPTED
        if not command.rollout or self._is_used_rollout_id(command.rollout):
            return conflict(f"rollout id {command.rollout!r} is empty or was used before")
        if plan.candidate == stable:
            return invalid(FieldError("plan.candidate", f"{stable!r} is the stable version already"))
        started = RolloutRecord(
            rollout=command.rollout,
            service=plan.service,
            stable=stable,
            candidate=plan.candidate,
            plan=plan,
            phase=RolloutPhase.CANARY,
            weight=plan.canary_weight,
        )
        self._set_record(started)
        return ACCEPTED

    def pause(self, command: PauseRollout) -> CommandDecision:
        """Pause a rollout, so that the candidate gets no requests. Pausing a paused one changes nothing."""
        record = self.records.get(command.service)
        if record is None or record.phase in TERMINAL_PHASES:
            return _not_under_way(command.service, record)
        if record.phase is not RolloutPhase.PAUSED:
            self._set_record(
                msgspec.structs.replace(record, phase=RolloutPhase.PAUSED, resume_phase=record.phase)
            )
        return ACCEPTED

    def resume(self, command: ResumeRollout) -> CommandDecision:
        """Resume a paused rollout. Resuming a running one changes nothing."""
        record = self.records.get(command.service)
        if record is None or record.phase in TERMINAL_PHASES:
            return _not_under_way(command.service, record)
        if record.phase is RolloutPhase.PAUSED:
            self._set_record(msgspec.structs.replace(record, phase=record.resume_phase))
        return ACCEPTED

    def abort(self, command: AbortRollout, revision: Revision) -> CommandDecision:
        """End a rollout permanently. Aborting an aborted one changes nothing."""
        record = self.records.get(command.service)
        if record is None:
            return _not_under_way(command.service, None)
        if command.rollout and command.rollout != record.rollout:
            return conflict(f"rollout {command.rollout!r} is not the newest", _describe_winner(record))
        if record.phase is RolloutPhase.ABORTED:
            return ACCEPTED
        if record.phase is RolloutPhase.DONE:
            return conflict(
                "the rollout is done; promote the old version to return", _describe_winner(record)
            )
        decision = command.decision or RolloutDecision(command.issued_by, "aborted by order")
        aborted = msgspec.structs.replace(record, phase=RolloutPhase.ABORTED, weight=0.0, decision=decision)
        self._end_rollout(aborted, record.stable, revision, command.issued_by)
        return ACCEPTED

    def set_step(self, command: SetRolloutStep) -> CommandDecision:
        """Raise the weight to the next step, or record the elapsed time within the current one."""
        record = self.records.get(command.service)
        rejection = _not_running(record, command.service, command.rollout)
        if record is None or rejection is not None:
            return rejection or _not_under_way(command.service, None)
        if not _is_checkpoint(command, record) and not _is_next_step(command, record):
            return conflict(
                f"step {command.step} to weight {command.weight:g} does not follow step {record.step}",
                _describe_winner(record),
            )
        self._set_record(
            msgspec.structs.replace(
                record,
                phase=command.phase,
                step=command.step,
                weight=command.weight,
                elapsed_s=max(record.elapsed_s, command.elapsed_s),
            )
        )
        return ACCEPTED

    def finish(self, command: FinishRollout, revision: Revision) -> CommandDecision:
        """Make the candidate the stable version. It is a conflict unless the candidate has weight 1."""
        record = self.records.get(command.service)
        rejection = _not_running(record, command.service, command.rollout)
        if record is None or rejection is not None:
            return rejection or _not_under_way(command.service, None)
        if record.weight < 1.0:
            return conflict(f"the candidate has weight {record.weight:g}, not all", _describe_winner(record))
        done = msgspec.structs.replace(
            record,
            phase=RolloutPhase.DONE,
            stable=record.candidate,
            weight=1.0,
            elapsed_s=max(record.elapsed_s, command.elapsed_s),
        )
        self._end_rollout(done, record.stable, revision, command.issued_by)
        return ACCEPTED

    def constraints(self) -> tuple[RolloutConstraint, ...]:
        """Return the constraints of all rollouts on their services."""
        return tuple(
            RolloutConstraint(record.service, record.stable, record.phase not in TERMINAL_PHASES)
            for record in self.records.values()
        )

    def forget_services(self, known: Collection[ServiceName]) -> None:
        """Drop the records of services that no configuration contains any more. Ended rollouts stay listed.

        The record of a running rollout is kept until it ends, since a service of the gateway may be removed
        during its rollout.
        """
        self.records = {
            name: record
            for name, record in self.records.items()
            if name in known or record.phase not in TERMINAL_PHASES
        }

    def restore(self, records: tuple[RolloutRecord, ...], ended: tuple[EndedRollout, ...]) -> None:
        """Replace all rollouts by those of a snapshot."""
        self.records = {record.service: record for record in records}
        self.ended = ended

    def _is_used_rollout_id(self, rollout: RolloutId) -> bool:
        ended = any(ended_rollout.record.rollout == rollout for ended_rollout in self.ended)
        return ended or any(record.rollout == rollout for record in self.records.values())

    def _set_record(self, record: RolloutRecord) -> None:
        self.records = {**self.records, record.service: record}

    def _end_rollout(
        self, record: RolloutRecord, previous: VersionName, revision: Revision, issued_by: str
    ) -> None:
        self._set_record(record)
        self.ended = (*self.ended, EndedRollout(record, previous, revision, issued_by))[-MAX_ENDED_ROLLOUTS:]


def _is_checkpoint(command: SetRolloutStep, record: RolloutRecord) -> bool:
    """Return whether the command only records the elapsed time, from which the next leader continues."""
    current = (record.phase, record.step, record.weight)
    return (command.phase, command.step, command.weight) == current


def _is_next_step(command: SetRolloutStep, record: RolloutRecord) -> bool:
    """Return whether the command is the next step, to a higher weight."""
    is_next = command.step == record.step + 1 and command.phase is RolloutPhase.SHIFTING
    return is_next and record.weight < command.weight <= 1.0


def _describe_winner(record: RolloutRecord) -> dict[str, Any]:
    return {
        "rollout": record.rollout,
        "candidate": record.candidate,
        "phase": record.phase.value,
        "step": record.step,
    }


def _not_under_way(service: ServiceName, record: RolloutRecord | None) -> CommandDecision:
    if record is None:
        return not_found(f"there is no rollout of {service!r}")
    return conflict(f"the rollout of {service!r} is {record.phase.value}", _describe_winner(record))


def _not_running(
    record: RolloutRecord | None, service: ServiceName, rollout: RolloutId
) -> CommandDecision | None:
    """Return the decision that rejects a command of the leader, or ``None`` if the rollout is running."""
    if record is None or record.phase in TERMINAL_PHASES or record.phase is RolloutPhase.PAUSED:
        return _not_under_way(service, record)
    if record.rollout != rollout:
        return conflict(f"rollout {rollout!r} is not the newest", _describe_winner(record))
    return None
