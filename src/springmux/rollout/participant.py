"""One node's participation in one rollout: its account, evidence, lease and contributions to the token."""

from __future__ import annotations

import random

import msgspec
import xxhash

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import NEVER
from springmux.rollout.elapsed import ElapsedClock
from springmux.rollout.judgement.digest import EMPTY_DIGEST, EvidenceDigest, merge, subtract
from springmux.rollout.judgement.evidence_table import EvidenceTable
from springmux.rollout.judgement.judge import Judge, Verdict
from springmux.rollout.plan import TERMINAL_PHASES, RolloutDecision, RolloutPhase, RolloutRecord
from springmux.rollout.planning.load_step import is_load_step
from springmux.rollout.status import SampleHistory
from springmux.rollout.token import RolloutEntry, index_of_zone, recover_accounts, with_account
from springmux.rollout.version_filter import ServiceGate

HISTORY_ROUNDS = 256
"""Number of visits whose digests are kept: about 90 s of rounds, longer than any token takes to return."""
LEASE_AFTER_VISIT_S = 2.5
"""A lease ends this long after this node's newest visit that the token confirms. A token that was held back
by a frozen node confirms no recent visit, so it renews no lease. Usually the confirmed visit is one or two
rounds old and does not shorten the lease."""
CLOCK_RECENT_S = 5.0
"""A node visited by a token within this time knows of any pause, so its clock may correct a new leader's."""
_WRITER_BITS = 31
"""A writer number takes five bytes on the wire. Among 360 nodes two collide with probability 3e-5, and a node
detects the collision."""
ACTIVE_PHASES = frozenset({RolloutPhase.CANARY, RolloutPhase.SHIFTING})


class EvidenceHistory:
    """Digests of this node at each token visit, so that it adds exactly the evidence that the token lacks."""

    def __init__(self, base: EvidenceDigest) -> None:
        self._digests: dict[int, EvidenceDigest] = {0: base}

    def at(self, visit: int) -> EvidenceDigest:
        """Return the digest at ``visit``, or at the nearest older visit that is still stored.

        An older digest makes some evidence count twice, which is preferred to losing evidence.
        """
        found = self._digests.get(visit)
        if found is not None:
            return found
        return self._digests[max((known for known in self._digests if known <= visit), default=0)]

    def store(self, visit: int, digest: EvidenceDigest) -> None:
        """Store the digest of a visit. The base digest is never removed."""
        self._digests[visit] = digest
        if len(self._digests) > HISTORY_ROUNDS:
            oldest = min(known for known in self._digests if known > 0)
            del self._digests[oldest]

    def last(self) -> EvidenceDigest:
        """Return the newest digest."""
        return self._digests[max(self._digests)]


class TokenVisit(msgspec.Struct, frozen=True):
    """One visit of a token. ``zones`` may be extended. ``leading``: this node's clock is authoritative."""

    ring: int
    term: int
    zones: list[ZoneName]
    engines_limit: int
    now: float
    leading: bool = False


class Participant:
    """A node's participation in one rollout of one service."""

    def __init__(
        self,
        own: NodeId,
        zone: ZoneName,
        record: RolloutRecord,
        gate: ServiceGate,
        rng: random.Random,
        now: float,
    ) -> None:
        self.record = record
        self.gate = gate
        self.clock = ElapsedClock(record.elapsed_s, record.phase in ACTIVE_PHASES, now)
        self.decision: RolloutDecision | None = record.decision
        self.aborted = record.phase is RolloutPhase.ABORTED
        self.last_entry: RolloutEntry | None = None
        self.last_zones: tuple[ZoneName, ...] = ()
        self.received_evidence = EMPTY_DIGEST
        self.verdict: Verdict | None = None
        self.history = SampleHistory()
        """Samples taken while this node leads."""
        self.highest_weight = record.weight
        self._own = own
        self._zone = zone
        self._rng = rng
        self._evidence = EvidenceTable(record.service, record.stable, record.candidate, record.plan)
        self._judge = Judge(record.plan)
        self._judged_evidence = EMPTY_DIGEST
        self._history = EvidenceHistory(EMPTY_DIGEST)
        self._writer = rng.getrandbits(_WRITER_BITS)
        self._visits = 0
        self._visited_at: dict[int, float] = {}
        self.ring: int | None = None
        self._term = -1
        self._lease_end = -NEVER
        gate.begin(
            record.rollout, record.candidate, hash_salt(record), self._evidence, record.plan.pacing.even
        )

    @property
    def stable_answer_s(self) -> float:
        """Mean time of the stable version's answers at this node, in seconds; 0 before the first answer."""
        return self._evidence.stable_answer_s

    @property
    def terminal(self) -> bool:
        """Whether the committed record is in a terminal phase."""
        return self.record.phase in TERMINAL_PHASES

    def update_record(self, record: RolloutRecord, now: float) -> None:
        """Apply a newer committed record of the same rollout."""
        self.record = record
        self.clock.advance_to(record.elapsed_s, now)
        self.clock.set_running(record.phase in ACTIVE_PHASES, now)
        self.highest_weight = max(self.highest_weight, record.weight)
        if record.phase is RolloutPhase.ABORTED:
            self.abort(record.decision)
        if record.phase not in ACTIVE_PHASES:
            self.gate.close()

    def abort(self, decision: RolloutDecision | None) -> None:
        """Stop sending prompts to the candidate for the rest of this rollout."""
        self.aborted = True
        self.decision = self.decision or decision
        self.gate.close()

    def contribute(self, entry: RolloutEntry, visit: TokenVisit) -> RolloutEntry:
        """Return the token's entry with this node's counters, evidence and verdict; renew the lease."""
        entry = self._recover(entry, visit)
        if not visit.leading:
            self.clock.set_to(entry.elapsed_s, visit.now)
        self.clock.advance_to(self.record.elapsed_s, visit.now)
        self.highest_weight = max(self.highest_weight, entry.weight)
        self.received_evidence = entry.evidence
        entry = self.judge_merged(self._add_own_account(entry, visit))
        self._renew_lease(entry, visit)
        self.last_entry = entry
        self.last_zones = tuple(visit.zones)
        return entry

    def _recover(self, entry: RolloutEntry, visit: TokenVisit) -> RolloutEntry:
        if visit.ring != self.ring:
            if self.ring is not None:
                self._open_account()
            self.ring = visit.ring
        elif visit.term != self._term and self.last_entry is not None:
            entry = self.restore_elapsed(entry, visit.now)
            entry, zones = recover_accounts(entry, self.last_entry, tuple(visit.zones), self.last_zones)
            visit.zones[:] = zones
        self._term = visit.term
        return entry

    def restore_elapsed(self, entry: RolloutEntry, now: float) -> RolloutEntry:
        """Return a new leader's entry with this node's elapsed time if that is later and its clock recent."""
        recent = now - self._visited_at.get(self._visits, -NEVER) <= CLOCK_RECENT_S
        elapsed_s = max(entry.elapsed_s, self.clock.read(now)) if recent else entry.elapsed_s
        return msgspec.structs.replace(entry, elapsed_s=elapsed_s, known_before_term=True)

    def _open_account(self) -> None:
        """Open a new account. The totals of the ring that this node has left still include the old one."""
        self._writer = self._rng.getrandbits(_WRITER_BITS)
        self._visits = 0
        self._visited_at.clear()
        self._history = EvidenceHistory(self._history.last())
        self.gate.open_account()

    def _add_own_account(self, entry: RolloutEntry, visit: TokenVisit) -> RolloutEntry:
        self.gate.expire_credits(visit.now)
        known = entry.account(self._writer)
        if known is not None and known.visits > self._visits:
            self._open_account()
            known = None
        confirmed_visit = known.visits if known is not None else 0
        confirmed_at = self._visited_at.get(confirmed_visit, -NEVER)
        self._lease_end = confirmed_at + LEASE_AFTER_VISIT_S
        included = self._history.at(confirmed_visit)
        digest = self._evidence.digest()
        if digest != included:
            missing = subtract(digest, included)
            entry = msgspec.structs.replace(entry, evidence=merge(entry.evidence, missing))
        self._visits += 1
        self._history.store(self._visits, digest)
        self._visited_at[self._visits] = visit.now
        self._visited_at.pop(self._visits - HISTORY_ROUNDS, None)
        self.gate.accept_granted(known.granted if known is not None else 0)
        zone = index_of_zone(visit.zones, self._zone)
        return with_account(entry, self.gate.account(self._writer, zone, self._visits))

    def judge_merged(self, entry: RolloutEntry) -> RolloutEntry:
        """Return ``entry``, aborted if its evidence justifies an abort or this node knows of one.

        The judge runs once for each change of the evidence, so at most once per round.
        """
        if entry.aborted and not self.aborted:
            self.abort(entry.decision)
        if not self.aborted and entry.evidence != self._judged_evidence:
            self._judged_evidence = entry.evidence
            self._judge_evidence(entry.evidence)
        if self.aborted and not entry.aborted:
            return msgspec.structs.replace(entry, aborted=True, decision=self.decision)
        return entry

    def _judge_evidence(self, evidence: EvidenceDigest) -> None:
        self.verdict = self._judge.judge(evidence)
        if not self.verdict.abort:
            return
        decision = self.verdict.decision or RolloutDecision("", "evidence against the candidate")
        self.abort(msgspec.structs.replace(decision, decided_by=str(self._own)))

    def _renew_lease(self, entry: RolloutEntry, visit: TokenVisit) -> None:
        record = self.record
        active = record.phase in ACTIVE_PHASES and entry.phase in ACTIVE_PHASES
        if self.aborted or not active or entry.weight <= 0:
            self.gate.close()
            return
        self._evidence.loaded = is_load_step(record.plan, entry.weight)
        if self._lease_end > visit.now:
            weight = entry.zone_weight(visit.zones.index(self._zone))
            self.gate.renew(weight, visit.engines_limit, visit.now, self._lease_end, entry.weight >= 1.0)


def hash_salt(record: RolloutRecord) -> int:
    """Return the hash salt of a rollout, by which each rollout selects different prefixes first."""
    return xxhash.xxh3_64_intdigest(record.rollout.encode())
