"""The claim ring: the ordered, versioned set of nodes among which the holders of a key are chosen.

Rings are totally ordered by ``version``, and each differs from its predecessor by one member, so that
consecutive holder sets of a key share at least two members. The order must come from a single authority (the
replicated control log), since a membership view without a leader can't order two concurrent changes. The
control leader proposes :func:`next_ring`; every node passes the committed ring to its
:class:`~springmux.coordination.claims.claim_coordinator.ClaimCoordinator`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from springmux.coordination.identifiers import NodeId, ReplicaId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.rendezvous import spread_holders

HOLDERS_PER_KEY = 3
"""Holders of each key. Two of three decide, so one may be lost (design note docs/notes/claims.md)."""

RING_MEMBERS_MAX = 24
"""Maximum number of members. For a new ring every member pulls keys from every other, so the limit bounds the
number of pulls to 552 in any fleet. At 900 claims/s, thirty times the required rate, a member then holds 113
keys/s."""

RING_HISTORY_LENGTH = 8
"""Rings kept to determine since which version a key's holders are unchanged; changes are minutes apart."""


class RingMember(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A node that may hold claims, with its zone as failure domain.

    ``replica``: identity of the node's data folder when it joined, ``None`` if it had none. A disk that
    replaces it later has another identity.
    """

    node: NodeId
    zone: ZoneName
    replica: ReplicaId | None = None


class ClaimRing(msgspec.Struct, frozen=True, array_like=True):
    """One version of the ring; ``members`` are sorted by name."""

    version: int
    members: tuple[RingMember, ...]

    def holders(self, key: str) -> tuple[NodeId, ...]:
        """Return the holders of ``key`` in this ring, in distinct zones if there are enough zones."""
        zones = {member.node: member.zone for member in self.members}
        return tuple(spread_holders(key, zones, HOLDERS_PER_KEY, lambda node: zones[node]))

    def nodes(self) -> frozenset[NodeId]:
        """Return the names of the members."""
        return frozenset(member.node for member in self.members)

    def co_holders(self, node: NodeId) -> frozenset[NodeId]:
        """Return the members that may hold a key together with ``node``; none if it isn't a member.

        If there are enough zones, two holders of a key never share one.
        """
        zones = {member.node: member.zone for member in self.members}
        if node not in zones:
            return frozenset()
        enough = len(set(zones.values())) >= HOLDERS_PER_KEY
        others = (other for other, zone in zones.items() if not (enough and zone == zones[node]))
        return frozenset(others) - {node}

    @property
    def is_durable(self) -> bool:
        """Whether every member has a disk, so that claims survive restarts unless a disk is lost."""
        return all(member.replica is not None for member in self.members)

    def has_replica(self, node: NodeId, replica: ReplicaId) -> bool:
        """Return whether ``node`` joined with the data folder ``replica``."""
        return any(member.node == node and member.replica == replica for member in self.members)


class HolderSpan(msgspec.Struct, frozen=True):
    """The holders of a key, and the range of consecutive ring versions in which they are the same."""

    holders: tuple[NodeId, ...]
    since: int
    until: int

    def agrees_with(self, since: int, until: int) -> bool:
        """Return whether another node's range overlaps, so that both refer to the same holder set."""
        return since <= self.until and self.since <= until


class RingHistory:
    """The newest rings known to a node, without a gap in their versions.

    :param remembered: rings of an earlier incarnation; none is current until a ring at least as new arrives.
    """

    def __init__(self, remembered: Iterable[ClaimRing] = ()) -> None:
        self._rings: list[ClaimRing] = list(remembered)
        self._in_force = False

    @property
    def current(self) -> ClaimRing | None:
        """Return the newest ring, or ``None`` before the first one of this incarnation arrives."""
        return self._rings[-1] if self._in_force else None

    @property
    def known(self) -> tuple[ClaimRing, ...]:
        """Return all rings, oldest first, including those of an earlier incarnation."""
        return tuple(self._rings)

    def advance(self, ring: ClaimRing) -> bool:
        """Add a ring, and drop the older ones if versions between are missing.

        :returns: ``False`` if the ring isn't newer than the current one.
        """
        newest = self._rings[-1] if self._rings else None
        if newest is not None and (ring.version < newest.version or self._is_current_version(ring)):
            return False
        self._in_force = True
        if newest is not None and ring.version == newest.version:
            self._rings.pop()
        elif newest is not None and ring.version != newest.version + 1:
            self._rings.clear()
        self._rings.append(ring)
        del self._rings[:-RING_HISTORY_LENGTH]
        return True

    def _is_current_version(self, ring: ClaimRing) -> bool:
        return self.current is not None and self.current.version == ring.version

    def span(self, key: str) -> HolderSpan | None:
        """Return the current holders of ``key``, and since which version they are unchanged."""
        current = self.current
        if current is None:
            return None
        holders = current.holders(key)
        since = current.version
        for ring in reversed(self._rings[:-1]):
            if set(ring.holders(key)) != set(holders):
                break
            since = ring.version
        return HolderSpan(holders, since, current.version)


def first_ring(view: MembershipView) -> ClaimRing:
    """Return the first ring of a fleet, of nodes with disks if there are enough of them.

    It has at most :data:`RING_MEMBERS_MAX` members, chosen from every zone in turn.
    """
    records = view.controllers()
    if len(records) < HOLDERS_PER_KEY:
        records = view.not_leaving()
    chosen: list[RingMember] = []
    while records and len(chosen) < RING_MEMBERS_MAX:
        record = _from_smallest_zone(records, chosen)
        records.remove(record)
        chosen.append(_member(record))
    return ClaimRing(1, tuple(sorted(chosen, key=lambda member: member.node)))


def next_ring(
    ring: ClaimRing,
    view: MembershipView,
    gone: frozenset[NodeId],
    left: frozenset[NodeId] = frozenset(),
) -> ClaimRing | None:
    """Return the ring that follows ``ring``, with one member changed, or ``None`` if no change is needed.

    A lost member is removed before another is added, so that no holder set consists of two lost members and
    a new one. No other change is made while any member is absent.

    :param gone: members that have been absent for long (10 minutes by default), so that neither a restart nor
        a partition changes a holder set.
    :param left: members that left cleanly and didn't return soon; they are removed if there is a replacement.
    """
    disks_only = _requires_disks(ring, view)
    candidates = view.controllers() if disks_only else view.not_leaving()
    spares = [record for record in candidates if record.node not in ring.nodes()]
    is_above_minimum = len(ring.members) > HOLDERS_PER_KEY
    lost = [
        member for member in ring.members if _may_remove(member, gone, left, bool(spares), is_above_minimum)
    ]
    if lost:
        return _without(ring, lost[0])
    if ring.nodes() - {record.node for record in view.present()}:
        return None
    if spares and len(ring.members) < RING_MEMBERS_MAX:
        joined = _member(_from_smallest_zone(spares, ring.members))
        members = sorted((*ring.members, joined), key=lambda member: member.node)
        return ClaimRing(ring.version + 1, tuple(members))
    diskless = [member for member in ring.members if disks_only and member.replica is None]
    return _without(ring, diskless[0]) if diskless and is_above_minimum else None


def _requires_disks(ring: ClaimRing, view: MembershipView) -> bool:
    """Return whether only nodes with disks may hold claims: there are enough, even if some are down."""
    present = {record.node for record in view.controllers()}
    members = {member.node for member in ring.members if member.replica is not None}
    return len(present | members) >= HOLDERS_PER_KEY


def _may_remove(
    member: RingMember,
    gone: frozenset[NodeId],
    left: frozenset[NodeId],
    has_spare: bool,
    is_above_minimum: bool,
) -> bool:
    if member.node in gone:
        return has_spare or is_above_minimum
    return member.node in left and has_spare


def _without(ring: ClaimRing, member: RingMember) -> ClaimRing:
    return ClaimRing(ring.version + 1, tuple(other for other in ring.members if other != member))


def _member(record: NodeRecord) -> RingMember:
    return RingMember(record.node, record.zone, record.replica)


def _from_smallest_zone(records: Sequence[NodeRecord], members: Sequence[RingMember]) -> NodeRecord:
    """Return the record whose zone has the fewest ``members``; ties are broken by name."""
    members_by_zone = Counter(member.zone for member in members)
    return min(records, key=lambda record: (members_by_zone[record.zone], record.node))
