"""Plan of a soak: which process gets which signal when, drawn from a seed before the run."""

from __future__ import annotations

import enum
import random

import msgspec

SETTLE_S = 4.0
"""After the start, before the first disturbance."""
QUIET_S = 8.0
"""At the end: a stop takes up to its grace period, and every node must become current again."""
PAUSE_S = (0.3, 3.5)
"""Range between the starts of two series; most last longer, so they overlap."""


class SignalKind(enum.StrEnum):
    """The signal that a process gets, with what follows."""

    TERMINATE = "terminate"
    """SIGTERM, and a start once it has ended."""
    KILL = "kill"
    """SIGKILL, and a start after ``for_s``."""
    FREEZE = "freeze"
    """SIGSTOP, and SIGCONT after ``for_s``."""
    HANG_UP = "hang_up"
    """SIGHUP, with other seeds in the settings file."""


class Step(msgspec.Struct, frozen=True):
    """One signal to one node. ``for_s``: time until it is restarted or resumed."""

    at_s: float
    kind: SignalKind
    node: int
    for_s: float = 0.0


class SoakSize(msgspec.Struct, frozen=True):
    """How large a run is. The first ``controllers`` nodes have a disk; three of them are the first seeds."""

    nodes: int = 9
    controllers: int = 3
    zones: int = 3
    seconds: float = 40.0
    change_period_s: float = 0.4
    connections: int = 3
    """Open connections to each node."""


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
    """Kill half of the nodes at once."""
    down_s = source.uniform(0.1, 2.0)
    return [Step(at_s, SignalKind.KILL, node, down_s) for node in _sample_nodes(source, size, 0.5)]


def _kill_one(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Kill one node, perhaps a second time once it is back."""
    node = source.randrange(size.nodes)
    return [
        Step(at_s + again * source.uniform(1.5, 3.0), SignalKind.KILL, node, source.uniform(0.1, 1.5))
        for again in range(source.randint(1, 2))
    ]


def _stop_controllers(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Kill or stop all controllers at once."""
    kind = source.choice((SignalKind.KILL, SignalKind.KILL, SignalKind.TERMINATE))
    down_s = source.uniform(0.1, 1.5)
    return [Step(at_s, kind, node, down_s) for node in range(size.controllers)]


def _freeze_some(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Freeze some nodes."""
    for_s = source.uniform(0.4, 4.0)
    return [Step(at_s, SignalKind.FREEZE, node, for_s) for node in _sample_nodes(source, size, 0.25)]


def _hang_up_some(source: random.Random, size: SoakSize, at_s: float) -> list[Step]:
    """Send hang-ups in quick succession, also to nodes that are starting or stopping."""
    nodes = _sample_nodes(source, size, 0.6)
    return [
        Step(at_s + index * 0.1 + again * 0.5, SignalKind.HANG_UP, node)
        for again in range(3)
        for index, node in enumerate(nodes)
    ]


SERIES = (
    _rolling_stop,
    _rolling_stop,
    _kill_many,
    _kill_one,
    _stop_controllers,
    _freeze_some,
    _hang_up_some,
)
