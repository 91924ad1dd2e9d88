"""Rollout orders have no id of their own: one that is sent again gets its first result, a new one is decided.

Guards against a new order that is acknowledged from memory because an earlier one was equal to it.
"""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from typing import cast

import pytest

from springmux.agent.agent import NodeAgent
from springmux.agent.decision_times import DecisionAge, DecisionTimes
from springmux.agent.effects import OrderAnswered
from springmux.control.commands import (
    AbortRollout,
    AnyCommand,
    CommandResult,
    FinishRollout,
    SetRolloutStep,
    encode_command,
)
from springmux.control.state import ControlState
from springmux.control.view import ControlView
from springmux.coordination.identifiers import Revision
from springmux.coordination.state_machine import Event
from springmux.node.driver import AgentDriver
from springmux.node.gateway.rollout_endpoints import RolloutEndpoints
from springmux.node.gateway.rollout_orders import CALL_IN_FLIGHT_S
from springmux.node.http.types import ServerExchange
from springmux.node.service_rates import ServiceRates
from springmux.rollout.plan import TERMINAL_PHASES, RolloutPhase
from springmux.vocabulary.engines import EngineStatus
from springmux.vocabulary.names import OrderId, ServiceName
from tests.unit.control.gateway_support import change, whole
from tests.unit.node.gateway.scripted_engines import now, play
from tests.unit.node.gateway.stand_ins import gateway_settings

RESEND_S = 4.0
PROOF_AGE_S = 0.4
"""The leader's own proof is as old: a quorum confirms it so often, and other nodes get it from the leader."""
SERVICE = ServiceName("pages")
SETTINGS = gateway_settings(order_resend_ms=RESEND_S * 1000)


class Log:
    """The replicated log, and the nodes that apply it."""

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.nodes: list[Node] = []

    def append(self, command: AnyCommand) -> CommandResult:
        self.entries.append(encode_command(command))
        results = [node.apply_newest() for node in self.nodes]
        return results[0]

    def add_node(self) -> Node:
        node = Node(self)
        self.nodes.append(node)
        return node


class Node:
    """Stands for one node's agent and driver: the control state is real, proofs come at once."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.control = ControlState()
        self.times = DecisionTimes()
        self.ready = False
        self.is_proven = True
        self.not_ready_reason = "cut off"
        self.membership = SimpleNamespace(present=list)
        engine = SimpleNamespace(service=SERVICE, version="v1", status=EngineStatus.READY)
        self.engines = SimpleNamespace(engines={"e": engine})
        for _ in log.entries:
            self.apply_newest()
        self.ready = True
        rates = SimpleNamespace(per_s=lambda service, window_s: 1.0)
        self._endpoints = RolloutEndpoints(
            SETTINGS, cast(NodeAgent, self), cast(AgentDriver, self), cast(ServiceRates, rates)
        )

    @property
    def view(self) -> ControlView:
        return self.control.view()

    def apply_newest(self) -> CommandResult:
        index = Revision(self.control.view().revision + 1)
        result = self.control.apply(index, self.log.entries[index - 1])
        assert result is not None
        self.times.record(result.order, self.ready, now())
        return result

    def decision_age(self, order: OrderId, at: float) -> DecisionAge:
        return self.times.age(order, at)

    def state_proof_age_s(self, at: float) -> float:
        return PROOF_AGE_S if self.is_proven else 100.0

    def submit(self, event: Event) -> None:
        pass

    def submit_order(self, command: AnyCommand, callback) -> str:  # type: ignore[no-untyped-def]
        callback(OrderAnswered("order-1", self.log.append(command)))
        return "order-1"

    def forget_order(self, correlation_id: str) -> None:
        pass

    async def order(self, candidate: str) -> int:
        async def body() -> bytes:
            return json.dumps({"service": SERVICE, "candidate": candidate, "by_s": 12}).encode()

        exchange = cast(ServerExchange, SimpleNamespace(body=body))
        return (await self._endpoints.handle("POST", "", exchange)).status

    async def shown_status(self) -> int:
        return (await self._endpoints.handle("GET", SERVICE, cast(ServerExchange, None))).status


def new_log() -> Log:
    log = Log()
    log.add_node()
    log.append(change(0, whole()))
    return log


def finish(log: Log) -> None:
    record = log.nodes[0].view.rollouts[SERVICE]
    step = SetRolloutStep(
        order=OrderId(f"step/{record.rollout}"),
        issued_by="system",
        service=SERVICE,
        rollout=record.rollout,
        phase=RolloutPhase.SHIFTING,
        step=record.step + 1,
        weight=1.0,
        elapsed_s=10.0,
    )
    log.append(step)
    done = FinishRollout(
        order=OrderId(f"finish/{record.rollout}"),
        issued_by="system",
        service=SERVICE,
        rollout=record.rollout,
        elapsed_s=12.0,
    )
    log.append(done)
    assert log.nodes[0].view.rollouts[SERVICE].phase is RolloutPhase.DONE


def abort(log: Log) -> None:
    log.append(AbortRollout(order=OrderId(f"abort-{len(log.entries)}"), service=SERVICE))


def newest(log: Log) -> tuple[str, bool]:
    """Return the newest rollout's candidate, and whether it is under way."""
    record = log.nodes[0].view.rollouts[SERVICE]
    return record.candidate, record.phase not in TERMINAL_PHASES


def promotions(log: Log) -> int:
    return sum(b"PromoteRollout" in entry for entry in log.entries)


def test_order_that_equals_a_completed_one_of_before_is_carried_out() -> None:
    """Forward, back, and forward again: the third order equals the first, and must exist."""

    async def scenario() -> None:
        log = new_log()
        for candidate in ("v2", "v1", "v2"):
            assert await log.nodes[0].order(candidate) == 200
            assert newest(log) == (candidate, True)
            await asyncio.sleep(12)
            finish(log)

    play(scenario())


def test_order_is_new_again_and_again() -> None:
    async def scenario() -> None:
        log = new_log()
        for _ in range(6):
            assert await log.nodes[0].order("v2") == 200
            assert newest(log) == ("v2", True)
            abort(log)
            await asyncio.sleep(RESEND_S + CALL_IN_FLIGHT_S + 0.1)
        assert promotions(log) == 6

    play(scenario())


@pytest.mark.parametrize("after_s", [0.0, 1.0, RESEND_S])
def test_order_sent_again_in_time_has_no_second_effect(after_s: float) -> None:
    """The acknowledgement was lost, and the rollout was aborted meanwhile."""

    async def scenario() -> None:
        log = new_log()
        other = log.add_node()
        assert await log.nodes[0].order("v2") == 200
        abort(log)
        await asyncio.sleep(after_s)
        for node in (other, log.nodes[0]):
            assert await node.order("v2") == 200
        assert (promotions(log), newest(log)) == (1, ("v2", False))

    play(scenario())


def test_order_that_may_be_either_gets_no_clear_answer() -> None:
    """Its last call may have begun within the time for sending again, and arrive after it."""

    async def scenario() -> None:
        log = new_log()
        assert await log.nodes[0].order("v2") == 200
        abort(log)
        await asyncio.sleep(RESEND_S + CALL_IN_FLIGHT_S / 2)
        assert await log.nodes[0].order("v2") == 503
        assert promotions(log) == 1

    play(scenario())


def test_order_under_way_is_acknowledged_however_late() -> None:
    async def scenario() -> None:
        log = new_log()
        for _ in range(5):
            assert await log.nodes[0].order("v2") == 200
            await asyncio.sleep(2)
        assert promotions(log) == 1

    play(scenario())


def test_node_that_just_started_gives_no_clear_answer_until_the_order_must_be_new() -> None:
    """It can't tell how old the decisions are that it read from its disk or fetched."""

    async def scenario() -> None:
        log = new_log()
        assert await log.nodes[0].order("v2") == 200
        abort(log)
        await asyncio.sleep(60)
        log.nodes = [log.add_node()]
        assert await log.nodes[0].order("v2") == 503
        await asyncio.sleep(RESEND_S + CALL_IN_FLIGHT_S + 0.1)
        assert await log.nodes[0].order("v2") == 200
        assert (promotions(log), newest(log)) == (2, ("v2", True))

    play(scenario())


def test_order_sent_again_to_a_node_that_just_started_has_no_second_effect() -> None:
    async def scenario() -> None:
        log = new_log()
        assert await log.nodes[0].order("v2") == 200
        abort(log)
        log.nodes = [log.add_node()]
        assert await log.nodes[0].order("v2") == 503
        assert promotions(log) == 1

    play(scenario())


def test_copies_of_a_new_order_at_two_nodes_are_one_rollout() -> None:
    async def scenario() -> None:
        log = new_log()
        other = log.add_node()
        assert await log.nodes[0].order("v2") == 200
        abort(log)
        await asyncio.sleep(20)
        assert await asyncio.gather(log.nodes[0].order("v2"), other.order("v2")) == [200, 200]
        abort(log)
        assert await other.order("v2") == 200
        assert promotions(log) == 2

    play(scenario())


def test_copy_of_an_old_order_that_is_committed_late_has_no_effect() -> None:
    """A node forwarded it before a change of leader, and it is proposed again long after."""

    async def scenario() -> None:
        log = new_log()
        assert await log.nodes[0].order("v2") == 200
        copy = log.entries[-1]
        abort(log)
        await asyncio.sleep(60)
        log.entries.append(copy)
        log.nodes[0].apply_newest()
        assert newest(log) == ("v2", False)

    play(scenario())


def test_refused_order_is_decided_anew_once_it_is_a_new_one() -> None:
    async def scenario() -> None:
        log = new_log()
        assert await log.nodes[0].order("v3") == 200
        assert await log.nodes[0].order("v2") == 409
        abort(log)
        assert await log.nodes[0].order("v2") == 409
        await asyncio.sleep(RESEND_S + CALL_IN_FLIGHT_S + 0.1)
        assert await log.nodes[0].order("v2") == 200
        assert newest(log) == ("v2", True)

    play(scenario())


def test_node_without_proof_of_the_newest_state_neither_takes_nor_shows_rollouts() -> None:
    """A core's minority may not know the last equal order, nor the end of a rollout."""

    async def scenario() -> None:
        log = new_log()
        assert await log.nodes[0].order("v2") == 200
        log.nodes[0].is_proven = False
        assert await log.nodes[0].order("v3") == 503
        assert await log.nodes[0].shown_status() == 503
        assert promotions(log) == 1

    play(scenario())


def test_commands_of_a_promotion_are_told_apart_by_their_rollout() -> None:
    """The ids of the leader's own commands follow from the rollout's id, so it must be another one."""

    async def scenario() -> None:
        log = new_log()
        identities = set()
        for _ in range(3):
            assert await log.nodes[0].order("v2") == 200
            identities.add(log.nodes[0].view.rollouts[SERVICE].rollout)
            abort(log)
            await asyncio.sleep(10)
        assert len(identities) == 3

    play(scenario())
