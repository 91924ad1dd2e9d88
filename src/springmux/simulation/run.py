"""One run: a simulated fleet with traffic, operators, a rollout and faults, and the checks at its end."""

from __future__ import annotations

import hashlib

import msgspec

from springmux.agent.effects import OrderAnswered
from springmux.control.commands import Outcome
from springmux.coordination.identifiers import Address, NodeId
from springmux.rollout.plan import RolloutPhase, RolloutPlan
from springmux.simulation.candidates import CANDIDATES, behaviour_for
from springmux.simulation.checkers.all_checkers import check
from springmux.simulation.checkers.violation import Violation
from springmux.simulation.engine_model import GOOD, VersionBehaviour
from springmux.simulation.history import History
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet
from springmux.simulation.operators import Operators, PendingOrder, key_text
from springmux.simulation.recorder import Recorder
from springmux.simulation.run_context import DemandSurge, RunContext
from springmux.simulation.scenario import FAULTS_BEGIN_S, Scenario
from springmux.simulation.scenario_faults import (
    EngineCrash,
    EngineDark,
    EngineReplaced,
    MoveNode,
    PowerCutAfterAnswer,
    ScenarioFault,
)
from springmux.simulation.traffic.backends import Backends
from springmux.simulation.traffic.clients import HollowClients
from springmux.simulation.traffic.hollow_engine import HollowEngine
from springmux.simulation.traffic.requests import Burst, RequestSource
from springmux.simulation.world.faults import FullDisk, Heal, PowerCut, Restart, SlowDisk, Thaw
from springmux.vocabulary.names import VersionName

SET_UP_TIMEOUT_S = 7.0
TRAFFIC_BEGINS_S = 7.0
PROMOTED_AT_S = 11.0
TRAFFIC_AFTER_QUIET_S = 5.0
END_AFTER_QUIET_S = 13.0
"""Seconds from ``quiet_at`` to the end of the run, in which the longest requests end."""
CANDIDATE = VersionName("v2")
REMOVE_ENGINES_AFTER_S = 4.0
"""Seconds after the end of a rollout at which operators remove the engines no longer needed."""
SURGE_FACTOR = 2.0
SURGE_S = 25.0
SERVICE_BEHAVIOUR = VersionBehaviour(silent_share=0.005, error_share=0.005)
"""Behaviour of call services: even a good one sometimes loses a response or returns an error."""


class RunResult(msgspec.Struct, frozen=True):
    """Results of a run. ``transcript``: digest of the history, equal for equal runs."""

    seed: int
    violations: tuple[Violation, ...]
    transcript: str
    calls: int
    complete: int = msgspec.field(name="whole")
    refused: int
    dispatched: int
    executed: int
    rollout: str


class Run(FleetObserver):
    """Runs one scenario and checks its history."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.size = scenario.size()
        self.history = History()
        self.fleet = HollowFleet(self.size.places(), scenario.seed)
        self.recorder = Recorder(self.fleet, self.history)
        self.backends = Backends(
            self.fleet, self.history, scenario.seed, self.size, scenario.settings.tokens_per_chunk
        )
        self.operators = Operators(self.fleet, self.size, self.history, scenario.seed)
        self.clients = HollowClients(
            self.fleet,
            RequestSource(self.size, scenario.seed, self._bursts()),
            self.size.streams,
            {size.tenant: [key_text(size.tenant, number) for number in (1, 2)] for size in self.size.tenants},
            self.history,
            scenario.seed,
        )
        self.plan = RolloutPlan(self.size.models().service, CANDIDATE, by_s=scenario.settings.by_s)
        self._removed_at: float | None = None
        self._rollout_ended = False
        self._pending_power_cuts: list[PowerCutAfterAnswer] = []
        self._promotion: PendingOrder | None = None
        self.fleet.observers.append(self)

    def run(self) -> RunResult:
        """Run the scenario to its end; return the results of the checks."""
        self.set_up()
        scheduler = self.fleet.world.scheduler
        scheduler.at(TRAFFIC_BEGINS_S, lambda: self.clients.start(self._quiet_at() + TRAFFIC_AFTER_QUIET_S))
        scheduler.at(TRAFFIC_BEGINS_S + 1.0, self._start_candidates)
        scheduler.at(PROMOTED_AT_S, self._promote)
        scheduler.at(FAULTS_BEGIN_S, lambda: self.operators.work(self.scenario.healed_at))
        for fault in self.scenario.faults:
            scheduler.at(fault.at, lambda fault=fault: self._apply(fault))  # type: ignore[misc]
        scheduler.at(self.scenario.healed_at + 0.01, self._heal)
        self.fleet.world.run_until(self._quiet_at() + END_AFTER_QUIET_S)
        return self.result()

    def set_up(self) -> None:
        """Start the fleet and its backends and configure them, before any fault."""
        self.fleet.world.start_all()
        for size in self.size.backends:
            self.backends.add_group(size, GOOD if size.model else SERVICE_BEHAVIOUR)
        orders: list[PendingOrder] = []
        self.fleet.run_until(self.fleet.all_ready, SET_UP_TIMEOUT_S)
        orders += self.operators.set_up()
        self.fleet.run_until(lambda: all(each.result for each in orders), SET_UP_TIMEOUT_S)
        keys = self.operators.set_up_keys()
        self.fleet.run_until(lambda: all(each.result for each in keys), SET_UP_TIMEOUT_S)

    def context(self) -> RunContext:
        """Return the run's context for the checkers."""
        return RunContext(
            deployment=self.size,
            began_at=TRAFFIC_BEGINS_S,
            healed_at=self.scenario.healed_at,
            quiet_at=self._quiet_at(),
            ended_at=self.fleet.world.now,
            plan=self.plan if self._promotion is not None else None,
            bad=CANDIDATES[self.scenario.candidate].bad,
            surges=self._surges(),
            removed_at=self._removed_at,
        )

    def result(self) -> RunResult:
        """Check the history recorded so far; return the results."""
        history = self.history
        violations = check(history, self.context())
        encoded = msgspec.msgpack.encode(history)
        phases = [change.phase for change in history.rollouts]
        return RunResult(
            seed=self.scenario.seed,
            violations=tuple(violations),
            transcript=hashlib.blake2b(encoded, digest_size=16).hexdigest(),
            calls=len(history.calls),
            complete=sum(call.complete for call in history.calls),
            refused=sum(call.fate == "refused" for call in history.calls),
            dispatched=len(history.dispatched),
            executed=len(history.executed),
            rollout=str(phases[-1]) if phases else "none",
        )

    def _quiet_at(self) -> float:
        return self.scenario.healed_at + self.scenario.settings.calm_s

    def _bursts(self) -> tuple[Burst, ...]:
        scenario = self.scenario
        bursts = []
        if scenario.burst > 1.0:
            short = next(size.route for size in self.size.streams if size.traffic_class == "interactive")
            begin = FAULTS_BEGIN_S + 15.0
            bursts.append(Burst(begin=begin, end=begin + 8.0, factor=scenario.burst, route=short))
        for surge in self._surges():
            tenant = next(size.tenant for size in self.size.tenants if size.tenant == surge.tenant)
            bursts.append(Burst(begin=surge.begin, end=surge.end, factor=SURGE_FACTOR, tenant=tenant))
        return tuple(bursts)

    def _surges(self) -> tuple[DemandSurge, ...]:
        index = self.scenario.surging_tenant
        if index < 0:
            return ()
        begin = FAULTS_BEGIN_S + 10.0
        end = min(begin + SURGE_S, self._quiet_at() + TRAFFIC_AFTER_QUIET_S)
        return (DemandSurge(self.size.tenants[index].tenant, begin, end),)

    # The rollout

    def _start_candidates(self) -> None:
        models = msgspec.structs.replace(self.size.models(), version=CANDIDATE)
        long_route = next(size.route for size in self.size.streams if size.traffic_class == "bulk")
        behaviour = behaviour_for(CANDIDATES[self.scenario.candidate], long_route)
        self.backends.add_group(models, behaviour)

    def _promote(self) -> None:
        self._promotion = self.operators.promote(self.plan)
        self._watch_rollout()

    def _watch_rollout(self) -> None:
        phases = {change.phase for change in self.history.rollouts}
        leaving = None
        if RolloutPhase.DONE in phases:
            leaving = self.size.models().version
        elif RolloutPhase.ABORTED in phases:
            leaving = CANDIDATE
        scheduler = self.fleet.world.scheduler
        if leaving is None:
            scheduler.after(0.5, self._watch_rollout)
            return
        scheduler.after(REMOVE_ENGINES_AFTER_S, lambda: self._remove_engines(leaving))

    def _remove_engines(self, version: VersionName) -> None:
        """Drain and stop the engines of a version that is no longer needed."""
        self._rollout_ended = True
        if version != CANDIDATE:
            self._removed_at = self.fleet.world.now
        for engine in self.backends.of_version(version):
            engine.drain()
            self.fleet.world.scheduler.after(4.0, engine.leave)

    # Faults

    def _apply(self, fault: ScenarioFault) -> None:
        match fault:
            case EngineCrash() | EngineDark() | EngineReplaced():
                self._apply_to_engine(fault)
            case MoveNode():
                self.fleet.move(fault.node, Address(fault.address))
            case PowerCutAfterAnswer():
                self._pending_power_cuts.append(fault)
            case _:
                self.fleet.world.apply(fault)

    def _apply_to_engine(self, fault: EngineCrash | EngineDark | EngineReplaced) -> None:
        engines = [e for e in self.backends.of_version(VersionName(fault.version)) if not e.draining]
        if len(engines) < 2:
            return
        engine = engines[fault.index % len(engines)]
        scheduler = self.fleet.world.scheduler
        match fault:
            case EngineCrash():
                engine.crash()
                if fault.back_after_s:
                    scheduler.after(fault.back_after_s, lambda: self._restart_engine(engine))
            case EngineDark():
                engine.set_unresponsive(True)
                scheduler.after(fault.dark_s, lambda: engine.set_unresponsive(False))
            case EngineReplaced():
                engine.drain()
                scheduler.after(fault.grace_s, lambda: self._replace(engine))

    def _restart_engine(self, engine: HollowEngine) -> None:
        if not engine.running and not engine.draining and not self._is_removed(engine):
            self.backends.restart(engine)

    def _is_removed(self, engine: HollowEngine) -> bool:
        """Return whether the engine's version has been removed since."""
        if not self._rollout_ended or not engine.model:
            return False
        return (engine.record.version == CANDIDATE) == (self._removed_at is None)

    def _replace(self, engine: HollowEngine) -> None:
        if not engine.running:
            return
        engine.leave()
        if not self._is_removed(engine):
            size = next(s for s in self.size.backends if s.service == engine.record.service)
            replacement_size = msgspec.structs.replace(size, version=engine.record.version)
            self.backends.add(replacement_size, engine.behaviour, engine.record.address)

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        """Cut the leader's power right after an accepted order, if such a fault is pending."""
        if (
            not self._pending_power_cuts
            or answer.result is None
            or answer.result.outcome is not Outcome.ACCEPTED
        ):
            return
        leader = self.fleet.leader()
        if leader is None:
            return
        fault = self._pending_power_cuts.pop(0)
        scheduler, world = self.fleet.world.scheduler, self.fleet.world
        scheduler.at(now, lambda: world.apply(PowerCut(at=now, node=leader)))
        back_at = now + fault.back_after_s
        scheduler.at(back_at, lambda: world.apply(Restart(at=back_at, node=leader)))

    def _heal(self) -> None:
        """End all faults: heal the network and the disks, thaw and restart the nodes."""
        world, now = self.fleet.world, self.fleet.world.now
        self._pending_power_cuts.clear()
        world.apply(Heal(at=now))
        for place in self.fleet.places():
            node = place.node
            if place.controller:
                world.apply(SlowDisk(at=now, node=node, sync_s=0.0))
                world.apply(FullDisk(at=now, node=node, full=False))
            world.apply(Thaw(at=now, node=node))
            if world.process(node) is None:
                world.apply(Restart(at=now, node=node))
