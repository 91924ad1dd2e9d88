"""Anti-entropy: comparison of table digests with a random node, and exchange of the records that differ.

It repairs what gossip missed (Demers et al. 1987, "Epidemic algorithms for replicated database maintenance").
"""

from __future__ import annotations

import random

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.failure_detector import FailureDetector
from springmux.coordination.membership.messages import MemberDigest, MemberState
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.table import MemberTable
from springmux.coordination.state_machine import Effect, Send


class AntiEntropy:
    """Starts exchanges periodically, and handles those that other nodes start."""

    def __init__(
        self,
        table: MemberTable,
        detector: FailureDetector,
        rng: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._detector = detector
        self._random = rng
        self._settings = settings
        self._exchange_at = 0.0

    def next_deadline(self) -> float:
        """Return when the next exchange is due."""
        return self._exchange_at

    def schedule_immediately(self, now: float) -> None:
        """Make the next exchange due at ``now``."""
        self._exchange_at = now

    def start_exchange(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        """Send a digest to a random one of the ``present`` nodes, and schedule the next exchange."""
        self._exchange_at = now + self._settings.sync_period_s * self._random.uniform(0.8, 1.2)
        return [self.send_digest(self._random.choice(present))] if present else []

    def send_digest(self, node: NodeId) -> Effect:
        """Return the effect that starts an exchange with ``node``."""
        return Send(to=node, message=MemberDigest(self._table.digest()))

    def receive_digest(self, sender: NodeId, digest: MemberDigest) -> list[Effect]:
        """Send the records of all buckets that differ, and request the sender's records of them."""
        buckets = self._table.differing_buckets(digest.hashes)
        if not buckets:
            return []
        state = MemberState(self._table.records_in_buckets(buckets), buckets, reply_wanted=True)
        return [Send(to=sender, message=state)]

    def receive_state(self, sender: NodeId, state: MemberState, now: float) -> list[Effect]:
        """Apply a peer's records; reply with this node's records of the same buckets if requested."""
        effects: list[Effect] = []
        for record in state.records:
            authoritative = record.node == sender
            effects += self._detector.apply_record(record, now, authoritative, disseminate=authoritative)
        if state.reply_wanted:
            reply = MemberState(self._table.records_in_buckets(state.buckets))
            effects.append(Send(to=sender, message=reply))
        if self._table.changed:
            again_s = self._settings.sync_again_s * self._random.uniform(0.5, 1.5)
            self._exchange_at = min(self._exchange_at, now + again_s)
        return effects
