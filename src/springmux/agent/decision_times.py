"""When this node learned that an order was decided, which tells an order sent again from an equal new one."""

from __future__ import annotations

from typing import NamedTuple

from springmux.vocabulary.names import OrderId

KEPT_S = 60.0
"""Time for which the decision of an order is kept; callers send an order again for seconds only."""


class DecisionAge(NamedTuple):
    """Time since an order was decided.

    ``at_least_s``: the time since this node learned of the decision, which is never more than the true age.
    ``is_exact``: whether this node learned of it at once, and not from a disk or by catching up later.
    """

    at_least_s: float
    is_exact: bool


class DecisionTimes:
    """Records decisions by this process's monotonic clock; nothing of it is stored."""

    def __init__(self) -> None:
        self._learned: dict[OrderId, tuple[float, bool]] = {}
        self._replaced_at = 0.0

    def record(self, order: OrderId, is_current: bool, now: float) -> None:
        """Record that this node applied the decision.

        :param is_current: whether the node was up to date until then, so that it learned of it at once.
        """
        self._learned.setdefault(order, (now, is_current))
        while self._learned:
            oldest, (learned_at, _) = next(iter(self._learned.items()))
            if now - learned_at <= KEPT_S:
                return
            del self._learned[oldest]

    def record_replacement(self, now: float) -> None:
        """Record that the whole control state was replaced, by decisions of unknown age."""
        self._learned.clear()
        self._replaced_at = now

    def age(self, order: OrderId, now: float) -> DecisionAge:
        """Return the age of the decision of an order that this node knows to be decided."""
        learned_at, is_exact = self._learned.get(order, (self._replaced_at, False))
        return DecisionAge(now - learned_at, is_exact)
