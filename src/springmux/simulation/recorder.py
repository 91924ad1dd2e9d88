"""Record the control plane's behaviour in a hollow fleet's history."""

from __future__ import annotations

import xxhash

from springmux.agent.agent import NodeAgent
from springmux.agent.effects import OrderAnswered
from springmux.coordination.identifiers import NodeId
from springmux.rollout.plan import RolloutPhase
from springmux.simulation.history import FaultStarted, History, NodeSample, RolloutPhaseChanged, StateApplied
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet
from springmux.simulation.world.faults import AnyFault
from springmux.vocabulary.names import RolloutId

SAMPLE_PERIOD_S = 0.25
IN_FORCE_S = 2.0
"""Seconds from the acknowledgement of a change within which every connected node must apply it."""
IN_FORCE_SLACK_S = 0.25
"""Tolerance of ``IN_FORCE_S``, in seconds."""


class Recorder(FleetObserver):
    """Records states, rollouts, faults, and samples of all nodes."""

    def __init__(self, fleet: HollowFleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self._phases: dict[tuple[NodeId, int, RolloutId], RolloutPhase] = {}
        fleet.observers.append(self)
        self._sample_forever()

    def control_changed(self, node: NodeId, agent: NodeAgent, now: float) -> None:
        """Record a newer state and the phases of its rollouts."""
        view = agent.view
        boot = self._fleet.world.boot(node)
        digest = xxhash.xxh3_64_intdigest(agent.control.snapshot())
        version = view.configuration.version
        self._history.states.append(StateApplied(now, node, boot, view.revision, digest, version))
        for service, record in view.rollouts.items():
            key = (node, boot, record.rollout)
            if self._phases.get(key) is not record.phase:
                self._phases[key] = record.phase
                change = RolloutPhaseChanged(now, node, record.rollout, service, record.phase)
                self._history.rollouts.append(change)

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        """Schedule a sample of all nodes for the time by which the order must be applied."""
        if answer.result is not None:
            self._fleet.world.scheduler.after(IN_FORCE_S + IN_FORCE_SLACK_S, self.sample)

    def fault(self, fault: AnyFault, now: float) -> None:
        """Record a fault."""
        self._history.faults.append(FaultStarted(now, fault))

    def sample(self) -> None:
        """Record the status of every running node."""
        world = self._fleet.world
        for node, agent in self._fleet.agents().items():
            if not world.is_running(node):
                continue
            self._history.samples.append(self._sampled(node, agent))

    def _sampled(self, node: NodeId, agent: NodeAgent) -> NodeSample:
        world = self._fleet.world
        position = agent.log_position
        replica = agent.status().replica if position.leader == node else None
        return NodeSample(
            world.now,
            node,
            world.boot(node),
            agent.ready,
            agent.not_ready_reason,
            agent.view.revision,
            position.term,
            position.leader == node,
            replica.commit_index if replica is not None else 0,
            replica.last_index if replica is not None else 0,
        )

    def _sample_forever(self) -> None:
        self.sample()
        self._fleet.world.scheduler.after(SAMPLE_PERIOD_S, self._sample_forever)
