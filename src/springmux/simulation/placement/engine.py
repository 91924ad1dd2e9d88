"""A model engine in virtual time: continuous batching in steps, prefill in pieces, a cache of prompt parts.

Each step takes a fixed time, some more for each running request, and the time of the piece of prefill that
goes on in it, so that a long prompt delays everybody's tokens (chunked prefill: Agrawal et al. 2024,
Sarathi-Serve). The cache holds the parts of running and past prompts; the least recently used give way. A
kept part counts only if all parts before it are kept.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from springmux.gateway.dispatches import Dispatch
from springmux.gateway.prompt_metadata import PromptMetadata


@dataclass(frozen=True)
class EngineShape:
    """An engine's figures.

    ``step_slot_s``: more a step for each running request. ``piece_tokens``: most prefill of one step.
    ``pair_s``: for each pair of a read token and one before it. ``first_s``: before each first event.
    """

    slots: int = 64
    step_s: float = 0.005
    step_slot_s: float = 0.0
    first_s: float = 0.0
    prefill_tokens_per_s: float = 51_000.0
    pair_s: float = 0.0
    piece_tokens: int = 512
    cache_tokens: int = 511_570


@dataclass(eq=False)
class Request:
    """One request; ``at`` in seconds. ``kind``: index of its kind in the trace."""

    at: float
    node: int
    facts: PromptMetadata
    long: bool
    kind: int = 0
    first_event_s: float = -1.0
    kept_tokens: int = 0
    engine: int = -1
    correlation_id: Dispatch | None = None
    left: int = 0
    read: int = 0


@dataclass
class Engine:
    """One model engine."""

    shape: EngineShape = field(default_factory=EngineShape)
    waiting: deque[Request] = field(default_factory=deque)
    prefilling: deque[Request] = field(default_factory=deque)
    decoding: list[tuple[int, int, Request]] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached: int = 0
    step: int = 0
    busy: bool = False

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self.prefilling) + len(self.decoding)

    def admit(self) -> None:
        """Start waiting requests while there are slots."""
        while self.waiting and self.running < self.shape.slots:
            request = self.waiting.popleft()
            request.kept_tokens = self._kept(request.facts)
            request.left = max(1, request.facts.prompt_tokens - request.kept_tokens)
            request.read = request.kept_tokens
            self.prefilling.append(request)

    def prefill(self) -> tuple[list[Request], float]:
        """Read the next piece of the oldest prompts; return those that are done, and the time taken."""
        shape = self.shape
        room, seconds = shape.piece_tokens, 0.0
        ready = []
        while self.prefilling and room > 0:
            head = self.prefilling[0]
            piece = min(room, head.left)
            seconds += piece / shape.prefill_tokens_per_s + piece * (head.read + piece / 2) * shape.pair_s
            head.left -= piece
            head.read += piece
            room -= piece
            if head.left == 0:
                ready.append(self.prefilling.popleft())
        return ready, seconds

    def _kept(self, facts: PromptMetadata) -> int:
        kept, broken = 0, False
        for part, tokens in facts.prefix:
            if part in self.cache:
                self.cache.move_to_end(part)
                kept += 0 if broken else tokens
            else:
                broken = True
                self.cache[part] = tokens
                self.cached += tokens
        while self.cached > self.shape.cache_tokens:
            self.cached -= self.cache.popitem(last=False)[1]
        return kept
