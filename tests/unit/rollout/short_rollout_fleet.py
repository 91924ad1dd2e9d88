"""A virtual fleet with candidate engines that start after the order, engine load and two routes."""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from springmux.coordination.identifiers import NodeId, Term
from springmux.rollout.engine_counts import ready_count
from springmux.rollout.events import IssuerChanged
from springmux.rollout.outcome import Ending, FirstTokenWatch, PromptOutcome, VersionChoice
from springmux.rollout.plan import RolloutPhase
from springmux.rollout.planning.standard_plan import plan_for
from springmux.rollout.reported_state import DONE_SETTLE_S
from springmux.vocabulary.names import EngineId, RouteName, VersionName
from tests.unit.rollout.virtual_fleet import CANDIDATE, SERVICE, STABLE, VirtualFleet, engines_view

ENGINES_APPEAR_S = 1.0
LATE_S = 3.0
"""Age of an engine, in seconds, at which a version that is bad late turns bad."""
EXPOSE_SHARE, EXPOSE_ALLOWANCE, ROLLBACK_MS = 0.10, 50, 5000
ELECTION_S = 1.5
NO_QUORUM_S = 5.0
HIGH_TRAFFIC, LOW_TRAFFIC = RouteName("caption"), RouteName("dossier")


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A candidate's fault: share of errors or slowdown, its start, and the load and route where it occurs.

    ``above_running``: number of other requests on the engine from which the fault occurs. ``above_stable``:
    the same in multiples of a stable engine's mean load before the rollout.
    """

    errors: float = 0.0
    slow: float = 1.0
    late_s: float = 0.0
    above_running: int = 0
    above_stable: float = 0.0
    route: RouteName | None = None


GOOD = Fault()


class ShortRolloutFleet(VirtualFleet):
    """Fleet with one short rollout. ``low_traffic_share``: share of the prompts on the route ``dossier``.

    ``answer_s``: mean time of a good answer. ``patience_s``: time after which a client disconnects.
    ``capacity``: requests that an engine can run concurrently. ``calls``: requests are calls without a
    prompt, which are answered in one piece.
    """

    def __init__(
        self,
        seed: int,
        by_s: float,
        prompts_per_s: float,
        fault: Fault = GOOD,
        *,
        nodes: int = 12,
        stable: int = 6,
        candidates: int = 4,
        low_traffic_share: float = 0.07,
        answer_s: float = 0.5,
        base_errors: float = 0.0,
        appear_s: float = ENGINES_APPEAR_S,
        patience_s: float = 10.0,
        loss: float = 0.0,
        watched: bool = True,
        capacity: int = 64,
        calls: bool = False,
    ) -> None:
        self.fault, self.low_traffic_share, self.answer_s = fault, low_traffic_share, answer_s
        self.base_errors, self.appear_s, self.patience_s = base_errors, appear_s, patience_s
        self.watched, self.capacity, self.calls = watched, capacity, calls
        self.stable_load = prompts_per_s * answer_s / stable
        self.running: Counter[EngineId] = Counter()
        self.stable_count, self.candidate_count = stable, candidates
        self.crashed: set[EngineId] = set()
        plan = plan_for(SERVICE, CANDIDATE, by_s, EXPOSE_SHARE, EXPOSE_ALLOWANCE, ROLLBACK_MS, prompts_per_s)
        super().__init__(seed, nodes, prompts_per_s=prompts_per_s, plan=plan, loss=loss)
        self.set_engines(engines_view(stable, 0, capacity))
        self.at(appear_s, lambda: self.set_engines(engines_view(stable, candidates, capacity)))

    # Faults

    def kill_leader(self) -> None:
        """Kill the leader; an election makes another node the leader."""
        assert self.leader is not None
        self.kill(self.leader)
        self.leader = None
        self.at(ELECTION_S, lambda: self.elect(self.names[5]))

    def lose_quorum(self) -> None:
        """Leave the fleet without a leader and without commits for five seconds and an election."""
        leader, self.leader = self.leader, None
        assert leader is not None
        self._deliver(leader, IssuerChanged(False, Term(self.term)))
        self.at(NO_QUORUM_S + ELECTION_S, lambda: self.elect(self.names[0]))

    def crash(self, engine: EngineId, back_after_s: float) -> None:
        """Crash an engine, which loses its requests, and start it again after ``back_after_s``."""
        self.crashed.add(engine)
        self._publish_engines()
        self.at(back_after_s, lambda: self._recover_engine(engine))

    def _recover_engine(self, engine: EngineId) -> None:
        self.crashed.discard(engine)
        self._publish_engines()

    def _publish_engines(self) -> None:
        view = engines_view(self.stable_count, self.candidate_count, self.capacity)
        ready = {name: record for name, record in view.engines.items() if name not in self.crashed}
        self.set_engines(msgspec.structs.replace(view, engines=ready))

    # Prompts

    def _prompt(self, name: NodeId, rate: float) -> None:
        self.at(self.rng.expovariate(rate), lambda: self._prompt(name, rate))
        if name in self.dead or name in self.frozen:
            return
        if self.ended_at is None or self.elapsed() <= self.plan.by_s:
            self.prompts += 1
        route = LOW_TRAFFIC if self.rng.random() < self.low_traffic_share else HIGH_TRAFFIC
        choice = self.coordinators[name].filter.choose(SERVICE, self.rng.getrandbits(64), self.now, route)
        self.at(self.rng.uniform(0.0, 0.02), lambda: self._dispatch_choice(name, choice, route))

    def _dispatch_choice(self, name: NodeId, choice: VersionChoice, route: RouteName) -> None:
        if name in self.dead:
            return
        if name in self.frozen:
            self.frozen[name].append(lambda: self._dispatch_choice(name, choice, route))
            return
        chooser, version, limit = self.coordinators[name].filter, choice.versions[0], choice.engines_limit
        usable = ready_count(self.engines, SERVICE, version) > 0
        if choice.candidate and not (usable and chooser.recheck(SERVICE, version, self.now)):
            chooser.return_credit(SERVICE, version, self.now)
            version, limit = STABLE, 0
        engine = self._engine(version, limit)
        if engine is None:
            return
        if version == CANDIDATE and self.record.phase is not RolloutPhase.DONE:
            self._count_sent(name)
        self._run(name, version, engine, route)

    def _count_sent(self, name: NodeId) -> None:
        self.sent_at.append(self.now)
        self.sent_by_zone[self.zone[name]] += 1
        bound = EXPOSE_SHARE * self.prompts + EXPOSE_ALLOWANCE
        self.worst_excess = max(self.worst_excess, len(self.sent_at) - bound)

    def _engine(self, version: VersionName, limit: int) -> EngineId | None:
        engines = sorted(r.engine for r in self.engines.ready(SERVICE) if r.version == version)
        return self.rng.choice(engines[:limit] if limit else engines) if engines else None

    def _run(self, name: NodeId, version: VersionName, engine: EngineId, route: RouteName) -> None:
        size = 0 if self.calls else 24_000 if route == LOW_TRAFFIC else 400
        pieces = 0 if self.calls else 20
        bad = version == CANDIDATE and self._turned_bad(engine, route)
        slow = self.fault.slow if bad else 1.0
        first_part = 1.0 if self.calls else 0.25
        first_s = first_part * self.answer_s * slow * self.rng.lognormvariate(0.0, 0.3)
        gap_s = 0.75 * self.answer_s / 20 * slow * self.rng.lognormvariate(0.0, 0.3)
        failing = max(self.base_errors, self.fault.errors if bad else 0.0)
        error = self.rng.random() < failing
        if version == CANDIDATE and not (bad or self.crashed) and self.appear_s:
            first_s *= 1.0 + max(0.0, 1.0 - (self.elapsed() - self.appear_s)) * 0.3
        watch = None
        if version == CANDIDATE and self.watched:
            watch = self.coordinators[name].filter.watch(SERVICE, route, size, 0.5, self.now)
        self.running[engine] += 1
        took_s = min(0.05, self.answer_s) if error else first_s + pieces * gap_s
        gone = took_s > self.patience_s
        ending = Ending.ERROR_STATUS if error else Ending.CALLER_GONE if gone else Ending.WHOLE
        outcome = PromptOutcome(
            SERVICE, version, engine, route, ending, size, 0.5,
            None if error else first_s, None if error or self.calls else gap_s, 0 if error else pieces,
        )  # fmt: skip
        if watch is not None and not error and first_s > watch.overdue_after_s:
            self.at(watch.overdue_after_s, lambda: self._overdue(name, watch))
        self.at(min(took_s, self.patience_s), lambda: self._ended(name, outcome, watch, bad and slow > 1))

    def _turned_bad(self, engine: EngineId, route: RouteName) -> bool:
        fault = self.fault
        if self.elapsed() < self.appear_s + fault.late_s or fault.route not in (None, route):
            return False
        bad_from = max(fault.above_running, fault.above_stable * self.stable_load)
        return fault != GOOD and self.running[engine] >= bad_from

    def _overdue(self, name: NodeId, watch: FirstTokenWatch) -> None:
        if name not in self.dead and name not in self.frozen:
            self.coordinators[name].filter.overdue(watch, self.now)

    def _ended(self, name: NodeId, outcome: PromptOutcome, watch: FirstTokenWatch | None, slow: bool) -> None:
        self.running[outcome.engine] -= 1
        if outcome.engine in self.crashed:
            outcome = msgspec.structs.replace(
                outcome, ending=Ending.ENGINE_LOST, first_token_s=None, token_gap_s=None
            )
        bad = outcome.ending is Ending.ERROR_STATUS or slow
        if bad and outcome.version == CANDIDATE and self.fault != GOOD:
            self.bad_at.append(self.now)
        if name not in self.dead and name not in self.frozen:
            self.coordinators[name].filter.observe(outcome, self.now, watch)

    # Figures

    @property
    def ended_s(self) -> float:
        """Seconds from the order to the committed end; infinite while the rollout is under way."""
        return math.inf if self.ended_at is None else self.ended_at - self.started_at

    @property
    def reported_s(self) -> float:
        """Seconds from the order until the end is reported to operators."""
        done = self.record.phase is RolloutPhase.DONE
        return self.ended_s + (DONE_SETTLE_S if done else 0.0)
