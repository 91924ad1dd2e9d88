"""The control leader as issuer of the token: it paces laps, grants credits, and steers each rollout."""

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
from springmux.rollout.planning.plan import RolloutPhase, RolloutRecord
from springmux.rollout.steering import Steering
from springmux.rollout.token_ring.rings import RELAY, WHOLE_FLEET, RingLayout, way_from
from springmux.rollout.token_ring.token import RolloutEntry, index_of_zone
from springmux.rollout.version_filter import LEASE_S
from springmux.vocabulary.engines import EnginesView
from springmux.vocabulary.names import RolloutId

LAP_S = 0.35
"""Time between laps in a small fleet: evidence and aborts spread in well under a second."""
LONGEST_LAP_S = 1.0
"""A lost lap is reissued after 1.4 s, still within the lease."""
TOKEN_BYTES_PER_S = 1500
"""A node's share of the 2 KB/s for the token; laps slow down before it is exceeded."""
ACCOUNT_BYTES = 22
"""Size of one account on the wire (measured, docs/notes/token.md)."""
STEER_S = 0.2
"""Steps are due between laps too; looking is cheap."""
LOST_AFTER_S = 0.8
"""A lap that isn't home after this is reissued: six skipped hops."""
GRANT_QUARANTINE_S = LEASE_S + 0.5
"""A new leader grants nothing until every lease of its predecessor's unknown grants has ended."""
QUICK_HANDOVER_S = 0.7
"""The same in the canary of a short term: two laps, which fence the predecessor's and bring its grants home
with the nodes' accounts. What a node that they missed may still spend, the canary's weight for two laps, is
within the part of the bound that is kept for leader changes."""

RESTART_GAP_S = 9.0
"""Counted after a restart of all nodes for the time that nobody measured: 3 s since the last checkpoint,
and 6 s until a controller runs again. From then on it counts, so the 12 s of the brief may pass."""
LARGEST_GAP_SHARE = 0.25
"""Part of a short ``by_s`` that is counted at most."""

_encoder = msgspec.msgpack.Encoder()


class Lap(msgspec.Struct):
    """The lap under way."""

    sequence: int
    launched_at: float
    home: bool = False


class Leadership:
    """What one node does while it leads under one term.

    :param first_sequence: above every lap that this node has seen; the term fences the rest.
    :param settings: the deployment's exceptions, which may change.
    """

    def __init__(
        self, own: NodeId, term: Term, first_sequence: int, settings: RolloutSettings, now: float
    ) -> None:
        self.term = term
        self.settings = settings
        self.lap_s = settings.token_period_s or LAP_S
        self.token_bytes = 0
        self.steerings: dict[RolloutId, Steering] = {}
        self.zones: list[ZoneName] = []
        self._own = own
        self._sequence = first_sequence
        self._since = now
        self._lap: Lap | None = None
        self._unsure: set[RolloutId] = set()
        """Rollouts taken up from the record alone, until a lap shows whether any node remembers more."""
        self._steered_at = now

    def next_deadline(self) -> float:
        """Return when a lap, or a look at the schedule, is due."""
        look_due = self._steered_at + STEER_S if self.steerings else NEVER
        return min(self.lap_due(), look_due)

    def lap_due(self) -> float:
        """Return when the next lap is launched, or the present one counts as lost."""
        if not self.steerings:
            return NEVER
        if self._lap is None:
            return self._since
        wait_s = self.lap_s if self._lap.home else max(LOST_AFTER_S, self.lap_s + 0.4)
        return self._lap.launched_at + wait_s

    def hurry(self) -> None:
        """Launch the next lap at once: something was aborted, paused or begun."""
        self._lap = None

    def follow(self, participants: Iterable[Participant], now: float) -> None:
        """Issue exactly these rollouts from now on, and tell the fleet of any change at once."""
        under_way = {participant.record.rollout: participant for participant in participants}
        for rollout in set(self.steerings) - set(under_way):
            del self.steerings[rollout]
            self._unsure.discard(rollout)
        for rollout, participant in under_way.items():
            if rollout not in self.steerings:
                self._adopt(participant, now)
        self.hurry()

    def _adopt(self, participant: Participant, now: float) -> None:
        """Issue a rollout, going on from this node's last copy of the token."""
        rollout = participant.record.rollout
        issued = IssuedRollout(self._first_entry(participant), now)
        self.steerings[rollout] = Steering(participant, issued, now)
        if participant.kept is None and participant.record.elapsed_s > 0:
            self._unsure.add(rollout)
        inherited = participant.kept is not None or participant.record.elapsed_s > 0 or now <= self._since
        granting_from = now + (_quarantine_s(participant.record) if inherited else MEASURE_RATES_S)
        self.steerings[rollout].granting_from = granting_from

    def _first_entry(self, participant: Participant) -> RolloutEntry:
        record = participant.record
        kept = participant.kept
        if kept is not None and participant.ring == WHOLE_FLEET:
            for zone in participant.kept_zones:
                index_of_zone(self.zones, zone)
            if tuple(self.zones) == participant.kept_zones:
                return kept
        entry = _empty_entry(record)
        if kept is not None:
            allowance = kept.allowance
        else:
            begun = record.elapsed_s > 0
            allowance = 0 if begun else allowance_part(record.plan)
        return msgspec.structs.replace(entry, allowance=allowance)

    def launch(self, layout: RingLayout, now: float) -> tuple[RolloutToken, list[Effect]]:
        """Return the token of a new lap, not yet visited by this node, and notes."""
        effects: list[Effect] = []
        if self._lap is not None and not self._lap.home:
            fields = {"term": self.term, "sequence": self._lap.sequence}
            effects.append(LogLine("rollout_token_reissued", LogLevel.WARNING, fields))
        self._sequence += 1
        self._lap = Lap(self._sequence, now)
        ring = RELAY if layout.relayed else WHOLE_FLEET
        members = layout.leads() if layout.relayed else layout.order
        token = RolloutToken(
            issuer=self._own,
            term=self.term,
            sequence=self._sequence,
            ring=ring,
            itinerary=way_from(self._own, members),
            zones=tuple(self.zones),
            entries=tuple(self._entry(steering, now) for steering in self.steerings.values()),
        )
        self._pace(token, layout)
        return token, effects

    def _entry(self, steering: Steering, now: float) -> RolloutEntry:
        participant, issued = steering.participant, steering.issued
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
        if granting and now >= steering.granting_from:
            zones = tuple(self.zones)
            issued.set_zone_weights(zones, record, now)
            issued.grant_from_ledger(zones, record, self.lap_s)
        return issued.entry

    def _pace(self, token: RolloutToken, layout: RingLayout) -> None:
        """Set the time to the next lap, so that the busiest node (a zone ring's lead) keeps to its share."""
        self.token_bytes = len(_encoder.encode(token))
        if layout.relayed:
            others = max(0, layout.longest_ring() - len(layout.rings))
            self.token_bytes = 2 * self.token_bytes + ACCOUNT_BYTES * others
        adapted_s = min(LONGEST_LAP_S, max(LAP_S, self.token_bytes / TOKEN_BYTES_PER_S))
        self.lap_s = self.settings.token_period_s or adapted_s

    def come_home(self, token: RolloutToken, engines: EnginesView | None, now: float) -> list[Effect]:
        """Take a lap that came back, and steer."""
        if token.term != self.term:
            return []
        launched_at: float | None = None
        if self._lap is not None and token.sequence == self._lap.sequence:
            launched_at = self._lap.launched_at
            self._lap.home = True
            self.zones[:] = token.zones
        for entry in token.entries:
            steering = self.steerings.get(entry.rollout)
            if steering is None:
                continue
            steering.issued.absorb(entry, launched_at, now)
            if launched_at is not None:
                self._set_clock(steering.participant, entry, now)
            if entry.aborted and not steering.participant.aborted:
                steering.participant.abort(entry.decision)
                self.hurry()
        return self.steer(engines, now)

    def _set_clock(self, participant: Participant, entry: RolloutEntry, now: float) -> None:
        """Take the time used as the nodes know it; count a gap that no node has measured."""
        participant.clock.advance_to(entry.elapsed_s, now)
        if entry.rollout not in self._unsure:
            return
        self._unsure.discard(entry.rollout)
        if not entry.remembered:
            gap_s = min(RESTART_GAP_S, LARGEST_GAP_SHARE * participant.record.plan.by_s)
            participant.clock.advance_to(participant.clock.read(now) + gap_s, now)

    def steer(self, engines: EnginesView | None, now: float) -> list[Effect]:
        """Return what the schedules of all rollouts call for now."""
        self._steered_at = now
        effects: list[Effect] = []
        for steering in self.steerings.values():
            effects += steering.steer(engines, self.settings.minimum_ready_engines, now)
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
