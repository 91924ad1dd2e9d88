"""The control leader as issuer of the token: it launches rounds, grants credits and proposes steps."""

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
"""Time between rounds in a small fleet, so that evidence and aborts spread in well under a second."""
MAX_ROUND_S = 1.0
"""Longest time between rounds. A lost round is then reissued after 1.4 s, which is still within the lease."""
TOKEN_BYTES_PER_S = 1500
"""Part of a node's 2 KB/s that the token may use; the time between rounds grows to stay within it."""
ACCOUNT_BYTES = 22
"""Size of one account on the wire (docs/notes/token.md)."""
PROPOSE_PERIOD_S = 0.2
"""Interval of the cheap check for due steps, since a step may become due between rounds."""
ROUND_TIMEOUT_S = 0.8
"""A round that hasn't returned after this time is reissued. It allows for six skipped hops."""
GRANT_QUARANTINE_S = LEASE_S + 0.5
"""A new leader grants nothing for this time, until every lease under unknown grants of the previous leader
has ended."""
QUICK_HANDOVER_S = 0.7
"""The same time in the canary of a short rollout. It is two rounds, which fence the previous leader's rounds
and return its grants with the nodes' accounts. A node that both rounds missed may still spend the canary's
weight for two rounds; the part of the exposure bound that is kept for leader changes covers that."""

RESTART_GAP_S = 9.0
"""Elapsed time that is added after a restart of all nodes, for the time that no node measured: 3 s since the
last checkpoint and 6 s until a controller runs again. From then on a controller measures the time, so an
outage may last the required 12 s."""
MAX_GAP_SHARE = 0.25
"""Largest part of ``by_s`` that is added for such a gap; it matters when ``by_s`` is short."""

_encoder = msgspec.msgpack.Encoder()


class TokenRound(msgspec.Struct):
    """The round that the leader launched last."""

    sequence: int
    launched_at: float
    returned: bool = False


class Leadership:
    """State of one node while it leads under one consensus term.

    :param first_sequence: at least the sequence of every round that this node has seen. Rounds of an older
        term are fenced by the term.
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
        """Rollouts resumed from the record alone, until a round shows whether a node knows more."""
        self._proposed_at = now

    def next_deadline(self) -> float:
        """Return when the next round or check of the schedule is due."""
        proposals_due = self._proposed_at + PROPOSE_PERIOD_S if self.step_proposers else NEVER
        return min(self.round_due(), proposals_due)

    def round_due(self) -> float:
        """Return when the next round is due, or when the present round counts as lost."""
        if not self.step_proposers:
            return NEVER
        if self._round is None:
            return self._leading_since
        wait_s = self.round_s if self._round.returned else max(ROUND_TIMEOUT_S, self.round_s + 0.4)
        return self._round.launched_at + wait_s

    def launch_now(self) -> None:
        """Make the next round due immediately, to publish an abort or a change of the rollouts."""
        self._round = None

    def set_rollouts(self, participants: Iterable[Participant], now: float) -> None:
        """Replace the set of issued rollouts, and make a round due immediately to publish the change."""
        under_way = {participant.record.rollout: participant for participant in participants}
        for rollout in set(self.step_proposers) - set(under_way):
            del self.step_proposers[rollout]
            self._unconfirmed_elapsed.discard(rollout)
        for rollout, participant in under_way.items():
            if rollout not in self.step_proposers:
                self._adopt(participant, now)
        self.launch_now()

    def _adopt(self, participant: Participant, now: float) -> None:
        """Start to issue a rollout, continuing from this node's last copy of its entry."""
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
        """Return the token of a new round, without this node's contribution, and log lines."""
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
        """Set the time to the next round so that the node with most token traffic keeps its byte rate."""
        self.token_bytes = len(_encoder.encode(token))
        if layout.relayed:
            others = max(0, layout.longest_ring() - len(layout.rings))
            self.token_bytes = 2 * self.token_bytes + ACCOUNT_BYTES * others
        adapted_s = min(MAX_ROUND_S, max(ROUND_S, self.token_bytes / TOKEN_BYTES_PER_S))
        self.round_s = self.settings.token_period_s or adapted_s

    def token_returned(self, token: RolloutToken, engines: EnginesView | None, now: float) -> list[Effect]:
        """Handle a round that returned, and return the proposals that are due."""
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
        """Advance the clock to the nodes' elapsed time, and add a gap that no node has measured."""
        participant.clock.advance_to(entry.elapsed_s, now)
        if entry.rollout not in self._unconfirmed_elapsed:
            return
        self._unconfirmed_elapsed.discard(entry.rollout)
        if not entry.known_before_term:
            gap_s = min(RESTART_GAP_S, MAX_GAP_SHARE * participant.record.plan.by_s)
            participant.clock.advance_to(participant.clock.read(now) + gap_s, now)

    def propose_steps(self, engines: EnginesView | None, now: float) -> list[Effect]:
        """Return the proposals that are due in any rollout."""
        self._proposed_at = now
        effects: list[Effect] = []
        for step_proposer in self.step_proposers.values():
            effects += step_proposer.propose(engines, self.settings.minimum_ready_engines, now)
        return effects


def _quarantine_s(record: RolloutRecord) -> float:
    """Return how long a new leader grants nothing, in seconds."""
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
