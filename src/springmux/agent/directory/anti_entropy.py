"""Dissemination of entries: relay trees for new changes, anti-entropy for what the trees missed."""

from __future__ import annotations

import random

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.messages import (
    DirectoryBuckets,
    DirectoryDigest,
    DirectoryEntries,
    DirectoryInSync,
    DirectoryRelay,
)
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.table import DirectoryTable
from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.relay import RelayTarget, range_targets, zone_targets
from springmux.coordination.state_machine import Effect, Send


def relay_entries(
    entries: list[DirectoryEntry],
    owners: OwnerNodes,
    own: NodeId,
    source: random.Random,
    settings: DirectorySettings,
) -> list[Effect]:
    """Return the first messages that relay changed entries to all nodes."""
    effects: list[Effect] = []
    for start in range(0, len(entries), settings.entries_per_message):
        chunk = tuple(entries[start : start + settings.entries_per_message])
        for _ in range(settings.relay_trees):
            salt = source.randrange(1 << 32)
            targets = zone_targets(owners.zones, own, salt, settings.relay_fanout)
            effects += _relay_to(targets, chunk, salt)
    return effects


def relay_on(
    message: DirectoryRelay, owners: OwnerNodes, own: NodeId, settings: DirectorySettings
) -> list[Effect]:
    """Return the messages to the own subtree of a relay."""
    zone_peers = [node for node, zone in owners.zones.items() if zone == owners.own_zone]
    targets = range_targets(zone_peers, own, message.salt, message.low, message.high, settings.relay_fanout)
    return _relay_to(targets, message.entries, message.salt)


def _relay_to(targets: list[RelayTarget], entries: tuple[DirectoryEntry, ...], salt: int) -> list[Effect]:
    return [Send(t.node, DirectoryRelay(entries, salt, t.low, t.high)) for t in targets]


class AntiEntropy:
    """Digest exchange with a random node (Demers et al. 1987): root hash, buckets, then entries."""

    def __init__(self, table: DirectoryTable, settings: DirectorySettings, source: random.Random) -> None:
        self._table = table
        self._settings = settings
        self._random = source
        self.due_at = 0.0

    def begin(self, nodes: list[NodeId], now: float) -> list[Effect]:
        """Send the own root hash to a random node if the exchange is due."""
        if now < self.due_at:
            return []
        self.due_at = now + self._settings.digest_period_s * self._random.uniform(0.9, 1.1)
        if not nodes:
            return []
        return [Send(self._random.choice(nodes), DirectoryDigest(self._table.root()))]

    def handle_digest(self, sender: NodeId, message: DirectoryDigest, complete: bool) -> list[Effect]:
        """Reply to a digest that differs with the bucket hashes.

        :param complete: whether the own directory is known to be complete.
        """
        if message.root == self._table.root():
            return [Send(sender, DirectoryInSync())] if message.answer_wanted and complete else []
        return [Send(sender, DirectoryBuckets(self._table.hashes()))]

    def handle_buckets(self, sender: NodeId, message: DirectoryBuckets, now: float) -> list[Effect]:
        """Send the own entries of the buckets that differ, and request newer ones."""
        own = self._table.hashes()
        if len(message.hashes) != len(own):
            return []
        buckets = self._table.differing(message.hashes)[: self._settings.buckets_per_exchange]
        if not buckets:
            return []
        self.due_at = min(self.due_at, now + self._settings.repair_period_s)
        entries = tuple(self._table.in_buckets(buckets))
        return [Send(sender, DirectoryEntries(entries, tuple(buckets), answer_wanted=True))]

    def newer_than(self, message: DirectoryEntries) -> list[DirectoryEntry]:
        """Return the own entries of the message's buckets that its sender lacks."""
        theirs = {entry.record.engine: entry for entry in message.entries}
        own = self._table.in_buckets(message.buckets)
        return [entry for entry in own if theirs.get(entry.record.engine) != entry]
