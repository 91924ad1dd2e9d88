"""Cache of the components' deadlines; only those that an event may have changed are computed again.

A node reads its next deadline after every event, so computing all of them each time would be costly.
"""

from __future__ import annotations

from collections.abc import Iterable

from springmux.coordination.state_machine import StateMachine


class DeadlineCache:
    """Caches each component's deadline until it is invalidated.

    :param components: all components with deadlines, in the order of their ticks.
    :param volatile: components whose deadline the data plane changes without an event; never cached.
    """

    def __init__(self, components: Iterable[StateMachine], volatile: Iterable[StateMachine]) -> None:
        self._components = tuple(components)
        self._volatile = tuple(volatile)
        self._deadlines = dict.fromkeys(self._components, 0.0)
        self._stale: set[StateMachine] = set(self._components)

    def invalidate(self, component: StateMachine) -> None:
        """Mark the deadline of ``component`` as stale."""
        self._stale.add(component)

    def invalidate_all(self) -> None:
        """Mark all deadlines as stale."""
        self._stale.update(self._components)

    def earliest(self) -> float:
        """Return the earliest deadline of all components."""
        self._refresh()
        return min(self._deadlines.values())

    def due(self, now: float) -> list[StateMachine]:
        """Return the components whose deadline has passed at ``now``, in the order of their ticks."""
        self._refresh()
        return [component for component, deadline in self._deadlines.items() if deadline <= now]

    def _refresh(self) -> None:
        deadlines = self._deadlines
        for component in self._stale:
            if component in deadlines:
                deadlines[component] = component.next_deadline()
        self._stale.clear()
        for component in self._volatile:
            deadlines[component] = component.next_deadline()
