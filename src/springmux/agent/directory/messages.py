"""Peer messages of the directory of back ends."""

from __future__ import annotations

import msgspec

from springmux.agent.directory.entry import DirectoryEntry
from springmux.coordination.state_machine import PeerMessage
from springmux.vocabulary.names import EngineId


class EngineIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one incarnation of an engine, that is one run of its process."""

    engine: EngineId
    incarnation: int


class DirectoryRelay(PeerMessage, frozen=True, tag="DirectoryRelay"):
    """Changed entries; the receiver relays them to the nodes of its zone in ``[low, high)``.

    It acknowledges them unless that range is empty.
    """

    entries: tuple[DirectoryEntry, ...]
    salt: int
    low: int = 0
    high: int = 0


class DirectoryRelayAck(PeerMessage, frozen=True, tag="DirectoryRelayAck"):
    """The sender received the relay with this salt and range, and takes care of the range."""

    salt: int
    low: int
    high: int


class EngineStopNotice(PeerMessage, frozen=True, tag="EngineStopNotice"):
    """An engine told the sender that it drains or has left.

    The receiver, a controller, replies with a receipt.
    """

    entry: DirectoryEntry


class EngineStopReceipt(PeerMessage, frozen=True, tag="EngineStopReceipt"):
    """The sender knows that the engine drains, or with ``left`` that it has left."""

    engine: EngineId
    left: bool


class EngineHeartbeatsRelay(PeerMessage, frozen=True, tag="DirectoryHeard"):
    """Heartbeats that the sender just received, forwarded to the engines' owner nodes."""

    incarnations: tuple[EngineIncarnation, ...]


class EngineTimeoutVote(PeerMessage, frozen=True, tag="DirectorySilent"):
    """An owner's vote: these engines sent no heartbeat within the timeout."""

    incarnations: tuple[EngineIncarnation, ...]


class DirectoryDigest(PeerMessage, frozen=True, tag="DirectoryDigest"):
    """Hash of the sender's directory. ``reply_wanted``: the receiver replies even if its hash is equal."""

    root_hash: int
    reply_wanted: bool = False


class LostEnginesQuery(PeerMessage, frozen=True, tag="DirectoryLost"):
    """Engines that the sender lists as LOST, which hashes don't cover.

    The receiver replies with its entries of those that are known to drain or to have left.
    """

    incarnations: tuple[EngineIncarnation, ...]


class DirectoryInSync(PeerMessage, frozen=True, tag="DirectoryInStep"):
    """Reply to an equal digest by a node whose directory is complete."""


class DirectoryBuckets(PeerMessage, frozen=True, tag="DirectoryBuckets"):
    """Reply to a digest that differs: the concatenated hashes of all buckets, four bytes per bucket."""

    bucket_hashes: bytes


class DirectoryEntries(PeerMessage, frozen=True, tag="DirectoryEntries"):
    """The sender's entries of ``buckets``.

    With ``reply_wanted`` the receiver replies with its own entries of these buckets that differ.
    """

    entries: tuple[DirectoryEntry, ...]
    buckets: tuple[int, ...] = ()
    reply_wanted: bool = False


MESSAGES: tuple[type[PeerMessage], ...] = (
    DirectoryRelay,
    DirectoryRelayAck,
    EngineStopNotice,
    EngineStopReceipt,
    EngineHeartbeatsRelay,
    EngineTimeoutVote,
    DirectoryDigest,
    LostEnginesQuery,
    DirectoryInSync,
    DirectoryBuckets,
    DirectoryEntries,
)
