"""Peer messages of the agent itself: operators' requests to the control group, forwarded to the leader."""

from __future__ import annotations

from springmux.coordination.state_machine import PeerMessage


class TransferLeadershipRequest(PeerMessage, frozen=True, tag="TransferWish"):
    """Transfer leadership to the replica with the id ``target``, or to any replica if it is empty."""

    target: str


class RemoveReplicaRequest(PeerMessage, frozen=True, tag="RemovalWish"):
    """Remove the replica with the id ``replica`` from the control group."""

    replica: str


MESSAGES: tuple[type[PeerMessage], ...] = (TransferLeadershipRequest, RemoveReplicaRequest)
