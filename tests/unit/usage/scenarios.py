"""Scenarios of simulated usage exchanges: loads and faults from a seed. Times are seconds since the start."""

from __future__ import annotations

from collections.abc import Callable

from springmux.coordination.usage.events import AccountLimit
from tests.unit.usage.world import ACCOUNT, BURST, RATE, USUAL_DEMAND, Load, World

SURGE_FACTOR = 7.0
"""Demand during a surge as a multiple of the usual demand (requirement: 6 to 8 times)."""
SURGE_BEGIN_S, SURGE_END_S = 6.0, 26.0
FAULT_AT_S = 10.0
MEMBERSHIP_DELAY_S = 2.5
"""Time until the membership of all nodes drops a lost node: 1.8 to 2.5 s (docs/notes/membership.md)."""
LOWERED_RATE = RATE / 2


def surging_demand(when: float) -> float:
    """Return the demand (tokens/s): the usual one, and seven times that during the surge."""
    return USUAL_DEMAND * SURGE_FACTOR if SURGE_BEGIN_S <= when < SURGE_END_S else USUAL_DEMAND


def steady(seed: int, size: int = 12, until: float = 40.0) -> World:
    world = World(size, seed)
    world.add_load(Load(lambda _: USUAL_DEMAND, lambda _: range(size)), until)
    world.run(until)
    return world


def run_surge(seed: int, size: int, nodes: Callable[[float], list[int] | range]) -> World:
    world = World(size, seed)
    world.add_load(Load(surging_demand, nodes), SURGE_END_S)
    world.run(SURGE_END_S)
    return world


def surge_at_all_nodes(seed: int) -> World:
    return run_surge(seed, 12, lambda _: range(12))


def surge_at_one_node(seed: int) -> World:
    return run_surge(seed, 12, lambda when: range(12) if when < SURGE_BEGIN_S else [0])


def surge_at_three_nodes(seed: int) -> World:
    return run_surge(seed, 12, lambda when: range(12) if when < SURGE_BEGIN_S else range(3))


def surge_at_changing_nodes(seed: int) -> World:
    return run_surge(seed, 12, lambda when: [int(when) % 12])


def ninety_nodes(seed: int) -> World:
    return run_surge(seed, 90, lambda _: range(90))


def ninety_nodes_surge_at_one(seed: int) -> World:
    return run_surge(seed, 90, lambda when: range(90) if when < SURGE_BEGIN_S else [7])


def with_faults(seed: int, size: int, faults: Callable[[World], None]) -> World:
    world = World(size, seed)
    world.add_load(Load(surging_demand, lambda _: range(size)), SURGE_END_S)
    faults(world)
    world.run(SURGE_END_S)
    return world


def node_paused_during_the_surge(seed: int) -> World:
    def faults(world: World) -> None:
        world.at(FAULT_AT_S, lambda: world.paused.add(3))
        world.at(FAULT_AT_S + 3.0, lambda: world.resume(3))

    return with_faults(seed, 12, faults)


def node_paused_before_the_surge(seed: int) -> World:
    def faults(world: World) -> None:
        world.at(SURGE_BEGIN_S - 2.0, lambda: world.paused.add(3))
        world.at(SURGE_BEGIN_S + 1.0, lambda: world.resume(3))

    return with_faults(seed, 12, faults)


def schedule_partition(world: World, begin: float, end: float, side: list[int]) -> None:
    """Partition ``side`` from the others between ``begin`` and ``end``.

    The membership of each side drops the nodes of the other after a delay.
    """
    other_side = [node for node in range(world.size) if node not in side]

    def start_partition() -> None:
        world.partition_side.update(dict.fromkeys(side, 1))

    def end_partition() -> None:
        world.partition_side.clear()

    def remove_members(count: int) -> None:
        world.set_members(side, side + other_side[count:])
        world.set_members(other_side, other_side + side[count:])

    world.at(begin, start_partition)
    for count in range(1, max(len(side), len(other_side)) + 1):
        world.at(
            begin + MEMBERSHIP_DELAY_S - 0.7 + 0.7 * count / 12, lambda count=count: remove_members(count)
        )
    world.at(end, end_partition)
    world.at(end + 0.4, lambda: world.set_members(range(world.size), range(world.size)))


def one_node_partitioned_before_the_surge(seed: int) -> World:
    """The surge begins one second after a node was partitioned away."""
    return with_faults(
        seed, 12, lambda world: schedule_partition(world, SURGE_BEGIN_S - 1.0, SURGE_BEGIN_S + 4.0, [5])
    )


def one_node_partitioned_at_the_surge(seed: int) -> World:
    return with_faults(
        seed, 12, lambda world: schedule_partition(world, SURGE_BEGIN_S, SURGE_BEGIN_S + 5.0, [5])
    )


def partitioned_into_halves(seed: int) -> World:
    return with_faults(
        seed,
        12,
        lambda world: schedule_partition(world, SURGE_BEGIN_S - 1.0, SURGE_BEGIN_S + 9.0, list(range(6))),
    )


def five_of_twelve_partitioned(seed: int) -> World:
    return with_faults(
        seed,
        12,
        lambda world: schedule_partition(world, SURGE_BEGIN_S + 2.0, SURGE_BEGIN_S + 14.0, list(range(5))),
    )


def nodes_killed_and_restarted(seed: int) -> World:
    def kill(world: World, node: int) -> None:
        world.dead.add(node)

    def faults(world: World) -> None:
        for index, node in enumerate((2, 7, 9)):
            at = 8.0 + 4.0 * index
            alive = [other for other in range(12) if other != node]
            world.at(at, lambda node=node: kill(world, node))
            world.at(at + MEMBERSHIP_DELAY_S, lambda alive=alive: world.set_members(alive, alive))
            world.at(at + 3.0, lambda node=node: world.start(node))
            world.at(at + 3.3, lambda: world.set_members(range(12), range(12)))

    return with_faults(seed, 12, faults)


def one_node_restarted_each_second(seed: int) -> World:
    """A node that restarts quickly and repeatedly remains a member."""

    def faults(world: World) -> None:
        for index in range(15):
            world.at(8.0 + index, lambda: world.start(4))

    return with_faults(seed, 12, faults)


def alternating_request_sizes(seed: int) -> World:
    """The surging demand alternates between large requests only and small requests only."""
    world = World(12, seed)
    for second in range(int(SURGE_BEGIN_S), int(SURGE_END_S)):
        size = 20_000 if second % 2 == 0 else 400
        for _ in range(round(USUAL_DEMAND * SURGE_FACTOR / size)):
            when, node = second + world.random.random(), world.random.randrange(world.size)
            world.at(when, lambda node=node, size=size: world.request(node, ACCOUNT, size))
    world.run(SURGE_END_S)
    return world


def restart_all_nodes(world: World) -> None:
    """Restart every node within half a second, in the middle of the surge."""
    for node in range(world.size):
        world.at(FAULT_AT_S, lambda node=node: world.dead.add(node))
        world.at(FAULT_AT_S + 0.6 + 0.5 * node / world.size, lambda node=node: world.start(node))


def all_nodes_restarted_during_the_surge(seed: int) -> World:
    return with_faults(seed, 12, restart_all_nodes)


def partitioned_killed_and_restarted(seed: int) -> World:
    """Four nodes are partitioned away at the surge, two others killed, and then all are restarted."""

    def faults(world: World) -> None:
        schedule_partition(world, SURGE_BEGIN_S, SURGE_BEGIN_S + 9.0, [1, 4, 6, 9])
        for node in (2, 7):
            world.at(SURGE_BEGIN_S + 1.0, lambda node=node: world.dead.add(node))
        restart_all_nodes(world)

    return with_faults(seed, 12, faults)


def limit_lowered_then_raised(seed: int) -> World:
    def faults(world: World) -> None:
        world.at(12.0, lambda: world.set_limit(AccountLimit(LOWERED_RATE, BURST / 2)))
        world.at(22.0, lambda: world.set_limit(AccountLimit(RATE, BURST)))

    world = World(12, seed)
    world.add_load(Load(lambda _: USUAL_DEMAND * SURGE_FACTOR, lambda _: range(12)), 34.0)
    faults(world)
    world.run(34.0)
    return world


def ninety_nodes_lose_a_collector(seed: int) -> World:
    def faults(world: World) -> None:
        first = next(iter(world.exchanges.values()))._peer_tracker.collectors[0]
        node = int(first.removeprefix("node-"))
        alive = [other for other in range(90) if other != node]
        world.at(FAULT_AT_S, lambda: world.dead.add(node))
        world.at(FAULT_AT_S + MEMBERSHIP_DELAY_S, lambda: world.set_members(alive, alive))

    return with_faults(seed, 90, faults)


def ninety_nodes_pause_a_collector(seed: int) -> World:
    def faults(world: World) -> None:
        first = next(iter(world.exchanges.values()))._peer_tracker.collectors[0]
        node = int(first.removeprefix("node-"))
        world.at(FAULT_AT_S, lambda: world.paused.add(node))
        world.at(FAULT_AT_S + 3.0, lambda: world.resume(node))

    return with_faults(seed, 90, faults)


def ninety_nodes_with_sixteen_accounts(seed: int) -> World:
    limits = {f"tenant-{index:02}": AccountLimit(RATE, BURST) for index in range(16)} | {
        ACCOUNT: AccountLimit(RATE, BURST)
    }
    world = World(90, seed, limits)
    for account in sorted(limits):
        if account != ACCOUNT:
            world.add_load(Load(lambda _: USUAL_DEMAND, lambda _: range(90), account), 12.0)
    world.run(12.0)
    return world


def twelve_nodes_with_five_accounts(seed: int) -> World:
    limits = {f"tenant-{index:02}": AccountLimit(RATE, BURST) for index in range(5)}
    world = World(12, seed, limits)
    for account in sorted(limits):
        world.add_load(Load(lambda _: USUAL_DEMAND, lambda _: range(12), account), 12.0)
    world.run(12.0)
    return world


SURGE_SCENARIOS = (
    surge_at_all_nodes,
    surge_at_one_node,
    surge_at_three_nodes,
    surge_at_changing_nodes,
    node_paused_during_the_surge,
    node_paused_before_the_surge,
    one_node_partitioned_before_the_surge,
    one_node_partitioned_at_the_surge,
    partitioned_into_halves,
    five_of_twelve_partitioned,
    nodes_killed_and_restarted,
    one_node_restarted_each_second,
    ninety_nodes,
    ninety_nodes_surge_at_one,
    ninety_nodes_lose_a_collector,
    ninety_nodes_pause_a_collector,
)

BOUND_ONLY = (
    alternating_request_sizes,
    all_nodes_restarted_during_the_surge,
    partitioned_killed_and_restarted,
)
"""Scenarios with the quota bound only: the tenant may get less than its limit, since restarted nodes use
their equal share until a majority has reported."""
