"""Asking to be a member: for an empty replica beside a group, and one that its group no longer calls.

The latter was removed while it was away, or its node changed its name; its leader, if there is one,
takes it up again as a learner or notes the new node.
"""

from __future__ import annotations

from springmux.coordination.consensus.core import ReplicaCore
from springmux.coordination.consensus.founding import Founding
from springmux.coordination.consensus.messages import RaftJoinRequest
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER

UNCALLED_TIMEOUTS = 3
"""Election timeouts without a leader after which a member asks around; an election takes one or two."""


class Joining:
    """Sends join requests to the known controllers in turn."""

    def __init__(self, core: ReplicaCore, founding: Founding) -> None:
        self._core = core
        self._founding = founding
        self._next_request = 0.0
        self._turn = 0
        self.leader_node: NodeId | None = None
        """The node that membership's messages name as the leader's."""

    def start(self) -> None:
        """Give the own group time to elect a leader before asking around."""
        if self._core.group is not None:
            self._wait_for_leader()

    def deadline(self) -> float:
        """Return when the next request is due."""
        core = self._core
        may_found = core.group is None and core.settings.may_found and not self._founding.established
        return NEVER if core.leader is not None or may_found else self._next_request

    def on_tick(self) -> None:
        """Send the next request if nobody leads us."""
        core = self._core
        if core.leader is not None:
            self._wait_for_leader()
        elif core.now >= self.deadline():
            self._next_request = core.now + core.settings.join_retry_s
            for node in self._asked(self._targets()):
                self.ask(node)

    def ask(self, node: NodeId) -> None:
        """Ask the controller at ``node``."""
        core = self._core
        joins_only = not core.settings.may_found
        core.send(node, RaftJoinRequest(core.replica, core.node, core.group or "", joins_only=joins_only))

    def _asked(self, targets: list[NodeId]) -> list[NodeId]:
        """One controller in turn, any of which forwards the request, and the leader if one is named."""
        if not targets:
            return []
        self._turn += 1
        node = targets[self._turn % len(targets)]
        leader = self.leader_node
        return [node] if leader in (None, node) or leader not in targets else [leader, node]

    def _wait_for_leader(self) -> None:
        patience = UNCALLED_TIMEOUTS * self._core.settings.election_timeout_max_s
        self._next_request = self._core.now + patience

    def _targets(self) -> list[NodeId]:
        members = (*self._founding.candidates, *self._core.log.members.members)
        return sorted({member.node for member in members} - {self._core.node})
