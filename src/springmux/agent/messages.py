"""The agent's own peer messages: operators' requests to the control group, forwarded to the leader."""

from __future__ import annotations

from springmux.coordination.state_machine import PeerMessage


class TransferLeadershipRequest(PeerMessage, frozen=True, tag="TransferWish"):
    """Transfer leadership to ``target`` (a replica's identity), or to any where it is empty."""

    target: str


class RemoveReplicaRequest(PeerMessage, frozen=True, tag="RemovalWish"):
    """Remove a replica from the control group."""

    replica: str


MESSAGES: tuple[type[PeerMessage], ...] = (TransferLeadershipRequest, RemoveReplicaRequest)
