"""Freshness vectors: the age of the newest evidence of each node, added up hop by hop.

An epidemic of small vectors (anti-entropy, Demers et al. 1987) replaces the leader's beacons when there
is no leader. Ages are sent rounded up, so that evidence never seems newer than it is.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.contact_messages import ContactVector

AGE_STEP_S = 0.1
_AGE_BITS = 4
_AGE_UNKNOWN = 15
"""The highest value of ``_AGE_BITS`` bits."""
_ROSTERS_KEPT = 8
"""Rosters that are still understood while a membership change is disseminated."""


class FreshnessVector:
    """The newest time, on the own clock, at which each node is known to have been in contact."""

    def __init__(self, own: NodeId) -> None:
        self._own = own
        self._evidence: dict[NodeId, float] = {}
        self._rosters: dict[int, list[NodeId]] = {}
        self._roster = 0

    def set_roster(self, names: list[NodeId]) -> None:
        """Fix the order of nodes in vectors."""
        self._roster = xxhash.xxh32_intdigest("\x00".join(names).encode())
        self._rosters.pop(self._roster, None)
        self._rosters[self._roster] = names
        while len(self._rosters) > _ROSTERS_KEPT:
            del self._rosters[next(iter(self._rosters))]

    def clear(self) -> None:
        """Forget all evidence."""
        self._evidence.clear()

    def proven_at(self, nodes: Iterable[NodeId]) -> list[float]:
        """Return the times of the newest evidence of those of ``nodes`` that have any."""
        evidence = self._evidence
        return [evidence[node] for node in nodes if node in evidence]

    def newest(self, node: NodeId) -> float:
        """Return the time of the newest evidence of ``node``, minus infinity without any."""
        return self._evidence.get(node, -math.inf)

    def encode(self, now: float) -> ContactVector:
        """Return the vector to send."""
        names = self._rosters.get(self._roster, [])
        ages = bytearray(_encoded_size(names))
        for index, node in enumerate(names):
            age_s = 0.0 if node == self._own else now - self._evidence.get(node, -math.inf)
            steps = _AGE_UNKNOWN if age_s > (_AGE_UNKNOWN - 1) * AGE_STEP_S else math.ceil(age_s / AGE_STEP_S)
            ages[index // 2] |= steps << (_AGE_BITS * (index % 2))
        return ContactVector(roster=self._roster, ages=bytes(ages))

    def merge(self, sender: NodeId, vector: ContactVector, now: float) -> None:
        """Apply a peer's vector; with an unknown roster it is evidence of the sender only."""
        self._evidence[sender] = now
        names = self._rosters.get(vector.roster)
        if names is None or len(vector.ages) != _encoded_size(names):
            return
        evidence = self._evidence
        for index, node in enumerate(names):
            steps = vector.ages[index // 2] >> (_AGE_BITS * (index % 2)) & _AGE_UNKNOWN
            if steps == _AGE_UNKNOWN:
                continue
            seen_at = now - steps * AGE_STEP_S
            if seen_at > evidence.get(node, -math.inf):
                evidence[node] = seen_at


def _encoded_size(names: list[NodeId]) -> int:
    """Return the bytes of a vector of ``names``, two nodes a byte."""
    return (len(names) + 1) // 2
