"""Model of an engine: prefix cache, concurrent prefill and decode, queueing, and a version's behaviour.

The emulated engines of ``lab/`` (real time) and the hollow engines of the simulation (virtual time) share
this model. It is pure: it computes delays, and its caller waits.
"""

from __future__ import annotations

import enum
import random
from collections import OrderedDict, deque

import msgspec
import xxhash

from springmux.vocabulary.names import RequestId, RouteName

CACHE_BLOCK_BYTES = 1024
"""Prompt bytes per cache block; about 256 tokens of four bytes."""

BYTES_PER_TOKEN = 4
"""Approximate size of a token in text; the usual value for English."""


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and size of one engine.

    With the defaults the first token of a long prompt without a cached prefix takes about 0.1 s.
    """

    slots: int = 16
    prefill_tokens_per_s: float = 40_000.0
    decode_gap_s: float = 0.012
    decode_gap_full_s: float = 0.022
    prefill_interference: float = 1.3
    cache_blocks: int = 4096
    fixed_delay_s: float = 0.004
    jitter: float = 0.15


class VersionBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """How a version differs from a good one. Shares are 0..1, factors 1.0 for no change.

    The version is degraded only once ``after_s`` seconds have passed since the model's ``bad_since``, on
    engines with at least ``above_running`` requests, and on ``route`` (empty: on every route).
    """

    error_share: float = 0.0
    cut_share: float = 0.0
    first_token_factor: float = 1.0
    gap_factor: float = 1.0
    wrong_id_share: float = 0.0
    silent_share: float = 0.0
    garbage_share: float = 0.0
    after_s: float = 0.0
    above_running: int = 0
    route: str = ""


GOOD = VersionBehaviour()


class ResponseFault(enum.StrEnum):
    """Fault of one response."""

    NONE = "none"
    ERROR = "error"
    CUT = "cut"
    WRONG_ID = "wrong_id"
    SILENT = "silent"
    GARBAGE = "garbage"


class ResponsePlan(msgspec.Struct, frozen=True):
    """Planned response of an engine to a request that has a slot. ``cut_after``: chunks before a cut.

    ``degraded``: whether the response is worse than a good version's: faulty or slower.
    """

    fault: ResponseFault
    first_chunk_delay_s: float
    cached_share: float
    cut_after: int = 0
    degraded: bool = False


class PrefixCache:
    """Least-recently-used cache of prompt blocks, keyed by the hash of the prompt up to the block's end."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def used_share(self) -> float:
        """Return the fraction of the cache in use, 0..1."""
        return len(self._blocks) / self._capacity_blocks

    def lookup_and_store(self, blocks: list[int]) -> int:
        """Return the number of leading blocks that were cached, and cache all of them."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)
        return hits


def prompt_blocks(prompt: bytes) -> list[int]:
    """Return the chained hashes of the complete blocks of ``prompt``."""
    digest = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(prompt) - CACHE_BLOCK_BYTES + 1, CACHE_BLOCK_BYTES):
        digest.update(prompt[start : start + CACHE_BLOCK_BYTES])
        blocks.append(digest.intdigest())
    return blocks


class EngineModel:
    """State of one engine: running and queued requests, the cache, and the end of the current prefill."""

    def __init__(self, spec: EngineSpec, behaviour: VersionBehaviour, source: random.Random) -> None:
        self.spec = spec
        self.behaviour = behaviour
        self.bad_since: float | None = None
        self.cache = PrefixCache(spec.cache_blocks)
        self._random = source
        self._running: set[RequestId] = set()
        self._waiting: deque[RequestId] = deque()
        self._prefill_busy_until = 0.0

    @property
    def running(self) -> int:
        """Return the number of requests with a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    def arrive(self, request: RequestId) -> bool:
        """Accept a request; return whether it gets a slot now. Otherwise it is queued."""
        if len(self._running) < self.spec.slots:
            self._running.add(request)
            return True
        self._waiting.append(request)
        return False

    def leave(self, request: RequestId) -> RequestId | None:
        """Remove a request that ended or was cancelled; return the queued request that gets its slot."""
        if request in self._waiting:
            self._waiting.remove(request)
            return None
        self._running.discard(request)
        if self._waiting and len(self._running) < self.spec.slots:
            successor = self._waiting.popleft()
            self._running.add(successor)
            return successor
        return None

    def plan(self, prompt: bytes, route: RouteName, now: float) -> ResponsePlan:
        """Plan the response to a request that has a slot.

        The uncached part of its prompt is prefilled after the prefills before it.
        """
        blocks = prompt_blocks(prompt)
        hits = self.cache.lookup_and_store(blocks)
        uncached_bytes = len(prompt) - hits * CACHE_BLOCK_BYTES
        prefill_s = uncached_bytes / BYTES_PER_TOKEN / self.spec.prefill_tokens_per_s
        begin = max(now, self._prefill_busy_until)
        self._prefill_busy_until = begin + prefill_s
        delay_s = (self._prefill_busy_until - now + self.spec.fixed_delay_s) * self._jitter()
        bad = self._is_degraded(route, now)
        if bad:
            delay_s *= self.behaviour.first_token_factor
        fault = self._draw_fault() if bad else ResponseFault.NONE
        cached_share = hits / len(blocks) if blocks else 0.0
        slower = bad and max(self.behaviour.first_token_factor, self.behaviour.gap_factor) > 1.0
        return ResponsePlan(
            fault,
            delay_s,
            cached_share,
            cut_after=self._random.randint(1, 4),
            degraded=slower or fault is not ResponseFault.NONE,
        )

    def chunk_gap_s(self, route: RouteName, now: float) -> float:
        """Return the seconds to the next chunk; more with many running requests and during a prefill."""
        spec = self.spec
        fullness = min(1.0, len(self._running) / spec.slots)
        gap_s = spec.decode_gap_s + (spec.decode_gap_full_s - spec.decode_gap_s) * fullness
        if self._prefill_busy_until > now:
            gap_s *= spec.prefill_interference
        if self._is_degraded(route, now):
            gap_s *= self.behaviour.gap_factor
        return gap_s * self._jitter()

    def _jitter(self) -> float:
        return 1.0 + self.spec.jitter * (2.0 * self._random.random() - 1.0)

    def _is_degraded(self, route: RouteName, now: float) -> bool:
        behaviour = self.behaviour
        if behaviour is GOOD:
            return False
        if behaviour.route and behaviour.route != route:
            return False
        if len(self._running) < behaviour.above_running:
            return False
        if behaviour.after_s <= 0.0:
            return True
        return self.bad_since is not None and now - self.bad_since >= behaviour.after_s

    def _draw_fault(self) -> ResponseFault:
        behaviour = self.behaviour
        shares = (
            (behaviour.error_share, ResponseFault.ERROR),
            (behaviour.cut_share, ResponseFault.CUT),
            (behaviour.wrong_id_share, ResponseFault.WRONG_ID),
            (behaviour.silent_share, ResponseFault.SILENT),
            (behaviour.garbage_share, ResponseFault.GARBAGE),
        )
        draw = self._random.random()
        for share, fault in shares:
            if draw < share:
                return fault
            draw -= share
        return ResponseFault.NONE
