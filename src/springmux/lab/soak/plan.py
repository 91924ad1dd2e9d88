"""Plan of a soak: the signals to processes and their times, chosen by a seed before the run."""

from __future__ import annotations

import enum
import random

import msgspec

SETTLE_S = 4.0
"""Time between the start and the first disturbance."""
QUIET_S = 8.0
"""Time without new disturbances at the end of a run.

A stop takes up to its grace period, and every node must apply the newest configuration again.
"""
FIRST_STEPS_S = 1.2
"""Time from the first start within which it is struck: processes open their folders and found the group."""
FIRST_KILLED_MAX = 2
"""Controllers that are killed at the first start, at most, and never all of them.

Without any folder of the first start no group may be founded (docs/notes/agreement.md).
"""
LOST_SHARE = 0.6
"""Share of all nodes that is lost at once, as far as there are as many without a disk."""
PAUSE_S = (0.3, 3.5)
"""Range of the time between the starts of two series; most series last longer, so they overlap."""


class SignalKind(enum.StrEnum):
    """A signal to a process and the action that follows it."""

    TERMINATE = "terminate"
    """SIGTERM, and a start ``for_s`` after the exit."""
    KILL = "kill"
    """SIGKILL, and a start ``for_s`` after the exit."""
    FREEZE = "freeze"
    """SIGSTOP, and SIGCONT after ``for_s``."""
    HANG_UP = "hang_up"
    """SIGHUP, after other seeds were written to the settings file."""


class Step(msgspec.Struct, frozen=True):
    """One signal to one node. ``for_s``: time until it is restarted or resumed."""

    at_s: float
    kind: SignalKind
    node: int
    for_s: float = 0.0


class SoakSize(msgspec.Struct, frozen=True):
    """Size of a run. The first ``controllers`` nodes have a disk; up to three of them are the first seeds."""

    nodes: int = 9
    controllers: int = 3
    zones: int = 3
    seconds: float = 40.0
    change_period_s: float = 0.4
    connections: int = 3
    """Number of open connections to each node."""
    misbehaving: int = 40
    """Number of misbehaving clients of the whole fleet."""


def make_plan(seed: int, size: SoakSize) -> tuple[Step, ...]:
    """Return the steps of a run in the order of their times; the same seed gives the same steps."""
    source = random.Random(f"soak {seed}")
    steps: list[Step] = []
    at_s = SETTLE_S
    while at_s < size.seconds - QUIET_S:
        steps += source.choice(SERIES)(source, size, at_s)
        at_s += source.uniform(*PAUSE_S)
    last_s = size.seconds - QUIET_S
    return tuple(
        sorted((step for step in steps if step.at_s < last_s), key=lambda step: (step.at_s, step.node))
    )


def make_first_steps(seed: int, size: SoakSize) -> tuple[Step, ...]:
    """Return the kills and freezes of controllers during the first start; with some seeds there are none."""
    source = random.Random(f"soak first start {seed}")
    controllers = source.sample(range(size.controllers), size.controllers)
    killed = controllers[: source.randint(0, min(FIRST_KILLED_MAX, size.controllers - 1))]
    steps = [
        Step(source.uniform(0.0, FIRST_STEPS_S), SignalKind.KILL, node, source.uniform(0.0, 1.0))
        for node in killed
        for _ in range(source.randint(1, 2))
    ]
    steps += [
        Step(source.uniform(0.0, FIRST_STEPS_S), SignalKind.FREEZE, node, source.uniform(0.2, 3.0))
        for node in controllers
        if node not in killed and source.random() < 0.3
    ]
    return tuple(sorted(steps, key=lambda step: (step.at_s, step.node)))


def _sample_nodes(source: random.Random, size: SoakSize, share: float) -> list[int]:
    return source.sample(range(size.nodes), max(1, round(share * size.nodes)))


def _rolling_stop(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Stop nodes one after another."""
    gap_s = source.uniform(0.3, 2.0)
    nodes = _sample_nodes(source, size, source.uniform(0.2, 0.8))
    down_s = source.uniform(0.05, 0.8)
    return [
        Step(at_s + index * gap_s, SignalKind.TERMINATE, node, down_s) for index, node in enumerate(nodes)
    ]


def _kill_many(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Kill half of the nodes at the same time."""
    down_s = source.uniform(0.1, 2.0)
    return [Step(at_s, SignalKind.KILL, node, down_s) for node in _sample_nodes(source, size, 0.5)]


def _kill_one(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Kill one node, and in half of the cases again after its restart."""
    node = source.randrange(size.nodes)
    return [
        Step(at_s + repetition * source.uniform(1.5, 3.0), SignalKind.KILL, node, source.uniform(0.1, 1.5))
        for repetition in range(source.randint(1, 2))
    ]


def _stop_controllers(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Kill or stop all controllers at the same time."""
    kind = source.choice((SignalKind.KILL, SignalKind.KILL, SignalKind.TERMINATE))
    down_s = source.uniform(0.1, 1.5)
    return [Step(at_s, kind, node, down_s) for node in range(size.controllers)]


def _lose_most_without_disk(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Kill or freeze most of the nodes at the same time, none with a disk; they are back in seconds."""
    kind = source.choice((SignalKind.KILL, SignalKind.FREEZE))
    plain = range(size.controllers, size.nodes)
    lost = source.sample(plain, min(len(plain), round(LOST_SHARE * size.nodes)))
    back_s = source.uniform(3.0, 6.0)
    return [Step(at_s, kind, node, back_s) for node in lost]


def _freeze_some(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Freeze a quarter of the nodes at the same time."""
    for_s = source.uniform(0.4, 4.0)
    return [Step(at_s, SignalKind.FREEZE, node, for_s) for node in _sample_nodes(source, size, 0.25)]


def _hang_up_some(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Send SIGHUP in quick succession, also to nodes that are starting or stopping."""
    nodes = _sample_nodes(source, size, 0.6)
    return [
        Step(at_s + index * 0.1 + repetition * 0.5, SignalKind.HANG_UP, node)
        for repetition in range(3)
        for index, node in enumerate(nodes)
    ]


SERIES = (
    _rolling_stop,
    _rolling_stop,
    _kill_many,
    _kill_one,
    _stop_controllers,
    _lose_most_without_disk,
    _freeze_some,
    _hang_up_some,
)
