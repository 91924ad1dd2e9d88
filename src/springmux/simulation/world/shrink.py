"""Shrink a failing schedule to one from which no fault can be removed.

Source: Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input", IEEE Transactions
on Software Engineering 28(2), 2002: the algorithm ddmin of section 3.2.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from typing import TypeVar

from springmux.simulation.world.faults import AnyFault, FaultSchedule

T = TypeVar("T")


def minimize(items: Sequence[T], fails: Callable[[list[T]], bool]) -> list[T]:
    """Return a 1-minimal failing subsequence of ``items``: removing any one item makes it pass.

    :param fails: deterministic predicate, which must hold for ``items`` as a whole.
    :raises ValueError: if ``items`` as a whole do not fail.
    """
    failing = list(items)
    if not fails(failing):
        raise ValueError("the schedule does not fail, so there is nothing to shrink")
    if fails([]):
        return []
    parts = 2
    while len(failing) >= 2:
        reduced = _reduce(failing, parts, fails)
        if reduced is not None:
            smaller, parts = reduced, max(parts - 1, 2)
            if len(smaller) <= len(failing) // 2:
                parts = 2
            failing = smaller
        elif parts < len(failing):
            parts = min(2 * parts, len(failing))
        else:
            break
    return failing


def shrink_schedule(schedule: FaultSchedule, fails: Callable[[FaultSchedule], bool]) -> FaultSchedule:
    """Return a 1-minimal schedule that still fails under the same seed.

    :raises ValueError: if ``schedule`` does not fail.
    """

    def part_fails(faults: list[AnyFault]) -> bool:
        return fails(FaultSchedule(schedule.seed, tuple(faults)))

    return FaultSchedule(schedule.seed, tuple(minimize(schedule.faults, part_fails)))


def _reduce(items: list[T], parts: int, fails: Callable[[list[T]], bool]) -> list[T] | None:
    """Return a failing chunk, or a failing complement of a chunk, or ``None`` if there is neither."""
    bounds = [len(items) * index // parts for index in range(parts + 1)]
    chunks = list(itertools.pairwise(bounds))
    for start, end in chunks:
        if fails(items[start:end]):
            return items[start:end]
    if parts == 2:
        return None
    for start, end in chunks:
        rest = items[:start] + items[end:]
        if fails(rest):
            return rest
    return None
