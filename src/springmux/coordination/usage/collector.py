"""What a collector tells: levels and demands of accounts, and sums of engine loads, to every node."""

from __future__ import annotations

from collections.abc import Mapping

from springmux.coordination.usage.bucket import Bucket, Standing
from springmux.coordination.usage.engine_loads import IDLE, EngineLoads, Load, rounded
from springmux.coordination.usage.events import UsageSettings
from springmux.coordination.usage.messages import AccountTotal, EngineLoad

ALIVE_S = 0.5
"""While anything is in use, the collector is heard at least this often."""

USED_S = 5.0
"""An account that was not reported for this long has nothing more to tell."""


class Collector:
    """Decides which accounts and engines the next totals hold."""

    def __init__(self, settings: UsageSettings) -> None:
        self._settings = settings
        self._reported: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._told_engines: dict[str, tuple[Load, float]] = {}
        self._told_at = 0.0

    def note(self, account: str, now: float) -> None:
        """Note that an account was reported, or used here."""
        self._reported[account] = now

    def is_busy(self) -> bool:
        """Say whether anything was reported lately."""
        return bool(self._reported or self._told_engines)

    def due_accounts(
        self, buckets: Mapping[str, Bucket], standing: Standing, now: float
    ) -> tuple[AccountTotal, ...]:
        """Return the accounts to tell now: those near their limit each time, the others at a calmer pace."""
        due: list[AccountTotal] = []
        calm = now - self._settings.calm_totals_period_s + self._settings.totals_period_s / 2
        for account, reported in list(self._reported.items()):
            bucket = buckets.get(account)
            if bucket is None or now - reported > USED_S:
                del self._reported[account]
                self._told.pop(account, None)
                continue
            bucket.advance(standing, now)
            if bucket.is_near_limit() or self._told.get(account, 0.0) < calm:
                due.append(AccountTotal(account, round(bucket.level), round(bucket.fleet_demand(now))))
                self._told[account] = now
        return tuple(due)

    def due_engines(self, loads: EngineLoads, now: float) -> tuple[EngineLoad, ...]:
        """Return the sums over all nodes that changed, or have to be told again."""
        sums = loads.others(now)
        for engine, (requests, tokens) in loads.own().items():
            others = sums.get(engine, IDLE)
            sums[engine] = (requests + others[0], tokens + others[1])
        due: list[EngineLoad] = []
        for engine in [*sums, *(engine for engine in self._told_engines if engine not in sums)]:
            load = sums.get(engine, IDLE)
            told, at = self._told_engines.get(engine, (IDLE, 0.0))
            if load != told or now - at >= self._settings.engine_refresh_s:
                due.append(rounded(engine, load))
                self._told_engines[engine] = (load, now)
                if load == IDLE and told == IDLE:
                    del self._told_engines[engine]
        return tuple(due)

    def is_worth_telling(self, has_rows: bool, now: float) -> bool:
        """Say whether totals are to be sent now; empty ones only show that the collector is there."""
        if not has_rows and now - self._told_at < ALIVE_S:
            return False
        self._told_at = now
        return True
