"""The world: determinism, unreliable networks, freezes, restarts, partitions and traffic counters."""

from __future__ import annotations

import random

import pytest

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)
from springmux.simulation.world.faults import (
    AnyFault,
    ClockJump,
    CutNode,
    CutPair,
    CutZone,
    Freeze,
    Heal,
    Kill,
    Restart,
    Thaw,
    Wipe,
)
from springmux.simulation.world.network import Latency, NetworkSettings, ZoneLink
from springmux.simulation.world.world import World

NODES = tuple(NodeId(name) for name in ("a", "b", "c"))
A, B, C = NODES
ZONES = {A: ZoneName("north"), B: ZoneName("north"), C: ZoneName("south")}
STEADY = NetworkSettings(within_zone=Latency(0.01, 0.0), between_zones=Latency(0.02, 0.0))


class WorldProbe(PeerMessage, frozen=True, tag="WorldProbe"):
    """A numbered message of the test processes."""

    number: int


class PeriodicSender:
    """Sends a numbered message to every other node each period, and records received messages and times."""

    def __init__(self, node: NodeId, period_s: float = NEVER) -> None:
        self.node = node
        self.period_s = period_s
        self.next_at = NEVER
        self.sent = 0
        self.received: list[tuple[NodeId, int, float]] = []

    def start(self, now: float) -> list[Effect]:
        self.next_at = now + self.period_s
        return [LogLine("started")]

    def handle(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, MessageReceived) and isinstance(event.message, WorldProbe):
            self.received.append((event.sender, event.message.number, now))
        if not isinstance(event, Tick):
            return []
        self.next_at = now + self.period_s
        self.sent += 1
        return [Send(node, WorldProbe(self.sent)) for node in NODES if node != self.node]

    def next_deadline(self) -> float:
        return self.next_at

    def numbers(self, sender: NodeId) -> list[int]:
        return [number for source, number, _ in self.received if source == sender]


class Recorder:
    """Hooks that record their effects and faults."""

    def __init__(self) -> None:
        self.effects: list[tuple[NodeId, Effect, float]] = []
        self.faults: list[AnyFault] = []

    def on_effect(self, node: NodeId, effect: Effect, now: float) -> None:
        self.effects.append((node, effect, now))

    def on_fault(self, fault: AnyFault, now: float) -> None:
        self.faults.append(fault)


def make_world(
    settings: NetworkSettings = STEADY, seed: int = 1, period_s: float = 0.1, hooks: Recorder | None = None
) -> World:
    world = World(seed, settings, hooks, record=True)
    for node in NODES:
        world.add(
            node, ZONES[node], lambda boot, node=node: PeriodicSender(node, period_s if node == A else NEVER)
        )
    world.start_all()
    return world


def process_of(world: World, node: NodeId) -> PeriodicSender:
    process = world.process(node)
    assert isinstance(process, PeriodicSender)
    return process


def test_messages_arrive_after_the_latency_of_their_zones() -> None:
    link = ZoneLink(ZONES[A], ZONES[C], Latency(0.5, 0.0))
    world = make_world(NetworkSettings(within_zone=Latency(0.01, 0.0), links=(link,)))
    world.run_until(0.65)
    assert process_of(world, B).received[0] == (A, 1, pytest.approx(0.11))
    assert process_of(world, C).received == [(A, 1, pytest.approx(0.6))]


def test_the_same_seed_gives_the_same_transcript_and_another_seed_another() -> None:
    rough = NetworkSettings(loss=0.1, duplication=0.1, reordering=0.3)
    faults: list[AnyFault] = [Freeze(at=1.0, node=B), Thaw(at=2.0, node=B), Kill(at=1.5, node=C)]

    def run(seed: int) -> str:
        world = make_world(rough, seed)
        for fault in faults:
            world.scheduler.at(fault.at, lambda fault=fault: world.apply(fault))
        world.run_until(5.0)
        return world.transcript_hash()

    assert run(7) == run(7)
    assert run(7) != run(8)


def test_messages_are_lost_duplicated_and_reordered_as_often_as_configured() -> None:
    rough = NetworkSettings(loss=0.2, duplication=0.1, reordering=0.5, reordering_delay_s=0.5)
    world = make_world(rough, period_s=0.01)
    world.run_until(60.0)
    numbers = process_of(world, B).numbers(A)
    assert numbers != sorted(numbers)
    counters = world.network.counters
    sent = counters.messages_of(A)
    assert counters.lost / sent == pytest.approx(0.2, abs=0.02)
    assert counters.duplicated / sent == pytest.approx(0.08, abs=0.02)


def test_a_frozen_node_handles_queued_messages_at_its_thaw() -> None:
    world = make_world()
    world.run_until(1.05)
    world.apply(Freeze(at=1.05, node=B))
    before = len(process_of(world, B).received)
    world.run_until(3.05)
    assert len(process_of(world, B).received) == before
    assert not world.is_running(B)
    world.apply(Thaw(at=3.05, node=B))
    arrived = process_of(world, B).received[before:]
    assert [number for _, number, _ in arrived] == list(range(before + 1, before + 21))
    assert {now for _, _, now in arrived} == {3.05}


def test_a_frozen_node_does_not_tick_and_ticks_at_its_thaw() -> None:
    world = make_world()
    world.run_until(1.05)
    world.apply(Freeze(at=1.05, node=A))
    sent = process_of(world, A).sent
    world.run_until(9.0)
    assert process_of(world, A).sent == sent
    world.apply(Thaw(at=9.0, node=A))
    world.run_until(9.01)
    assert process_of(world, A).sent == sent + 1


def test_a_killed_node_loses_its_memory_and_its_old_timers() -> None:
    hooks = Recorder()
    world = make_world(hooks=hooks)
    world.run_until(1.05)
    old = process_of(world, A)
    for fault in (Kill(at=1.05, node=A), Wipe(at=1.05, node=A)):
        world.apply(fault)
    world.run_until(2.0)
    assert world.process(A) is None
    world.apply(Restart(at=2.0, node=A))
    world.run_until(2.25)
    assert world.boot(A) == 2
    assert (old.sent, process_of(world, A).sent) == (10, 2)
    assert [type(fault) for fault in hooks.faults] == [Kill, Wipe, Restart]
    assert [(node, now) for node, _, now in hooks.effects] == [(A, 0.0), (B, 0.0), (C, 0.0), (A, 2.0)]


@pytest.mark.parametrize(
    ("cut", "b_receives", "c_receives"),
    [
        (CutNode(at=0.0, node=A), False, False),
        (CutNode(at=0.0, node=A, outward=False), True, True),
        (CutNode(at=0.0, node=B, outward=False), False, True),
        (CutZone(at=0.0, zone=ZONES[C]), True, False),
        (CutZone(at=0.0, zone=ZONES[A]), True, False),
        (CutZone(at=0.0, zone=ZONES[C], inward=False), True, True),
        (CutPair(at=0.0, source=A, target=B), False, True),
        (CutPair(at=0.0, source=B, target=A), True, True),
    ],
)
def test_partitions_are_directed_and_end_when_healed(
    cut: AnyFault, b_receives: bool, c_receives: bool
) -> None:
    world = make_world()
    world.apply(cut)
    world.run_until(1.0)
    assert (bool(process_of(world, B).received), bool(process_of(world, C).received)) == (
        b_receives,
        c_receives,
    )
    world.apply(Heal(at=1.0))
    world.run_until(2.0)
    assert process_of(world, B).received
    assert process_of(world, C).received


def test_a_clock_jump_moves_the_wall_clock_of_one_node_only() -> None:
    world = make_world()
    world.run_until(1.0)
    world.apply(ClockJump(at=1.0, node=B, by_s=-3600.0))
    assert world.wall_clocks.read(A) - world.wall_clocks.read(B) == 3600.0
    world.run_until(1.35)
    assert process_of(world, B).numbers(A) == list(range(1, 14))


def test_encoded_bytes_are_counted_and_bandwidth_delays_messages() -> None:
    settings = NetworkSettings(
        within_zone=Latency(0.0, 0.0), between_zones=Latency(0.0, 0.0), count_bytes=True, bytes_per_s=130.0
    )
    world = make_world(settings, period_s=1.0)
    world.run_until(1.9)
    size_bytes = 13  # array of two: "WorldProbe" (11 bytes with its head) and a small number
    assert world.network.counters.bytes_of(A) == 2 * size_bytes
    assert world.network.counters.bytes_by_type() == {"WorldProbe": 2 * size_bytes}
    assert process_of(world, B).received == [(A, 1, pytest.approx(1.1))]
    assert process_of(world, C).received == [(A, 1, pytest.approx(1.2))]


def test_calls_reach_only_running_processes_and_reschedule_their_tick() -> None:
    world = make_world()
    world.run_until(0.55)

    def hurry(process: object) -> None:
        assert isinstance(process, PeriodicSender)
        process.next_at = 0.56

    assert world.call(A, hurry)
    world.run_until(0.565)
    assert process_of(world, A).sent == 6
    world.apply(Freeze(at=0.565, node=A))
    assert not world.call(A, hurry)


def test_simultaneous_events_run_in_the_order_of_scheduling() -> None:
    world = make_world()
    order: list[int] = []
    numbers = list(range(50))
    random.Random(3).shuffle(numbers)
    for number in numbers:
        world.scheduler.at(0.5, lambda number=number: order.append(number))
    world.run_until(1.0)
    assert order == numbers
