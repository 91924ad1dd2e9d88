"""A fleet of rollout coordinators in virtual time, with the real control state and Poisson prompts."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec

from springmux.agent.rollout_orders import RolloutProposal, command_for
from springmux.control.commands import (
    AnyCommand,
    ApplyConfiguration,
    CommandResult,
    PauseRollout,
    PromoteRollout,
    ResumeRollout,
    encode_command,
)
from springmux.control.state import ControlState
from springmux.coordination.identifiers import Address, NodeId, Revision, Term, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.state_machine import NEVER, Effect, Event, LogLine, MessageReceived, Send, Tick
from springmux.rollout.events import ControlViewChanged, EnginesChanged, FleetChanged, IssuerChanged
from springmux.rollout.messages import RolloutToken
from springmux.rollout.outcome import Ending, PromptOutcome
from springmux.rollout.plan import TERMINAL_PHASES, RolloutPhase, RolloutPlan, RolloutRecord
from springmux.rollout.rollout_coordinator import RolloutCoordinator, RolloutSettings
from springmux.vocabulary.engines import EngineRecord, EngineStatus, EnginesView
from springmux.vocabulary.names import EngineId, OrderId, RolloutId, RouteName, ServiceName, VersionName

SERVICE = ServiceName("text")
STABLE = VersionName("v1")
CANDIDATE = VersionName("v2")
PLAN = RolloutPlan(service=SERVICE, candidate=CANDIDATE)
COMMIT_S = 0.06
ELECTION_S = 1.5

BadProbability = Callable[[float], float]
"""Probability that a candidate's answer is bad, by time since promotion."""


def never_bad(_: float) -> float:
    return 0.0


def always_bad(_: float) -> float:
    return 1.0


def record_of(plan: RolloutPlan = PLAN, **changes: Any) -> RolloutRecord:
    record = RolloutRecord(
        rollout=RolloutId("r1"),
        service=SERVICE,
        stable=STABLE,
        candidate=plan.candidate,
        plan=plan,
        phase=RolloutPhase.CANARY,
        weight=plan.canary_weight,
    )
    return msgspec.structs.replace(record, **changes)


def engines_view(stable: int = 6, candidate: int = 6, capacity: int = 8) -> EnginesView:
    records = [
        EngineRecord(EngineId(f"{version}-{n}"), SERVICE, version, Address("127.0.0.1:1"), capacity, 1)
        for version, count in ((STABLE, stable), (CANDIDATE, candidate))
        for n in range(count)
    ]
    assert all(record.status is EngineStatus.READY for record in records)
    return EnginesView({record.engine: record for record in records}, {}, {})


class VirtualFleet:
    """Nodes ``n00``, ``n01``, ...; ``n00`` is the first leader. Zone ``z0`` has the least traffic."""

    def __init__(
        self,
        seed: int,
        nodes: int = 12,
        zones: int = 4,
        prompts_per_s: float = 123.0,
        plan: RolloutPlan = PLAN,
        bad_probability: BadProbability = never_bad,
        loss: float = 0.0,
        duplicate: float = 0.0,
        delay_s: tuple[float, float] = (0.001, 0.006),
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.plan = plan
        self.bad_probability = bad_probability
        self.loss, self.duplicate, self.delay_s = loss, duplicate, delay_s
        self.engines = engines_view()
        self.control = ControlState()
        self.results: list[CommandResult] = []
        document = b'{"services": {"text": {"stable": "v1"}}}'
        self._apply(ApplyConfiguration(order=OrderId("configure"), version=1, document=document))
        self._apply(PromoteRollout(order=OrderId("promote"), rollout=RolloutId("r1"), plan=plan))
        self.names = [NodeId(f"n{n:02d}") for n in range(nodes)]
        self.zone = {name: ZoneName(f"z{n % zones}") for n, name in enumerate(self.names)}
        self.coordinators: dict[NodeId, RolloutCoordinator] = {}
        self.leader: NodeId | None = self.names[0]
        self.term = 1
        self.partitioned: set[NodeId] = set()
        self.frozen: dict[NodeId, list[Callable[[], None]]] = {}
        self.dead: set[NodeId] = set()
        self.sent_at: list[float] = []
        self.bad_at: list[float] = []
        self.prompts = 0
        self.sent_by_zone: dict[ZoneName, int] = dict.fromkeys(self.zone.values(), 0)
        self.ended_at: float | None = None
        self.log_lines: list[LogLine] = []
        self.bytes_sent: dict[NodeId, int] = dict.fromkeys(self.names, 0)
        self.token_sizes: list[int] = []
        self.worst_excess = -1e9
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ticks: dict[NodeId, float] = {}
        self.started_at = self.now
        for name in self.names:
            self.start(name)
        self._lead(self.names[0])
        self._begin_prompts(prompts_per_s, zones)

    # Faults

    def start(self, name: NodeId) -> None:
        """Start or restart a node; the control state is all that it keeps."""
        self.dead.discard(name)
        rng = random.Random(self.rng.getrandbits(32))
        self.coordinators[name] = RolloutCoordinator(name, self.zone[name], rng, RolloutSettings())
        self._deliver(name, self._view_event())
        self._deliver(name, self._fleet_event(name))
        self._deliver(name, EnginesChanged(self.engines))

    def restart_all(self, down_s: float) -> None:
        """Stop all nodes, start them again after ``down_s``, and then elect a leader."""
        self.dead.update(self.names)
        for name in self.names:
            self.at(down_s, lambda name=name: self.start(name))
        self.at(down_s + ELECTION_S, lambda: self.elect(self.names[3]))

    def kill(self, name: NodeId) -> None:
        self.dead.add(name)

    def remove_from_membership(self, name: NodeId) -> None:
        """Remove a node from the membership."""
        self.names = [known for known in self.names if known != name]
        for other in self.names:
            self._deliver(other, self._fleet_event(other))

    def freeze(self, name: NodeId, duration_s: float) -> None:
        if name in self.frozen:
            return
        self.frozen[name] = []
        self.at(duration_s, lambda: self._thaw(name))

    def partition(self, name: NodeId, duration_s: float) -> None:
        """Drop all messages to and from a node; if it is the leader, the others elect another."""
        self.partitioned.add(name)
        self.at(duration_s, lambda: self.partitioned.discard(name))
        if name == self.leader:
            self.at(ELECTION_S, lambda: self.elect(next(n for n in self.names if self._usable(n))))

    def elect(self, name: NodeId) -> None:
        former, self.leader = self.leader, None
        self.term += 1
        if former is not None and former not in self.dead:
            self._deliver(former, IssuerChanged(False, Term(self.term - 1)))
        self._lead(name)

    def set_engines(self, view: EnginesView) -> None:
        self.engines = view
        for name in self.names:
            self._deliver(name, EnginesChanged(view))

    @property
    def record(self) -> RolloutRecord:
        return self.control.view().rollouts[SERVICE]

    def pause(self) -> None:
        self.order(PauseRollout(order=OrderId("pause"), service=SERVICE))

    def resume(self) -> None:
        self.order(ResumeRollout(order=OrderId("resume"), service=SERVICE))

    def order(self, command: AnyCommand) -> None:
        """Commit a command; nodes receive it within half a second."""
        self._apply(command)
        if self.record.phase in TERMINAL_PHASES and self.ended_at is None:
            self.ended_at = self.now
        event = self._view_event()
        for name in self.names:
            delay = 0.01 if name == self.leader else self.rng.uniform(0.01, 0.5)
            self.at(delay, lambda name=name: self._deliver_view(name, event))

    def _apply(self, command: AnyCommand) -> None:
        index = Revision(self.control.view().revision + 1)
        result = self.control.apply(index, encode_command(command))
        assert result is not None
        self.results.append(result)

    # Running

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + delay_s, next(self._order), action))

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def elapsed(self) -> float:
        return self.now - self.started_at

    def status(self) -> Any:
        return self.coordinators[self.leader or self.names[0]].status(SERVICE, self.now)

    def _lead(self, name: NodeId) -> None:
        self.leader = name
        self._deliver(name, IssuerChanged(True, Term(self.term)))

    def _view_event(self) -> ControlViewChanged:
        return ControlViewChanged({SERVICE: self.record}, {SERVICE: STABLE}, self.control.view().revision)

    def _fleet_event(self, own: NodeId) -> FleetChanged:
        address = Address("127.0.0.1:1")
        records = {n: NodeRecord(n, self.zone[n], address, address, address) for n in self.names}
        return FleetChanged(MembershipView(own, records))

    def _deliver_view(self, name: NodeId, event: ControlViewChanged) -> None:
        if name in self.partitioned:
            self.at(0.3, lambda: self._deliver_view(name, event))
        else:
            self._deliver(name, event)

    def _thaw(self, name: NodeId) -> None:
        for action in self.frozen.pop(name):
            action()

    def _deliver(self, name: NodeId, event: Event) -> None:
        if name in self.dead:
            return
        if name in self.frozen:
            self.frozen[name].append(lambda: self._deliver(name, event))
            return
        coordinator = self.coordinators[name]
        for effect in coordinator.handle(event, self.now):
            self._execute(name, effect)
        deadline = coordinator.next_deadline()
        if deadline < NEVER and self._ticks.get(name, NEVER) > deadline:
            self._ticks[name] = deadline
            self.at(max(0.0, deadline - self.now), lambda: self._tick(name, deadline))

    def _tick(self, name: NodeId, deadline: float) -> None:
        if self._ticks.get(name) == deadline:
            del self._ticks[name]
        self._deliver(name, Tick())

    def _execute(self, name: NodeId, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(name, effect)
        elif isinstance(effect, LogLine):
            self.log_lines.append(effect)
        elif isinstance(effect, RolloutProposal) and self._can_commit(name):
            self.at(COMMIT_S, lambda: self.order(command_for(effect)))

    def _usable(self, name: NodeId) -> bool:
        return name not in self.partitioned and name not in self.dead and name not in self.frozen

    def _can_commit(self, name: NodeId) -> bool:
        return name not in self.partitioned and self.leader is not None and self._usable(self.leader)

    def _send(self, name: NodeId, send: Send) -> None:
        data = msgspec.msgpack.encode(send.message)
        self.bytes_sent[name] += len(data)
        if isinstance(send.message, RolloutToken):
            self.token_sizes.append(len(data))
        message = msgspec.msgpack.decode(data, type=type(send.message))
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self.rng.random() < self.loss or name in self.partitioned or send.to in self.partitioned:
                continue
            event = MessageReceived(name, message)
            self.at(self.rng.uniform(*self.delay_s), lambda event=event: self._deliver(send.to, event))

    # Prompts

    def _begin_prompts(self, prompts_per_s: float, zones: int) -> None:
        zone_rates = {name: 1.0 + int(self.zone[name][1:]) for name in self.names}
        whole = sum(zone_rates.values())
        for name in self.names:
            rate = prompts_per_s * zone_rates[name] / whole
            self.at(self.rng.expovariate(rate), lambda name=name, rate=rate: self._prompt(name, rate))

    def _prompt(self, name: NodeId, rate: float) -> None:
        self.at(self.rng.expovariate(rate), lambda: self._prompt(name, rate))
        if name in self.dead or name in self.frozen:
            return
        if self.record.phase not in TERMINAL_PHASES:
            self.prompts += 1
        gate = self.coordinators[name].filter
        choice = gate.choose(SERVICE, self.rng.getrandbits(64), self.now)
        wait_s = self.rng.uniform(0.0, 0.02)
        self.at(wait_s, lambda: self._dispatch(name, choice.versions[0]))

    def _dispatch(self, name: NodeId, version: VersionName) -> None:
        if name in self.dead:
            return
        if name in self.frozen:
            self.frozen[name].append(lambda: self._dispatch(name, version))
            return
        gate = self.coordinators[name].filter
        if not gate.recheck(SERVICE, version, self.now):
            gate.return_credit(SERVICE, version, self.now)
            version = STABLE
        if version == CANDIDATE and self.record.phase is not RolloutPhase.DONE:
            self.sent_at.append(self.now)
            self.sent_by_zone[self.zone[name]] += 1
            share = self.plan.expose_share * self.prompts + self.plan.expose_allowance
            self.worst_excess = max(self.worst_excess, len(self.sent_at) - share)
        bad = version == CANDIDATE and self.rng.random() < self.bad_probability(self.elapsed())
        self.at(self.rng.uniform(0.05, 0.6), lambda: self._answer(name, version, bad))

    def _answer(self, name: NodeId, version: VersionName, bad: bool) -> None:
        if bad:
            self.bad_at.append(self.now)
        if name in self.dead or name in self.frozen:
            return
        outcome = PromptOutcome(
            service=SERVICE,
            version=version,
            engine=EngineId(f"{version}-{self.rng.randrange(6)}"),
            route=RouteName("caption-hint"),
            ending=Ending.ERROR_STATUS if bad else Ending.WHOLE,
            prompt_bytes=400,
            expected_hit=0.5,
            first_token_s=None if bad else self.rng.lognormvariate(-2.0, 0.3),
            token_gap_s=None if bad else self.rng.lognormvariate(-4.0, 0.3),
            tokens=0 if bad else 20,
        )
        self.coordinators[name].filter.observe(outcome, self.now)

    def last_send_after_fiftieth_bad_s(self) -> float:
        """Seconds from the fiftieth bad answer to the last prompt sent; negative if there was none."""
        if len(self.bad_at) < 50 or not self.sent_at:
            return -1.0
        return self.sent_at[-1] - sorted(self.bad_at)[49]
