"""Cached deadlines are never later than the components' own, so that no tick is late."""

from springmux.agent.deadline_cache import DeadlineCache
from springmux.coordination.state_machine import NEVER, Effect, Event


class CountingStateMachine:
    """A component with a settable deadline that counts how often it is read."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.reads = 0

    def handle(self, event: Event, now: float) -> list[Effect]:
        return []

    def next_deadline(self) -> float:
        self.reads += 1
        return self.deadline


def test_only_stale_deadlines_are_read_again() -> None:
    moved, still = CountingStateMachine(5.0), CountingStateMachine(3.0)
    deadlines = DeadlineCache((moved, still), ())
    assert deadlines.earliest() == 3.0
    moved.deadline = 1.0
    deadlines.invalidate(moved)
    assert deadlines.earliest() == 1.0
    assert (moved.reads, still.reads) == (2, 1)


def test_volatile_deadline_is_always_read() -> None:
    quota = CountingStateMachine(NEVER)
    deadlines = DeadlineCache((quota,), (quota,))
    assert deadlines.earliest() == NEVER
    quota.deadline = 2.0
    assert deadlines.earliest() == 2.0


def test_due_components_are_returned_in_tick_order() -> None:
    first, second, third = CountingStateMachine(2.0), CountingStateMachine(9.0), CountingStateMachine(1.0)
    assert DeadlineCache((first, second, third), ()).due(2.0) == [first, third]


def test_all_deadlines_are_read_after_all_were_invalidated() -> None:
    components = CountingStateMachine(4.0), CountingStateMachine(5.0)
    deadlines = DeadlineCache(components, ())
    deadlines.earliest()
    for component in components:
        component.deadline = 1.0
    deadlines.invalidate_all()
    assert deadlines.due(1.0) == list(components)
