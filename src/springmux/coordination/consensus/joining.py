"""Join requests of a replica without a group, if a group exists, and of a member without a leader.

Such a member was removed while it was absent, or its node was renamed. The leader, if there is one,
adds it again as a learner or records its new node.
"""

from __future__ import annotations

from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.consensus.founding import Founding
from springmux.coordination.consensus.messages import RaftJoinRequest
from springmux.coordination.consensus.wait_log import WaitLog
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER

LEADERLESS_TIMEOUTS = 3
"""Number of election timeouts without a leader after which a member sends join requests.

An election takes one or two.
"""


class Joining:
    """Sends join requests to the known controllers in round-robin order."""

    def __init__(self, core: ReplicaCore, founding: Founding) -> None:
        self._core = core
        self._founding = founding
        self._next_request = 0.0
        self._round_robin_index = 0
        self._wait_log = WaitLog(core)
        self.reported_leader_node: NodeId | None = None
        """The leader's node as reported by the membership protocol."""

    def start(self) -> None:
        """Delay a member's first request, so that its group has time to elect a leader."""
        if self._core.group is not None:
            self._postpone_next_request()

    def deadline(self) -> float:
        """Return when the next request is due."""
        core = self._core
        may_found = core.group is None and core.settings.may_found and not self._founding.established
        return NEVER if core.leader is not None or may_found else self._next_request

    def on_tick(self) -> None:
        """Send the next request while no leader is known."""
        core = self._core
        if core.leader is not None:
            self._postpone_next_request()
        elif core.now >= self.deadline():
            self._next_request = core.now + core.settings.join_retry_s
            if core.group is None:
                self._wait_log.record("asks to join a group", may_found=core.settings.may_found)
            for node in self._next_targets():
                self.send_request(node)

    def send_request(self, node: NodeId) -> None:
        """Request membership from the controller at ``node``."""
        core = self._core
        joins_only = not core.settings.may_found
        core.send(node, RaftJoinRequest(core.replica, core.node, core.group or "", joins_only=joins_only))

    def _next_targets(self) -> list[NodeId]:
        """Return the next controller, which forwards the request, and the leader's node if it is known."""
        targets = self._known_controller_nodes()
        if not targets:
            return []
        self._round_robin_index += 1
        node = targets[self._round_robin_index % len(targets)]
        leader = self.reported_leader_node
        return [node] if leader in (None, node) or leader not in targets else [leader, node]

    def _postpone_next_request(self) -> None:
        timeout_s = LEADERLESS_TIMEOUTS * self._core.settings.election_timeout_max_s
        self._next_request = self._core.now + timeout_s

    def _known_controller_nodes(self) -> list[NodeId]:
        members = (*self._founding.candidates, *self._core.log.members.members)
        return sorted({member.node for member in members} - {self._core.node})
