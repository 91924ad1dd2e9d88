"""Fetches missing control state from peers that are ahead: choice of peer, reassembly and timeouts."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from springmux.control.delivery.messages import FetchState, NoNewerRevision, StateChunk, TransferKind
from springmux.control.delivery.serving import transfer_checksum
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import NodeId, Revision
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine, Send


class CompletedTransfer(msgspec.Struct, frozen=True):
    """A complete transfer whose checksum was verified."""

    kind: TransferKind
    target: Revision
    content: bytes


class _ActiveTransfer(msgspec.Struct):
    """A transfer being received.

    Transfers of one kind and target are equal byte for byte at every peer, so another peer can continue one.
    """

    peer: NodeId
    first_request: int
    """Replies to this request and to later ones are accepted, since an abandoned peer may only be slow."""
    request: int
    revision: Revision
    deadline: float
    attempts: int = 1
    kind: TransferKind | None = None
    target: Revision = Revision(0)
    total_bytes: int = 0
    checksum: int = 0
    window_end: int = 0
    content: bytearray = msgspec.field(default_factory=bytearray)
    out_of_order: dict[int, bytes] = msgspec.field(default_factory=dict)
    """Chunks received before a chunk that precedes them, by offset."""


class ChunkResult(msgspec.Struct, frozen=True):
    """Result of a received chunk: the transfer if the chunk completed it, and the effects to execute."""

    completed: CompletedTransfer | None = None
    effects: tuple[Effect, ...] = ()


class StateFetcher:
    """Fetches from the peers known to be ahead, one transfer at a time.

    :param rng: jitters the start of transfers and chooses among equal peers.
    :param is_same_zone: returns whether a node is in this node's zone.
    """

    def __init__(
        self, rng: random.Random, settings: DeliverySettings, is_same_zone: Callable[[NodeId], bool]
    ) -> None:
        self._rng = rng
        self._settings = settings
        self._is_same_zone = is_same_zone
        self._peers_ahead: dict[NodeId, Revision] = {}
        self._cooldown_until: dict[NodeId, float] = {}
        self._active: _ActiveTransfer | None = None
        self._start_at = NEVER
        self._request = 0

    def next_deadline(self) -> float:
        """Return the monotonic time at which a transfer starts, or the wait for a chunk times out."""
        return self._active.deadline if self._active is not None else self._start_at

    def observe_revision(self, node: NodeId, revision: Revision, own: Revision, now: float) -> None:
        """Record that ``node`` has ``revision``; fetch it if no push delivers it within the grace period."""
        self._peers_ahead[node] = max(revision, self._peers_ahead.get(node, revision))
        if revision > own and self._start_at == NEVER:
            jitter = self._rng.uniform(0.5, 1.0)
            self._start_at = now + self._settings.fetch_grace_s * jitter

    def fetch_immediately(self, node: NodeId, revision: Revision, own: Revision, now: float) -> list[Effect]:
        """Fetch from ``node`` without a grace period, since no push will deliver ``revision``."""
        self._peers_ahead[node] = max(revision, self._peers_ahead.get(node, revision))
        self._cooldown_until.pop(node, None)
        return [] if self._active is not None else self._start_next(own, now)

    def tick(self, own: Revision, now: float) -> list[Effect]:
        """Start a transfer that is due; after a timeout, retry or continue at another peer."""
        transfer = self._active
        if transfer is None:
            return self._start_next(own, now) if now >= self._start_at else []
        if now < transfer.deadline:
            return []
        if transfer.revision != own:
            return self._start_next(own, now)
        is_stalled = len(transfer.content) > 0 and self._has_alternative(transfer, own, now)
        if transfer.attempts < self._settings.fetch_attempts and not is_stalled:
            transfer.attempts += 1
            return [self._request_chunks(transfer, now)]
        return self._abandon_peer(transfer, own, now)

    def peer_unreachable(self, peer: NodeId, own: Revision, now: float) -> list[Effect]:
        """Continue the active transfer at another peer if it came from ``peer``, whose connection is lost."""
        transfer = self._active
        if transfer is None or transfer.peer != peer:
            return []
        return self._abandon_peer(transfer, own, now)

    def _abandon_peer(self, transfer: _ActiveTransfer, own: Revision, now: float) -> list[Effect]:
        """Continue at another peer, keeping the bytes received so far."""
        self._cool_down(transfer.peer, now)
        fields = {"peer": transfer.peer, "revision": own, "received_bytes": len(transfer.content)}
        log_line = LogLine("transfer_given_up", LogLevel.INFO, fields)
        return [log_line, *self._start_next(own, now)]

    def _has_alternative(self, transfer: _ActiveTransfer, own: Revision, now: float) -> bool:
        """Return whether another peer that is ahead isn't in its cooldown."""
        return any(
            node != transfer.peer and revision > own and self._cooldown_until.get(node, 0.0) <= now
            for node, revision in self._peers_ahead.items()
        )

    def receive_chunk(self, sender: NodeId, chunk: StateChunk, now: float) -> ChunkResult:
        """Add a chunk to the active transfer; request the next window or complete the transfer."""
        transfer = self._active
        if transfer is None or not self._accepts_chunk(transfer, sender, chunk):
            return ChunkResult()
        if not _is_part_of(transfer, chunk):
            _restart(transfer, chunk)
        if _append_chunk(transfer, chunk):
            transfer.deadline = now + self._chunk_timeout_s(transfer)
        received = len(transfer.content)
        if received >= transfer.total_bytes:
            return self._complete(transfer, sender, now)
        if received >= transfer.window_end:
            return ChunkResult(effects=(self._request_chunks(transfer, now),))
        return ChunkResult()

    def _accepts_chunk(self, transfer: _ActiveTransfer, sender: NodeId, chunk: StateChunk) -> bool:
        """Return whether to accept a chunk. Only the newest request may switch to another transfer."""
        if not transfer.first_request <= chunk.request <= transfer.request:
            return False
        is_newest = (sender, chunk.request) == (transfer.peer, transfer.request)
        return is_newest or transfer.kind is None or _is_part_of(transfer, chunk)

    def _complete(self, transfer: _ActiveTransfer, sender: NodeId, now: float) -> ChunkResult:
        self._active = None
        content = bytes(transfer.content)
        if transfer.kind is None or transfer_checksum(content) != transfer.checksum:
            self.back_off(sender, now)
            return ChunkResult()
        return ChunkResult(CompletedTransfer(transfer.kind, transfer.target, content))

    def receive_no_newer(
        self, sender: NodeId, reply: NoNewerRevision, own: Revision, now: float
    ) -> list[Effect]:
        """Record that ``sender`` isn't ahead; if it was the active peer, fetch from another one."""
        self._peers_ahead[sender] = reply.revision
        transfer = self._active
        if transfer is None or (sender, reply.request) != (transfer.peer, transfer.request):
            return []
        self._active = None
        return self._start_next(own, now)

    def fetch_next(self, own: Revision, now: float) -> list[Effect]:
        """Fetch the state that is still missing after a transfer."""
        return [] if self._active is not None else self._start_next(own, now)

    def back_off(self, peer: NodeId, now: float) -> None:
        """Delay the next transfer after one from ``peer`` that made no progress, to avoid a busy loop."""
        self._cool_down(peer, now)
        self._start_at = now + self._settings.fetch_timeout_s

    def _start_next(self, own: Revision, now: float) -> list[Effect]:
        abandoned, self._active = self._active, None
        self._start_at = NEVER
        peer = self._choose_peer(own, now)
        if peer is None:
            return []
        self._request += 1
        self._active = _ActiveTransfer(peer, self._request, self._request, own, now)
        if abandoned is not None and abandoned.revision == own:
            self._active = msgspec.structs.replace(abandoned, peer=peer, request=self._request, attempts=1)
        return [self._request_chunks(self._active, now)]

    def _request_chunks(self, transfer: _ActiveTransfer, now: float) -> Effect:
        transfer.deadline = now + self._chunk_timeout_s(transfer)
        fetch = FetchState(
            request=transfer.request,
            revision=transfer.revision,
            kind=transfer.kind,
            target=transfer.target,
            offset=len(transfer.content),
        )
        return Send(transfer.peer, fetch)

    def _chunk_timeout_s(self, transfer: _ActiveTransfer) -> float:
        """Return how long to wait for the next chunk in flight.

        The peer's link may carry the same chunks for ``fan_out`` nodes. A retry before a chunk could have
        arrived would only congest the links with duplicates.
        """
        due_bytes = max(0, min(transfer.window_end, transfer.total_bytes) - len(transfer.content))
        settings = self._settings
        shared_link_bytes_s = settings.slowest_link_bytes_s / settings.fan_out
        return settings.fetch_timeout_s + min(due_bytes, settings.chunk_bytes) / shared_link_bytes_s

    def _choose_peer(self, own: Revision, now: float) -> NodeId | None:
        """Return a random peer that is ahead, preferring responsive ones and then ones in the same zone."""
        self._peers_ahead = {node: revision for node, revision in self._peers_ahead.items() if revision > own}
        self._cooldown_until = {node: until for node, until in self._cooldown_until.items() if until > now}
        candidates = sorted(self._peers_ahead)
        responsive = [node for node in candidates if node not in self._cooldown_until] or candidates
        preferred = [node for node in responsive if self._is_same_zone(node)] or responsive
        return self._rng.choice(preferred) if preferred else None

    def _cool_down(self, peer: NodeId, now: float) -> None:
        self._cooldown_until[peer] = now + self._settings.peer_cooldown_s


def _is_part_of(transfer: _ActiveTransfer, chunk: StateChunk) -> bool:
    return (chunk.kind, chunk.target, chunk.checksum) == (transfer.kind, transfer.target, transfer.checksum)


def _restart(transfer: _ActiveTransfer, chunk: StateChunk) -> None:
    """Start over with the transfer of ``chunk``, since the peer sends a different one than before."""
    transfer.kind = chunk.kind
    transfer.target = chunk.target
    transfer.total_bytes = chunk.total_bytes
    transfer.checksum = chunk.checksum
    transfer.content = bytearray()
    transfer.out_of_order = {}


def _append_chunk(transfer: _ActiveTransfer, chunk: StateChunk) -> bool:
    """Insert a chunk at its offset; return whether the contiguous content grew."""
    before = len(transfer.content)
    transfer.out_of_order[chunk.offset] = chunk.data
    transfer.window_end = max(chunk.window_end, len(transfer.content))
    while (data := transfer.out_of_order.pop(len(transfer.content), b"")) != b"":
        transfer.content += data
        transfer.attempts = 1
    transfer.out_of_order = {
        offset: data for offset, data in transfer.out_of_order.items() if offset > len(transfer.content)
    }
    return len(transfer.content) > before
