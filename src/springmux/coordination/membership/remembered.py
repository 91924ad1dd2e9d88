"""The peers that this node knew before it was restarted, as its disk kept them.

Seeds alone find a fleet only while one of them is there and knows the others. A node that restarts together
with all seeds would otherwise take the few that it meets for the complete fleet.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.state_machine import NEVER, Effect

REMEMBERED_MAX = 1024
"""More peers than a fleet is to have; a larger list would only cost disk."""


class RememberedPeer(msgspec.Struct, frozen=True, array_like=True):
    """Name and last known address of a node."""

    node: NodeId
    address: Address


class RememberPeers(Effect, frozen=True):
    """Keep ``peers`` on disk in place of those kept before. Nothing waits for it."""

    peers: tuple[RememberedPeer, ...]


class MissingPeers:
    """Remembered peers of whom nothing was heard since the start, neither from them nor from others."""

    def __init__(
        self, peers: Iterable[RememberedPeer], source: random.Random, settings: MembershipSettings
    ) -> None:
        self._missing = {peer.node: peer.address for peer in peers}
        self._random = source
        self._settings = settings
        self._started_at: float | None = None

    def __len__(self) -> int:
        return len(self._missing)

    def start(self, now: float) -> None:
        """Count the waiting time from ``now``, the start of the process."""
        self._started_at = now

    def awaited(self, now: float) -> bool:
        """Return whether some are missing and may still be heard of; a wrong list costs only this time."""
        if not self._missing:
            return False
        return self._started_at is None or now < self._started_at + self._settings.remembered_wait_s

    def known(self, nodes: Iterable[NodeId]) -> None:
        """Drop nodes that are known again, in whatever status."""
        for node in nodes:
            self._missing.pop(node, None)

    def forget_old(self, now: float) -> None:
        """Drop those that are missing for as long as a dead node is kept."""
        if self._started_at is not None and now - self._started_at >= self._settings.forget_dead_s:
            self._missing.clear()

    def peers(self) -> list[RememberedPeer]:
        """Return those still missing."""
        return [RememberedPeer(node, address) for node, address in self._missing.items()]

    def some_addresses(self) -> list[Address]:
        """Return the addresses of a random few."""
        addresses = sorted(self._missing.values())
        return self._random.sample(addresses, min(self._settings.remembered_contacts, len(addresses)))


class PeerRecorder:
    """Decides when the list on disk is out of date. A node without a disk has no recorder."""

    def __init__(self, settings: MembershipSettings, known: Iterable[RememberedPeer]) -> None:
        self._settings = settings
        self._stored = frozenset(known)
        self._due_at = NEVER

    def changed(self, now: float) -> None:
        """Plan one look at the list soon, for all changes of the fleet until then."""
        self._due_at = min(self._due_at, now + self._settings.remember_period_s)

    def next_deadline(self) -> float:
        """Return when the list is to be compared with the fleet."""
        return self._due_at

    def update(self, peers: Iterable[RememberedPeer]) -> list[Effect]:
        """Return the effect that writes ``peers``, none if the disk has them already."""
        self._due_at = NEVER
        chosen = sorted(peers, key=lambda peer: peer.node)[:REMEMBERED_MAX]
        if frozenset(chosen) == self._stored:
            return []
        self._stored = frozenset(chosen)
        return [RememberPeers(tuple(chosen))]
