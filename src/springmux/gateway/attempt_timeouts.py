"""When an engine's silence is long enough to use another engine for a request that may be repeated.

A busy engine is slow, a dark one is silent for everybody: so an engine that has sent anything to this node
meanwhile gets much more time than one that has not. Giving up on a busy engine would only add to its load.
"""

from __future__ import annotations

from springmux.control.gateway_configuration import GatewayRoute

DARK_FIRST_SHARE = 0.6
"""Part of the target for the first event: what is left of it is enough for another engine."""
BUSY_FIRST_SHARE = 2.0
FIRST_WORK_FACTOR = 2.0
"""Times what must be read before the first event: engines differ in speed, and steps take their time. A cold
long prompt takes longer than ``DARK_FIRST_SHARE`` of its target at any engine, and one node of many hears
nothing else from an engine meanwhile; given up, it would be read from the beginning elsewhere."""
DARK_GAP_SHARE = 2.0
"""A long prefill beside a stream spreads its events to about the pause that is in time."""
BUSY_GAP_SHARE = 6.0
DEFAULT_GAP_S = 1.0
"""Where the route names no pause."""


class Patience:
    """Bounds of one route, in seconds."""

    __slots__ = ("_busy_first_s", "_busy_gap_s", "_dark_first_s", "_dark_gap_s")

    def __init__(self, route: GatewayRoute, first_work_s: float = 0.0) -> None:
        """:param first_work_s: what the engine probably has to read before the first event, in seconds."""
        target_s = route.target_ms / 1000.0
        gap_s = route.gap_target_ms / 1000.0 or DEFAULT_GAP_S
        self._dark_first_s = max(DARK_FIRST_SHARE * target_s, FIRST_WORK_FACTOR * first_work_s)
        self._busy_first_s = max(BUSY_FIRST_SHARE * target_s, self._dark_first_s)
        self._dark_gap_s = DARK_GAP_SHARE * gap_s
        self._busy_gap_s = BUSY_GAP_SHARE * gap_s

    def shortest_s(self, first: bool) -> float:
        """Return after which silence the engine is looked at for the first time."""
        return self._dark_first_s if first else self._dark_gap_s

    def is_over(self, silent_s: float, first: bool, engine_dark: bool) -> bool:
        """Say whether to give up after ``silent_s`` without a piece of this answer.

        :param first: whether no piece has come yet.
        :param engine_dark: whether the engine has sent nothing else either since then.
        """
        if first:
            return silent_s >= (self._dark_first_s if engine_dark else self._busy_first_s)
        return silent_s >= (self._dark_gap_s if engine_dark else self._busy_gap_s)
