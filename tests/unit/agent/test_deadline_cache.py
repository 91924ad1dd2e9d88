"""The cached deadlines: never later than the components' own."""

from springmux.agent.deadline_cache import DeadlineCache
from springmux.coordination.state_machine import NEVER, Effect, Event


class StateMachine:
    """A component with a settable deadline that counts how often it is read."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.reads = 0

    def handle(self, event: Event, now: float) -> list[Effect]:
        return []

    def next_deadline(self) -> float:
        self.reads += 1
        return self.deadline


def test_a_stale_deadline_is_read_again_and_the_others_are_not() -> None:
    moved, still = StateMachine(5.0), StateMachine(3.0)
    deadlines = DeadlineCache((moved, still), ())
    assert deadlines.earliest() == 3.0
    moved.deadline = 1.0
    deadlines.invalidate(moved)
    assert deadlines.earliest() == 1.0
    assert (moved.reads, still.reads) == (2, 1)


def test_a_volatile_deadline_is_always_read() -> None:
    quota = StateMachine(NEVER)
    deadlines = DeadlineCache((quota,), (quota,))
    assert deadlines.earliest() == NEVER
    quota.deadline = 2.0
    assert deadlines.earliest() == 2.0


def test_due_components_come_in_their_order() -> None:
    first, second, third = StateMachine(2.0), StateMachine(9.0), StateMachine(1.0)
    assert DeadlineCache((first, second, third), ()).due(2.0) == [first, third]


def test_after_a_change_of_all_every_deadline_is_read() -> None:
    components = StateMachine(4.0), StateMachine(5.0)
    deadlines = DeadlineCache(components, ())
    deadlines.earliest()
    for component in components:
        component.deadline = 1.0
    deadlines.invalidate_all()
    assert deadlines.due(1.0) == list(components)
