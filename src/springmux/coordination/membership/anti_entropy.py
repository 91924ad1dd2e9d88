"""Anti-entropy: compare digests of the member table with a random node, then exchange what differs.

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
    """Starts exchanges from time to time, and takes part in those of others."""

    def __init__(
        self,
        table: MemberTable,
        detector: FailureDetector,
        source: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._detector = detector
        self._random = source
        self._settings = settings
        self._exchange_at = 0.0

    def next_deadline(self) -> float:
        """Return when the next exchange is due."""
        return self._exchange_at

    def hasten(self, now: float) -> None:
        """Let the next exchange be due at once."""
        self._exchange_at = now

    def start_exchange(self, present: tuple[NodeId, ...], now: float) -> list[Effect]:
        """Send a digest to one of the ``present`` nodes, and plan the next exchange."""
        self._exchange_at = now + self._settings.sync_period_s * self._random.uniform(0.8, 1.2)
        return [self.send_digest(self._random.choice(present))] if present else []

    def send_digest(self, node: NodeId) -> Effect:
        """Return the effect that starts an exchange with ``node``."""
        return Send(to=node, message=MemberDigest(self._table.digest()))

    def receive_digest(self, sender: NodeId, digest: MemberDigest) -> list[Effect]:
        """Send the records of all buckets that differ, and request the sender's."""
        buckets = self._table.differing(digest.hashes)
        if not buckets:
            return []
        state = MemberState(self._table.in_buckets(buckets), buckets, reply_wanted=True)
        return [Send(to=sender, message=state)]

    def receive_state(self, sender: NodeId, state: MemberState, now: float) -> list[Effect]:
        """Apply a peer's records; reply with the own ones if the peer wants them."""
        effects: list[Effect] = []
        for record in state.records:
            authoritative = record.node == sender
            effects += self._detector.apply_record(record, now, authoritative, disseminate=authoritative)
        if state.reply_wanted:
            reply = MemberState(self._table.in_buckets(state.buckets))
            effects.append(Send(to=sender, message=reply))
        if self._table.changed:
            again_s = self._settings.sync_again_s * self._random.uniform(0.5, 1.5)
            self._exchange_at = min(self._exchange_at, now + again_s)
        return effects
