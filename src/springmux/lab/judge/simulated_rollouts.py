"""Simulated rollouts for trials of the judge: scenarios, and outcomes of prompts generated from a seed."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np
import numpy.typing as npt

from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName

FloatArray = npt.NDArray[np.float64]

SERVICE = ServiceName("text")
STABLE = VersionName("v1")
CANDIDATE = VersionName("v2")
NODES = 12
PROMPTS_PER_S = 123.0
"""8 dossier drafts and 115 caption hints per second, as in the smaller deployment."""
DOSSIER_SHARE = 8.0 / 123.0
DOSSIER = RouteName("dossier-draft")
CAPTION = RouteName("caption-hint")
ENGINES = 6
WEIGHTS = ((42.0, 0.04), (54.0, 0.10), (56.0, 0.25), (57.0, 0.50), (60.0, 1.0))
"""End time in seconds and candidate weight of each step in the schedule of a 60 s plan."""
CANARY_ENGINES = 2
"""Number of candidate engines in use at weights below a quarter."""
PREFIXES = 200
"""Number of shared prefixes; their popularity decreases with their rank."""
CAPTION_PROMPTS = 4000
"""Number of distinct caption prompts; these are too short to benefit from the cache."""
PREFIX_SKEW = 0.8
"""Exponent of the popularity by rank; the most popular prefix gets about 6% of the dossiers."""
UNRESPONSIVE_UNTIL_S = 8.0
"""A crashed engine loses requests for 2 s; then prompts time out until 8 s after the crash."""
LATENCY_SIGMA = 0.4
"""Standard deviation of the logarithm of the latency within a stratum."""


class Scenario(msgspec.Struct, frozen=True):
    """One kind of rollout. ``good``: the candidate is good, so that an abort is a false alarm.

    ``base_errors``: error rate of both versions. ``errors``: error rate of a bad candidate. The ratios
    multiply the candidate's latencies. ``route``: the only route on which a bad candidate's faults occur
    (``None``: on all routes). ``from_share``: fraction of the rollout's duration after which the candidate
    turns bad. ``burst``: factor of the request rate and the latencies during 10 s. ``cold``: the candidate's
    caches are empty at the beginning. ``evicted``: fraction of the candidate's expected cache hits that miss.
    ``crash_stable``, ``crash_candidate``: the first engine of the version crashes.
    """

    name: str
    good: bool
    base_errors: float = 0.0
    errors: float = 0.0
    first_token_ratio: float = 1.0
    token_gap_ratio: float = 1.0
    route: RouteName | None = None
    from_share: float = 0.0
    burst: float = 1.0
    cold: bool = True
    evicted: float = 0.0
    crash_stable: bool = False
    crash_candidate: bool = False
    dossier_share: float = DOSSIER_SHARE
    canary_engines: int = CANARY_ENGINES


SCENARIOS = (
    Scenario("good, warm", True, cold=False),
    Scenario("good, cold", True),
    Scenario("good, cold, 30% of expected hits missed", True, evicted=0.3),
    Scenario("good, cold, 60% dossiers", True, dossier_share=0.6),
    Scenario("good, cold, 60% dossiers, 30% missed", True, dossier_share=0.6, evicted=0.3),
    Scenario("good, cold, 60% dossiers, burst x3", True, dossier_share=0.6, burst=3.0),
    Scenario("good, 0.5% errors", True, base_errors=0.005),
    Scenario("good, 2% errors", True, base_errors=0.02),
    Scenario("good, burst x3", True, burst=3.0, base_errors=0.005),
    Scenario("good, first token x1.2", True, first_token_ratio=1.2),
    Scenario("good, candidate engine crashes", True, base_errors=0.005, crash_candidate=True),
    Scenario("good, engines crash on both sides", True, crash_candidate=True, crash_stable=True),
    Scenario("good, the only candidate engine goes dark", True, crash_candidate=True, canary_engines=1),
    Scenario("errors 100%", False, errors=1.0),
    Scenario("errors 50%", False, errors=0.5),
    Scenario("errors 20%, base 2%", False, errors=0.2, base_errors=0.02),
    Scenario("errors 10%", False, errors=0.1),
    Scenario("errors 5%", False, errors=0.05),
    Scenario("errors 2% (at the limit)", False, errors=0.02),
    Scenario("errors 50% on captions", False, errors=0.5, route=CAPTION),
    Scenario("errors 100% on dossiers", False, errors=1.0, route=DOSSIER),
    Scenario("errors 100% after 25%", False, errors=1.0, from_share=0.25),
    Scenario("errors 100% after 50%", False, errors=1.0, from_share=0.5),
    Scenario("errors 100% after 75%", False, errors=1.0, from_share=0.75),
    Scenario("errors 100% after 90%", False, errors=1.0, from_share=0.9),
    Scenario("errors 30% after 75%, burst x3", False, errors=0.3, from_share=0.75, burst=3.0),
    Scenario("first token x1.3 (within the limit)", True, first_token_ratio=1.3),
    Scenario("first token x2", False, first_token_ratio=2.0),
    Scenario("first token x3", False, first_token_ratio=3.0),
    Scenario("first token x4", False, first_token_ratio=4.0),
    Scenario("first token x4 on dossiers", False, first_token_ratio=4.0, route=DOSSIER),
    Scenario("first token x3, 60% dossiers", False, first_token_ratio=3.0, dossier_share=0.6),
    Scenario("first token x3 after 50%", False, first_token_ratio=3.0, from_share=0.5),
    Scenario("token gap x2", False, token_gap_ratio=2.0),
    Scenario("token gap x3, burst x3", False, token_gap_ratio=3.0, burst=3.0),
)


class SimulatedOutcome(msgspec.Struct, frozen=True):
    """Outcome of one prompt at a node. ``faulty``: a candidate that had turned bad served the prompt."""

    ended_at: float
    node: int
    outcome: PromptOutcome
    faulty: bool


class SimulatedRollout:
    """Generates the outcomes of one rollout in the order in which the prompts end."""

    def __init__(self, scenario: Scenario, seed: int, by_s: float) -> None:
        self._scenario = scenario
        self._random = np.random.default_rng([seed, 7])
        self._by_s = by_s
        self._cached: dict[tuple[bool, int], set[int]] = {}

    def outcomes(self) -> list[SimulatedOutcome]:
        """Return all outcomes, sorted by the time at which the prompts end."""
        random = self._random
        starts = self._arrivals()
        count = len(starts)
        dossier = random.random(count) < self._scenario.dossier_share
        popularity = np.arange(1, PREFIXES + 1) ** -PREFIX_SKEW
        prefix = random.choice(PREFIXES, count, p=popularity / popularity.sum())
        traffic_slices = random.random(PREFIXES + CAPTION_PROMPTS)
        node = random.integers(0, NODES, count)
        uniform = random.random((count, 3))
        noise = np.exp(random.normal(0.0, LATENCY_SIGMA, (count, 2)))
        weights = np.array([weight for _, weight in WEIGHTS])
        step_ends = np.array([end for end, _ in WEIGHTS]) * self._by_s / WEIGHTS[-1][0]
        ended: list[SimulatedOutcome] = []
        for i in range(count):
            at = float(starts[i])
            weight = float(weights[min(int(np.searchsorted(step_ends, at, "right")), len(weights) - 1)])
            prefix_key = int(prefix[i]) if dossier[i] else PREFIXES + int(uniform[i, 0] * CAPTION_PROMPTS)
            candidate = bool(traffic_slices[prefix_key] < weight)
            outcome, faulty = self._outcome(
                at, candidate, bool(dossier[i]), prefix_key, weight, uniform[i].tolist(), noise[i].tolist()
            )
            duration_s = min(
                (outcome.first_token_s or 0.1) + outcome.tokens * (outcome.token_gap_s or 0.0), 5.0
            )
            ended.append(SimulatedOutcome(at + duration_s, int(node[i]), outcome, faulty))
        ended.sort(key=lambda item: item.ended_at)
        return ended

    def _arrivals(self) -> FloatArray:
        rate = np.full(int(self._by_s), PROMPTS_PER_S)
        rate[self._burst_start_s() : self._burst_start_s() + 10] *= self._scenario.burst
        counts = self._random.poisson(rate)
        arrivals = [second + self._random.random(number) for second, number in enumerate(counts)]
        return np.sort(np.concatenate(arrivals))

    def _burst_start_s(self) -> int:
        return int(self._by_s * 0.7)

    def _outcome(
        self,
        at: float,
        candidate: bool,
        dossier: bool,
        prefix_key: int,
        weight: float,
        uniform: Sequence[float],
        noise: Sequence[float],
    ) -> tuple[PromptOutcome, bool]:
        scenario = self._scenario
        route = DOSSIER if dossier else CAPTION
        faulty = candidate and not scenario.good and at >= scenario.from_share * self._by_s
        affected = faulty and scenario.route in (None, route)
        engine_count = self._scenario.canary_engines if candidate and weight < 0.25 else ENGINES
        engine_number = prefix_key % engine_count
        expected_hit, actual_hit = self._cache(
            candidate, engine_number, prefix_key, dossier, float(uniform[1])
        )
        prompt_bytes = 24_000 if dossier else 600
        load = scenario.burst if 0 <= at - self._burst_start_s() < 10 else 1.0
        first_token_s = (0.04 + prompt_bytes / 24_000 * 0.8 * (1 - actual_hit)) * load * float(noise[0])
        token_gap_s = 0.02 * load * float(noise[1])
        if candidate and (scenario.good or affected):
            first_token_s *= scenario.first_token_ratio
            token_gap_s *= scenario.token_gap_ratio
        engine = EngineId(f"{'candidate' if candidate else 'stable'}-{engine_number}")
        ending = self._ending(at, candidate, engine_number, affected, float(uniform[2]))
        complete = ending is Ending.WHOLE
        outcome = PromptOutcome(
            SERVICE,
            CANDIDATE if candidate else STABLE,
            engine,
            route,
            ending,
            prompt_bytes,
            expected_hit,
            first_token_s if complete else None,
            token_gap_s if complete else None,
            60 if dossier else 8,
        )
        return outcome, faulty

    def _cache(
        self, candidate: bool, engine: int, prefix_key: int, dossier: bool, uniform: float
    ) -> tuple[float, float]:
        """Return the expected and the actual cache hit as fractions; add the prefix to the engine's cache."""
        if not dossier:
            return 0.0, 0.0
        cached = self._cached.setdefault((candidate, engine), set())
        warm_from_start = not candidate or not self._scenario.cold
        expected = 0.9 if warm_from_start or prefix_key in cached else 0.0
        cached.add(prefix_key)
        missed = candidate and uniform < self._scenario.evicted
        return expected, 0.0 if missed else expected

    def _ending(self, at: float, candidate: bool, engine: int, affected: bool, uniform: float) -> Ending:
        crashes = self._scenario.crash_candidate if candidate else self._scenario.crash_stable
        crash_at = self._by_s * 0.4
        if crashes and engine == 0 and crash_at <= at < crash_at + 2.0:
            return Ending.ENGINE_LOST
        if crashes and engine == 0 and crash_at + 2.0 <= at < crash_at + UNRESPONSIVE_UNTIL_S:
            return Ending.TIMED_OUT
        rate = self._scenario.base_errors
        if affected:
            rate = max(rate, self._scenario.errors)
        return Ending.ERROR_STATUS if uniform < rate else Ending.WHOLE
