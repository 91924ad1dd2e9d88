"""Dissemination of changed directory entries over relay trees whose hops are acknowledged.

A relay that doesn't acknowledge is replaced: its parent splits the relay's range among the other nodes in it.
A range shrinks by the fan-out each time, so that after a few replacements the parent tells each remaining
node itself, however many of the relays are gone. Nodes that missed a change all the same are repaired by
anti-entropy.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.messages import DirectoryRelay, DirectoryRelayAck
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.unresponsive_peers import UnresponsivePeers
from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.relay import RelayTarget, range_targets, zone_targets
from springmux.coordination.state_machine import NEVER, Effect, Send

_HopKey = tuple[NodeId, int, int, int]
"""Receiver, salt and range of a relayed message, which its acknowledgement repeats."""


@dataclass(frozen=True)
class _PendingHop:
    """One message that its receiver hasn't acknowledged yet."""

    target: RelayTarget
    message: DirectoryRelay
    attempt: int
    expires_at: float


class ChangeRelay:
    """Sends changes down relay trees, forwards those of others, and replaces relays that don't answer."""

    def __init__(
        self,
        own: NodeId,
        owners: OwnerNodes,
        unresponsive: UnresponsivePeers,
        generator: random.Random,
        settings: DirectorySettings,
    ) -> None:
        self._own = own
        self._owners = owners
        self._unresponsive = unresponsive
        self._random = generator
        self._settings = settings
        self._pending: dict[_HopKey, _PendingHop] = {}

    @property
    def due_at(self) -> float:
        """Time at which the next unacknowledged hop expires."""
        # Hops expire in the order in which they were sent.
        first = next(iter(self._pending.values()), None)
        return NEVER if first is None else first.expires_at

    def send(self, entries: list[DirectoryEntry], now: float) -> list[Effect]:
        """Return the first messages that relay changed entries to all nodes."""
        effects: list[Effect] = []
        for start in range(0, len(entries), self._settings.entries_per_message):
            chunk = tuple(entries[start : start + self._settings.entries_per_message])
            for _ in range(self._settings.relay_trees):
                message = DirectoryRelay(chunk, salt=self._random.randrange(1 << 32))
                effects += self._send_to(self._root_targets(message.salt, now), message, 1, now)
        return effects

    def forward(self, sender: NodeId, message: DirectoryRelay, now: float) -> list[Effect]:
        """Acknowledge a received relay, and forward it within the node's own zone."""
        effects: list[Effect] = []
        if message.high > message.low:
            effects.append(Send(sender, DirectoryRelayAck(message.salt, message.low, message.high)))
        targets = self._range_targets(self._owners.own_zone, message.salt, message.low, message.high, now)
        return effects + self._send_to(targets, message, 1, now)

    def acknowledge(self, sender: NodeId, ack: DirectoryRelayAck) -> None:
        """Record that a hop arrived."""
        self._pending.pop((sender, ack.salt, ack.low, ack.high), None)

    def replace_expired(self, now: float) -> list[Effect]:
        """Return the messages that replace relays which didn't acknowledge in time."""
        expired = [key for key, hop in self._pending.items() if hop.expires_at <= now]
        hops = [self._pending.pop(key) for key in expired]
        for hop in hops:
            self._unresponsive.add(hop.target.node, now)
        return [effect for hop in hops for effect in self._replace(hop, now)]

    def _replace(self, hop: _PendingHop, now: float) -> list[Effect]:
        zone = self._owners.zones.get(hop.target.node)
        if zone is None or hop.attempt >= self._settings.relay_attempts:
            return []
        message, target = hop.message, hop.target
        targets = self._range_targets(zone, message.salt, target.low, target.high, now)
        others = [replacement for replacement in targets if replacement.node != target.node]
        return self._send_to(others, message, hop.attempt + 1, now)

    def _root_targets(self, salt: int, now: float) -> list[RelayTarget]:
        zones = self._owners.zones
        silent = self._unresponsive.among(zones, now)
        return zone_targets(zones, self._own, salt, self._settings.relay_fanout, silent)

    def _range_targets(self, zone: ZoneName, salt: int, low: int, high: int, now: float) -> list[RelayTarget]:
        members = [node for node, its_zone in self._owners.zones.items() if its_zone == zone]
        silent = self._unresponsive.among(members, now)
        return range_targets(members, self._own, salt, low, high, self._settings.relay_fanout, silent)

    def _send_to(
        self, targets: list[RelayTarget], message: DirectoryRelay, attempt: int, now: float
    ) -> list[Effect]:
        return [self._send_hop(target, message, attempt, now) for target in targets]

    def _send_hop(self, target: RelayTarget, message: DirectoryRelay, attempt: int, now: float) -> Effect:
        if target.high > target.low:
            key = (target.node, message.salt, target.low, target.high)
            expires_at = now + self._settings.relay_ack_timeout_s
            self._pending.pop(key, None)
            self._pending[key] = _PendingHop(target, message, attempt, expires_at)
        hop = DirectoryRelay(message.entries, message.salt, target.low, target.high)
        return Send(target.node, hop)
