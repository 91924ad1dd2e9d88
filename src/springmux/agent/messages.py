"""The agent's own peer messages: operators' wishes for the control group, handed to the leader."""

from __future__ import annotations

from springmux.coordination.kernel import PeerMessage


class TransferWish(PeerMessage, frozen=True, tag="TransferWish"):
    """Hand leadership to ``target`` (a replica's identity), or to any where it is empty."""

    target: str


class RemovalWish(PeerMessage, frozen=True, tag="RemovalWish"):
    """Remove a replica from the control group."""

    replica: str


MESSAGES: tuple[type[PeerMessage], ...] = (TransferWish, RemovalWish)
