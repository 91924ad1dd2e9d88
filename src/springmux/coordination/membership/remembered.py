"""The peers that this node knew before a restart, stored on its disk.

Seeds lead to the fleet only while one of them is present and knows the other nodes. Without stored peers, a
node that restarts together with all seeds would mistake the few nodes that it finds for the complete fleet.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.state_machine import NEVER, Effect

REMEMBERED_MAX = 1024
"""Maximum length of the stored list; above the supported fleet size, so more entries would only cost disk
space."""


class RememberedPeer(msgspec.Struct, frozen=True, array_like=True):
    """Name and last known address of a node."""

    node: NodeId
    address: Address


class RememberPeers(Effect, frozen=True):
    """Write ``peers`` to disk, replacing the stored list. Nothing waits for the write."""

    peers: tuple[RememberedPeer, ...]


class MissingPeers:
    """Remembered peers for which no record has arrived since the start, from them or from other nodes."""

    def __init__(
        self, peers: Iterable[RememberedPeer], rng: random.Random, settings: MembershipSettings
    ) -> None:
        self._missing = {peer.node: peer.address for peer in peers}
        self._random = rng
        self._settings = settings
        self._started_at: float | None = None

    def __len__(self) -> int:
        return len(self._missing)

    def start(self, now: float) -> None:
        """Start the waiting time at ``now``, the time of the first event."""
        self._started_at = now

    def are_awaited(self, now: float) -> bool:
        """Return whether peers are missing and the waiting time has not expired.

        An outdated list delays the node by this time at most.
        """
        if not self._missing:
            return False
        return self._started_at is None or now < self._started_at + self._settings.remembered_wait_s

    def discard_known(self, nodes: Iterable[NodeId]) -> None:
        """Remove nodes of which a record is known again, with any status."""
        for node in nodes:
            self._missing.pop(node, None)

    def forget_old(self, now: float) -> None:
        """Remove all peers that have been missing for as long as dead nodes are kept."""
        if self._started_at is not None and now - self._started_at >= self._settings.forget_dead_s:
            self._missing.clear()

    def peers(self) -> list[RememberedPeer]:
        """Return the peers that are still missing."""
        return [RememberedPeer(node, address) for node, address in self._missing.items()]

    def some_addresses(self) -> list[Address]:
        """Return the addresses of a few random missing peers."""
        addresses = sorted(self._missing.values())
        return self._random.sample(addresses, min(self._settings.remembered_contacts, len(addresses)))


class PeerRecorder:
    """Decides when the list on disk must be rewritten. A node without a disk has no recorder."""

    def __init__(self, settings: MembershipSettings, known: Iterable[RememberedPeer]) -> None:
        self._settings = settings
        self._stored = frozenset(known)
        self._due_at = NEVER

    def schedule_update(self, now: float) -> None:
        """Schedule an update of the list, which covers all changes of the fleet until then."""
        self._due_at = min(self._due_at, now + self._settings.remember_period_s)

    def next_deadline(self) -> float:
        """Return when the next update of the list is due."""
        return self._due_at

    def update(self, peers: Iterable[RememberedPeer]) -> list[Effect]:
        """Return the effect that writes ``peers``; no effect if the disk has them already."""
        self._due_at = NEVER
        chosen = sorted(peers, key=lambda peer: peer.node)[:REMEMBERED_MAX]
        if frozenset(chosen) == self._stored:
            return []
        self._stored = frozenset(chosen)
        return [RememberPeers(tuple(chosen))]
