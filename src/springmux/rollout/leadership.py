"""The control leader as issuer of the token: it paces rounds, grants credits, and proposes steps."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from springmux.coordination.identifiers import NodeId, Term, ZoneName
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine
from springmux.rollout.events import RolloutSettings
from springmux.rollout.issuer import MEASURE_RATES_S, IssuedRollout
from springmux.rollout.judgement.digest import EMPTY_DIGEST
from springmux.rollout.ledger import allowance_part
from springmux.rollout.messages import RolloutToken
from springmux.rollout.participant import ACTIVE_PHASES, Participant
from springmux.rollout.plan import RolloutPhase, RolloutRecord
from springmux.rollout.step_proposer import StepProposer
from springmux.rollout.token import RolloutEntry, index_of_zone
from springmux.rollout.token_ring.rings import RELAY, WHOLE_FLEET, RingLayout, itinerary_from
from springmux.rollout.version_filter import LEASE_S
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import RolloutId

ROUND_S = 0.35
"""Time between rounds in a small fleet: evidence and aborts spread in well under a second."""
MAX_ROUND_S = 1.0
"""A lost round is reissued after 1.4 s, still within the lease."""
TOKEN_BYTES_PER_S = 1500
"""A node's share of the 2 KB/s for the token; rounds slow down before it is exceeded."""
ACCOUNT_BYTES = 22
"""Size of one account on the wire (measured, docs/notes/token.md)."""
PROPOSE_PERIOD_S = 0.2
"""Steps are due between rounds too; the check is cheap."""
ROUND_TIMEOUT_S = 0.8
"""A round that hasn't returned after this is reissued: six skipped hops."""
GRANT_QUARANTINE_S = LEASE_S + 0.5
"""A new leader grants nothing until every lease of its predecessor's unknown grants has ended."""
QUICK_HANDOVER_S = 0.7
"""The same in the canary of a short term: two rounds, which fence the predecessor's and bring its grants home
with the nodes' accounts. What a node that they missed may still spend, the canary's weight for two rounds, is
within the part of the bound that is kept for leader changes."""

RESTART_GAP_S = 9.0
"""Counted after a restart of all nodes for the time that nobody measured: 3 s since the last checkpoint,
and 6 s until a controller runs again. From then on it counts, so the 12 s of the brief may pass."""
MAX_GAP_SHARE = 0.25
"""Part of a short ``by_s`` that is counted at most."""

_encoder = msgspec.msgpack.Encoder()


class TokenRound(msgspec.Struct):
    """The round under way."""

    sequence: int
    launched_at: float
    returned: bool = False


class Leadership:
    """What one node does while it leads under one term.

    :param first_sequence: above every round that this node has seen; the term fences the rest.
    :param settings: the deployment's exceptions, which may change.
    """

    def __init__(
        self, own: NodeId, term: Term, first_sequence: int, settings: RolloutSettings, now: float
    ) -> None:
        self.term = term
        self.settings = settings
        self.round_s = settings.token_period_s or ROUND_S
        self.token_bytes = 0
        self.step_proposers: dict[RolloutId, StepProposer] = {}
        self.zones: list[ZoneName] = []
        self._own = own
        self._sequence = first_sequence
        self._leading_since = now
        self._round: TokenRound | None = None
        self._unconfirmed_elapsed: set[RolloutId] = set()
        """Rollouts taken up from the record alone, until a round shows whether any node remembers more."""
        self._proposed_at = now

    def next_deadline(self) -> float:
        """Return when a round, or a check of the schedule, is due."""
        proposals_due = self._proposed_at + PROPOSE_PERIOD_S if self.step_proposers else NEVER
        return min(self.round_due(), proposals_due)

    def round_due(self) -> float:
        """Return when the next round is launched, or the present one counts as lost."""
        if not self.step_proposers:
            return NEVER
        if self._round is None:
            return self._leading_since
        wait_s = self.round_s if self._round.returned else max(ROUND_TIMEOUT_S, self.round_s + 0.4)
        return self._round.launched_at + wait_s

    def launch_now(self) -> None:
        """Launch the next round at once: something was aborted, paused or begun."""
        self._round = None

    def set_rollouts(self, participants: Iterable[Participant], now: float) -> None:
        """Issue exactly these rollouts from now on; launch a round at once to publish the change."""
        under_way = {participant.record.rollout: participant for participant in participants}
        for rollout in set(self.step_proposers) - set(under_way):
            del self.step_proposers[rollout]
            self._unconfirmed_elapsed.discard(rollout)
        for rollout, participant in under_way.items():
            if rollout not in self.step_proposers:
                self._adopt(participant, now)
        self.launch_now()

    def _adopt(self, participant: Participant, now: float) -> None:
        """Issue a rollout, continuing from this node's last replica of the token."""
        rollout = participant.record.rollout
        issued = IssuedRollout(self._first_entry(participant), now)
        self.step_proposers[rollout] = StepProposer(participant, issued, now)
        if participant.last_entry is None and participant.record.elapsed_s > 0:
            self._unconfirmed_elapsed.add(rollout)
        inherited = (
            participant.last_entry is not None
            or participant.record.elapsed_s > 0
            or now <= self._leading_since
        )
        granting_from = now + (_quarantine_s(participant.record) if inherited else MEASURE_RATES_S)
        self.step_proposers[rollout].granting_from = granting_from

    def _first_entry(self, participant: Participant) -> RolloutEntry:
        record = participant.record
        last_entry = participant.last_entry
        if last_entry is not None and participant.ring == WHOLE_FLEET:
            for zone in participant.last_zones:
                index_of_zone(self.zones, zone)
            if tuple(self.zones) == participant.last_zones:
                return last_entry
        entry = _empty_entry(record)
        if last_entry is not None:
            allowance = last_entry.allowance
        else:
            begun = record.elapsed_s > 0
            allowance = 0 if begun else allowance_part(record.plan)
        return msgspec.structs.replace(entry, allowance=allowance)

    def launch(self, layout: RingLayout, now: float) -> tuple[RolloutToken, list[Effect]]:
        """Return the token of a new round, not yet visited by this node, and notes."""
        effects: list[Effect] = []
        if self._round is not None and not self._round.returned:
            fields = {"term": self.term, "sequence": self._round.sequence}
            effects.append(LogLine("rollout_token_reissued", LogLevel.WARNING, fields))
        self._sequence += 1
        self._round = TokenRound(self._sequence, now)
        ring = RELAY if layout.relayed else WHOLE_FLEET
        members = layout.ring_leaders() if layout.relayed else layout.order
        token = RolloutToken(
            issuer=self._own,
            term=self.term,
            sequence=self._sequence,
            ring=ring,
            itinerary=itinerary_from(self._own, members),
            zones=tuple(self.zones),
            entries=tuple(self._entry(step_proposer, now) for step_proposer in self.step_proposers.values()),
        )
        self._adapt_round_period(token, layout)
        return token, effects

    def _entry(self, step_proposer: StepProposer, now: float) -> RolloutEntry:
        participant, issued = step_proposer.participant, step_proposer.issued
        record = participant.record
        totals = issued.totals()
        issued.entry = msgspec.structs.replace(
            issued.entry,
            phase=record.phase,
            weight=record.weight,
            elapsed_s=round(participant.clock.read(now), 3),
            fleet_prompts=totals.prompts,
            fleet_sent=totals.sent,
            aborted=participant.aborted or issued.entry.aborted,
            decision=participant.decision or issued.entry.decision,
        )
        granting = record.phase in ACTIVE_PHASES and not issued.entry.aborted
        if granting and now >= step_proposer.granting_from:
            zones = tuple(self.zones)
            issued.set_zone_weights(zones, record, now)
            issued.grant_from_ledger(zones, record, self.round_s)
        return issued.entry

    def _adapt_round_period(self, token: RolloutToken, layout: RingLayout) -> None:
        """Set the time to the next round so that the busiest node keeps its byte rate."""
        self.token_bytes = len(_encoder.encode(token))
        if layout.relayed:
            others = max(0, layout.longest_ring() - len(layout.rings))
            self.token_bytes = 2 * self.token_bytes + ACCOUNT_BYTES * others
        adapted_s = min(MAX_ROUND_S, max(ROUND_S, self.token_bytes / TOKEN_BYTES_PER_S))
        self.round_s = self.settings.token_period_s or adapted_s

    def token_returned(self, token: RolloutToken, engines: EnginesView | None, now: float) -> list[Effect]:
        """Handle a round that returned, then propose steps."""
        if token.term != self.term:
            return []
        launched_at: float | None = None
        if self._round is not None and token.sequence == self._round.sequence:
            launched_at = self._round.launched_at
            self._round.returned = True
            self.zones[:] = token.zones
        for entry in token.entries:
            step_proposer = self.step_proposers.get(entry.rollout)
            if step_proposer is None:
                continue
            step_proposer.issued.merge_returned(entry, launched_at, now)
            if launched_at is not None:
                self._set_clock(step_proposer.participant, entry, now)
            if entry.aborted and not step_proposer.participant.aborted:
                step_proposer.participant.abort(entry.decision)
                self.launch_now()
        return self.propose_steps(engines, now)

    def _set_clock(self, participant: Participant, entry: RolloutEntry, now: float) -> None:
        """Take the time used as the nodes know it; count a gap that no node has measured."""
        participant.clock.advance_to(entry.elapsed_s, now)
        if entry.rollout not in self._unconfirmed_elapsed:
            return
        self._unconfirmed_elapsed.discard(entry.rollout)
        if not entry.known_before_term:
            gap_s = min(RESTART_GAP_S, MAX_GAP_SHARE * participant.record.plan.by_s)
            participant.clock.advance_to(participant.clock.read(now) + gap_s, now)

    def propose_steps(self, engines: EnginesView | None, now: float) -> list[Effect]:
        """Return the proposals that the schedules of all rollouts call for now."""
        self._proposed_at = now
        effects: list[Effect] = []
        for step_proposer in self.step_proposers.values():
            effects += step_proposer.propose(engines, self.settings.minimum_ready_engines, now)
        return effects


def _quarantine_s(record: RolloutRecord) -> float:
    """Return for how long a new leader grants nothing."""
    quick = record.plan.pacing.quick_handover and record.phase is RolloutPhase.CANARY
    return QUICK_HANDOVER_S if quick else GRANT_QUARANTINE_S


def _empty_entry(record: RolloutRecord) -> RolloutEntry:
    return RolloutEntry(
        service=record.service,
        rollout=record.rollout,
        stable=record.stable,
        candidate=record.candidate,
        phase=record.phase,
        weight=record.weight,
        elapsed_s=record.elapsed_s,
        evidence=EMPTY_DIGEST,
    )
