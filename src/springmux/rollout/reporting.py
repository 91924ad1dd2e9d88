"""Builds a node's status of a rollout."""

from __future__ import annotations

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.ledger import zone_order
from springmux.rollout.participant import Participant
from springmux.rollout.status import EvidenceSummary, RolloutStatus
from springmux.rollout.step_proposer import StepProposer, summarize
from springmux.rollout.version_filter import LEASE_S


def build_status(
    participant: Participant, step_proposer: StepProposer | None, own_zone: ZoneName, now: float
) -> RolloutStatus:
    """Return the status.

    :param step_proposer: the leader's proposer of this rollout, ``None`` on other nodes.
    """
    record, gate, last_entry = participant.record, participant.gate, participant.last_entry
    zones = participant.last_zones
    leased = now <= gate.lease_until
    known = last_entry is not None and own_zone in zones
    return RolloutStatus(
        service=record.service,
        rollout=record.rollout,
        stable=record.stable,
        candidate=record.candidate,
        phase=record.phase,
        weight=record.weight,
        zone_weight=last_entry.zone_weight(zones.index(own_zone))
        if known and last_entry is not None
        else 0.0,
        elapsed_s=record.elapsed_s if participant.terminal else participant.clock.read(now),
        prompts=last_entry.fleet_prompts if last_entry is not None else 0,
        sent=last_entry.fleet_sent if last_entry is not None else 0,
        credits=gate.available if leased else 0,
        lease_age_s=now - (gate.lease_until - LEASE_S) if leased else None,
        evidence=_evidence(participant, step_proposer),
        aborted=participant.aborted,
        decision=record.decision or participant.decision,
        waiting=step_proposer.waiting if step_proposer is not None else "",
        zone_order=_zone_order(participant),
    )


def _zone_order(participant: Participant) -> tuple[ZoneName, ...]:
    if participant.last_entry is None:
        return ()
    rates = dict(zip(participant.last_zones, participant.last_entry.zone_rates, strict=False))
    return zone_order(rates, participant.record.plan.first_zones)


def _evidence(participant: Participant, step_proposer: StepProposer | None) -> EvidenceSummary:
    """Return the most complete summary available: the leader's own, its last sample, or the last token's."""
    if step_proposer is not None:
        return summarize(participant, step_proposer.issued)
    seen = summarize(participant, None)
    samples = participant.history.samples()
    if samples and samples[-1].evidence.stable_total > seen.stable_total:
        return samples[-1].evidence
    return seen
