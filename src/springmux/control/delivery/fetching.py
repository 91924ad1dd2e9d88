"""The side of a transfer that is behind: whom it asks, what it has got, when it asks another."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from springmux.control.delivery.messages import FetchState, NothingNewer, StateChunk, TransferKind
from springmux.control.delivery.serving import transfer_checksum
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import NodeId, Revision
from springmux.coordination.state_machine import NEVER, Effect, LogLevel, LogLine, Send


class Fetched(msgspec.Struct, frozen=True):
    """A whole transfer with the right checksum."""

    kind: TransferKind
    target: Revision
    content: bytes


class _Running(msgspec.Struct):
    """What is being fetched. Transfers of one kind and target are equal byte for byte at every peer."""

    peer: NodeId
    first_request: int
    """Answers to this request and later ones are of use: a peer that was given up may only be slow."""
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
    early: dict[int, bytes] = msgspec.field(default_factory=dict)
    """Chunks that overtook one before them, by offset."""


class StateFetcher:
    """At most one transfer at a time, from one of the peers known to be ahead."""

    def __init__(
        self, rng: random.Random, settings: DeliverySettings, is_near: Callable[[NodeId], bool]
    ) -> None:
        self._rng = rng
        self._settings = settings
        self._is_near = is_near
        self._ahead: dict[NodeId, Revision] = {}
        self._resting_until: dict[NodeId, float] = {}
        self._running: _Running | None = None
        self._begin_at = NEVER
        self._request = 0

    def next_deadline(self) -> float:
        """Return when to begin a transfer, or to give up waiting for a chunk."""
        return self._running.deadline if self._running is not None else self._begin_at

    def heard(self, node: NodeId, revision: Revision, own: Revision, now: float) -> None:
        """Note that ``node`` has ``revision``; after a grace for the push, fetch it."""
        self._ahead[node] = max(revision, self._ahead.get(node, revision))
        if revision > own and self._begin_at == NEVER:
            spread = self._rng.uniform(0.5, 1.0)
            self._begin_at = now + self._settings.fetch_grace_s * spread

    def begin_now(self, node: NodeId, revision: Revision, own: Revision, now: float) -> list[Effect]:
        """Fetch without grace: a push showed that something is missing, or it must be fetched."""
        self._ahead[node] = max(revision, self._ahead.get(node, revision))
        self._resting_until.pop(node, None)
        return [] if self._running is not None else self._ask_next(own, now)

    def tick(self, own: Revision, now: float) -> list[Effect]:
        """Begin, or ask again, or ask another peer."""
        running = self._running
        if running is None:
            return self._ask_next(own, now) if now >= self._begin_at else []
        if now < running.deadline:
            return []
        if running.revision != own:
            return self._ask_next(own, now)
        fell_silent = len(running.content) > 0 and self._has_another(running, own, now)
        if running.attempts < self._settings.fetch_attempts and not fell_silent:
            running.attempts += 1
            return [self._ask(running, now)]
        return self._give_up(running, own, now)

    def peer_lost(self, peer: NodeId, own: Revision, now: float) -> list[Effect]:
        """The connection to ``peer`` is lost: what it was to send won't come."""
        running = self._running
        if running is None or running.peer != peer:
            return []
        return self._give_up(running, own, now)

    def _give_up(self, running: _Running, own: Revision, now: float) -> list[Effect]:
        """Go on at another peer, with what has come so far."""
        self._rest(running.peer, now)
        fields = {"peer": running.peer, "revision": own, "received_bytes": len(running.content)}
        given_up = LogLine("transfer_given_up", LogLevel.INFO, fields)
        return [given_up, *self._ask_next(own, now)]

    def _has_another(self, running: _Running, own: Revision, now: float) -> bool:
        """Whether a peer beside the asked one is ahead and isn't left alone for not answering."""
        return any(
            node != running.peer and revision > own and self._resting_until.get(node, 0.0) <= now
            for node, revision in self._ahead.items()
        )

    def take_chunk(
        self, sender: NodeId, chunk: StateChunk, own: Revision, now: float
    ) -> tuple[Fetched | None, list[Effect]]:
        """Add a chunk; return the transfer once it is whole, and what to send."""
        running = self._running
        if running is None or not running.first_request <= chunk.request <= running.request:
            return None, []
        is_newest = (sender, chunk.request) == (running.peer, running.request)
        if (chunk.kind, chunk.target, chunk.checksum) != (running.kind, running.target, running.checksum):
            if running.kind is not None and not is_newest:
                return None, []
            _start_over(running, chunk)
        if _add(running, chunk):
            running.deadline = now + self._wait_s(running)
        received = len(running.content)
        if received < running.total_bytes:
            return None, [self._ask(running, now)] if received >= running.window_end else []
        self._running = None
        content = bytes(running.content)
        if transfer_checksum(content) != running.checksum:
            self.no_progress(sender, now)
            return None, []
        return Fetched(chunk.kind, chunk.target, content), []

    def take_nothing(self, sender: NodeId, nothing: NothingNewer, own: Revision, now: float) -> list[Effect]:
        """The asked peer isn't ahead (any more); ask another that is."""
        self._ahead[sender] = nothing.revision
        running = self._running
        if running is None or (sender, nothing.request) != (running.peer, running.request):
            return []
        self._running = None
        return self._ask_next(own, now)

    def go_on(self, own: Revision, now: float) -> list[Effect]:
        """After a transfer: ask at once for what is still missing."""
        return [] if self._running is not None else self._ask_next(own, now)

    def no_progress(self, peer: NodeId, now: float) -> None:
        """A whole transfer brought nothing; wait before the next, so as not to ask without end."""
        self._rest(peer, now)
        self._begin_at = now + self._settings.fetch_timeout_s

    def _ask_next(self, own: Revision, now: float) -> list[Effect]:
        left, self._running = self._running, None
        self._begin_at = NEVER
        peer = self._choose(own, now)
        if peer is None:
            return []
        self._request += 1
        self._running = _Running(peer, self._request, self._request, own, now)
        if left is not None and left.revision == own:
            self._running = msgspec.structs.replace(left, peer=peer, request=self._request, attempts=1)
        return [self._ask(self._running, now)]

    def _ask(self, running: _Running, now: float) -> Effect:
        running.deadline = now + self._wait_s(running)
        fetch = FetchState(
            request=running.request,
            revision=running.revision,
            kind=running.kind,
            target=running.target,
            offset=len(running.content),
        )
        return Send(running.peer, fetch)

    def _wait_s(self, running: _Running) -> float:
        """Return how long to wait for the next chunk of those on their way.

        The peer's link may be carrying the same for as many others as it pushes to. To ask again, here or
        elsewhere, before it can have come would only fill the links with copies.
        """
        due_bytes = max(0, min(running.window_end, running.total_bytes) - len(running.content))
        settings = self._settings
        shared_link_bytes_s = settings.slowest_link_bytes_s / settings.fan_out
        return settings.fetch_timeout_s + min(due_bytes, settings.chunk_bytes) / shared_link_bytes_s

    def _choose(self, own: Revision, now: float) -> NodeId | None:
        """Prefer peers that answer, then near ones; else at random, so that load spreads."""
        self._ahead = {node: revision for node, revision in self._ahead.items() if revision > own}
        self._resting_until = {node: until for node, until in self._resting_until.items() if until > now}
        candidates = sorted(self._ahead)
        answering = [node for node in candidates if node not in self._resting_until] or candidates
        near = [node for node in answering if self._is_near(node)] or answering
        return self._rng.choice(near) if near else None

    def _rest(self, peer: NodeId, now: float) -> None:
        self._resting_until[peer] = now + self._settings.peer_rest_s


def _start_over(running: _Running, chunk: StateChunk) -> None:
    """The peer sends another transfer than the one begun; drop what is there of the old one."""
    running.kind = chunk.kind
    running.target = chunk.target
    running.total_bytes = chunk.total_bytes
    running.checksum = chunk.checksum
    running.content = bytearray()
    running.early = {}


def _add(running: _Running, chunk: StateChunk) -> bool:
    """Add a chunk in its place; return whether it led on, which alone counts as progress."""
    before = len(running.content)
    running.early[chunk.offset] = chunk.data
    running.window_end = max(chunk.window_end, len(running.content))
    while (data := running.early.pop(len(running.content), b"")) != b"":
        running.content += data
        running.attempts = 1
    running.early = {offset: data for offset, data in running.early.items() if offset > len(running.content)}
    return len(running.content) > before
