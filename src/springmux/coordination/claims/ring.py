"""The claim ring: the ordered, versioned set of nodes among which the holders of a key are chosen.

Rings are totally ordered by ``version`` and each differs from the one before by one member, so any
two consecutive holder sets of a key share at least two members. The order must come from one
authority (the replicated control log): a leaderless view can't order two changes that meet.
:func:`next_ring` is what the control leader proposes; every node hands the committed ring to its
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
"""Two of three holders decide, so one may be lost (design note docs/notes/claims.md)."""

GRANTS_NEEDED = 2
"""A majority of the holders: any two majorities share a holder."""

RING_MEMBERS_MAX = 24
"""A new ring is pulled by every member from every other: 552 pulls, however large the fleet. At 900
claims/s (thirty times today's rate) a member then holds 113 keys/s."""

KEPT_RINGS = 8
"""Rings remembered to tell how long a key's holders have stood; changes are minutes apart."""


class RingMember(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A node that may hold claims, with its failure domain.

    ``replica``: identity of its data folder when it joined, ``None`` if it had none. A disk swapped
    later shows by another identity.
    """

    node: NodeId
    zone: ZoneName
    replica: ReplicaId | None = None


class ClaimRing(msgspec.Struct, frozen=True, array_like=True):
    """One version of the ring; ``members`` are sorted by name."""

    version: int
    members: tuple[RingMember, ...]

    def holders(self, key: str) -> tuple[NodeId, ...]:
        """Return the holders of ``key`` in this ring, in distinct zones as far as zones suffice."""
        zones = {member.node: member.zone for member in self.members}
        return tuple(spread_holders(key, zones, HOLDERS_PER_KEY, lambda node: zones[node]))

    def nodes(self) -> frozenset[NodeId]:
        """Return the names of the members."""
        return frozenset(member.node for member in self.members)

    def partners(self, node: NodeId) -> frozenset[NodeId]:
        """Return the members that may hold a key together with ``node``, none if it's no member.

        Where there are zones enough, two holders of a key never share one.
        """
        zones = {member.node: member.zone for member in self.members}
        if node not in zones:
            return frozenset()
        enough = len(set(zones.values())) >= HOLDERS_PER_KEY
        others = (other for other, zone in zones.items() if not (enough and zone == zones[node]))
        return frozenset(others) - {node}

    @property
    def is_durable(self) -> bool:
        """Whether every member has a disk, so that no claim is forgotten unless a disk is lost."""
        return all(member.replica is not None for member in self.members)

    def has_replica(self, node: NodeId, replica: ReplicaId) -> bool:
        """Return whether ``node`` joined with this very data folder."""
        return any(member.node == node and member.replica == replica for member in self.members)


class HolderSpan(msgspec.Struct, frozen=True):
    """The holders of a key and the range of consecutive ring versions in which they were the same."""

    holders: tuple[NodeId, ...]
    since: int
    until: int

    def agrees_with(self, since: int, until: int) -> bool:
        """Return whether a range of another node overlaps, so that both mean the same holder set."""
        return since <= self.until and self.since <= until


class RingHistory:
    """The newest rings that a node has seen, without a gap in their versions.

    :param remembered: rings of an earlier run. None is current before one at least as new is taken.
    """

    def __init__(self, remembered: Iterable[ClaimRing] = ()) -> None:
        self._rings: list[ClaimRing] = list(remembered)
        self._in_force = False

    @property
    def current(self) -> ClaimRing | None:
        """Return the newest ring, or ``None`` before the first."""
        return self._rings[-1] if self._in_force else None

    @property
    def known(self) -> tuple[ClaimRing, ...]:
        """Return the rings without a gap, oldest first, those of an earlier run among them."""
        return tuple(self._rings)

    def advance(self, ring: ClaimRing) -> bool:
        """Take a ring; ``False`` for one that is not newer. A gap forgets the older rings."""
        newest = self._rings[-1] if self._rings else None
        if newest is not None and (ring.version < newest.version or self._is_current(ring)):
            return False
        self._in_force = True
        if newest is not None and ring.version == newest.version:
            self._rings.pop()
        elif newest is not None and ring.version != newest.version + 1:
            self._rings.clear()
        self._rings.append(ring)
        del self._rings[:-KEPT_RINGS]
        return True

    def _is_current(self, ring: ClaimRing) -> bool:
        return self.current is not None and self.current.version == ring.version

    def span(self, key: str) -> HolderSpan | None:
        """Return the present holders of ``key`` and since when they stand."""
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
    """Return the ring that the first leader of a fleet proposes: nodes with disks if there are enough.

    At most :data:`RING_MEMBERS_MAX`, from every zone in turn.
    """
    records = view.controllers()
    if len(records) < HOLDERS_PER_KEY:
        records = view.staying()
    chosen: list[RingMember] = []
    while records and len(chosen) < RING_MEMBERS_MAX:
        record = _from_emptiest_zone(records, chosen)
        records.remove(record)
        chosen.append(_member(record))
    return ClaimRing(1, tuple(sorted(chosen, key=lambda member: member.node)))


def next_ring(
    ring: ClaimRing,
    view: MembershipView,
    gone: frozenset[NodeId],
    left: frozenset[NodeId] = frozenset(),
) -> ClaimRing | None:
    """Return the ring after ``ring``, one member different, or ``None`` where nothing is to change.

    A lost member goes before another comes, so that no holder set of two lost ones and a newcomer
    arises; nothing else changes while any member is absent.

    :param gone: members that the caller has seen absent for long (10 minutes by default), so that a
        restart or a cut never moves a holder set.
    :param left: members that left in order and didn't come back soon; they go if there is another.
    """
    disks_only = _is_for_disks(ring, view)
    candidates = view.controllers() if disks_only else view.staying()
    spares = [record for record in candidates if record.node not in ring.nodes()]
    has_more = len(ring.members) > HOLDERS_PER_KEY
    lost = [member for member in ring.members if _may_go(member, gone, left, bool(spares), has_more)]
    if lost:
        return _without(ring, lost[0])
    if ring.nodes() - {record.node for record in view.present()}:
        return None
    if spares and len(ring.members) < RING_MEMBERS_MAX:
        joined = _member(_from_emptiest_zone(spares, ring.members))
        members = sorted((*ring.members, joined), key=lambda member: member.node)
        return ClaimRing(ring.version + 1, tuple(members))
    diskless = [member for member in ring.members if disks_only and member.replica is None]
    return _without(ring, diskless[0]) if diskless and has_more else None


def _is_for_disks(ring: ClaimRing, view: MembershipView) -> bool:
    """Say whether only nodes with disks may hold claims; stays so while some of them are down."""
    present = {record.node for record in view.controllers()}
    members = {member.node for member in ring.members if member.replica is not None}
    return len(present | members) >= HOLDERS_PER_KEY


def _may_go(
    member: RingMember, gone: frozenset[NodeId], left: frozenset[NodeId], has_spare: bool, has_more: bool
) -> bool:
    if member.node in gone:
        return has_spare or has_more
    return member.node in left and has_spare


def _without(ring: ClaimRing, member: RingMember) -> ClaimRing:
    return ClaimRing(ring.version + 1, tuple(each for each in ring.members if each != member))


def _member(record: NodeRecord) -> RingMember:
    return RingMember(record.node, record.zone, record.replica)


def _from_emptiest_zone(records: Sequence[NodeRecord], members: Sequence[RingMember]) -> NodeRecord:
    """Return the record whose zone has the fewest members, the first by name of these."""
    taken = Counter(member.zone for member in members)
    return min(records, key=lambda record: (taken[record.zone], record.node))
