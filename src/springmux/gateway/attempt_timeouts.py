"""Timeouts of one attempt at an engine, after which a repeatable request may be sent to another engine.

A busy engine is slow for all requests, an unresponsive one sends nothing at all. An engine that has sent
anything to this node in the meantime therefore gets much more time: a retry would only add load.
"""

from __future__ import annotations

from springmux.control.gateway_configuration import GatewayRoute

UNRESPONSIVE_FIRST_EVENT_FACTOR = 0.6
"""Fraction of the first event's latency target; the remaining time is enough for another engine."""
BUSY_FIRST_EVENT_FACTOR = 2.0
PREFILL_FACTOR = 2.0
"""Multiple of the estimated prefill time before the first event, since engines differ in speed.

At any engine, a long uncached prompt takes longer than ``UNRESPONSIVE_FIRST_EVENT_FACTOR`` of its target, and
one of many nodes may receive nothing else from that engine in the meantime.
"""
UNRESPONSIVE_GAP_FACTOR = 2.0
"""Multiple of the route's gap target: a long prefill beside a stream widens its gaps to about the target."""
BUSY_GAP_FACTOR = 6.0
DEFAULT_GAP_TARGET_S = 1.0
"""Gap target of a route that has none."""


class AttemptTimeouts:
    """Timeouts of one attempt on one route, in seconds."""

    __slots__ = (
        "_busy_first_event_s",
        "_busy_gap_s",
        "_unresponsive_first_event_s",
        "_unresponsive_gap_s",
    )

    def __init__(self, route: GatewayRoute, prefill_s: float = 0.0) -> None:
        """Derive the timeouts from the route's latency targets.

        :param prefill_s: estimated time that the engine needs before the first event, in seconds.
        """
        target_s = route.target_ms / 1000.0
        gap_target_s = route.gap_target_ms / 1000.0 or DEFAULT_GAP_TARGET_S
        self._unresponsive_first_event_s = max(
            UNRESPONSIVE_FIRST_EVENT_FACTOR * target_s, PREFILL_FACTOR * prefill_s
        )
        self._busy_first_event_s = max(BUSY_FIRST_EVENT_FACTOR * target_s, self._unresponsive_first_event_s)
        self._unresponsive_gap_s = UNRESPONSIVE_GAP_FACTOR * gap_target_s
        self._busy_gap_s = BUSY_GAP_FACTOR * gap_target_s

    def shortest_s(self, awaiting_first: bool) -> float:
        """Return the shortest timeout (s) that can apply, after which the first check is due.

        :param awaiting_first: whether no event of the response has arrived yet.
        """
        return self._unresponsive_first_event_s if awaiting_first else self._unresponsive_gap_s

    def is_over(self, elapsed_s: float, awaiting_first: bool, engine_unresponsive: bool) -> bool:
        """Return whether the attempt has timed out ``elapsed_s`` after its last event.

        :param awaiting_first: whether no event of the response has arrived yet.
        :param engine_unresponsive: whether the engine has sent this node nothing else since then.
        """
        if awaiting_first:
            limit_s = self._unresponsive_first_event_s if engine_unresponsive else self._busy_first_event_s
        else:
            limit_s = self._unresponsive_gap_s if engine_unresponsive else self._busy_gap_s
        return elapsed_s >= limit_s
