"""Peer messages of membership."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.view import NodeRecord, NodeStatus
from springmux.coordination.state_machine import PeerMessage


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Report by ``accuser`` of the status of ``node`` in ``incarnation``; shorter than a complete record."""

    node: NodeId
    incarnation: int
    status: NodeStatus
    accuser: NodeId


class Piggyback(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Updates piggybacked on a message: complete records of alive nodes, and only the status of others."""

    records: tuple[NodeRecord, ...] = ()
    statuses: tuple[StatusUpdate, ...] = ()


NO_UPDATES = Piggyback()


class MemberPing(PeerMessage, frozen=True, tag="MemberPing"):
    """Probe of the receiver. ``incarnation`` is that of the sender."""

    sequence: int
    incarnation: int
    updates: Piggyback = NO_UPDATES


class MemberAck(PeerMessage, frozen=True, tag="MemberAck"):
    """Acknowledgement of a ping, direct or through a helper. ``incarnation`` is that of the probed node."""

    sequence: int
    incarnation: int
    updates: Piggyback = NO_UPDATES


class MemberNack(PeerMessage, frozen=True, tag="MemberNack"):
    """A helper's reply that it works, but the target sent it no acknowledgement.

    Source: Lifeguard, section III-A.
    """

    sequence: int


class MemberPingRequest(PeerMessage, frozen=True, tag="MemberPingRequest"):
    """Request to probe ``target`` on behalf of the sender (SWIM, section 3.1)."""

    sequence: int
    target: NodeId
    updates: Piggyback = NO_UPDATES


class MemberGossip(PeerMessage, frozen=True, tag="MemberGossip"):
    """Updates sent between probes, while any are queued."""

    updates: Piggyback


class MemberJoin(PeerMessage, frozen=True, tag="MemberJoin"):
    """Request to join the fleet, sent to seed addresses and remembered peers."""

    record: NodeRecord


class MemberDigest(PeerMessage, frozen=True, tag="MemberDigest"):
    """Hashes of the sender's present nodes by bucket, four bytes each."""

    hashes: bytes


class MemberState(PeerMessage, frozen=True, tag="MemberState"):
    """Records of ``buckets``. With ``reply_wanted`` the receiver replies with its own records of them."""

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
