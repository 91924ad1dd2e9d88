"""The remembered deadlines: never later than the parts' own."""

from springmux.agent.deadlines import Deadlines
from springmux.coordination.state_machine import NEVER, Effect, Event


class StateMachine:
    """A part with a settable deadline that counts how often it is asked."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.asked = 0

    def handle(self, event: Event, now: float) -> list[Effect]:
        return []

    def next_deadline(self) -> float:
        self.asked += 1
        return self.deadline


def test_a_touched_part_is_asked_again_and_the_others_are_not() -> None:
    moved, still = StateMachine(5.0), StateMachine(3.0)
    deadlines = Deadlines((moved, still), ())
    assert deadlines.earliest() == 3.0
    moved.deadline = 1.0
    deadlines.touch(moved)
    assert deadlines.earliest() == 1.0
    assert (moved.asked, still.asked) == (2, 1)


def test_a_volatile_part_is_always_asked() -> None:
    quota = StateMachine(NEVER)
    deadlines = Deadlines((quota,), (quota,))
    assert deadlines.earliest() == NEVER
    quota.deadline = 2.0
    assert deadlines.earliest() == 2.0


def test_due_parts_come_in_their_order() -> None:
    first, second, third = StateMachine(2.0), StateMachine(9.0), StateMachine(1.0)
    assert Deadlines((first, second, third), ()).due(2.0) == [first, third]


def test_after_a_change_of_all_every_part_is_asked() -> None:
    components = StateMachine(4.0), StateMachine(5.0)
    deadlines = Deadlines(components, ())
    deadlines.earliest()
    for part in components:
        part.deadline = 1.0
    deadlines.touch_all()
    assert deadlines.due(1.0) == list(components)
