"""Freshness vectors: the age of the newest evidence of each node, accumulated over the hops.

Gossip of small vectors (anti-entropy, Demers et al. 1987) replaces the leader's beacons while there is no
leader. Ages are rounded up, so that evidence never appears newer than it is.
"""

from __future__ import annotations

import math

import xxhash

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.contact_messages import ContactVector

AGE_STEP_S = 0.1
_AGE_BITS = 4
_AGE_UNKNOWN = 15
"""Encoded age of a node without recent evidence; the highest value of ``_AGE_BITS`` bits."""
_MAX_ROSTERS = 8
"""Former rosters by which vectors of peers are still decoded while a membership change is disseminated."""


class FreshnessVector:
    """The newest time, on this node's clock, at which each node is known to have been in contact."""

    def __init__(self, own: NodeId) -> None:
        self._own = own
        self._evidence: dict[NodeId, float] = {}
        self._rosters: dict[int, list[NodeId]] = {}
        self._roster = 0

    def set_roster(self, names: list[NodeId]) -> None:
        """Set the order of the nodes in vectors."""
        self._roster = xxhash.xxh32_intdigest("\x00".join(names).encode())
        self._rosters.pop(self._roster, None)
        self._rosters[self._roster] = names
        while len(self._rosters) > _MAX_ROSTERS:
            del self._rosters[next(iter(self._rosters))]

    def clear(self) -> None:
        """Discard all evidence."""
        self._evidence.clear()

    def newest_evidence_at(self, node: NodeId) -> float:
        """Return the time of the newest evidence of ``node``, or minus infinity without any."""
        return self._evidence.get(node, -math.inf)

    def encode(self, now: float) -> ContactVector:
        """Return the vector of ages at ``now``, to be sent to peers."""
        names = self._rosters.get(self._roster, [])
        ages = bytearray(_encoded_size(names))
        for index, node in enumerate(names):
            age_s = 0.0 if node == self._own else now - self._evidence.get(node, -math.inf)
            steps = _AGE_UNKNOWN if age_s > (_AGE_UNKNOWN - 1) * AGE_STEP_S else math.ceil(age_s / AGE_STEP_S)
            ages[index // 2] |= steps << (_AGE_BITS * (index % 2))
        return ContactVector(roster=self._roster, ages=bytes(ages))

    def merge(self, sender: NodeId, vector: ContactVector, now: float) -> None:
        """Apply a peer's vector; if its roster is unknown, it is evidence of the sender only."""
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
    """Return the size in bytes of a vector of ``names``, with two nodes per byte."""
    return (len(names) + 1) // 2
