"""Serves the control state to peers that are behind."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import msgspec
import xxhash

from springmux.control.delivery.effects import ProvideSnapshot
from springmux.control.delivery.messages import (
    DeliveredCommand,
    FetchState,
    NoNewerRevision,
    StateChunk,
    TransferKind,
)
from springmux.control.delivery.recent_log import RecentLog
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import NodeId, Revision
from springmux.coordination.state_machine import NEVER, Effect, Send

MAX_CACHED_DELTAS = 4
"""Encoded deltas that are kept: after a large command most nodes request the same one."""
MAX_WAITING_PEERS = 1000
SNAPSHOT_TIMEOUT_S = 5.0
"""Time after which a snapshot is requested again. The agent takes one in well under a second."""
_encoder = msgspec.msgpack.Encoder()


class _Transfer(msgspec.Struct, frozen=True):
    kind: TransferKind
    target: Revision
    content: bytes
    checksum: int


class StateServer:
    """Replies to :class:`FetchState` from the recent log if it reaches back far enough, else with a snapshot.

    A snapshot is requested from the agent once, and serves all peers as long as the recent log continues it.
    """

    def __init__(self, recent: RecentLog, settings: DeliverySettings) -> None:
        self._recent = recent
        self._settings = settings
        self._deltas: OrderedDict[tuple[Revision, Revision], _Transfer] = OrderedDict()
        self._snapshot: _Transfer | None = None
        self._keep_until = NEVER
        self._waiting: dict[NodeId, FetchState] = {}
        self._snapshot_requested_at = -NEVER

    def next_deadline(self) -> float:
        """Return the monotonic time at which the cached transfers expire."""
        return self._keep_until

    def tick(self, now: float) -> None:
        """Drop the snapshot (some MiB) and the deltas if no peer fetched any for ``snapshot_keep_s``."""
        if now >= self._keep_until:
            self._snapshot = None
            self._deltas.clear()
            self._keep_until = NEVER

    def handle_fetch(self, sender: NodeId, fetch: FetchState, own: Revision, now: float) -> list[Effect]:
        """Reply with the next window of chunks, or request a snapshot from the agent first."""
        if own <= fetch.revision:
            return [Send(sender, NoNewerRevision(fetch.request, own))]
        transfer = (
            self._resumed_transfer(fetch) or self._delta_after(fetch.revision) or self._usable_snapshot(own)
        )
        if transfer is not None:
            return self._next_window(sender, fetch, transfer, now)
        if len(self._waiting) < MAX_WAITING_PEERS:
            self._waiting[sender] = fetch
        if now < self._snapshot_requested_at + SNAPSHOT_TIMEOUT_S:
            return []
        self._snapshot_requested_at = now
        return [ProvideSnapshot()]

    def handle_snapshot(self, revision: Revision, snapshot: bytes, now: float) -> list[Effect]:
        """Cache the requested snapshot and reply to the peers that wait for it."""
        self._snapshot_requested_at = -NEVER
        self._snapshot = _new_transfer(TransferKind.SNAPSHOT, revision, snapshot)
        waiting, self._waiting = self._waiting, {}
        effects: list[Effect] = []
        for sender, fetch in waiting.items():
            if revision > fetch.revision:
                effects += self._next_window(sender, fetch, self._snapshot, now)
            else:
                effects.append(Send(sender, NoNewerRevision(fetch.request, revision)))
        return effects

    def _resumed_transfer(self, fetch: FetchState) -> _Transfer | None:
        """Return the transfer of which the requester already has a part, if it is still cached."""
        if fetch.kind is TransferKind.SNAPSHOT:
            snapshot = self._snapshot
            return snapshot if snapshot is not None and snapshot.target == fetch.target else None
        return self._deltas.get((fetch.revision, fetch.target))

    def _delta_after(self, revision: Revision) -> _Transfer | None:
        commands = self._recent.after(revision, self._settings.delta_max_bytes)
        if commands is None:
            return None
        key = (revision, commands[-1].index)
        if key not in self._deltas:
            self._deltas[key] = _new_transfer(TransferKind.DELTA, key[1], _encoder.encode(commands))
            if len(self._deltas) > MAX_CACHED_DELTAS:
                self._deltas.popitem(last=False)
        return self._deltas[key]

    def _usable_snapshot(self, own: Revision) -> _Transfer | None:
        """Return the cached snapshot if it is the current state, or if the recent log continues it."""
        snapshot = self._snapshot
        if snapshot is None:
            return None
        is_usable = snapshot.target == own or self._recent.after(snapshot.target, 0) is not None
        return snapshot if is_usable else None

    def _next_window(
        self, sender: NodeId, fetch: FetchState, transfer: _Transfer, now: float
    ) -> list[Effect]:
        """Return one window of chunks. If ``transfer`` isn't the requested one, it starts at offset 0."""
        self._keep_until = now + self._settings.snapshot_keep_s
        is_same = (fetch.kind, fetch.target) == (transfer.kind, transfer.target)
        start = fetch.offset if is_same else 0
        end = min(start + self._settings.window_chunks * self._settings.chunk_bytes, len(transfer.content))
        return [
            Send(sender, _new_chunk(fetch.request, transfer, offset, size_bytes, end))
            for offset, size_bytes in self._chunk_ranges(start, end)
        ]

    def _chunk_ranges(self, start: int, end: int) -> Iterator[tuple[int, int]]:
        """Yield offset and size of each chunk from ``start`` to ``end``."""
        offset = start
        while offset < end:
            is_first = offset == 0
            max_size_bytes = self._settings.first_chunk_bytes if is_first else self._settings.chunk_bytes
            size_bytes = min(max_size_bytes, self._settings.chunk_bytes, end - offset)
            yield offset, size_bytes
            offset += size_bytes


def decode_delta(content: bytes) -> tuple[DeliveredCommand, ...]:
    """Return the commands of a delta.

    :raises msgspec.DecodeError: if ``content`` isn't an encoded delta.
    """
    return msgspec.msgpack.decode(content, type=tuple[DeliveredCommand, ...])


def transfer_checksum(content: bytes) -> int:
    """Return the checksum of a whole transfer: 63 bits of xxh3, which fit into a signed 64-bit integer."""
    return xxhash.xxh3_64_intdigest(content) >> 1


def _new_transfer(kind: TransferKind, target: Revision, content: bytes) -> _Transfer:
    return _Transfer(kind, target, content, transfer_checksum(content))


def _new_chunk(
    request: int, transfer: _Transfer, offset: int, size_bytes: int, window_end: int
) -> StateChunk:
    return StateChunk(
        request=request,
        kind=transfer.kind,
        target=transfer.target,
        total_bytes=len(transfer.content),
        checksum=transfer.checksum,
        offset=offset,
        data=transfer.content[offset : offset + size_bytes],
        window_end=window_end,
    )
