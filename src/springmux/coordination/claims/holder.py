"""Holder: grants a key to the first attempt, stores outcomes, and replies to pulls."""

from __future__ import annotations

from collections.abc import Iterable

from springmux.coordination.claims.events import ClaimSettings
from springmux.coordination.claims.journal import ClaimStored
from springmux.coordination.claims.messages import (
    ClaimAttempt,
    ClaimPage,
    ClaimPull,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimState,
    HolderStatus,
)
from springmux.coordination.claims.peer_incarnations import PeerIncarnations
from springmux.coordination.claims.persistence import ClaimPersistence, PendingGrant
from springmux.coordination.claims.ring import ClaimRing, RingHistory
from springmux.coordination.claims.store import ClaimStore
from springmux.coordination.claims.synchronization import Synchronizer
from springmux.coordination.identifiers import NodeId


class Holder:
    """Decides on the keys that this node holds.

    :param persistence: the journal of a node with a disk; without it, grants are sent immediately.
    """

    def __init__(
        self,
        own: NodeId,
        incarnation: int,
        settings: ClaimSettings,
        rings: RingHistory,
        incarnations: PeerIncarnations,
        synchronizer: Synchronizer,
        store: ClaimStore,
        persistence: ClaimPersistence | None = None,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._settings = settings
        self._rings = rings
        self._incarnations = incarnations
        self._synchronizer = synchronizer
        self.store = store
        self._persistence = persistence
        self._granted: dict[str, ClaimAttempt] = {}
        self._holders_by_key: dict[str, tuple[NodeId, ...]] = {}
        self._holders_version = 0

    def restore(self, claims: Iterable[ClaimStored], now: float) -> None:
        """Restore the journal's records."""
        for stored in claims:
            self.store.restore(stored.record, now)
            if stored.granted is not None:
                self._granted[stored.record.key] = stored.granted

    def handle_request(self, claimant: NodeId, request: ClaimRequest, now: float) -> ClaimReply | None:
        """Grant the key to the first attempt under this node's ring, and to no other.

        :returns: ``None`` while the grant isn't durable or the disk is unusable; the claimant proceeds with
            the other holders.
        """
        attempt = request.attempt
        if self.store.is_withdrawn(attempt):
            return self._reply(attempt, HolderStatus.WITHDRAWN)
        record = self.store.find(request.key)
        if record is not None and record.state is ClaimState.FINISHED:
            return self._reply(attempt, HolderStatus.HELD, record)
        if record is not None and self._granted.get(request.key) != attempt:
            return self._reply(attempt, HolderStatus.HELD, record)
        peers = self._peers_if_ready(request, now)
        if peers is None:
            return self._reply(attempt, HolderStatus.NOT_READY)
        persistence = self._persistence
        if record is not None:
            is_pending = persistence is not None and persistence.is_pending(attempt)
            return None if is_pending else self._grant(attempt, peers)
        if persistence is not None and not persistence.is_usable():
            return None
        self._granted[request.key] = attempt
        self._put_record(ClaimRecord(request.key, (attempt,), ClaimState.RUNNING), now)
        if persistence is None:
            return self._grant(attempt, peers)
        persistence.defer_grant(PendingGrant(attempt, request.key, claimant))
        return None

    def reply_to_persisted(self, grant: PendingGrant) -> ClaimReply | None:
        """Return the reply to a grant that is now durable; ``None`` if it was withdrawn meanwhile."""
        span = self._rings.span(grant.key)
        if span is None or self._own not in span.holders or self._granted.get(grant.key) != grant.attempt:
            return None
        return self._grant(grant.attempt, tuple(holder for holder in span.holders if holder != self._own))

    def apply_settle(self, message: ClaimSettle, now: float) -> None:
        """Apply the outcome of an attempt: record that it ran, or withdraw it and never grant it again."""
        record = self.store.find(message.key)
        if message.ran:
            if record is None or record.state is ClaimState.RUNNING or message.attempt in record.attempts:
                answer = message.answer if len(message.answer) <= self._settings.max_answer_bytes else b""
                finished = ClaimRecord(message.key, (message.attempt,), ClaimState.FINISHED, answer)
                self._granted.pop(message.key, None)
                self._put_record(finished, now)
            return
        self.store.withdraw(message.attempt, now)
        if record is None or record.state is ClaimState.FINISHED or message.attempt not in record.attempts:
            return
        if self._granted.get(message.key) == message.attempt:
            del self._granted[message.key]
        remaining = tuple(attempt for attempt in record.attempts if attempt != message.attempt)
        if remaining:
            self._put_record(ClaimRecord(record.key, remaining, record.state), now)
        else:
            self.store.remove(message.key)

    def merge(self, records: Iterable[ClaimRecord], now: float) -> None:
        """Merge a peer's records. Their attempts block the key, but this node doesn't grant it to them."""
        for record in records:
            known = self.store.find(record.key)
            if record.state is ClaimState.FINISHED:
                if known is None or known.state is ClaimState.RUNNING:
                    self._granted.pop(record.key, None)
                    self._put_record(record, now)
                continue
            attempts = tuple(attempt for attempt in record.attempts if not self.store.is_withdrawn(attempt))
            if known is not None:
                if known.state is ClaimState.FINISHED:
                    continue
                attempts = known.attempts + tuple(
                    attempt for attempt in attempts if attempt not in known.attempts
                )
                if attempts == known.attempts:
                    continue
            if attempts:
                self._put_record(ClaimRecord(record.key, attempts, ClaimState.RUNNING), now)

    def build_page(
        self, sender: NodeId, pull: ClaimPull, own_claims: Iterable[ClaimRecord], now: float
    ) -> ClaimPage | None:
        """Return the next page for a pull; ``None`` if the sender has another ring or has restarted since.

        :param own_claims: claims of this node as claimant, added to the last page.
        """
        ring = self._rings.current
        if (
            ring is None
            or ring.version != pull.version
            or not self._incarnations.learn(sender, pull.incarnation)
        ):
            return None
        after = (
            pull.after
            if pull.peer_incarnation == self._incarnation
            else self._position_before_anchors(pull.anchors)
        )
        records: list[ClaimRecord] = []
        end_position, done = self.store.position, True
        for scanned, (position, record) in enumerate(self.store.changes_after(after)):
            if len(records) >= self._settings.page_records or scanned >= self._settings.page_scan:
                done = False
                break
            end_position = position
            if sender in self._holders_of(ring, record.key):
                records.append(record)
        if done:
            end_position = self.store.position
            records.extend(record for record in own_claims if sender in ring.holders(record.key))
        intact = self._synchronizer.is_intact(now)
        return ClaimPage(
            pull.version, self._incarnation, pull.round, end_position, done, intact, tuple(records)
        )

    def expire(self, now: float) -> None:
        """Remove expired records and withdrawals."""
        self.store.expire(now)
        if len(self._granted) > 2 * len(self.store) + self._settings.page_records:
            self._granted = {key: own for key, own in self._granted.items() if self.store.find(key)}

    def _holders_of(self, ring: ClaimRing, key: str) -> tuple[NodeId, ...]:
        """Return a key's holders, cached for all peers that pull under the same ring."""
        if ring.version != self._holders_version or len(self._holders_by_key) > self._settings.max_entries:
            self._holders_by_key.clear()
            self._holders_version = ring.version
        holders = self._holders_by_key.get(key)
        if holders is None:
            holders = self._holders_by_key[key] = ring.holders(key)
        return holders

    def _position_before_anchors(self, anchors: tuple[str, ...]) -> int:
        """Return the change log position before the oldest known anchor, or 0 if none is known."""
        positions = [self.store.position_of(key) for key in anchors]
        return min((position - 1 for position in positions if position is not None), default=0)

    def _put_record(self, record: ClaimRecord, now: float) -> None:
        self.store.put(record, now, self._granted.get(record.key))

    def _grant(self, attempt: ClaimAttempt, peers: tuple[NodeId, ...]) -> ClaimReply:
        return ClaimReply(attempt, HolderStatus.GRANTED, self._incarnation, self._incarnations.of(peers))

    def _peers_if_ready(self, request: ClaimRequest, now: float) -> tuple[NodeId, ...] | None:
        """Return the other holders of the key, or ``None`` if this node may not grant the key now."""
        span = self._rings.span(request.key)
        if span is None or self._own not in span.holders:
            return None
        if not span.agrees_with(request.since, request.until) or not self.store.has_room():
            return None
        if not self._synchronizer.may_grant(span, now):
            return None
        return tuple(holder for holder in span.holders if holder != self._own)

    def _reply(
        self, attempt: ClaimAttempt, status: HolderStatus, record: ClaimRecord | None = None
    ) -> ClaimReply:
        if record is None:
            return ClaimReply(attempt, status)
        return ClaimReply(attempt, status, state=record.state, answer=record.answer)
