"""Anti-entropy: a holder that lost its records, joined, paused or was down first pulls those of the others.

A pull counts in two ways. *Pulled* is valid since this node's start or last pause. At least one co-holder
must be pulled, since both other holders know a key that they granted in the meantime. *Complete* is valid as
long as this node keeps its records, which includes restarts if it has a journal. A co-holder that is down
then isn't needed, since this node still knows all that it granted and learned.
"""

from __future__ import annotations

from itertools import islice

import msgspec

from springmux.coordination.claims.events import ClaimSettings
from springmux.coordination.claims.journal import HolderState, RecoveredClaims
from springmux.coordination.claims.messages import ClaimPage, ClaimPull
from springmux.coordination.claims.peer_incarnations import PeerIncarnations
from springmux.coordination.claims.ring import ClaimRing, HolderSpan, RingHistory
from springmux.coordination.claims.store import ClaimStore
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, Send


class Cursor(msgspec.Struct, frozen=True):
    """Position reached in a peer's change log, and the ring version under which records were selected."""

    incarnation: int = 0
    version: int = 0
    position: int = 0


class Synchronizer:
    """Pulls records from peers. A peer is *pulled* for a ring version once its last page has arrived.

    :param recovered: content of the journal at start, or ``None`` on a node without a disk.
    """

    def __init__(
        self,
        own: NodeId,
        incarnation: int,
        settings: ClaimSettings,
        incarnations: PeerIncarnations,
        rings: RingHistory,
        store: ClaimStore,
        recovered: RecoveredClaims | None = None,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._settings = settings
        self._incarnations = incarnations
        self._rings = rings
        self._store = store
        self._recovered = recovered
        self._ring: ClaimRing | None = None
        self._cursors: dict[NodeId, Cursor] = {}
        self._pulled: dict[NodeId, int] = {}
        self._complete: dict[NodeId, int] = {}
        self._outstanding: set[NodeId] = set()
        self._anchors: dict[NodeId, list[str]] = {}
        self._next_pull_at = NEVER
        self._started_at: float | None = None
        self._round = incarnation
        self._intact = False
        self._state_changed = False
        if recovered is not None and recovered.state is not None:
            self._complete = dict(recovered.state.complete)
            self._intact = True

    @property
    def deadline(self) -> float:
        """Return when outstanding pulls are resent."""
        return self._next_pull_at if self._outstanding else NEVER

    def is_intact(self, now: float) -> bool:
        """Return whether this node's records are complete, by pulls since its start or by its journal."""
        if self._intact or self._ring is None:
            return self._intact
        others = self._ring.co_holders(self._own)
        pulled = sum(1 for peer in others if peer in self._pulled)
        waited_long_enough = not self._ring.is_durable and self._accepts_incomplete_peers(now)
        member = self._own in self._ring.nodes()
        self._intact = member and (
            pulled == len(others) or (waited_long_enough and 2 * pulled >= len(others))
        )
        self._state_changed = self._state_changed or self._intact
        return self._intact

    def pop_changed_state(self, now: float) -> HolderState | None:
        """Return the state to write to the journal if the extent of complete records has changed.

        The change then counts as written.
        """
        if not self._state_changed or not self.is_intact(now):
            return None
        self._state_changed = False
        return HolderState(self._rings.known, tuple(sorted(self._complete.items())))

    def change_ring(self, ring: ClaimRing, now: float) -> list[Effect]:
        """Apply a new ring, and pull from every member that may hold a key together with this node."""
        if self._started_at is None:
            self._started_at = now
        self._ring = ring
        self._state_changed = True
        if not self._has_continuous_records(ring):
            self._intact = False
            self._pulled.clear()
        if self._is_founder(ring):
            self._complete = dict.fromkeys(ring.co_holders(self._own), ring.version)
            self._intact = True
        return self.restart_pulls(now, discard_pulled=False)

    def restart_pulls(self, now: float, discard_pulled: bool) -> list[Effect]:
        """Start a new round of pulls.

        :param discard_pulled: whether earlier pulls no longer count; true after a pause.
        """
        if self._ring is None:
            return []
        if discard_pulled:
            self._pulled.clear()
        self._round += 1
        self._outstanding = set(self._ring.co_holders(self._own))
        self._anchors = self._find_anchors(self._ring)
        return self.send_pulls(now)

    def send_pulls(self, now: float) -> list[Effect]:
        """Send a pull to every peer whose last page of this round is missing."""
        self._next_pull_at = now + self._settings.pull_resend_s
        return [self._pull_from(peer) for peer in sorted(self._outstanding)]

    def apply_page(self, sender: NodeId, page: ClaimPage, now: float) -> list[Effect] | None:
        """Apply a page, and request the next one if there is more.

        :returns: ``None`` if the page isn't of this round, so that its records must be ignored.
        """
        ring = self._ring
        if ring is None or page.version != ring.version or page.round != self._round:
            return None
        if sender not in self._outstanding or not self._incarnations.learn(sender, page.incarnation):
            return None
        self._cursors[sender] = Cursor(page.incarnation, page.version, page.end_position)
        if not page.done:
            return [self._pull_from(sender)]
        if page.intact or self._accepts_incomplete_peers(now):
            self._outstanding.discard(sender)
            self._pulled[sender] = page.version
            self._complete[sender] = page.version
            self._state_changed = True
        return []

    def may_grant(self, span: HolderSpan, now: float) -> bool:
        """Return whether this holder knows all grants that the other holders may have made.

        Either every other holder was pulled since the holder set is unchanged, or this node's records are
        complete for the set and one other holder was pulled since the start. Without a disk, long after its
        start, this node proceeds without one unresponsive co-holder: claims known only to that holder and
        to this node's lost records are known to their claimants, which have sent them to the third holder.
        """
        others = [holder for holder in span.holders if holder != self._own]
        missing = [peer for peer in others if self._pulled.get(peer, 0) < span.since]
        if not missing:
            return True
        if len(missing) == len(others):
            return False
        if all(self._complete.get(peer, 0) >= span.since for peer in missing):
            return True
        durable = self._ring is not None and self._ring.is_durable
        return not durable and len(missing) == 1 and self._age_s(now) >= self._settings.absent_wait_s

    def _has_continuous_records(self, ring: ClaimRing) -> bool:
        """Return whether this node was a member right before ``ring``, or of ``ring`` when it stopped."""
        known = self._rings.known
        if len(known) > 1 and self._own in known[-2].nodes():
            return True
        state = self._recovered.state if self._recovered is not None else None
        return state is not None and state.rings[-1].version == ring.version

    def _is_founder(self, ring: ClaimRing) -> bool:
        """Return whether nothing was granted before ``ring``, and this node's journal has lost nothing."""
        recovered = self._recovered
        if recovered is None or not recovered.founded or recovered.state is not None:
            return False
        return ring.version == 1 and ring.has_replica(self._own, recovered.replica)

    def _accepts_incomplete_peers(self, now: float) -> bool:
        """Return whether a pull from a peer with incomplete records counts.

        Without disks, the records of such a peer never become complete by themselves.
        """
        durable = self._ring is not None and self._ring.is_durable
        wait_s = self._settings.window_s if durable else self._settings.incomplete_peer_wait_s
        return self._age_s(now) >= wait_s

    def _age_s(self, now: float) -> float:
        return 0.0 if self._started_at is None else now - self._started_at

    def _pull_from(self, peer: NodeId) -> Send:
        assert self._ring is not None
        version = self._ring.version
        cursor = self._cursors.get(peer, Cursor())
        if cursor.version == version:
            return Send(
                peer, ClaimPull(version, self._incarnation, cursor.incarnation, cursor.position, self._round)
            )
        anchors = tuple(self._anchors.get(peer, ())) if self._complete.get(peer, 0) >= version else ()
        if len(anchors) < self._settings.anchor_keys:
            anchors = ()
        return Send(peer, ClaimPull(version, self._incarnation, 0, 0, self._round, anchors))

    def _find_anchors(self, ring: ClaimRing) -> dict[NodeId, list[str]]:
        """Return the newest finished keys that each holder has; none unless a peer was pulled completely."""
        anchor_count = self._settings.anchor_keys
        anchors: dict[NodeId, list[str]] = {}
        if not any(version >= ring.version for version in self._complete.values()):
            return anchors
        for key in islice(self._store.newest_finished(), self._settings.page_scan):
            for holder in ring.holders(key):
                keys = anchors.setdefault(holder, [])
                if len(keys) < anchor_count:
                    keys.append(key)
        return anchors
