"""Direct evidence for small fleets: beats that prove a round trip.

Evidence of a node is dated at the moment when the beat that it echoes was sent. A message that waited
in a buffer while a process was frozen therefore proves nothing.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.contact_messages import ContactHeartbeat
from springmux.coordination.state_machine import Effect, Send

_BEATS_KEPT = 32
"""At 0.4 s or more between beats these reach back far over the time for which evidence counts."""


class RoundTrips:
    """Sends beats and dates the evidence that their echoes give."""

    def __init__(self, source: random.Random) -> None:
        self._sequence = source.randrange(1, 1 << 30)
        self._sent: deque[tuple[int, float]] = deque(maxlen=_BEATS_KEPT)
        self._heard: dict[NodeId, int] = {}
        self._evidence: dict[NodeId, float] = {}

    def beat(self, nodes: Iterable[NodeId], now: float) -> list[Effect]:
        """Return a beat for each of ``nodes``."""
        self._sequence += 1
        self._sent.append((self._sequence, now))
        heard = self._heard
        return [Send(to=node, message=ContactHeartbeat(self._sequence, heard.get(node, 0))) for node in nodes]

    def take(self, sender: NodeId, beat: ContactHeartbeat) -> None:
        """Take in a peer's beat."""
        self._heard[sender] = beat.sequence
        sent_at = next((when for sequence, when in self._sent if sequence == beat.echo), None)
        if sent_at is not None:
            self._evidence[sender] = max(sent_at, self._evidence.get(sender, sent_at))

    def answer(self, sender: NodeId) -> Effect:
        """Return an echo for a node that isn't beaten regularly."""
        return Send(to=sender, message=ContactHeartbeat(self._sequence, self._heard[sender], answer=True))

    def proven_since(self, nodes: Iterable[NodeId], since: float) -> int:
        """Return how many of ``nodes`` have evidence from ``since`` or later."""
        evidence = self._evidence
        return sum(1 for node in nodes if evidence.get(node, since - 1.0) >= since)

    def proven_at(self, nodes: Iterable[NodeId]) -> list[float]:
        """Return the times of the newest evidence of those of ``nodes`` that have any."""
        evidence = self._evidence
        return [evidence[node] for node in nodes if node in evidence]

    def newest(self, node: NodeId) -> float:
        """Return the time of the newest evidence of ``node``, minus infinity without any."""
        return self._evidence.get(node, -math.inf)

    def forget_others(self, nodes: set[NodeId]) -> None:
        """Drop nodes outside ``nodes``."""
        self._heard = {node: value for node, value in self._heard.items() if node in nodes}
        self._evidence = {node: value for node, value in self._evidence.items() if node in nodes}
