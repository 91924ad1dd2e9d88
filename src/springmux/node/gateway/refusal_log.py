"""Counts refused and truncated responses, and logs at most one summary per reason and second."""

from __future__ import annotations

import asyncio

from springmux.coordination.state_machine import LogLevel
from springmux.gateway.refusals import CLIENT_ERRORS, GatewayCounters, RefusalReason, RefusalTally
from springmux.node.http.types import RequestHead, ServerRefusal
from springmux.node.logs import EventLog

SUMMARY_PERIOD_S = 1.0
MAX_ID_LENGTH = 100
"""Length to which a request id, which the client chooses, is truncated in the log."""

_SERVER_REFUSAL_REASONS = {
    ServerRefusal.MALFORMED: RefusalReason.MALFORMED_REQUEST,
    ServerRefusal.TOO_SLOW: RefusalReason.SLOW_REQUEST,
    ServerRefusal.HEADERS_TOO_LARGE: RefusalReason.HEADERS_TOO_LARGE,
    ServerRefusal.TOO_MANY_CONNECTIONS: RefusalReason.TOO_MANY_CONNECTIONS,
    ServerRefusal.OVERLOADED: RefusalReason.OVERLOADED,
    ServerRefusal.HANDLER_FAILED: RefusalReason.INTERNAL_FAULT,
    ServerRefusal.STOPPED: RefusalReason.STOPPED,
}


class RefusalLog:
    """Counts refusals and logs summaries. The timer runs only between a refusal and its summary."""

    def __init__(self, counters: GatewayCounters, log: EventLog, request_id_header: bytes) -> None:
        self._counters = counters
        self._log = log
        self._request_id_header = request_id_header
        self._tally = RefusalTally()
        self._timer: asyncio.TimerHandle | None = None

    def record(self, reason: RefusalReason, head: RequestHead | None, route: str = "") -> None:
        """Count one refusal.

        :param head: the head of the request, if it was read.
        :param route: name of the route; empty if none matched.
        """
        refusals = self._counters.refusals
        refusals[reason] = refusals.get(reason, 0) + 1
        request_id = head.header(self._request_id_header) if head is not None else None
        self._tally.note(reason, (request_id or b"")[:MAX_ID_LENGTH].decode("latin-1"), route)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(SUMMARY_PERIOD_S, self.flush)

    def record_server_refusal(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        """Count a refusal that the HTTP server made without the forwarder."""
        self.record(_SERVER_REFUSAL_REASONS[refusal], head)

    def flush(self) -> None:
        """Write the summaries that are due. Must also be called at the end of the process."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for summary in self._tally.take():
            level = LogLevel.INFO if summary.reason in CLIENT_ERRORS else LogLevel.WARNING
            self._log.write(
                "requests_refused",
                level,
                reason=summary.reason.value,
                count=summary.count,
                request_id=summary.request_id,
                route=summary.route,
            )


def counter_values(counters: GatewayCounters) -> dict[tuple[str, ...], float]:
    """Return the counters as values of :data:`springmux.node.metrics.registry.METRICS`."""
    values: dict[tuple[str, ...], float] = {
        ("gateway_requests_total",): counters.requests,
        ("gateway_dispatches_total",): counters.dispatches,
        ("gateway_retries_total",): counters.retries,
        ("gateway_resumed_total",): counters.resumed,
        ("gateway_lost_engine_attempts_total",): counters.lost_engine_attempts,
    }
    for reason, count in counters.refusals.items():
        values["gateway_refusals_total", reason.value] = count
    return values
