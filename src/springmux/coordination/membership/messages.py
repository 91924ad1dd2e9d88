"""Peer messages of membership."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.view import NodeRecord, NodeStatus
from springmux.coordination.state_machine import PeerMessage


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True):
    """``accuser`` reports ``node`` in this status in this incarnation; shorter than a complete record."""

    node: NodeId
    incarnation: int
    status: NodeStatus
    accuser: NodeId


class Piggyback(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Updates carried by another message: complete records of alive nodes, bare statuses of the others."""

    records: tuple[NodeRecord, ...] = ()
    statuses: tuple[StatusUpdate, ...] = ()


NO_UPDATES = Piggyback()


class MemberPing(PeerMessage, frozen=True, tag="MemberPing"):
    """Probe of the receiver. ``incarnation`` is the sender's own."""

    sequence: int
    incarnation: int
    updates: Piggyback = NO_UPDATES


class MemberAck(PeerMessage, frozen=True, tag="MemberAck"):
    """Reply to a ping, direct or through a helper."""

    sequence: int
    incarnation: int
    updates: Piggyback = NO_UPDATES


class MemberNack(PeerMessage, frozen=True, tag="MemberNack"):
    """A helper's reply that it works but the target didn't reply to it (Lifeguard, section III-A)."""

    sequence: int


class MemberPingRequest(PeerMessage, frozen=True, tag="MemberPingRequest"):
    """Probe ``target`` for the sender (SWIM, section 3.1)."""

    sequence: int
    target: NodeId
    updates: Piggyback = NO_UPDATES


class MemberGossip(PeerMessage, frozen=True, tag="MemberGossip"):
    """Updates between probes, sent only while there are any."""

    updates: Piggyback


class MemberJoin(PeerMessage, frozen=True, tag="MemberJoin"):
    """Request to take the sender into the fleet; its first message to a seed address."""

    record: NodeRecord


class MemberDigest(PeerMessage, frozen=True, tag="MemberDigest"):
    """Hashes of the sender's present records by bucket, four bytes each."""

    hashes: bytes


class MemberState(PeerMessage, frozen=True, tag="MemberState"):
    """Records of ``buckets``; with ``reply_wanted`` the receiver sends its own of the same buckets."""

    records: tuple[NodeRecord, ...]
    buckets: tuple[int, ...] = ()
    reply_wanted: bool = False


MESSAGES: tuple[type[PeerMessage], ...] = (
    MemberPing,
    MemberAck,
    MemberNack,
    MemberPingRequest,
    MemberGossip,
    MemberJoin,
    MemberDigest,
    MemberState,
)
