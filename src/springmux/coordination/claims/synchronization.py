"""Pulling: how a holder that forgot, joined, paused or was down learns the others' claims before it grants.

What was pulled counts in two ways. *Pulled* is since the own start or pause: at least one co-holder
must be, for a key that the two others gave meanwhile is known to both. *Complete* is as long as the
memory lasts (over restarts, where there is a journal): with it a co-holder that is down isn't needed,
since this node still knows whatever it granted and learned.
"""

from __future__ import annotations

from itertools import islice

import msgspec

from springmux.coordination.claims.events import ClaimSettings
from springmux.coordination.claims.journal import HolderState, RecoveredClaims
from springmux.coordination.claims.messages import ClaimPage, ClaimPull
from springmux.coordination.claims.peers import PeerBoots
from springmux.coordination.claims.ring import ClaimRing, HolderSpan, RingHistory
from springmux.coordination.claims.store import ClaimStore
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, Send


class Cursor(msgspec.Struct, frozen=True):
    """How far a peer's journal was read, and under which ring its records were chosen."""

    boot: int = 0
    version: int = 0
    position: int = 0


class Synchronizer:
    """Puller's side. A peer is *pulled* for a ring version once its last page under it has come.

    :param recovered: what the journal held at start, or ``None`` on a node without a disk.
    """

    def __init__(
        self,
        own: NodeId,
        boot: int,
        settings: ClaimSettings,
        boots: PeerBoots,
        rings: RingHistory,
        store: ClaimStore,
        recovered: RecoveredClaims | None = None,
    ) -> None:
        self._own = own
        self._boot = boot
        self._settings = settings
        self._boots = boots
        self._rings = rings
        self._store = store
        self._recovered = recovered
        self._ring: ClaimRing | None = None
        self._cursors: dict[NodeId, Cursor] = {}
        self._pulled: dict[NodeId, int] = {}
        self._complete: dict[NodeId, int] = {}
        self._wanted: set[NodeId] = set()
        self._anchors: dict[NodeId, list[str]] = {}
        self._next_pull = NEVER
        self._started: float | None = None
        self._round = boot
        self._intact = False
        self._state_changed = False
        if recovered is not None and recovered.state is not None:
            self._complete = dict(recovered.state.complete)
            self._intact = True

    @property
    def deadline(self) -> float:
        """Return when outstanding pulls are due."""
        return self._next_pull if self._wanted else NEVER

    def is_intact(self, now: float) -> bool:
        """Return whether this node's memory is whole, since its start or by its journal."""
        if self._intact or self._ring is None:
            return self._intact
        others = self._ring.partners(self._own)
        pulled = sum(1 for peer in others if peer in self._pulled)
        aged = not self._ring.is_durable and self._may_count_forgetful(now)
        member = self._own in self._ring.nodes()
        self._intact = member and (pulled == len(others) or (aged and 2 * pulled >= len(others)))
        self._state_changed = self._state_changed or self._intact
        return self._intact

    def new_state(self, now: float) -> HolderState | None:
        """Return what the journal is to be told of the memory's reach, if that has changed."""
        if not self._state_changed or not self.is_intact(now):
            return None
        self._state_changed = False
        return HolderState(self._rings.known, tuple(sorted(self._complete.items())))

    def follow(self, ring: ClaimRing, now: float) -> list[Effect]:
        """Begin to pull from every other member under a new ring."""
        if self._started is None:
            self._started = now
        self._ring = ring
        self._state_changed = True
        if not self._kept_memory(ring):
            self._intact = False
            self._pulled.clear()
        if self._is_founder(ring):
            self._complete = dict.fromkeys(ring.partners(self._own), ring.version)
            self._intact = True
        return self.restart(now, forget=False)

    def restart(self, now: float, forget: bool) -> list[Effect]:
        """Pull anew. ``forget``: what was pulled before no longer counts (after a pause)."""
        if self._ring is None:
            return []
        if forget:
            self._pulled.clear()
        self._round += 1
        self._wanted = set(self._ring.partners(self._own))
        self._anchors = self._find_anchors(self._ring)
        return self.pull(now)

    def pull(self, now: float) -> list[Effect]:
        """Ask every peer whose last page is missing."""
        self._next_pull = now + self._settings.pull_resend_s
        return [self._ask(peer) for peer in sorted(self._wanted)]

    def take(self, sender: NodeId, page: ClaimPage, now: float) -> list[Effect] | None:
        """Take a page; ``None``: it is not of this round, its records are to be ignored."""
        ring = self._ring
        if ring is None or page.version != ring.version or page.round != self._round:
            return None
        if sender not in self._wanted or not self._boots.learn(sender, page.boot):
            return None
        self._cursors[sender] = Cursor(page.boot, page.version, page.upto)
        if not page.done:
            return [self._ask(sender)]
        if page.intact or self._may_count_forgetful(now):
            self._wanted.discard(sender)
            self._pulled[sender] = page.version
            self._complete[sender] = page.version
            self._state_changed = True
        return []

    def may_grant(self, span: HolderSpan, now: float) -> bool:
        """Return whether this holder knows all that the others may have granted.

        Either every other holder was pulled since the holder set stands; or this node's memory is
        complete for the set, and one other was pulled since its start. Without a disk, long after the
        own start, one silent co-holder is done without: the claims that only it and this node's
        forgotten memory had are known to their claimants, which told the third.
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

    def _kept_memory(self, ring: ClaimRing) -> bool:
        """Say whether this node was a holder right before ``ring``, or under it when it stopped."""
        known = self._rings.known
        if len(known) > 1 and self._own in known[-2].nodes():
            return True
        state = self._recovered.state if self._recovered is not None else None
        return state is not None and state.rings[-1].version == ring.version

    def _is_founder(self, ring: ClaimRing) -> bool:
        """Say whether nothing was ever granted before ``ring``, and nothing of this memory was lost."""
        recovered = self._recovered
        if recovered is None or not recovered.founded or recovered.state is not None:
            return False
        return ring.version == 1 and ring.has_replica(self._own, recovered.replica)

    def _may_count_forgetful(self, now: float) -> bool:
        """Say whether a peer counts whose memory is not whole: without disks it never will be by itself."""
        durable = self._ring is not None and self._ring.is_durable
        wait_s = self._settings.window_s if durable else self._settings.forgetful_wait_s
        return self._age_s(now) >= wait_s

    def _age_s(self, now: float) -> float:
        return 0.0 if self._started is None else now - self._started

    def _ask(self, peer: NodeId) -> Send:
        assert self._ring is not None
        version = self._ring.version
        cursor = self._cursors.get(peer, Cursor())
        if cursor.version == version:
            return Send(peer, ClaimPull(version, self._boot, cursor.boot, cursor.position, self._round))
        anchors = tuple(self._anchors.get(peer, ())) if self._complete.get(peer, 0) >= version else ()
        if len(anchors) < self._settings.anchor_keys:
            anchors = ()
        return Send(peer, ClaimPull(version, self._boot, 0, 0, self._round, anchors))

    def _find_anchors(self, ring: ClaimRing) -> dict[NodeId, list[str]]:
        """Return the newest finished keys that each peer holds too, for those of which all is known."""
        wanted = self._settings.anchor_keys
        found: dict[NodeId, list[str]] = {}
        if not any(version >= ring.version for version in self._complete.values()):
            return found
        for key in islice(self._store.newest_finished(), self._settings.page_scan):
            for holder in ring.holders(key):
                keys = found.setdefault(holder, [])
                if len(keys) < wanted:
                    keys.append(key)
        return found
