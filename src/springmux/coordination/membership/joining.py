"""Joining a fleet: which addresses to ask to take this node in, and when.

A node that has met nobody asks all its seeds. One that has met others still asks an absent seed now and
then: partitions that lasted longer than ``forget_dead_s`` leave halves of a fleet that have forgotten each
other, and only these addresses lead from one to the other.
"""

from __future__ import annotations

import random

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.effects import SendToAddress
from springmux.coordination.membership.messages import MemberJoin
from springmux.coordination.membership.remembered import MissingPeers
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.table import PRESENT, MemberTable
from springmux.coordination.membership.view import NodeRecord
from springmux.coordination.state_machine import NEVER, Effect


class Joiner:
    """Sends join requests to seeds and remembered peers that aren't present.

    :param own: the node's record; its address is skipped among the seeds.
    """

    def __init__(
        self,
        own: NodeRecord,
        seeds: tuple[Address, ...],
        table: MemberTable,
        missing: MissingPeers,
        source: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._own_address = own.peer_address
        self._seeds = self._without_own(seeds)
        self._table = table
        self._missing = missing
        self._random = source
        self._settings = settings
        self._join_at = 0.0
        self._rejoin_at = settings.seed_period_s
        self._rejoin_turn = 0

    def start(self, now: float) -> None:
        """Count the first period of :meth:`rejoin` from the node's first event."""
        self._rejoin_at += now

    def next_deadline(self, now: float) -> float:
        """Return when the next request is due."""
        if self._is_joining(now):
            return self._join_at
        return self._rejoin_at if self._seeds or len(self._missing) else NEVER

    def replace_seeds(self, own: NodeRecord, seeds: tuple[Address, ...], now: float) -> None:
        """Ask the new seeds soon, even if others were met: this node may be in the smaller partition."""
        self._own_address = own.peer_address
        self._seeds = self._without_own(seeds)
        self._join_at = now
        self._rejoin_at = now

    def join(self, own: NodeRecord, now: float) -> list[Effect]:
        """Ask all absent seeds and a few missing peers, while this node is alone or awaits such peers."""
        if not self._is_joining(now) or now < self._join_at:
            return []
        self._join_at = now + self._settings.join_retry_s * self._random.uniform(0.8, 1.2)
        request = MemberJoin(own)
        return [SendToAddress(address, request) for address in dict.fromkeys(self._absent_addresses())]

    def rejoin(self, own: NodeRecord, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        """Ask one absent seed or missing peer, a different one each time, if others are ``present``."""
        if now < self._rejoin_at or not present:
            return []
        self._rejoin_at = now + self._settings.seed_period_s * self._random.uniform(0.8, 1.2)
        absent = self._absent_addresses()
        if not absent:
            return []
        self._rejoin_turn += 1
        return [SendToAddress(absent[self._rejoin_turn % len(absent)], MemberJoin(own))]

    def _is_joining(self, now: float) -> bool:
        alone = not self._table.others(PRESENT)
        return self._missing.awaited(now) or (alone and bool(self._seeds or len(self._missing)))

    def _absent_addresses(self) -> list[Address]:
        """Return the seeds that no present node has as its address, then those of a few missing peers."""
        met = {record.peer_address for record in self._table.records() if record.status in PRESENT}
        return [seed for seed in self._seeds if seed not in met] + self._missing.some_addresses()

    def _without_own(self, seeds: tuple[Address, ...]) -> tuple[Address, ...]:
        return tuple(seed for seed in seeds if seed != self._own_address)
