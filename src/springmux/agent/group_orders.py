"""Operators' requests to the control group: transfer leadership, remove a replica.

Any node accepts them and forwards them to the leader.
"""

from __future__ import annotations

from springmux.agent.effects import OrderAnswered
from springmux.agent.events import ControllerRemovalRequested, LeadershipTransferRequested
from springmux.agent.messages import RemoveReplicaRequest, TransferLeadershipRequest
from springmux.control.commands import CommandResult, Outcome
from springmux.coordination.consensus.effects import TransferLeadership
from springmux.coordination.consensus.events import ChangeMember, MemberChangeKind
from springmux.coordination.consensus.replica import Replica
from springmux.coordination.identifiers import NodeId, ReplicaId, Revision
from springmux.coordination.state_machine import Effect, PeerMessage, Send
from springmux.vocabulary.errors import ApiError, ErrorCode
from springmux.vocabulary.names import OrderId

RETRY_AFTER_S = 2.0


class GroupOrders:
    """Forwards requests to the leader's replica. Operators see the outcome on the status page."""

    def __init__(self, own: NodeId, replica: Replica | None) -> None:
        self._own = own
        self._replica = replica

    def transfer(self, event: LeadershipTransferRequested, leader: NodeId | None, now: float) -> list[Effect]:
        """Forward the request to transfer leadership."""
        return self._forward(event.correlation_id, TransferLeadershipRequest(event.target), leader, now)

    def remove(self, event: ControllerRemovalRequested, leader: NodeId | None, now: float) -> list[Effect]:
        """Forward the request to remove a replica."""
        return self._forward(event.correlation_id, RemoveReplicaRequest(event.replica), leader, now)

    def handle_message(self, message: PeerMessage, now: float) -> list[Effect]:
        """Execute a request if this replica leads; otherwise drop it, and the operator sees no change."""
        replica = self._replica
        if replica is None or not replica.leading:
            return []
        if isinstance(message, TransferLeadershipRequest):
            target = ReplicaId(message.target) if message.target else None
            return replica.handle(TransferLeadership(target), now)
        if not isinstance(message, RemoveReplicaRequest):
            return []
        member = replica.status().members.find(ReplicaId(message.replica))
        if member is None:
            return []
        change = ChangeMember(f"removal/{member.replica}", MemberChangeKind.REMOVE, member)
        return replica.handle(change, now)

    def _forward(
        self, correlation_id: str, message: PeerMessage, leader: NodeId | None, now: float
    ) -> list[Effect]:
        if leader is None:
            text = "no leader is known; retry shortly"
            error = ApiError(ErrorCode.NO_QUORUM, text, 503, retry_after_s=RETRY_AFTER_S)
            return [OrderAnswered(correlation_id, None, error)]
        accepted = CommandResult(
            order=OrderId(correlation_id),
            outcome=Outcome.ACCEPTED,
            revision=Revision(0),
            message=f"forwarded to the leader {leader}",
        )
        answered = OrderAnswered(correlation_id, accepted)
        if leader == self._own:
            return [*self.handle_message(message, now), answered]
        return [Send(leader, message), answered]
