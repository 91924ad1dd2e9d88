"""Joining a fleet: which addresses get join requests, and when.

A node that knows no other node sends requests to all its seeds. A node that knows others still sends one to
an absent seed periodically: after a partition of more than ``forget_dead_s`` the two sides have forgotten
each other, and only the seed addresses still connect them.
"""

from __future__ import annotations

import random

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.effects import SendToAddress
from springmux.coordination.membership.messages import MemberJoin
from springmux.coordination.membership.remembered import MissingPeers
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.table import PRESENT_STATUSES, MemberTable
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.state_machine import NEVER, Effect


class Joiner:
    """Sends join requests to seeds and remembered peers that aren't present.

    :param own: this node's record; its address is skipped among the seeds.
    """

    def __init__(
        self,
        own: NodeRecord,
        seeds: tuple[Address, ...],
        table: MemberTable,
        missing: MissingPeers,
        rng: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._own_address = own.peer_address
        self._seeds = self._without_own(seeds)
        self._table = table
        self._missing = missing
        self._random = rng
        self._settings = settings
        self._next_join_at = 0.0
        self._next_rejoin_at = settings.seed_period_s
        self._rejoin_turn = 0

    def start(self, now: float) -> None:
        """Start the first period of :meth:`rejoin` at ``now``, the time of the first event."""
        self._next_rejoin_at += now

    def next_deadline(self, now: float) -> float:
        """Return when the next request is due."""
        if self._is_joining(now):
            return self._next_join_at
        return self._next_rejoin_at if self._seeds or len(self._missing) else NEVER

    def replace_seeds(self, own: NodeRecord, seeds: tuple[Address, ...], now: float) -> None:
        """Replace the seeds and contact the new ones soon.

        That is needed even if other nodes are known: this node may be in the smaller partition.
        """
        self._own_address = own.peer_address
        self._seeds = self._without_own(seeds)
        self._next_join_at = now
        self._next_rejoin_at = now

    def join(self, own: NodeRecord, now: float) -> list[Effect]:
        """Send requests to all absent seeds and a few missing peers.

        Requests are sent only while no other node is present, or remembered peers are awaited.
        """
        if not self._is_joining(now) or now < self._next_join_at:
            return []
        self._next_join_at = now + self._settings.join_retry_s * self._random.uniform(0.8, 1.2)
        request = MemberJoin(own)
        return [SendToAddress(address, request) for address in dict.fromkeys(self._absent_addresses())]

    def rejoin(self, own: NodeRecord, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        """Send a request to one absent seed or missing peer, in turn, if other nodes are ``present``."""
        if now < self._next_rejoin_at or not present:
            return []
        self._next_rejoin_at = now + self._settings.seed_period_s * self._random.uniform(0.8, 1.2)
        absent = self._absent_addresses()
        if not absent:
            return []
        self._rejoin_turn += 1
        return [SendToAddress(absent[self._rejoin_turn % len(absent)], MemberJoin(own))]

    def knows_all_seeds(self) -> bool:
        """Return whether every seed's node is known, present or not."""
        known_addresses = {record.peer_address for record in self._table.records()}
        return known_addresses.issuperset(self._seeds)

    def _is_joining(self, now: float) -> bool:
        alone = not self._table.others(PRESENT_STATUSES)
        return self._missing.are_awaited(now) or (alone and bool(self._seeds or len(self._missing)))

    def _absent_addresses(self) -> list[Address]:
        """Return the seeds at which no present node listens, then the addresses of a few missing peers."""
        present_addresses = {
            record.peer_address for record in self._table.records() if record.status in PRESENT_STATUSES
        }
        return [
            seed for seed in self._seeds if seed not in present_addresses
        ] + self._missing.some_addresses()

    def _without_own(self, seeds: tuple[Address, ...]) -> tuple[Address, ...]:
        return tuple(seed for seed in seeds if seed != self._own_address)
