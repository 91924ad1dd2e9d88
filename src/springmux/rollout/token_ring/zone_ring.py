"""The leader of a zone ring: it launches the ring's rounds and reports the ring's sums to the relay ring.

To the relay ring a zone ring looks like a single node, with one account and one cumulative digest. Rounds are
launched only when a relay token arrives, so a ring leader that is partitioned from the issuer renews no
lease.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.rollout.issuer import IssuedRollout
from springmux.rollout.judgement.digest import EMPTY_DIGEST, merge, subtract
from springmux.rollout.messages import RolloutToken
from springmux.rollout.participant import EvidenceHistory, Participant
from springmux.rollout.token import (
    Account,
    AccountTotals,
    RolloutEntry,
    index_of_zone,
    recover_accounts,
    with_account,
)
from springmux.vocabulary.names import RolloutId

_WRITER_BITS = 31


class RingRollout:
    """State of one rollout that the leader of a zone ring keeps."""

    def __init__(self, ring: int, zone: ZoneName, participant: Participant, rng: random.Random) -> None:
        self.participant = participant
        self.issued: IssuedRollout | None = None
        self._ring = ring
        self._zone = zone
        self._writer = rng.getrandbits(_WRITER_BITS)
        self._visits = 0
        self._granted = 0
        self._base_totals: AccountTotals | None = None
        self._term = -1
        self._last_entry: RolloutEntry | None = None
        self._last_zones: tuple[ZoneName, ...] = ()
        before = participant.received_evidence if participant.ring == ring else EMPTY_DIGEST
        self._history = EvidenceHistory(before)

    def report(self, entry: RolloutEntry, term: int, zones: list[ZoneName], now: float) -> RolloutEntry:
        """Return the relay token's entry with this ring's sums, after judging the fleet's evidence."""
        if term != self._term and self._last_entry is not None:
            entry = self.participant.restore_elapsed(entry, now)
            entry, known_zones = recover_accounts(entry, self._last_entry, tuple(zones), self._last_zones)
            zones[:] = known_zones
        self._term = term
        entry = self.participant.judge_merged(self._add_ring(entry, zones))
        self._last_entry = entry
        self._last_zones = tuple(zones)
        return entry

    def _add_ring(self, entry: RolloutEntry, zones: list[ZoneName]) -> RolloutEntry:
        known = entry.account(self._writer)
        digest = self.issued.entry.evidence if self.issued is not None else EMPTY_DIGEST
        included = self._history.at(known.visits if known is not None else 0)
        if self.issued is not None and digest != included:
            evidence = merge(entry.evidence, subtract(digest, included))
            entry = msgspec.structs.replace(entry, evidence=evidence)
            included = digest
        self._visits += 1
        self._history.store(self._visits, included)
        self._granted = max(self._granted, known.granted if known is not None else 0)
        added = self._added()
        account = Account(
            writer=self._writer,
            zone=index_of_zone(zones, self._zone),
            prompts=added.prompts,
            visits=self._visits,
            granted=self._granted,
            spent=added.spent,
            expired=added.expired,
            given_back=added.given_back,
        )
        return with_account(entry, account)

    def _added(self) -> AccountTotals:
        """Return the ring's sums since this node's first complete round as ring leader.

        Earlier sums were reported by the previous ring leader. Counts between its last report and that round
        are omitted, which only lowers the number of prompts from which credits accrue.
        """
        if self.issued is None or self._base_totals is None:
            return AccountTotals()
        return self.issued.totals().minus(self._base_totals)

    def prepare(
        self, entry: RolloutEntry, zones: tuple[ZoneName, ...], round_s: float, now: float
    ) -> RolloutEntry:
        """Return the entry for a round of the zone ring, with credits from those granted to the ring."""
        if self.issued is None:
            self.issued = IssuedRollout(self._first_entry(entry), now)
        issued = self.issued
        issued.entry = msgspec.structs.replace(
            entry,
            accounts=issued.entry.accounts,
            evidence=issued.entry.evidence,
            aborted=entry.aborted or issued.entry.aborted,
            decision=entry.decision or issued.entry.decision,
        )
        if self._base_totals is not None and not issued.entry.aborted:
            pool = self._granted - (issued.totals().granted - self._base_totals.granted)
            issued.grant_from_pool(entry.zone_weight(zones.index(self._zone)), max(0, pool), round_s)
        return issued.entry

    def _first_entry(self, entry: RolloutEntry) -> RolloutEntry:
        last_entry = self.participant.last_entry
        if last_entry is not None and self.participant.ring == self._ring:
            return last_entry
        return msgspec.structs.replace(entry, accounts=(), evidence=EMPTY_DIGEST)

    def merge_returned(self, returned: RolloutEntry, current: bool, now: float) -> None:
        """Merge a returned round of the zone ring; of an older round (not ``current``) only the counters."""
        if self.issued is None:
            return
        self.issued.merge_returned(returned, now if current else None, now)
        if current and self._base_totals is None:
            self._base_totals = self.issued.totals()


class ZoneRing:
    """The rounds of one zone ring, for all rollouts under way."""

    def __init__(self, ring: int, zone: ZoneName, rng: random.Random) -> None:
        self.ring = ring
        self._zone = zone
        self._rng = rng
        self._ring_rollouts: dict[RolloutId, RingRollout] = {}
        self._round = (-1, -1)

    def report(
        self, entry: RolloutEntry, participant: Participant, term: int, zones: list[ZoneName], now: float
    ) -> RolloutEntry:
        """Add the ring's sums to one entry of a relay token."""
        return self._ring_rollout(participant).report(entry, term, zones, now)

    def launch(
        self, relay: RolloutToken, participants: Mapping[RolloutId, Participant], round_s: float, now: float
    ) -> RolloutToken:
        """Return this ring's token for the round of the relay token; the caller sets issuer and itinerary."""
        self._round = relay.round_id
        entries = [
            self._ring_rollout(participants[entry.rollout]).prepare(entry, relay.zones, round_s, now)
            if entry.rollout in participants
            else entry
            for entry in relay.entries
        ]
        return msgspec.structs.replace(relay, ring=self.ring, entries=tuple(entries))

    def merge_returned(self, token: RolloutToken, now: float) -> None:
        """Merge a returned round of this ring into the rollouts that it carries."""
        current = token.round_id == self._round
        for entry in token.entries:
            ring_rollout = self._ring_rollouts.get(entry.rollout)
            if ring_rollout is not None:
                ring_rollout.merge_returned(entry, current, now)

    def _ring_rollout(self, participant: Participant) -> RingRollout:
        rollout = participant.record.rollout
        ring_rollout = self._ring_rollouts.get(rollout)
        if ring_rollout is None:
            ring_rollout = self._ring_rollouts[rollout] = RingRollout(
                self.ring, self._zone, participant, self._rng
            )
        return ring_rollout
