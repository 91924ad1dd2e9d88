"""The queue of updates to disseminate, with bounded size of messages and number of transmissions.

Source: SWIM, section 4.1.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.messages import NO_UPDATES, Piggyback, StatusUpdate
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.view import NodeRecord, NodeStatus


@dataclass
class _Queued:
    update: NodeRecord | StatusUpdate
    queued_at: float
    sent: int = 0


class GossipQueue:
    """The newest update of each node; those sent least often are sent first."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._queue: dict[NodeId, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, update: NodeRecord | StatusUpdate, now: float) -> None:
        """Queue ``update``, replacing an older one of the same node."""
        self._queue[update.node] = _Queued(update, now)

    def count_duplicate(self, record: NodeRecord) -> None:
        """Send ``record`` fewer times, since a peer sent it too and so many nodes know it already.

        Source: Demers et al. 1987, "Epidemic algorithms for replicated database maintenance", rumors with
        feedback and a counter.
        """
        queued = self._queue.get(record.node)
        if queued is not None and queued.update == record:
            queued.sent += self._settings.duplicate_transmissions

    def keep_only(self, node: NodeId) -> None:
        """Drop the updates of all nodes other than ``node``, which may be outdated after a pause."""
        self._queue = {name: queued for name, queued in self._queue.items() if name == node}

    def select_updates(self, nodes: int, now: float, first: StatusUpdate | None = None) -> Piggyback:
        """Return the updates for one message, and count them as sent.

        :param nodes: number of known nodes, which determines how often an update is sent.
        :param first: an update that the message carries before all others, whether queued or not.
        """
        if not self._queue and first is None:
            return NO_UPDATES
        limit = self._settings.retransmit_factor * max(1, math.ceil(math.log2(nodes + 1)))
        records: list[NodeRecord] = []
        statuses: list[StatusUpdate] = [first] if first else []
        updates_max = self._settings.updates_per_message
        chosen = heapq.nsmallest(updates_max, self._queue.items(), key=lambda item: item[1].sent)
        for node, queued in chosen:
            if queued.sent >= limit or self._outdated(queued, now):
                del self._queue[node]
                continue
            if isinstance(queued.update, NodeRecord):
                records.append(queued.update)
            else:
                statuses.append(queued.update)
            queued.sent += 1
            if queued.sent >= limit:
                del self._queue[node]
        return Piggyback(tuple(records), tuple(statuses))

    def _outdated(self, queued: _Queued, now: float) -> bool:
        """Return whether ``queued`` is a suspicion that other nodes must have decided by now.

        A node that was partitioned must not spread such a suspicion again.
        """
        suspect = queued.update.status is NodeStatus.SUSPECT
        return suspect and now - queued.queued_at > self._settings.suspicion_max_s
