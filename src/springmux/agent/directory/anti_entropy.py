"""Repair of what relayed changes missed: exchanges of digests between pairs of nodes."""

from __future__ import annotations

import random

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.messages import (
    DirectoryBuckets,
    DirectoryDigest,
    DirectoryEntries,
    DirectoryInSync,
    EngineIncarnation,
    LostEnginesQuery,
)
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.table import DirectoryTable
from springmux.agent.directory.unresponsive_peers import UnresponsivePeers
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, PeerMessage, Send


class AntiEntropy:
    """Digest exchange with a random node (Demers et al. 1987).

    The nodes compare root hashes, then bucket hashes, then exchange the entries of differing buckets.
    """

    def __init__(
        self,
        table: DirectoryTable,
        unresponsive: UnresponsivePeers,
        settings: DirectorySettings,
        generator: random.Random,
    ) -> None:
        self._table = table
        self._unresponsive = unresponsive
        self._settings = settings
        self._random = generator
        self._settling_until = -NEVER
        self.due_at = 0.0

    def settle(self, now: float) -> None:
        """Send digests more often for a while, since contact was just established."""
        self._settling_until = now + self._settings.settling_s
        self.due_at = min(self.due_at, now + self._settings.settling_digest_period_s)

    def begin(self, nodes: list[NodeId], now: float) -> list[Effect]:
        """Send this node's root hash to a random node if the exchange is due.

        :param nodes: the other present nodes; those that don't answer are avoided.
        """
        if now < self.due_at:
            return []
        settling = now < self._settling_until
        period_s = self._settings.settling_digest_period_s if settling else self._settings.digest_period_s
        self.due_at = now + period_s * self._random.uniform(0.9, 1.1)
        unresponsive = self._unresponsive.among(nodes, now)
        candidates = [node for node in nodes if node not in unresponsive] or nodes
        return self.digests([self._random.choice(candidates)]) if candidates else []

    def digests(self, receivers: list[NodeId], reply_wanted: bool = False) -> list[Effect]:
        """Return the root hash for each receiver, after a query about lost engines if there are any."""
        if not receivers:
            return []
        messages: list[PeerMessage] = [DirectoryDigest(self._table.root_hash(), reply_wanted)]
        lost = self._table.lost_entries()
        if lost:
            sample = self._random.sample(lost, min(self._settings.lost_engines_per_query, len(lost)))
            named = (EngineIncarnation(entry.record.engine, entry.record.incarnation) for entry in sample)
            messages.insert(0, LostEnginesQuery(tuple(named)))
        return [Send(node, message) for node in receivers for message in messages]

    def handle_lost_query(self, sender: NodeId, message: LostEnginesQuery) -> list[Effect]:
        """Reply with the entries of those engines that stopped."""
        found = [entry for named in message.incarnations if (entry := self._stopped(named)) is not None]
        return [Send(sender, DirectoryEntries(tuple(found)))] if found else []

    def handle_digest(self, sender: NodeId, message: DirectoryDigest, complete: bool) -> list[Effect]:
        """Reply with the bucket hashes if the digest differs from this node's root hash.

        :param complete: whether this node's directory is known to be complete. Only then does it confirm an
            equal digest.
        """
        if message.root_hash == self._table.root_hash():
            return [Send(sender, DirectoryInSync())] if message.reply_wanted and complete else []
        return [Send(sender, DirectoryBuckets(self._table.bucket_hashes()))]

    def _stopped(self, named: EngineIncarnation) -> DirectoryEntry | None:
        """Return the entry of an engine if this incarnation, or a later one, drains or has left."""
        entry = self._table.get(named.engine)
        if entry is None or entry.record.incarnation < named.incarnation:
            return None
        replaced = entry.record.incarnation > named.incarnation
        return entry if replaced or entry.draining or entry.left else None

    def handle_buckets(self, sender: NodeId, message: DirectoryBuckets, now: float) -> list[Effect]:
        """Send this node's entries of the differing buckets, and request the sender's newer ones."""
        own = self._table.bucket_hashes()
        if len(message.bucket_hashes) != len(own):
            return []
        buckets = self._table.differing_buckets(message.bucket_hashes)[: self._settings.buckets_per_exchange]
        if not buckets:
            return []
        self.due_at = min(self.due_at, now + self._settings.repair_period_s)
        entries = tuple(self._table.entries_in_buckets(buckets))
        return [Send(sender, DirectoryEntries(entries, tuple(buckets), reply_wanted=True))]

    def entries_missing_at_sender(self, message: DirectoryEntries) -> list[DirectoryEntry]:
        """Return this node's entries of the message's buckets that are missing or different at its sender."""
        theirs = {entry.record.engine: entry for entry in message.entries}
        own = self._table.entries_in_buckets(message.buckets)
        return [entry for entry in own if theirs.get(entry.record.engine) != entry]
