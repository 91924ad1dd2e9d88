"""Model of an engine in virtual time: continuous batching in steps, chunked prefill, and a prefix cache.

A step takes a fixed time, an additional time for each running request, and the time of the prefill chunk
that it processes, so a long prompt delays the tokens of all requests (chunked prefill: Agrawal et al. 2024,
Sarathi-Serve). The cache holds the prefix segments of running and past prompts and evicts the least recently
used. A cached segment counts only if all segments before it are cached.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from springmux.gateway.dispatches import Dispatch
from springmux.gateway.prompt_metadata import PromptMetadata


@dataclass(frozen=True)
class EngineShape:
    """Speed and size of an engine.

    ``step_s``: fixed duration of a step. ``step_request_s``: added to a step for each running request.
    ``first_event_delay_s``: delay before each first event. ``attention_pair_s``: attention time for each pair
    of a processed token and an earlier one. ``chunk_tokens``: largest prefill chunk of one step.
    """

    slots: int = 64
    step_s: float = 0.005
    step_request_s: float = 0.0
    first_event_delay_s: float = 0.0
    prefill_tokens_per_s: float = 51_000.0
    attention_pair_s: float = 0.0
    chunk_tokens: int = 512
    cache_tokens: int = 511_570


@dataclass(eq=False)
class Request:
    """One request and its results.

    ``at``: arrival time in seconds. ``kind``: index of its kind in the trace. ``first_event_s``: time from
    arrival to the first event, -1 before it. ``cached_tokens``: prefix tokens found in the cache.
    ``engine``: index of the chosen engine, -1 before the choice.
    """

    at: float
    node: int
    metadata: PromptMetadata
    long: bool
    kind: int = 0
    first_event_s: float = -1.0
    cached_tokens: int = 0
    engine: int = -1
    dispatch: Dispatch | None = None
    remaining_tokens: int = 0
    processed_tokens: int = 0


class DecodingRequest(NamedTuple):
    """Entry of the heap of decoding requests, ordered by the step that emits the last token."""

    last_step: int
    sequence: int
    request: Request


@dataclass
class Engine:
    """State of one engine."""

    shape: EngineShape = field(default_factory=EngineShape)
    waiting: deque[Request] = field(default_factory=deque)
    prefilling: deque[Request] = field(default_factory=deque)
    decoding: list[DecodingRequest] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    step: int = 0
    busy: bool = False

    @property
    def running(self) -> int:
        """Return the number of requests that occupy a slot."""
        return len(self.prefilling) + len(self.decoding)

    def admit(self) -> None:
        """Start waiting requests while there are free slots."""
        while self.waiting and self.running < self.shape.slots:
            request = self.waiting.popleft()
            request.cached_tokens = self._lookup_and_store(request.metadata)
            request.remaining_tokens = max(1, request.metadata.prompt_tokens - request.cached_tokens)
            request.processed_tokens = request.cached_tokens
            self.prefilling.append(request)

    def prefill(self) -> tuple[list[Request], float]:
        """Process one chunk of the oldest prompts; return the finished ones and the time taken in seconds."""
        shape = self.shape
        budget_tokens, seconds = shape.chunk_tokens, 0.0
        ready = []
        while self.prefilling and budget_tokens > 0:
            head = self.prefilling[0]
            chunk = min(budget_tokens, head.remaining_tokens)
            seconds += (
                chunk / shape.prefill_tokens_per_s
                + chunk * (head.processed_tokens + chunk / 2) * shape.attention_pair_s
            )
            head.remaining_tokens -= chunk
            head.processed_tokens += chunk
            budget_tokens -= chunk
            if head.remaining_tokens == 0:
                ready.append(self.prefilling.popleft())
        return ready, seconds

    def _lookup_and_store(self, metadata: PromptMetadata) -> int:
        """Return the tokens of the cached leading segments, and cache all segments of the prompt."""
        cached_tokens, missed = 0, False
        for segment, tokens in metadata.prefix:
            if segment in self.cache:
                self.cache.move_to_end(segment)
                cached_tokens += 0 if missed else tokens
            else:
                missed = True
                self.cache[segment] = tokens
                self.cached_tokens += tokens
        while self.cached_tokens > self.shape.cache_tokens:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        return cached_tokens
