"""The queue of news to pass on: bounded per message and in retransmissions (SWIM, section 4.1)."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.messages import NO_NEWS, Piggyback, StatusUpdate
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.view import NodeRecord, NodeStatus


@dataclass
class _Queued:
    news: NodeRecord | StatusUpdate
    queued_at: float
    sent: int = 0


class GossipQueue:
    """Newest news per node, least often sent first."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._queue: dict[NodeId, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, news: NodeRecord | StatusUpdate, now: float) -> None:
        """Queue ``news`` in place of older news of the same node."""
        self._queue[news.node] = _Queued(news, now)

    def heard_again(self, record: NodeRecord) -> None:
        """A peer sent what is queued here: many know it already, so fewer copies are needed.

        Source: Demers et al. 1987, "Epidemic algorithms for replicated database maintenance", rumours with
        feedback and a counter.
        """
        queued = self._queue.get(record.node)
        if queued is not None and queued.news == record:
            queued.sent += self._settings.heard_again_counts

    def keep_only(self, node: NodeId) -> None:
        """Drop news of all others: after a pause it may be outdated."""
        self._queue = {name: queued for name, queued in self._queue.items() if name == node}

    def take(self, nodes: int, now: float, direct: StatusUpdate | None = None) -> Piggyback:
        """Return news for one message; ``direct`` goes first (Lifeguard's buddy system)."""
        if not self._queue and direct is None:
            return NO_NEWS
        limit = self._settings.retransmit_factor * max(1, math.ceil(math.log2(nodes + 1)))
        records: list[NodeRecord] = []
        statuses: list[StatusUpdate] = [direct] if direct else []
        news_max = self._settings.news_per_message
        chosen = heapq.nsmallest(news_max, self._queue.items(), key=lambda item: item[1].sent)
        for node, queued in chosen:
            if queued.sent >= limit or self._outdated(queued, now):
                del self._queue[node]
                continue
            if isinstance(queued.news, NodeRecord):
                records.append(queued.news)
            else:
                statuses.append(queued.news)
            queued.sent += 1
            if queued.sent >= limit:
                del self._queue[node]
        return Piggyback(tuple(records), tuple(statuses))

    def _outdated(self, queued: _Queued, now: float) -> bool:
        """A suspicion is void once it must have been decided: a node cut off mustn't bring it back."""
        suspect = queued.news.status is NodeStatus.SUSPECT
        return suspect and now - queued.queued_at > self._settings.suspicion_max_s
