"""Direct evidence for small fleets: heartbeats that prove a round trip.

The time of the evidence of a node is that at which the heartbeat that it echoes was sent. A message that
waited in a buffer while a process was paused therefore proves nothing.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.contact_messages import ContactHeartbeat
from springmux.coordination.state_machine import Effect, Send

_MAX_SENT_HEARTBEATS = 32
"""Sent heartbeats whose echo is recognized. At a heartbeat period of at least 0.4 s they reach back far
beyond the time for which evidence counts."""


class HeartbeatEvidence:
    """Sends heartbeats, and records the time of the evidence that their echoes provide."""

    def __init__(self, rng: random.Random) -> None:
        self._sequence = rng.randrange(1, 1 << 30)
        self._sent: deque[tuple[int, float]] = deque(maxlen=_MAX_SENT_HEARTBEATS)
        self._received: dict[NodeId, int] = {}
        self._evidence: dict[NodeId, float] = {}

    def send(self, nodes: Iterable[NodeId], now: float) -> list[Effect]:
        """Send a heartbeat to each of ``nodes``."""
        self._sequence += 1
        self._sent.append((self._sequence, now))
        return [
            Send(to=node, message=ContactHeartbeat(self._sequence, self._received.get(node, 0)))
            for node in nodes
        ]

    def receive(self, sender: NodeId, heartbeat: ContactHeartbeat) -> None:
        """Record a peer's heartbeat and the evidence that its echo provides."""
        self._received[sender] = heartbeat.sequence
        sent_at = next((when for sequence, when in self._sent if sequence == heartbeat.echo), None)
        if sent_at is not None:
            self._evidence[sender] = max(sent_at, self._evidence.get(sender, sent_at))

    def reply(self, sender: NodeId) -> Effect:
        """Return an immediate reply, for a node that gets no heartbeats or must not wait for the next one."""
        heartbeat = ContactHeartbeat(self._sequence, self._received[sender], is_reply=True)
        return Send(to=sender, message=heartbeat)

    def count_proven_since(self, nodes: Iterable[NodeId], since: float) -> int:
        """Return how many of ``nodes`` have evidence of ``since`` or later."""
        evidence = self._evidence
        return sum(1 for node in nodes if evidence.get(node, since - 1.0) >= since)

    def newest_evidence_at(self, node: NodeId) -> float:
        """Return the time of the newest evidence of ``node``, or minus infinity without any."""
        return self._evidence.get(node, -math.inf)

    def keep_only(self, nodes: set[NodeId]) -> None:
        """Discard the evidence of all nodes other than ``nodes``."""
        self._received = {node: value for node, value in self._received.items() if node in nodes}
        self._evidence = {node: value for node, value in self._evidence.items() if node in nodes}
