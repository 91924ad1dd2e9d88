"""Scenarios of the usage world: loads and faults, each from a seed. Times in s since the start."""

from __future__ import annotations

from collections.abc import Callable

from springmux.coordination.usage.events import AccountLimit
from tests.unit.usage.world import ACCOUNT, BURST, RATE, USUAL, Load, World

SWELL = 7.0
"""A tenant that swells asks for 6 to 8 times its usual (task)."""
SWELL_AT, SWELL_END = 6.0, 26.0
CUT_AT = 10.0
DROPPED_AFTER_S = 2.5
"""Membership knows a lost node as dead everywhere after 1.8 to 2.5 s (docs/notes/membership.md)."""
LOWERED = RATE / 2


def swell(when: float) -> float:
    """Return the demand: usual, then seven times that."""
    return USUAL * SWELL if SWELL_AT <= when < SWELL_END else USUAL


def steady(seed: int, size: int = 12, until: float = 40.0) -> World:
    world = World(size, seed)
    world.load(Load(lambda _: USUAL, lambda _: range(size)), until)
    world.run(until)
    return world


def swelling(seed: int, size: int, place: Callable[[float], list[int] | range]) -> World:
    world = World(size, seed)
    world.load(Load(swell, place), SWELL_END)
    world.run(SWELL_END)
    return world


def everywhere(seed: int) -> World:
    return swelling(seed, 12, lambda _: range(12))


def at_one_node(seed: int) -> World:
    return swelling(seed, 12, lambda when: range(12) if when < SWELL_AT else [0])


def at_three(seed: int) -> World:
    return swelling(seed, 12, lambda when: range(12) if when < SWELL_AT else range(3))


def changing_places(seed: int) -> World:
    return swelling(seed, 12, lambda when: [int(when) % 12])


def ninety(seed: int) -> World:
    return swelling(seed, 90, lambda _: range(90))


def ninety_at_one(seed: int) -> World:
    return swelling(seed, 90, lambda when: range(90) if when < SWELL_AT else [7])


def with_faults(seed: int, size: int, faults: Callable[[World], None]) -> World:
    world = World(size, seed)
    world.load(Load(swell, lambda _: range(size)), SWELL_END)
    faults(world)
    world.run(SWELL_END)
    return world


def frozen(seed: int) -> World:
    def faults(world: World) -> None:
        world.at(CUT_AT, lambda: world.frozen.add(3))
        world.at(CUT_AT + 3.0, lambda: world.thaw(3))

    return with_faults(seed, 12, faults)


def frozen_into_the_swell(seed: int) -> World:
    def faults(world: World) -> None:
        world.at(SWELL_AT - 2.0, lambda: world.frozen.add(3))
        world.at(SWELL_AT + 1.0, lambda: world.thaw(3))

    return with_faults(seed, 12, faults)


def cut(world: World, begin: float, end: float, side: list[int]) -> None:
    """Cut ``side`` off from ``begin`` to ``end``; each side's membership drops the other after a while."""
    rest = [node for node in range(world.size) if node not in side]

    def split() -> None:
        world.side.update(dict.fromkeys(side, 1))

    def heal() -> None:
        world.side.clear()

    def drop(count: int) -> None:
        world.see(side, side + rest[count:])
        world.see(rest, rest + side[count:])

    world.at(begin, split)
    for count in range(1, max(len(side), len(rest)) + 1):
        world.at(begin + DROPPED_AFTER_S - 0.7 + 0.7 * count / 12, lambda count=count: drop(count))
    world.at(end, heal)
    world.at(end + 0.4, lambda: world.see(range(world.size), range(world.size)))


def one_cut_off(seed: int) -> World:
    """The tenant swells one second after a node was cut off."""
    return with_faults(seed, 12, lambda world: cut(world, SWELL_AT - 1.0, SWELL_AT + 4.0, [5]))


def cut_off_at_the_swell(seed: int) -> World:
    return with_faults(seed, 12, lambda world: cut(world, SWELL_AT, SWELL_AT + 5.0, [5]))


def two_halves(seed: int) -> World:
    return with_faults(seed, 12, lambda world: cut(world, SWELL_AT - 1.0, SWELL_AT + 9.0, list(range(6))))


def five_of_twelve(seed: int) -> World:
    return with_faults(seed, 12, lambda world: cut(world, SWELL_AT + 2.0, SWELL_AT + 14.0, list(range(5))))


def killed_and_restarted(seed: int) -> World:
    def kill(world: World, node: int) -> None:
        world.dead.add(node)

    def faults(world: World) -> None:
        for index, node in enumerate((2, 7, 9)):
            at = 8.0 + 4.0 * index
            alive = [other for other in range(12) if other != node]
            world.at(at, lambda node=node: kill(world, node))
            world.at(at + DROPPED_AFTER_S, lambda alive=alive: world.see(alive, alive))
            world.at(at + 3.0, lambda node=node: world.start(node))
            world.at(at + 3.3, lambda: world.see(range(12), range(12)))

    return with_faults(seed, 12, faults)


def restarted_each_second(seed: int) -> World:
    """A node that restarts quickly, again and again, stays in membership."""

    def faults(world: World) -> None:
        for index in range(15):
            world.at(8.0 + index, lambda: world.start(4))

    return with_faults(seed, 12, faults)


def sizes_turn(seed: int) -> World:
    """The swell asks for large requests only, then for small ones only, in turn."""
    world = World(12, seed)
    for second in range(int(SWELL_AT), int(SWELL_END)):
        size = 20_000 if second % 2 == 0 else 400
        for _ in range(round(USUAL * SWELL / size)):
            when, node = second + world.random.random(), world.random.randrange(world.size)
            world.at(when, lambda node=node, size=size: world.ask(node, ACCOUNT, size))
    world.run(SWELL_END)
    return world


def all_restarted(world: World) -> None:
    """Every node starts anew within half a second, in the middle of the swell."""
    for node in range(world.size):
        world.at(CUT_AT, lambda node=node: world.dead.add(node))
        world.at(CUT_AT + 0.6 + 0.5 * node / world.size, lambda node=node: world.start(node))


def power_lost_in_the_swell(seed: int) -> World:
    return with_faults(seed, 12, all_restarted)


def cut_killed_and_restarted(seed: int) -> World:
    """Four nodes are cut off at the swell, two others killed, and all start anew during the cut."""

    def faults(world: World) -> None:
        cut(world, SWELL_AT, SWELL_AT + 9.0, [1, 4, 6, 9])
        for node in (2, 7):
            world.at(SWELL_AT + 1.0, lambda node=node: world.dead.add(node))
        all_restarted(world)

    return with_faults(seed, 12, faults)


def lowered_then_raised(seed: int) -> World:
    def faults(world: World) -> None:
        world.at(12.0, lambda: world.set_limit(AccountLimit(LOWERED, BURST / 2)))
        world.at(22.0, lambda: world.set_limit(AccountLimit(RATE, BURST)))

    world = World(12, seed)
    world.load(Load(lambda _: USUAL * SWELL, lambda _: range(12)), 34.0)
    faults(world)
    world.run(34.0)
    return world


def ninety_lose_a_collector(seed: int) -> World:
    def faults(world: World) -> None:
        first = next(iter(world.exchanges.values()))._peer_tracker.collectors[0]
        node = int(first.removeprefix("node-"))
        alive = [other for other in range(90) if other != node]
        world.at(CUT_AT, lambda: world.dead.add(node))
        world.at(CUT_AT + DROPPED_AFTER_S, lambda: world.see(alive, alive))

    return with_faults(seed, 90, faults)


def ninety_freeze_a_collector(seed: int) -> World:
    def faults(world: World) -> None:
        first = next(iter(world.exchanges.values()))._peer_tracker.collectors[0]
        node = int(first.removeprefix("node-"))
        world.at(CUT_AT, lambda: world.frozen.add(node))
        world.at(CUT_AT + 3.0, lambda: world.thaw(node))

    return with_faults(seed, 90, faults)


def ninety_with_sixteen_accounts(seed: int) -> World:
    limits = {f"tenant-{index:02}": AccountLimit(RATE, BURST) for index in range(16)} | {
        ACCOUNT: AccountLimit(RATE, BURST)
    }
    world = World(90, seed, limits)
    for account in sorted(limits):
        if account != ACCOUNT:
            world.load(Load(lambda _: USUAL, lambda _: range(90), account), 12.0)
    world.run(12.0)
    return world


def twelve_with_five_accounts(seed: int) -> World:
    limits = {f"tenant-{index:02}": AccountLimit(RATE, BURST) for index in range(5)}
    world = World(12, seed, limits)
    for account in sorted(limits):
        world.load(Load(lambda _: USUAL, lambda _: range(12), account), 12.0)
    world.run(12.0)
    return world


SWELLS = (
    everywhere,
    at_one_node,
    at_three,
    changing_places,
    frozen,
    frozen_into_the_swell,
    one_cut_off,
    cut_off_at_the_swell,
    two_halves,
    five_of_twelve,
    killed_and_restarted,
    restarted_each_second,
    ninety,
    ninety_at_one,
    ninety_lose_a_collector,
    ninety_freeze_a_collector,
)

BOUND_ONLY = (sizes_turn, power_lost_in_the_swell, cut_killed_and_restarted)
"""Here only the bound is promised: nodes that begin anew keep to their share until they heard the others."""
