"""Model of a back end: prefix cache, prefill beside decode, queueing, and a version's behaviour.

One model serves the stand-in engines of ``lab/`` (real time) and the hollow engines of the
simulation (virtual time): it is pure, and its caller does the waiting.
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
"""Rough size of a token in text; the usual figure for English."""


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and size of one engine. Defaults give about 0.1 s to the first token of a cold long prompt."""

    slots: int = 16
    prefill_tokens_per_s: float = 40_000.0
    decode_gap_s: float = 0.012
    decode_gap_full_s: float = 0.022
    prefill_interference: float = 1.3
    cache_blocks: int = 4096
    fixed_delay_s: float = 0.004
    jitter: float = 0.15


class VersionBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """How a version departs from a good one. Shares in 0..1, factors 1.0 for no change.

    The departure holds only once ``after_s`` have passed since ``bad_since`` was set on the model,
    on engines with at least ``above_running`` requests, and on ``route`` (empty: on every route).
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


class AnswerFault(enum.StrEnum):
    """What goes wrong with one answer."""

    NONE = "none"
    ERROR = "error"
    CUT = "cut"
    WRONG_ID = "wrong_id"
    SILENT = "silent"
    GARBAGE = "garbage"


class AnswerPlan(msgspec.Struct, frozen=True):
    """What the engine will do with one request once it has a slot. ``cut_after``: pieces before a cut.

    ``departs``: the answer is a bad one (a fault, or slower than a good version's).
    """

    fault: AnswerFault
    first_piece_delay_s: float
    cached_share: float
    cut_after: int = 0
    departs: bool = False


class PrefixCache:
    """Least-recently-used cache of prompt blocks, each named by the hash of all text before its end."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def used_share(self) -> float:
        """Return how full the cache is, 0..1."""
        return len(self._blocks) / self._capacity_blocks

    def lookup_and_store(self, blocks: list[int]) -> int:
        """Return how many leading blocks were cached, and keep them all."""
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
    """Return the chained hashes of the whole blocks of ``prompt``."""
    digest = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(prompt) - CACHE_BLOCK_BYTES + 1, CACHE_BLOCK_BYTES):
        digest.update(prompt[start : start + CACHE_BLOCK_BYTES])
        blocks.append(digest.intdigest())
    return blocks


class EngineModel:
    """State of one engine: who runs, who waits, what is cached, until when prefill is busy."""

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
        """Accept a request; return whether it gets a slot at once, or else waits in order."""
        if len(self._running) < self.spec.slots:
            self._running.add(request)
            return True
        self._waiting.append(request)
        return False

    def leave(self, request: RequestId) -> RequestId | None:
        """Remove a request (ended, or its caller gone); return the waiting one that gets the slot."""
        if request in self._waiting:
            self._waiting.remove(request)
            return None
        self._running.discard(request)
        if self._waiting and len(self._running) < self.spec.slots:
            successor = self._waiting.popleft()
            self._running.add(successor)
            return successor
        return None

    def plan(self, prompt: bytes, route: RouteName, now: float) -> AnswerPlan:
        """Start a request that has its slot: prefill what is not cached, after the prefills before it."""
        blocks = prompt_blocks(prompt)
        hits = self.cache.lookup_and_store(blocks)
        uncached_bytes = len(prompt) - hits * CACHE_BLOCK_BYTES
        prefill_s = uncached_bytes / BYTES_PER_TOKEN / self.spec.prefill_tokens_per_s
        begin = max(now, self._prefill_busy_until)
        self._prefill_busy_until = begin + prefill_s
        delay_s = (self._prefill_busy_until - now + self.spec.fixed_delay_s) * self._jitter()
        bad = self._departs(route, now)
        if bad:
            delay_s *= self.behaviour.first_token_factor
        fault = self._draw_fault() if bad else AnswerFault.NONE
        cached_share = hits / len(blocks) if blocks else 0.0
        slower = bad and max(self.behaviour.first_token_factor, self.behaviour.gap_factor) > 1.0
        return AnswerPlan(
            fault,
            delay_s,
            cached_share,
            cut_after=self._random.randint(1, 4),
            departs=slower or fault is not AnswerFault.NONE,
        )

    def piece_gap_s(self, route: RouteName, now: float) -> float:
        """Return the time to the next piece: slower with more requests, and beside a prefill."""
        spec = self.spec
        fullness = min(1.0, len(self._running) / spec.slots)
        gap_s = spec.decode_gap_s + (spec.decode_gap_full_s - spec.decode_gap_s) * fullness
        if self._prefill_busy_until > now:
            gap_s *= spec.prefill_interference
        if self._departs(route, now):
            gap_s *= self.behaviour.gap_factor
        return gap_s * self._jitter()

    def _jitter(self) -> float:
        return 1.0 + self.spec.jitter * (2.0 * self._random.random() - 1.0)

    def _departs(self, route: RouteName, now: float) -> bool:
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

    def _draw_fault(self) -> AnswerFault:
        behaviour = self.behaviour
        shares = (
            (behaviour.error_share, AnswerFault.ERROR),
            (behaviour.cut_share, AnswerFault.CUT),
            (behaviour.wrong_id_share, AnswerFault.WRONG_ID),
            (behaviour.silent_share, AnswerFault.SILENT),
            (behaviour.garbage_share, AnswerFault.GARBAGE),
        )
        draw = self._random.random()
        for share, fault in shares:
            if draw < share:
                return fault
            draw -= share
        return AnswerFault.NONE
