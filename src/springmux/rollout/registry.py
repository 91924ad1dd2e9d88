"""Participants for the committed rollout records, and the version filter that the records determine."""

from __future__ import annotations

import random
from collections.abc import Iterable

from springmux.coordination.identifiers import NodeId, Revision, ZoneName
from springmux.coordination.state_machine import Effect, LogLevel, LogLine
from springmux.rollout.engine_counts import engines_limit, ready_capacity, ready_count
from springmux.rollout.events import ControlViewChanged, RolloutSettings
from springmux.rollout.participant import Participant
from springmux.rollout.plan import TERMINAL_PHASES, RolloutPhase, RolloutRecord
from springmux.rollout.planning.load_step import is_load_step, load_weight, loaded_engines
from springmux.rollout.token import RolloutEntry
from springmux.rollout.version_filter import ServiceGate, VersionFilter
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName


class RolloutRegistry:
    """Owns this node's participants and the filter's gates."""

    def __init__(self, own: NodeId, zone: ZoneName, rng: random.Random, settings: RolloutSettings) -> None:
        self.settings = settings
        self.filter = VersionFilter()
        self.engines: EnginesView | None = None
        self._own = own
        self._zone = zone
        self._rng = rng
        self._revision = Revision(-1)
        self._participants: dict[ServiceName, Participant] = {}

    def newest(self, service: ServiceName) -> Participant | None:
        """Return the participant of the newest rollout of ``service``, under way or terminal."""
        return self._participants.get(service)

    def under_way(self) -> list[Participant]:
        """Return the participants whose record is not terminal."""
        return [participant for participant in self._participants.values() if not participant.terminal]

    def find(self, service: ServiceName, rollout: RolloutId) -> Participant | None:
        """Return the participant of a rollout under way, ``None`` if this node knows no such rollout."""
        participant = self._participants.get(service)
        if participant is None or participant.record.rollout != rollout or participant.terminal:
            return None
        return participant

    def apply(self, event: ControlViewChanged, now: float) -> tuple[list[RolloutRecord], list[Effect]]:
        """Apply a control state unless it is outdated; return the changed records and log lines."""
        if event.revision < self._revision:
            return [], []
        self._revision = event.revision
        self.settings = event.settings
        for service, stable in event.stable.items():
            if service not in event.rollouts:
                self._gate(service, stable).release(stable)
        changed = [record for record in event.rollouts.values() if self._apply_record(record, now)]
        return changed, [_record_log_line(record) for record in changed]

    def set_engines(self, view: EnginesView) -> None:
        """Replace the directory of engines."""
        self.engines = view
        for participant in self.under_way():
            self.refresh_default_choice(participant)

    def engines_limit(self, entry: RolloutEntry) -> int:
        """Return on how many candidate engines the entry's weight is concentrated; 0 means all."""
        participant = self._participants.get(entry.service)
        stable = ready_count(self.engines, entry.service, entry.stable)
        candidates = ready_count(self.engines, entry.service, entry.candidate)
        if participant is None or not is_load_step(participant.record.plan, entry.weight):
            return engines_limit(entry.weight, stable, candidates)
        weight = min(entry.weight, load_weight(participant.record.plan.steps[-2], stable))
        capacity = ready_capacity(self.engines, entry.service, entry.candidate) // max(1, candidates)
        in_flight = entry.prompts_per_s * participant.stable_answer_s
        return loaded_engines(weight, stable, candidates, capacity, in_flight)

    def refresh_default_choice(self, participant: Participant) -> None:
        """Allow the candidate for all prompts if it had the full weight and no stable engine is left.

        A rollout may be finished, and the old engines stopped, before this node receives the new record.
        """
        record = participant.record
        full_weight = participant.highest_weight >= 1.0 and not participant.aborted
        stable_gone = self.engines is not None and not ready_count(
            self.engines, record.service, record.stable
        )
        candidate_there = ready_count(self.engines, record.service, record.candidate) > 0
        participant.gate.set_default_choice(full_weight and stable_gone and candidate_there)

    def _apply_record(self, record: RolloutRecord, now: float) -> bool:
        participant = self._participants.get(record.service)
        if participant is not None and participant.record.rollout == record.rollout:
            if participant.record == record:
                return False
            participant.update_record(record, now)
        else:
            gate = self._gate(record.service, record.stable)
            gate.release(record.stable)
            participant = Participant(self._own, self._zone, record, gate, self._rng, now)
            self._participants[record.service] = participant
        if record.phase in TERMINAL_PHASES:
            participant.gate.release(released_version(record))
        else:
            self.refresh_default_choice(participant)
        return True

    def _gate(self, service: ServiceName, stable: VersionName) -> ServiceGate:
        gate = self.filter.gates.get(service)
        if gate is None:
            gate = self.filter.gates[service] = ServiceGate(stable)
        return gate


def released_version(record: RolloutRecord) -> VersionName:
    """Return the version that serves all prompts after a terminal rollout."""
    return record.candidate if record.phase is RolloutPhase.DONE else record.stable


def by_rollout(participants: Iterable[Participant]) -> dict[RolloutId, Participant]:
    """Return the participants by rollout id."""
    return {participant.record.rollout: participant for participant in participants}


def _record_log_line(record: RolloutRecord) -> LogLine:
    fields = {
        "service": record.service,
        "rollout": record.rollout,
        "phase": record.phase.value,
        "weight": record.weight,
        "step": record.step,
    }
    return LogLine("rollout_record", LogLevel.INFO, fields)
