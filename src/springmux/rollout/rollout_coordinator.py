"""State machine of the rollouts in one node: token, lease, ledger, evidence and, at the leader, the schedule.

It does no I/O (see :mod:`springmux.coordination.state_machine`). The data plane uses
:attr:`RolloutCoordinator.filter`; all other input arrives as events. Any node sets the token's abort flag if
the merged evidence justifies an abort. Only the control leader, which issues the token, raises a weight or
finishes a rollout.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    Send,
    Tick,
)
from springmux.rollout.abort_requests import AbortRequests
from springmux.rollout.events import ControlViewChanged, EnginesChanged, FleetChanged, IssuerChanged
from springmux.rollout.events import RolloutSettings as RolloutSettings
from springmux.rollout.leadership import Leadership
from springmux.rollout.messages import RolloutAbortNotice, RolloutToken, RolloutTokenAck
from springmux.rollout.participant import Participant, TokenVisit
from springmux.rollout.registry import RolloutRegistry, by_rollout
from springmux.rollout.reporting import build_status
from springmux.rollout.status import RolloutSample, RolloutStatus
from springmux.rollout.token import RolloutEntry
from springmux.rollout.token_ring.rings import RELAY, RingLayout, build_ring_layout, itinerary_from
from springmux.rollout.token_ring.token_forwarding import ForwardResult, TokenForwarder
from springmux.rollout.token_ring.zone_ring import ZoneRing
from springmux.vocabulary.names import ServiceName

ZONE_ROUND_S = 0.9
"""Seconds that a grant in a zone ring covers; a round of a large fleet's relay ring takes about as long."""

EntryUpdate = Callable[[RolloutEntry, Participant], RolloutEntry]
"""Returns a token's entry with the contribution of this node, or of the zone ring that it leads."""


class RolloutCoordinator:
    """One node's part in all rollouts. ``random`` generates the writer numbers of the node's accounts."""

    def __init__(self, own: NodeId, zone: ZoneName, random: random.Random, settings: RolloutSettings) -> None:
        self._registry = RolloutRegistry(own, zone, random, settings)
        self.filter = self._registry.filter
        self._own = own
        self._zone = zone
        self._random = random
        self._members: tuple[NodeRecord, ...] = ()
        self._layout: RingLayout = build_ring_layout(())
        self._forwarder = TokenForwarder(own)
        self._leadership: Leadership | None = None
        self._zone_ring: ZoneRing | None = None
        self._newest_round = (-1, -1)
        self._newest_relay_round = (-1, -1)
        self._aborts = AbortRequests(own, self._registry, lambda: self._leadership)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        if isinstance(event, MessageReceived):
            return self._on_message(event, now)
        if isinstance(event, Tick):
            return self._on_tick(now)
        if isinstance(event, ControlViewChanged):
            return self._on_control(event, now)
        if isinstance(event, FleetChanged):
            return self._on_fleet(event)
        if isinstance(event, EnginesChanged):
            self._registry.set_engines(event.view)
            return []
        if isinstance(event, IssuerChanged):
            return self._on_issuer(event, now)
        return []

    def next_deadline(self) -> float:
        """Return when the next hop timeout, round or repeated abort proposal is due."""
        round_due = self._leadership.next_deadline() if self._leadership is not None else NEVER
        return min(round_due, self._forwarder.next_deadline(), self._aborts.next_deadline())

    # Control state, fleet, engines, leadership

    def _on_control(self, event: ControlViewChanged, now: float) -> list[Effect]:
        changed, effects = self._registry.apply(event, now)
        for record in changed:
            participant = self._registry.find(record.service, record.rollout)
            if participant is None:
                self._aborts.forget(record.rollout)
        if self._leadership is not None:
            self._leadership.settings = self._registry.settings
            if changed:
                self._leadership.set_rollouts(self._registry.under_way(), now)
        return effects

    def _on_fleet(self, event: FleetChanged) -> list[Effect]:
        members = tuple(event.view.present())
        if members != self._members:
            self._members = members
            self._layout = build_ring_layout(members)
        return []

    def _on_issuer(self, event: IssuerChanged, now: float) -> list[Effect]:
        if not event.leading:
            self._leadership = None
            return []
        if self._leadership is not None and self._leadership.term == event.term:
            return []
        sequence = max(self._newest_round[1], self._newest_relay_round[1], 0)
        leadership = Leadership(self._own, event.term, sequence, self._registry.settings, now)
        self._leadership = leadership
        leadership.set_rollouts(self._registry.under_way(), now)
        log_line = LogLine("rollout_issuer", LogLevel.INFO, {"term": event.term, "sequence": sequence})
        # The node that decided an abort may have failed before the abort was committed.
        aborted = [known for known in self._registry.under_way() if known.aborted]
        return [log_line, *(effect for known in aborted for effect in self._aborts.request(known, now))]

    # Rounds

    def _on_tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for forwarded in self._forwarder.expire(now):
            effects += self._apply_forwarded(forwarded, now)
        if self._leadership is not None and self._leadership.round_due() <= now:
            effects += self._launch_round(self._leadership, now)
        if self._leadership is not None:
            effects += self._leadership.propose_steps(self._registry.engines, now)
        return effects + self._aborts.retry(now)

    def _launch_round(self, leadership: Leadership, now: float) -> list[Effect]:
        token, effects = leadership.launch(self._layout, now)
        if token.ring == RELAY:
            return effects + self._visit_relay(token, now)
        if self._own in self._layout.order:
            visited, visit_effects = self._visit(token, now)
            return effects + visit_effects + self._forward(visited, now)
        return effects + self._forward(token, now)

    def _on_message(self, event: MessageReceived, now: float) -> list[Effect]:
        message = event.message
        if isinstance(message, RolloutTokenAck):
            self._forwarder.acknowledged(event.sender, message)
            return []
        if isinstance(message, RolloutToken):
            ack = Send(event.sender, RolloutTokenAck(message.term, message.sequence, message.ring))
            return [ack, *self._on_token(message, now)]
        if isinstance(message, RolloutAbortNotice):
            return self._aborts.handle_notice(message, now)
        return []

    def _on_token(self, token: RolloutToken, now: float) -> list[Effect]:
        if token.issuer == self._own:
            return self._token_returned(token, now)
        if token.ring == RELAY:
            if token.round_id <= self._newest_relay_round:
                return self._aborts.apply_token_aborts(token, now)
            return self._visit_relay(token, now)
        if token.round_id <= self._newest_round:
            return self._aborts.apply_token_aborts(token, now)
        visited, effects = self._visit(token, now)
        return effects + self._forward(visited, now)

    def _visit(self, token: RolloutToken, now: float) -> tuple[RolloutToken, list[Effect]]:
        self._newest_round = token.round_id
        zones = list(token.zones)

        def contribute(entry: RolloutEntry, participant: Participant) -> RolloutEntry:
            limit = self._registry.engines_limit(entry)
            visit = TokenVisit(
                token.ring, token.term, zones, limit, now, leading=self._leadership is not None
            )
            return participant.contribute(entry, visit)

        return self._add_to_entries(token, zones, contribute, now)

    def _add_to_entries(
        self, token: RolloutToken, zones: list[ZoneName], add: EntryUpdate, now: float
    ) -> tuple[RolloutToken, list[Effect]]:
        """Apply ``add`` to the token's entries of known rollouts; ``add`` may extend ``zones``."""
        effects: list[Effect] = []
        entries: list[RolloutEntry] = []
        for entry in token.entries:
            participant = self._registry.find(entry.service, entry.rollout)
            if participant is None:
                entries.append(entry)
                continue
            was_aborted = participant.aborted
            entries.append(add(entry, participant))
            effects += self._aborts.after_visit(participant, token, was_aborted, entry.aborted, now)
        return msgspec.structs.replace(token, zones=tuple(zones), entries=tuple(entries)), effects

    def _visit_relay(self, token: RolloutToken, now: float) -> list[Effect]:
        """Add the own zone ring's sums, forward the relay token, and launch a round of the zone ring."""
        self._newest_relay_round = token.round_id
        ring = self._layout.ring_led_by(self._own)
        if ring is None:
            return self._forward(token, now)
        if self._zone_ring is None or self._zone_ring.ring != ring:
            self._zone_ring = ZoneRing(ring, self._zone, self._random)
        zone_ring = self._zone_ring
        zones = list(token.zones)

        def report(entry: RolloutEntry, participant: Participant) -> RolloutEntry:
            return zone_ring.report(entry, participant, token.term, zones, now)

        relay, effects = self._add_to_entries(token, zones, report, now)
        return effects + self._forward(relay, now) + self._launch_zone_ring(zone_ring, relay, now)

    def _launch_zone_ring(self, zone_ring: ZoneRing, relay: RolloutToken, now: float) -> list[Effect]:
        known = by_rollout(self._registry.under_way())
        token = zone_ring.launch(relay, known, ZONE_ROUND_S, now)
        itinerary = itinerary_from(self._own, self._layout.rings[zone_ring.ring])
        token = msgspec.structs.replace(token, issuer=self._own, itinerary=itinerary)
        visited, effects = self._visit(token, now)
        return effects + self._forward(visited, now)

    def _forward(self, token: RolloutToken, now: float) -> list[Effect]:
        return self._apply_forwarded(self._forwarder.forward(token, now), now)

    def _apply_forwarded(self, forwarded: ForwardResult, now: float) -> list[Effect]:
        effects = list(forwarded.effects)
        if forwarded.returned is not None:
            effects += self._token_returned(forwarded.returned, now)
        return effects

    def _token_returned(self, token: RolloutToken, now: float) -> list[Effect]:
        if self._zone_ring is not None and token.ring == self._zone_ring.ring:
            self._zone_ring.merge_returned(token, now)
            return self._aborts.apply_token_aborts(token, now)
        if self._leadership is None:
            return self._aborts.apply_token_aborts(token, now)
        return self._aborts.apply_token_aborts(token, now) + self._leadership.token_returned(
            token, self._registry.engines, now
        )

    # Status

    def status(self, service: ServiceName, now: float) -> RolloutStatus | None:
        """Return this node's view of the newest rollout of ``service``, ``None`` if there was none."""
        participant = self._registry.newest(service)
        if participant is None:
            return None
        leadership = self._leadership
        step_proposer = (
            leadership.step_proposers.get(participant.record.rollout) if leadership is not None else None
        )
        return build_status(participant, step_proposer, self._zone, now)

    def samples(self, service: ServiceName) -> tuple[RolloutSample, ...]:
        """Return the samples of the newest rollout that this node recorded while it was the leader."""
        participant = self._registry.newest(service)
        return participant.history.samples() if participant is not None else ()
