"""Dispatches in flight: their load on the engines, and the effect of their ends on the engines' health."""

from __future__ import annotations

import math
from dataclasses import dataclass

from springmux.gateway.engine_health import UNRESPONSIVE_AFTER_S, ExchangeOutcome
from springmux.gateway.engine_pool import EngineSlot, EngineTable, ServicePool
from springmux.gateway.prefix_memory import PREFILL_TOKENS_PER_S, PrefixMemory
from springmux.gateway.prompt_metadata import PromptMetadata
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId, ServiceName

FIXED_COST_TOKENS = 1000.0
"""Time of an idle engine to a first event beyond the prefill (20 ms), expressed as prompt tokens."""
MAX_QUEUE_ESTIMATE_TOKENS = 20_000.0
"""Largest queue estimate: about one long uncached prompt."""


@dataclass(eq=False, slots=True)
class Dispatch:
    """One dispatch in flight. Times are monotonic seconds.

    ``model``: whether a model engine serves it. ``trial``: whether it is a half-open engine's trial.
    ``expected_tokens``: uncached prompt tokens to prefill before its first event. ``ahead_tokens``: this
    node's tokens queued ahead of them. ``prefilling``: no first event has arrived. ``open``: not ended yet.
    """

    slot: EngineSlot
    model: bool
    trial: bool
    began_at: float
    expected_tokens: float
    ahead_tokens: float
    long_prefix: bool
    prefilling: bool = True
    open: bool = True

    @property
    def prefill_wait_s(self) -> float:
        """Estimated prefill time in seconds before the first event; 0 for plain services."""
        if not self.model:
            return 0.0
        ahead_tokens = self.ahead_tokens + self.slot.other_tokens
        return (self.expected_tokens + ahead_tokens) / PREFILL_TOKENS_PER_S

    @property
    def record(self) -> EngineRecord:
        """The engine's current record."""
        return self.slot.record


class DispatchTracker:
    """Maintains the load counts of the slots and updates health, pace and prefix memory.

    ``models``: services with model engines.
    """

    def __init__(self, table: EngineTable, memory: PrefixMemory) -> None:
        self.models: frozenset[ServiceName] = frozenset()
        self._table = table
        self._memory = memory
        self._changed: dict[EngineId, None] = {}

    def take_changed(self) -> list[tuple[EngineId, int, float]]:
        """Return engine, requests and prompt tokens for each change of load since the last call."""
        changed, self._changed = self._changed, {}
        found: list[tuple[EngineId, int, float]] = []
        for engine in changed:
            slot = self._table.slots.get(engine)
            found.append((engine, slot.in_flight, slot.prefill_tokens) if slot else (engine, 0, 0.0))
        return found

    def is_model(self, service: ServiceName, prompt: PromptMetadata) -> bool:
        """Return whether a model engine serves the request."""
        return service in self.models or prompt.prompt_tokens > 0

    def record_dispatch(self, record: EngineRecord, prompt: PromptMetadata, now: float) -> Dispatch:
        """Count a dispatched request. An engine that has just left gets a slot that is not in the table."""
        slot = self._table.slots.get(record.engine) or EngineSlot(record, now)
        model = self.is_model(record.service, prompt)
        prefix_id, prefix_tokens = prompt.long_prefix()
        expected = float(prompt.prompt_tokens)
        if prefix_tokens and self._memory.probably_cached(prefix_id, slot, now):
            expected -= prefix_tokens
        dispatch = Dispatch(
            slot=slot,
            model=model,
            trial=slot.health.record_dispatch(now),
            began_at=now,
            expected_tokens=expected,
            ahead_tokens=slot.prefill_tokens
            if model
            else FIXED_COST_TOKENS * slot.in_flight / record.capacity,
            long_prefix=prefix_tokens > 0,
        )
        self._changed[record.engine] = None
        slot.in_flight += 1
        slot.prefill_tokens += expected
        slot.sent_at = now
        slot.skipped_choices = 0
        if prefix_tokens:
            self._memory.record_dispatch(prefix_id, slot, now)
        for part_id, _ in prompt.prefix[-2:]:
            self._memory.record_part(part_id, slot)
        pool = self._table.pool(record.service)
        if pool is not None:
            pool.update_mean_in_flight()
        return dispatch

    def record_first_event(self, dispatch: Dispatch, now: float) -> None:
        """Record the first event of a response, which ends the prefill."""
        if not dispatch.prefilling:
            return
        slot = dispatch.slot
        waited_s = now - dispatch.began_at
        self._end_prefill(dispatch)
        slot.health.record_received(now)
        slot.health.record_pace(
            waited_s, dispatch.expected_tokens + dispatch.ahead_tokens + FIXED_COST_TOKENS, now
        )
        if dispatch.model:
            queued_tokens = waited_s * PREFILL_TOKENS_PER_S - dispatch.expected_tokens - FIXED_COST_TOKENS
            slot.queue_tokens = min(MAX_QUEUE_ESTIMATE_TOKENS, max(0.0, queued_tokens))
            slot.queue_estimated_at = now

    def record_end(self, dispatch: Dispatch, outcome: ExchangeOutcome, now: float) -> None:
        """Record the end of a dispatch; a second call changes nothing."""
        if not dispatch.open:
            return
        dispatch.open = False
        slot = dispatch.slot
        if outcome is ExchangeOutcome.OK:
            self.record_first_event(dispatch, now)
            if dispatch.long_prefix:
                self._memory.record_duration(now - dispatch.began_at)
        if dispatch.prefilling and outcome is ExchangeOutcome.TIMED_OUT:
            tokens = dispatch.expected_tokens + dispatch.ahead_tokens + FIXED_COST_TOKENS
            slot.health.record_pace(now - dispatch.began_at, tokens, now)
        self._end_prefill(dispatch)
        self._changed[slot.record.engine] = None
        slot.in_flight -= 1
        slot.health.record_end(outcome, dispatch.trial, dispatch.began_at, now)
        pool = self._table.pool(slot.record.service)
        if pool is None:
            return
        unresponsive = (dispatch.trial and slot.health.is_suspect) or _only_unresponsive(
            pool, slot, dispatch.began_at, now
        )
        if outcome is ExchangeOutcome.TIMED_OUT and unresponsive:
            slot.health.suspect_unresponsive(dispatch.began_at, now)
        if outcome is not ExchangeOutcome.OK:
            pool.force_refresh()

    def _end_prefill(self, dispatch: Dispatch) -> None:
        if dispatch.prefilling:
            dispatch.prefilling = False
            self._changed[dispatch.slot.record.engine] = None
            dispatch.slot.prefill_tokens -= dispatch.expected_tokens


def _only_unresponsive(pool: ServicePool, slot: EngineSlot, began_at: float, now: float) -> bool:
    """Return whether this engine has sent nothing while another engine of its service responded."""
    own = slot.health.last_received_at
    if own > now - UNRESPONSIVE_AFTER_S:
        return False
    since = max(own, began_at)
    others = (other.health.last_received_at for other in pool.ready.slots if other is not slot)
    return max(others, default=-math.inf) > since
