"""One node's evidence about one rollout, collected from the outcomes of its own streams.

Each node matches its candidate outcomes with its stable outcomes of the same route, expected cache hit and
prompt length that ended in the last seconds; it sends only sums of log bets to other nodes. Each stable
outcome is used in one set only, which keeps the sets independent.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Sequence

from springmux.rollout.judgement.bets import (
    ERROR_BETS,
    LATENCY_BETS,
    MAX_ERROR_REFERENCES,
    MAX_LATENCY_REFERENCES,
)
from springmux.rollout.judgement.digest import (
    EngineEvidence,
    EngineUse,
    EpochEvidence,
    EvidenceDigest,
    RouteEvidence,
)
from springmux.rollout.judgement.stable_latencies import StableLatencies
from springmux.rollout.outcome import BAD_ENDINGS, Ending, FirstTokenWatch, PromptOutcome
from springmux.rollout.plan import RolloutPlan
from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName

EPOCHS = 8
"""Number of epochs, each a possible start of a test, so that good answers at the beginning don't hide a
version that turns bad later."""
MAX_ROUTES = 8
"""Number of routes in a digest, which bounds its size; further routes share one entry."""
OTHER_ROUTES = "(other)"
ENGINE_SLOTS = 256
"""Engine names are hashed to a byte, which bounds the digest. A collision of two engines only makes the judge
more cautious."""
REFERENCE_AGE_S = 10.0
"""A stable outcome older than this is not compared, since the load may have changed."""
LOADED_RATIO = 4.0
"""Ratio of latencies above which a call without a prompt counts as slow during the load step, when the
candidate's engines carry more load than stable ones. Answers to prompts aren't compared then, because cold
caches and the load together make a good version many times slower."""
ANSWER_TIME_WEIGHT = 0.05
"""Weight of the newest answer in the moving average of stable answer times."""
LOSS_EVENT_S = 5.0
"""Lost prompts of one engine within this time count as one loss event."""

# Columns of an epoch's sums, in the order of the fields of EpochEvidence that follow the epoch's number.
_CANDIDATE_BAD, _CANDIDATE_TOTAL, _STABLE_BAD, _STABLE_TOTAL = 0, 1, 2, 3
_ERROR_BETS_AT, _FIRST_TOKEN_BETS_AT, _TOKEN_GAP_BETS_AT = 4, 7, 10
_COLUMNS = len(EpochEvidence.__struct_fields__) - 1
_WARM_HIT = 0.75
_COLD_HIT = 0.25

_Pool = deque[tuple[float, float]]


def engine_slot(engine: EngineId) -> int:
    """Return the slot of ``engine``, the same on every node."""
    return zlib.crc32(engine.encode()) % ENGINE_SLOTS


class _EngineCounts:
    """Mutable counts of one engine slot of one version."""

    def __init__(self, slot: int) -> None:
        self.slot = slot
        self.answers = 0
        self.losses = 0
        self._lost_at = -math.inf

    def count_loss(self, now: float) -> None:
        if now - self._lost_at >= LOSS_EVENT_S:
            self.losses += 1
        self._lost_at = now


class _Stratum:
    """Stable latencies of one stratum that no candidate answer has been compared with yet."""

    def __init__(self) -> None:
        self.first_token: _Pool = deque(maxlen=MAX_LATENCY_REFERENCES)
        self.token_gap: _Pool = deque(maxlen=MAX_LATENCY_REFERENCES)
        self.stable_latencies = StableLatencies()

    def is_bad(self, outcome: PromptOutcome) -> bool:
        """Return whether an answer of either version counts as bad: it failed or is a latency outlier.

        Outliers count only for calls without a prompt: the first token of a prompt depends on caches, and
        those of a good candidate are cold.
        """
        if _is_bad(outcome.ending):
            return True
        if outcome.prompt_bytes:
            return False
        return outcome.first_token_s is not None and self.stable_latencies.is_outlier(outcome.first_token_s)


class _RouteTable:
    """Mutable sums of one route. Columns of an epoch follow :class:`EpochEvidence`."""

    def __init__(self) -> None:
        self.epochs: dict[int, list[int]] = {}
        self.engines: dict[tuple[int, int], list[int]] = {}
        self.error_pool: _Pool = deque(maxlen=MAX_ERROR_REFERENCES)
        self.strata: dict[int, _Stratum] = {}

    def epoch(self, number: int) -> list[int]:
        sums = self.epochs.get(number)
        if sums is None:
            sums = self.epochs[number] = [0] * _COLUMNS
        return sums

    def count_engine(self, number: int, slot: int, bad: bool) -> None:
        counts = self.engines.get((number, slot))
        if counts is None:
            counts = self.engines[number, slot] = [0, 0]
        counts[0] += bad
        counts[1] += 1

    def evidence(self, name: str) -> RouteEvidence:
        return RouteEvidence(
            name,
            tuple(EpochEvidence(number, *self.epochs[number]) for number in sorted(self.epochs)),
            tuple(EngineEvidence(*key, *self.engines[key]) for key in sorted(self.engines)),
        )


class EvidenceTable:
    """Accumulates the outcomes of one service during one rollout into a digest.

    :param plan: the limits and the deadline; without it the defaults of a plan apply.
    """

    def __init__(
        self,
        service: ServiceName,
        stable: VersionName,
        candidate: VersionName,
        plan: RolloutPlan | None = None,
    ) -> None:
        plan = plan or RolloutPlan(service, candidate)
        self._service = service
        self._stable = stable
        self._candidate = candidate
        self._first_token_ratio = plan.limits.first_token_ratio
        self._token_gap_ratio = plan.limits.token_gap_ratio
        self._epoch_s = plan.by_s / EPOCHS
        self.loaded = False
        """Whether the load step makes the candidate's engines carry more load than stable ones."""
        self.stable_answer_s = 0.0
        """Mean time of the stable version's answers, in seconds; 0 before the first."""
        self._began_at: float | None = None
        self._routes: dict[str, _RouteTable] = {}
        self._engine_counts: dict[tuple[int, bool], _EngineCounts] = {}
        self._counts_by_engine: dict[tuple[EngineId, bool], _EngineCounts] = {}

    def record(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        """Record one outcome; ignore those of other services or versions and of disconnected clients.

        :param watch: the watch of a candidate prompt, if any; its references are used for the comparison.
        """
        candidate = outcome.version == self._candidate
        if outcome.service != self._service or not (candidate or outcome.version == self._stable):
            return
        ending = outcome.ending
        if ending is Ending.CALLER_GONE:
            return
        use = self._counts_by_engine.get((outcome.engine, candidate)) or self._add_engine(
            outcome.engine, candidate
        )
        if ending is Ending.ENGINE_LOST:
            use.count_loss(now)
            return
        use.answers += 1
        number = self._epoch_number(now)
        table = self._route(outcome.route)
        if candidate:
            self._record_candidate(outcome, table, use.slot, number, now, watch)
        else:
            self._record_stable(outcome, table, number, now)

    def watch(
        self, route: RouteName, prompt_bytes: int, expected_hit: float, now: float
    ) -> FirstTokenWatch | None:
        """Remove the stable first tokens that a candidate prompt is compared with from its stratum.

        They are chosen at dispatch and kept, so that a comparison before the prompt's end is the same bet as
        one at its end. A version that is many times slower is thus detected while its first prompts wait.
        """
        if self.loaded:
            return None
        known = self._routes.get(route)
        pools = known.strata.get(_stratum(prompt_bytes, expected_hit)) if known is not None else None
        if pools is None:
            return None
        references = _drain_recent(pools.first_token, now)
        if not references:
            return None
        limit_s = max(references) * self._first_token_ratio
        return FirstTokenWatch(self._service, route, tuple(references), limit_s)

    def record_overdue(self, watch: FirstTokenWatch, now: float) -> None:
        """Record the bet for a first token that exceeds the limit, once for each watch."""
        if watch.recorded:
            return
        watch.recorded = True
        sums = self._route(watch.route).epoch(self._epoch_number(now))
        _bet_among(sums, _FIRST_TOKEN_BETS_AT, watch.references, math.inf)

    def digest(self) -> EvidenceDigest:
        """Return all evidence recorded so far, in canonical order."""
        return EvidenceDigest(
            tuple(self._routes[name].evidence(name) for name in sorted(self._routes)),
            tuple(
                EngineUse(*key, use.answers, use.losses)
                for key, use in sorted(self._engine_counts.items(), key=_by_slot)
            ),
        )

    def _ratio(self, configured: float) -> float:
        return max(configured, LOADED_RATIO) if self.loaded else configured

    def _update_answer_time(self, outcome: PromptOutcome) -> None:
        if outcome.ending is not Ending.WHOLE or outcome.first_token_s is None:
            return
        answer_s = outcome.first_token_s + (outcome.token_gap_s or 0.0) * max(0, outcome.tokens - 1)
        mean_s = self.stable_answer_s or answer_s
        self.stable_answer_s = mean_s + ANSWER_TIME_WEIGHT * (answer_s - mean_s)

    def _epoch_number(self, now: float) -> int:
        if self._began_at is None:
            self._began_at = now
        return min(int((now - self._began_at) / self._epoch_s), EPOCHS - 1)

    def _route(self, name: str) -> _RouteTable:
        table = self._routes.get(name)
        if table is None:
            if len(self._routes) >= MAX_ROUTES - 1:
                name = OTHER_ROUTES
            table = self._routes.setdefault(name, _RouteTable())
        return table

    def _add_engine(self, engine: EngineId, candidate: bool) -> _EngineCounts:
        slot = engine_slot(engine)
        use = self._engine_counts.setdefault((slot, candidate), _EngineCounts(slot))
        self._counts_by_engine[engine, candidate] = use
        return use

    def _record_stable(self, outcome: PromptOutcome, table: _RouteTable, number: int, now: float) -> None:
        stratum = _stratum(outcome.prompt_bytes, outcome.expected_hit)
        first_token_s, token_gap_s = outcome.first_token_s, outcome.token_gap_s
        pools = table.strata.get(stratum) or table.strata.setdefault(stratum, _Stratum())
        bad = pools.is_bad(outcome)
        sums = table.epoch(number)
        sums[_STABLE_BAD] += bad
        sums[_STABLE_TOTAL] += 1
        table.error_pool.append((now, bad))
        self._update_answer_time(outcome)
        if first_token_s is not None:
            pools.stable_latencies.add(first_token_s)
            pools.first_token.append((now, first_token_s))
        if token_gap_s is not None:
            pools.token_gap.append((now, token_gap_s))

    def _record_candidate(
        self,
        outcome: PromptOutcome,
        table: _RouteTable,
        slot: int,
        number: int,
        now: float,
        watch: FirstTokenWatch | None,
    ) -> None:
        pools = table.strata.get(_stratum(outcome.prompt_bytes, outcome.expected_hit))
        bad = pools.is_bad(outcome) if pools is not None else _is_bad(outcome.ending)
        sums = table.epoch(number)
        sums[_CANDIDATE_BAD] += bad
        sums[_CANDIDATE_TOTAL] += 1
        table.count_engine(number, slot, bad)
        references = _drain_recent(table.error_pool, now)
        bet = ERROR_BETS[len(references)][int(sum(references))][bad]
        sums[_ERROR_BETS_AT] += bet.odds_4
        sums[_ERROR_BETS_AT + 1] += bet.odds_16
        sums[_ERROR_BETS_AT + 2] += bet.odds_100
        if self.loaded and outcome.prompt_bytes:
            return
        if outcome.first_token_s is not None:
            scaled_s = outcome.first_token_s / self._ratio(self._first_token_ratio)
            if watch is not None and not watch.recorded:
                watch.recorded = True
                _bet_among(sums, _FIRST_TOKEN_BETS_AT, watch.references, scaled_s)
            elif watch is None and pools is not None:
                _bet_on_rank(sums, _FIRST_TOKEN_BETS_AT, pools.first_token, scaled_s, now)
        if outcome.token_gap_s is not None and pools is not None:
            scaled_s = outcome.token_gap_s / self._ratio(self._token_gap_ratio)
            _bet_on_rank(sums, _TOKEN_GAP_BETS_AT, pools.token_gap, scaled_s, now)


def _stratum(prompt_bytes: int, expected_hit: float) -> int:
    """Return the stratum: expected cache hit in three ranges, prompt length by powers of four.

    The number of requests in flight on the engine is no criterion: a slow version causes it to rise, so
    comparing only at equal load would hide its fault.
    """
    warmth = 0 if expected_hit < _COLD_HIT else 1 if expected_hit < _WARM_HIT else 2
    return warmth + 3 * (prompt_bytes.bit_length() // 2)


def _by_slot(item: tuple[tuple[int, bool], _EngineCounts]) -> tuple[int, bool]:
    return item[0]


def _is_bad(ending: Ending) -> bool:
    """Return whether ``ending`` is bad. Nearly all answers are complete, so those skip the set lookup."""
    return ending is not Ending.WHOLE and ending in BAD_ENDINGS


def _drain_recent(pool: _Pool, now: float) -> list[float]:
    """Empty ``pool`` and return those of its values that are recent enough."""
    oldest = now - REFERENCE_AGE_S
    values = [value for at, value in pool if at >= oldest]
    pool.clear()
    return values


def _bet_on_rank(sums: list[int], column: int, pool: _Pool, scaled_s: float, now: float) -> None:
    if not pool:
        return
    _bet_among(sums, column, _drain_recent(pool, now), scaled_s)


def _bet_among(sums: list[int], column: int, references: Sequence[float], scaled_s: float) -> None:
    rank = sum(reference < scaled_s for reference in references)
    bet = LATENCY_BETS[len(references)][rank]
    sums[column] += bet.mild
    sums[column + 1] += bet.steep
    sums[column + 2] += bet.within
