"""Selection of the account totals and engine loads that a collector publishes to every node."""

from __future__ import annotations

from collections.abc import Mapping

from springmux.coordination.usage.bucket import Bucket
from springmux.coordination.usage.engine_loads import IDLE, EngineLoads, Load, rounded
from springmux.coordination.usage.events import UsageSettings
from springmux.coordination.usage.fleet_view import FleetView
from springmux.coordination.usage.messages import AccountTotal, EngineLoad

HEARTBEAT_S = 0.5
"""Longest interval, in seconds, between totals while any account or engine is in use."""

ACCOUNT_EXPIRY_S = 5.0
"""Time, in seconds, since its last report after which an account is no longer published."""


class Collector:
    """Selects the accounts and engines that the next totals include."""

    def __init__(self, settings: UsageSettings) -> None:
        self._settings = settings
        self._last_used: dict[str, float] = {}
        self._published: dict[str, float] = {}
        self._published_engines: dict[str, tuple[Load, float]] = {}
        self._published_at = 0.0

    def record_use(self, account: str, now: float) -> None:
        """Record that an account was reported by a peer or used at this node."""
        self._last_used[account] = now

    def is_busy(self) -> bool:
        """Return whether any account or engine was in use recently."""
        return bool(self._last_used or self._published_engines)

    def take_due_accounts(
        self, buckets: Mapping[str, Bucket], fleet: FleetView, now: float
    ) -> tuple[AccountTotal, ...]:
        """Return the totals due now. Accounts near their limit are due each time, the others less often."""
        due: list[AccountTotal] = []
        republish_before = now - self._settings.low_usage_totals_period_s + self._settings.totals_period_s / 2
        for account, last_used in list(self._last_used.items()):
            bucket = buckets.get(account)
            if bucket is None or now - last_used > ACCOUNT_EXPIRY_S:
                del self._last_used[account]
                self._published.pop(account, None)
                continue
            bucket.advance(fleet, now)
            if bucket.is_near_limit() or self._published.get(account, 0.0) < republish_before:
                due.append(AccountTotal(account, round(bucket.level), round(bucket.fleet_demand(now))))
                self._published[account] = now
        return tuple(due)

    def take_due_engines(self, loads: EngineLoads, now: float) -> tuple[EngineLoad, ...]:
        """Return the engine loads, summed over all nodes, that changed or are due for a refresh."""
        sums = loads.others(now)
        for engine, (requests, tokens) in loads.own().items():
            other_requests, other_tokens = sums.get(engine, IDLE)
            sums[engine] = (requests + other_requests, tokens + other_tokens)
        due: list[EngineLoad] = []
        for engine in [*sums, *(engine for engine in self._published_engines if engine not in sums)]:
            load = sums.get(engine, IDLE)
            published, at = self._published_engines.get(engine, (IDLE, 0.0))
            if load != published or now - at >= self._settings.engine_refresh_s:
                due.append(rounded(engine, load))
                self._published_engines[engine] = (load, now)
                if load == IDLE and published == IDLE:
                    del self._published_engines[engine]
        return tuple(due)

    def should_publish(self, has_entries: bool, now: float) -> bool:
        """Return whether to send totals now, and if so record the time. Empty totals serve as a heartbeat."""
        if not has_entries and now - self._published_at < HEARTBEAT_S:
            return False
        self._published_at = now
        return True
