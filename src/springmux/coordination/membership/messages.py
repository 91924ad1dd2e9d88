"""Peer messages of the membership part."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.view import NodeRecord, NodeStatus
from springmux.coordination.state_machine import PeerMessage


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True):
    """``accuser`` says that ``node`` has this status in this incarnation; shorter than a whole record."""

    node: NodeId
    incarnation: int
    status: NodeStatus
    accuser: NodeId


class Piggyback(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """News that rides on another message: whole records of living nodes, bare statuses of the rest."""

    records: tuple[NodeRecord, ...] = ()
    statuses: tuple[StatusUpdate, ...] = ()


NO_NEWS = Piggyback()


class MemberPing(PeerMessage, frozen=True, tag="MemberPing"):
    """Are you there? ``incarnation`` is the sender's own."""

    sequence: int
    incarnation: int
    news: Piggyback = NO_NEWS


class MemberAck(PeerMessage, frozen=True, tag="MemberAck"):
    """Answer to a ping, direct or through a helper."""

    sequence: int
    incarnation: int
    news: Piggyback = NO_NEWS


class MemberNack(PeerMessage, frozen=True, tag="MemberNack"):
    """A helper's word that it works but the target didn't answer it (Lifeguard, section III-A)."""

    sequence: int


class MemberPingRequest(PeerMessage, frozen=True, tag="MemberPingRequest"):
    """Probe ``target`` for the sender (SWIM, section 3.1)."""

    sequence: int
    target: NodeId
    news: Piggyback = NO_NEWS


class MemberGossip(PeerMessage, frozen=True, tag="MemberGossip"):
    """News between probes, sent only while there is any."""

    news: Piggyback


class MemberJoin(PeerMessage, frozen=True, tag="MemberJoin"):
    """First message of a node to a seed address."""

    record: NodeRecord


class MemberDigest(PeerMessage, frozen=True, tag="MemberDigest"):
    """Hashes of the sender's present records by bucket, four bytes each."""

    hashes: bytes


class MemberState(PeerMessage, frozen=True, tag="MemberState"):
    """Records of ``buckets``; with ``answer_wanted`` the receiver sends its own of the same buckets."""

    records: tuple[NodeRecord, ...]
    buckets: tuple[int, ...] = ()
    answer_wanted: bool = False


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
