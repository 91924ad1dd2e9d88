"""Peer messages of the directory of back ends."""

from __future__ import annotations

import msgspec

from springmux.agent.directory.entry import DirectoryEntry
from springmux.coordination.state_machine import PeerMessage
from springmux.vocabulary.names import EngineId


class EngineIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an engine."""

    engine: EngineId
    incarnation: int


class DirectoryRelay(PeerMessage, frozen=True, tag="DirectoryRelay"):
    """Changed entries; the receiver relays them to the nodes of its zone in ``[low, high)``."""

    entries: tuple[DirectoryEntry, ...]
    salt: int
    low: int = 0
    high: int = 0


class EngineHeartbeatsRelay(PeerMessage, frozen=True, tag="DirectoryHeard"):
    """Heartbeats that the sender just received, forwarded to the engines' owner nodes."""

    incarnations: tuple[EngineIncarnation, ...]


class EngineTimeoutVote(PeerMessage, frozen=True, tag="DirectorySilent"):
    """An owner's vote: these engines sent no heartbeat within the timeout."""

    incarnations: tuple[EngineIncarnation, ...]


class DirectoryDigest(PeerMessage, frozen=True, tag="DirectoryDigest"):
    """Hash of the sender's directory. ``answer_wanted``: reply also if the receiver's is the same."""

    root: int
    answer_wanted: bool = False


class DirectoryInSync(PeerMessage, frozen=True, tag="DirectoryInStep"):
    """Reply to a digest: the sender has the same directory, and isn't catching up itself."""


class DirectoryBuckets(PeerMessage, frozen=True, tag="DirectoryBuckets"):
    """Reply to a digest that differs: the hash of each bucket, four bytes each."""

    hashes: bytes


class DirectoryEntries(PeerMessage, frozen=True, tag="DirectoryEntries"):
    """The sender's entries of ``buckets``; with ``answer_wanted`` the receiver returns its newer ones."""

    entries: tuple[DirectoryEntry, ...]
    buckets: tuple[int, ...] = ()
    answer_wanted: bool = False


MESSAGES: tuple[type[PeerMessage], ...] = (
    DirectoryRelay,
    EngineHeartbeatsRelay,
    EngineTimeoutVote,
    DirectoryDigest,
    DirectoryInSync,
    DirectoryBuckets,
    DirectoryEntries,
)
