"""One rollout in a complete hollow fleet in virtual time: its exposure, rollback time and duration.

Uses :class:`~springmux.simulation.run.Run` without its random faults. The scenario names the disturbance,
so that each row of the table in docs/ROLLOUT.md can be reproduced.
"""

from __future__ import annotations

import enum
import random

import msgspec

from springmux.control.commands import AbortRollout, Outcome, PromoteRollout
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import PeerMessage
from springmux.rollout.messages import RolloutToken
from springmux.rollout.plan import TERMINAL_PHASES, RolloutPhase
from springmux.simulation.candidates import Candidate, behaviour_for
from springmux.simulation.checkers.exposure import BAD_RESPONSES_BEFORE_ROLLBACK
from springmux.simulation.engine_model import GOOD, VersionBehaviour
from springmux.simulation.hollow_node import Enveloped
from springmux.simulation.operators import PendingOrder
from springmux.simulation.rollout_baselines import Variant, variant_applied
from springmux.simulation.run import CANDIDATE, PROMOTED_AT_S, TRAFFIC_BEGINS_S, Run
from springmux.simulation.scenario import Scenario, ScenarioSettings
from springmux.simulation.scenario_faults import EngineCrash
from springmux.simulation.world.faults import CutNode, Freeze, Heal, Kill, Restart, Thaw
from springmux.simulation.world.network import Network, NetworkSettings
from springmux.vocabulary.names import RolloutId

BY_S = 60.0
CANDIDATES_START_S = TRAFFIC_BEGINS_S + 1.0
TOKENS_PER_CHUNK = 4
"""Small enough for short responses to have several chunks, so that cuts and gaps are observable."""
AFTER_END_S = 8.0
"""Seconds to run after the end, in which late prompts to an aborted version would be recorded."""
MAX_RUN_S = PROMOTED_AT_S + BY_S + 30.0
FREEZE_S = 12.0
CUT_S = 20.0
LEADER_CUT_AT_S = 54.0
"""Seconds after the promotion, within the 25% step of the schedule (53 to 55 s)."""
ABORT_AT_S = 56.5
RESTART_DELAY_S = 1.0
PAUSE_AT_S, PAUSE_S = 20.0, 8.0
RESEND_AFTER_S = 0.3
SURGING_TENANT = 2
TOKEN_LOSS_SHARE, TOKEN_DUPLICATION_SHARE, TOKEN_DELAY_SHARE, TOKEN_DELAY_S = 0.1, 0.2, 0.2, 1.0


class Disturbance(enum.StrEnum):
    """Disturbance during the rollout."""

    NONE = "none"
    CRASHES = "engines of both versions crash"
    BURST = "burst and swelling tenant"
    FROZEN = "node frozen through the abort"
    LEADER_CUT = "leader cut off for 20 s in the shift"
    TOKEN = "token lost, doubled, delayed"
    RACE = "two operators race"
    RESENT = "order resent after a lost answer"
    RESTART = "restart of everything at half time"
    PAUSE = "pause and resume"
    ABORT = "operator aborts at the last step"


class RolloutScenario(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the table. ``after_share``: fraction of the deadline after which a bad version turns bad."""

    name: str
    behaviour: VersionBehaviour = GOOD
    after_share: float = 0.0
    disturbance: Disturbance = Disturbance.NONE

    @property
    def bad(self) -> bool:
        """Whether the candidate must not be released."""
        return self.behaviour != GOOD


class TrialResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run.

    ``prompts``: the service's prompts from the promotion to the end. ``sent``: those sent to the candidate.
    ``excess``: largest number sent beyond 10% and the allowance; negative if the bound was never reached.
    ``rollback_s``: seconds from the fiftieth bad response to the last prompt sent to the candidate, ``None``
    with fewer than fifty. ``finished_s``: unpaused seconds from the promotion to the end. ``orders_ok``:
    exactly one of the racing orders was accepted, and a resent order got its first reply. ``reason``: reason
    of the abort.
    """

    seed: int
    phase: str
    prompts: int
    sent: int
    excess: float
    rollback_s: float | None
    finished_s: float | None
    orders_ok: bool
    reason: str = ""


class UnreliableTokenNetwork(Network):
    """Network that loses, duplicates and delays the rollout token, and nothing else."""

    def arrivals(self, source: NodeId, target: NodeId, message: PeerMessage, now: float) -> list[float]:
        """Return the arrival times of a message; see the base class."""
        times = super().arrivals(source, target, message, now)
        if not isinstance(message, Enveloped) or not isinstance(message.message, RolloutToken):
            return times
        draw = self._random.random
        if draw() < TOKEN_LOSS_SHARE:
            return []
        copies = times * 2 if draw() < TOKEN_DUPLICATION_SHARE else times
        return [at + (draw() * TOKEN_DELAY_S if draw() < TOKEN_DELAY_SHARE else 0.0) for at in copies]


class RolloutTrial(Run):
    """Runs one scenario with one seed under one variant."""

    def __init__(self, rollout: RolloutScenario, deployment: str, seed: int, variant: Variant) -> None:
        settings = ScenarioSettings(
            deployment=deployment, traffic_share=1.0, tokens_per_chunk=TOKENS_PER_CHUNK, by_s=BY_S
        )
        burst = rollout.disturbance is Disturbance.BURST
        super().__init__(
            Scenario(
                seed=seed,
                settings=settings,
                deployment=deployment,
                candidate="good",
                burst=2.0 if burst else 1.0,
                surging_tenant=SURGING_TENANT if burst else -1,
            )
        )
        self._rollout = rollout
        self._source = random.Random(f"trial {seed}")
        self._orders: list[PendingOrder] = []
        self.plan = variant.plan(self.plan)
        if rollout.disturbance is Disturbance.TOKEN:
            self._use_unreliable_network(seed)

    def measure(self) -> TrialResult:
        """Run until ``AFTER_END_S`` after the end of the rollout; return the results."""
        self.set_up()
        scheduler, world = self.fleet.world.scheduler, self.fleet.world
        scheduler.at(TRAFFIC_BEGINS_S, lambda: self.clients.start(MAX_RUN_S))
        scheduler.at(CANDIDATES_START_S, self._start_candidates)
        scheduler.at(PROMOTED_AT_S, self._promote_for_trial)
        self._plan_disturbance()
        self.fleet.run_until(self._is_over, MAX_RUN_S - world.now, step_s=0.5)
        world.run_for(AFTER_END_S + (FREEZE_S if self._rollout.disturbance is Disturbance.FROZEN else 0.0))
        return self._make_result()

    def _start_candidates(self) -> None:
        """Start the candidate's engines.

        An engine turns bad at a given age, so the time before the promotion is added to it.
        """
        long_route = next(size.route for size in self.size.streams if size.traffic_class == "bulk")
        behaviour = behaviour_for(Candidate("trial", self._rollout.behaviour), long_route)
        if self._rollout.after_share > 0:
            after_s = PROMOTED_AT_S - CANDIDATES_START_S + self._rollout.after_share * BY_S
            behaviour = msgspec.structs.replace(behaviour, after_s=after_s)
        self.backends.add_group(msgspec.structs.replace(self.size.models(), version=CANDIDATE), behaviour)

    def _promote_for_trial(self) -> None:
        first = self.operators.promote(self.plan)
        self._orders.append(first)
        if self._rollout.disturbance is Disturbance.RACE:
            self._orders.append(self.operators.promote(self.plan))
        if self._rollout.disturbance is Disturbance.RESENT and isinstance(first.command, PromoteRollout):
            again = msgspec.structs.replace(first.command, rollout=RolloutId("made by another node"))
            scheduler = self.fleet.world.scheduler
            scheduler.after(RESEND_AFTER_S, lambda: self._orders.append(self.operators.order(again)))

    # Disturbances

    def _plan_disturbance(self) -> None:
        scheduler = self.fleet.world.scheduler
        match self._rollout.disturbance:
            case Disturbance.CRASHES:
                self._plan_crashes()
            case Disturbance.FROZEN:
                scheduler.at(_at(self._rollout.after_share * BY_S - 0.5), self._freeze_one)
            case Disturbance.LEADER_CUT:
                scheduler.at(_at(LEADER_CUT_AT_S), self._cut_leader)
            case Disturbance.RESTART:
                scheduler.at(_at(0.5 * BY_S), self._restart_all)
            case Disturbance.PAUSE:
                pause = self.operators.pause_and_resume
                scheduler.at(_at(PAUSE_AT_S), lambda: pause(self.plan.service, PAUSE_S))
            case Disturbance.ABORT:
                scheduler.at(_at(ABORT_AT_S), self._abort)
            case _:
                pass

    def _plan_crashes(self) -> None:
        stable = self.size.models().version
        for number, elapsed_s in enumerate((12.0, 22.0, 32.0, 42.0, 50.0)):
            version = (CANDIDATE, stable)[number % 2]
            at = _at(elapsed_s)
            crash = EngineCrash(at=at, version=version, index=number, back_after_s=4.0)
            self.fleet.world.scheduler.at(at, lambda crash=crash: self._apply(crash))  # type: ignore[misc]

    def _freeze_one(self) -> None:
        leader = self.fleet.leader()
        nodes = [place.node for place in self.fleet.places() if place.node != leader]
        node = self._source.choice(nodes)
        world = self.fleet.world
        world.apply(Freeze(at=world.now, node=node))
        world.scheduler.after(FREEZE_S, lambda: world.apply(Thaw(at=world.now, node=node)))

    def _cut_leader(self) -> None:
        leader, world = self.fleet.leader(), self.fleet.world
        if leader is not None:
            world.apply(CutNode(at=world.now, node=leader))
            world.scheduler.after(CUT_S, lambda: world.apply(Heal(at=world.now)))

    def _restart_all(self) -> None:
        world = self.fleet.world
        for number, node in enumerate(world.nodes()):
            world.apply(Kill(at=world.now, node=node))
            back = Restart(at=world.now + RESTART_DELAY_S + 0.01 * number, node=node)
            world.scheduler.at(back.at, lambda back=back: world.apply(back))  # type: ignore[misc]

    def _abort(self) -> None:
        order = self.operators.new_order()
        self._orders.append(self.operators.order(AbortRollout(order=order, service=self.plan.service)))

    def _use_unreliable_network(self, seed: int) -> None:
        network = UnreliableTokenNetwork(NetworkSettings(), random.Random(f"token {seed}"))
        for place in self.fleet.places():
            network.place(place.node, place.zone)
        self.fleet.world.network = network

    # Results

    def _is_over(self) -> bool:
        return any(change.phase in TERMINAL_PHASES for change in self.history.rollouts)

    def _first_seen(self, *phases: RolloutPhase, after: float = 0.0) -> float | None:
        times = (each.at for each in self.history.rollouts if each.phase in phases and each.at >= after)
        return min(times, default=None)

    def _make_result(self) -> TrialResult:
        begun = self._first_seen(RolloutPhase.CANARY)
        ended = self._first_seen(*TERMINAL_PHASES)
        done = self._first_seen(RolloutPhase.DONE) is not None
        prompts = sent = 0
        excess = float("-inf")
        last_sent = None
        for dispatch in self.history.dispatched:
            if dispatch.service != self.plan.service or begun is None or dispatch.at < begun:
                continue
            if done and ended is not None and dispatch.at > ended:
                break
            prompts += dispatch.attempt == 1 and (ended is None or dispatch.at <= ended)
            if dispatch.version == CANDIDATE:
                sent += 1
                last_sent = dispatch.at
                excess = max(excess, sent - 0.10 * prompts - self.plan.expose_allowance)
        bad_at = sorted(bad.at for bad in self.history.bad_responses if bad.version == CANDIDATE)
        fiftieth = (
            bad_at[BAD_RESPONSES_BEFORE_ROLLBACK - 1]
            if len(bad_at) >= BAD_RESPONSES_BEFORE_ROLLBACK
            else None
        )
        rollback = last_sent - fiftieth if last_sent is not None and fiftieth is not None else None
        finished = ended - begun - self._paused_s() if begun is not None and ended is not None else None
        return TrialResult(
            seed=self.scenario.seed,
            phase="done" if done else "aborted" if ended is not None else "under way",
            prompts=prompts,
            sent=sent,
            excess=excess,
            rollback_s=rollback,
            finished_s=finished,
            orders_ok=self._orders_decided_correctly(),
            reason=self._reason(),
        )

    def _paused_s(self) -> float:
        paused = self._first_seen(RolloutPhase.PAUSED)
        if paused is None:
            return 0.0
        resumed = self._first_seen(RolloutPhase.CANARY, RolloutPhase.SHIFTING, after=paused + 1.0)
        return (resumed or self.fleet.world.now) - paused

    def _orders_decided_correctly(self) -> bool:
        outcomes = [pending.result.outcome for pending in self._orders if pending.result is not None]
        if self._rollout.disturbance is Disturbance.RACE:
            return sorted(outcomes) == sorted([Outcome.ACCEPTED, Outcome.CONFLICT])
        return len(outcomes) == len(self._orders) and set(outcomes) == {Outcome.ACCEPTED}

    def _reason(self) -> str:
        records = (agent.view.rollouts.get(self.plan.service) for agent in self.fleet.agents().values())
        decisions = [record.decision for record in records if record is not None and record.decision]
        return f"{decisions[0].test or decisions[0].reason} {decisions[0].stratum}" if decisions else ""


def run_trial(rollout: RolloutScenario, deployment: str, seed: int, variant: Variant) -> TrialResult:
    """Run one scenario under one variant."""
    with variant_applied(variant):
        return RolloutTrial(rollout, deployment, seed, variant).measure()


def _at(elapsed_s: float) -> float:
    return PROMOTED_AT_S + elapsed_s
