"""The member table: precedence between records, removal of old ones, and digests for anti-entropy."""

from __future__ import annotations

from collections.abc import Iterable
from types import MappingProxyType

import msgspec
import xxhash

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.view import MembershipView, NodeRecord, NodeStatus

BUCKETS = 32
"""Number of digest buckets. The digest has 128 bytes; with 360 nodes a bucket has about 11 records (1 KB)."""
_HASH_BYTES = 4
_RANK = {NodeStatus.ALIVE: 0, NodeStatus.SUSPECT: 1, NodeStatus.DEAD: 2, NodeStatus.LEFT: 3}
PRESENT_STATUSES = (NodeStatus.ALIVE, NodeStatus.SUSPECT)


def bucket_of(node: NodeId) -> int:
    """Return the digest bucket of ``node``."""
    return xxhash.xxh32_intdigest(node.encode()) % BUCKETS


class PresentPeers(msgspec.Struct, frozen=True):
    """The present nodes other than this one: those of its zone, and those of all other zones."""

    own_zone: tuple[NodeId, ...]
    other_zones: tuple[NodeId, ...]


class MemberTable:
    """Records of all nodes. Precedence: higher incarnation, then ALIVE < SUSPECT < DEAD < LEFT."""

    def __init__(self, own: NodeRecord, settings: MembershipSettings) -> None:
        self._settings = settings
        self._own = own.node
        self._records: dict[NodeId, NodeRecord] = {own.node: own}
        self._gone_at: dict[NodeId, float] = {}
        self._tombstones: dict[NodeId, int] = {}
        self._view: MembershipView | None = None
        self._zone = own.zone
        self._others_by_statuses: dict[tuple[NodeStatus, ...], tuple[NodeId, ...]] = {}
        self._present_peers: PresentPeers | None = None
        self._digest: bytes | None = None
        self.changed = True

    def __len__(self) -> int:
        return len(self._records)

    def get(self, node: NodeId) -> NodeRecord | None:
        """Return the record of ``node``, if known."""
        return self._records.get(node)

    def records(self) -> tuple[NodeRecord, ...]:
        """Return all records, including those of dead nodes."""
        return tuple(self._records.values())

    def others(self, statuses: tuple[NodeStatus, ...]) -> tuple[NodeId, ...]:
        """Return the names of the other nodes in one of ``statuses``; cached until a record changes."""
        found = self._others_by_statuses.get(statuses)
        if found is None:
            found = tuple(
                node
                for node, record in self._records.items()
                if record.status in statuses and node != self._own
            )
            self._others_by_statuses[statuses] = found
        return found

    def present_peers(self) -> PresentPeers:
        """Return the other present nodes; cached until a record changes."""
        if self._present_peers is None:
            present = self.others(PRESENT_STATUSES)
            self._present_peers = PresentPeers(
                own_zone=tuple(node for node in present if self._records[node].zone == self._zone),
                other_zones=tuple(node for node in present if self._records[node].zone != self._zone),
            )
        return self._present_peers

    def _invalidate(self) -> None:
        self._others_by_statuses.clear()
        self._present_peers = None
        self._digest = None
        self.changed = True

    def supersedes(self, record: NodeRecord, authoritative: bool) -> bool:
        """Return whether ``record`` takes precedence over the stored one.

        :param authoritative: whether the node itself sent the record, so that its tombstone is ignored.
        """
        known = self._records.get(record.node)
        if known is None:
            return authoritative or record.incarnation > self._tombstones.get(record.node, -1)
        if record.incarnation != known.incarnation:
            return record.incarnation > known.incarnation
        return _RANK[record.status] > _RANK[known.status]

    def put(self, record: NodeRecord, now: float) -> None:
        """Store ``record`` without a check of its precedence."""
        self._records[record.node] = record
        self._gone_at.pop(record.node, None)
        if record.status not in PRESENT_STATUSES:
            self._gone_at[record.node] = now
        self._invalidate()

    def forget_old(self, now: float) -> None:
        """Remove nodes that have been gone for long.

        A tombstone keeps the incarnation of each, so that old updates don't restore it.
        """
        for node, gone_at in list(self._gone_at.items()):
            left = self._records[node].status is NodeStatus.LEFT
            keep_s = self._settings.forget_left_s if left else self._settings.forget_dead_s
            if now - gone_at < keep_s or node == self._own:
                continue
            self._tombstones.pop(node, None)
            self._tombstones[node] = self._records.pop(node).incarnation
            del self._gone_at[node]
            self._invalidate()
        while len(self._tombstones) > self._settings.tombstones_max:
            del self._tombstones[next(iter(self._tombstones))]

    def tombstone(self, node: NodeId) -> int | None:
        """Return the last known incarnation of a removed node, or ``None`` without a tombstone."""
        return self._tombstones.get(node)

    def digest(self) -> bytes:
        """Return the hashes of the present nodes by bucket.

        Gone nodes are left out, so that removing them at different times doesn't make digests differ.
        """
        if self._digest is not None:
            return self._digest
        sums = [0] * BUCKETS
        for record in self._records.values():
            if record.status in PRESENT_STATUSES:
                text = f"{record.node}\x00{record.incarnation}"
                sums[bucket_of(record.node)] ^= xxhash.xxh32_intdigest(text.encode())
        self._digest = b"".join(value.to_bytes(_HASH_BYTES, "big") for value in sums)
        return self._digest

    def differing_buckets(self, theirs: bytes) -> tuple[int, ...]:
        """Return the buckets in which a peer's digest ``theirs`` differs from the own digest."""
        own = self.digest()
        if own == theirs or len(own) != len(theirs):
            return () if own == theirs else tuple(range(BUCKETS))
        hashes = (slice(i * _HASH_BYTES, (i + 1) * _HASH_BYTES) for i in range(BUCKETS))
        return tuple(bucket for bucket, span in enumerate(hashes) if own[span] != theirs[span])

    def records_in_buckets(self, buckets: Iterable[int]) -> tuple[NodeRecord, ...]:
        """Return the records of ``buckets``."""
        wanted = set(buckets)
        return tuple(record for record in self._records.values() if bucket_of(record.node) in wanted)

    def view(self) -> MembershipView:
        """Return the current view; the same object until a record changes."""
        if self._view is None or self.changed:
            self._view = MembershipView(own=self._own, nodes=MappingProxyType(dict(self._records)))
            self.changed = False
        return self._view
