"""One log line per forwarded request, at level DEBUG."""

from __future__ import annotations

import asyncio

from springmux.coordination.state_machine import LogLevel
from springmux.gateway.request_trace import RequestTrace
from springmux.node.logs import EventLog

EVENT_NAME = "request_ended"


class RequestLog:
    """Writes the traces of requests. The lines are off by default, because each one costs processor time."""

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def write(self, trace: RequestTrace) -> None:
        """Write the trace of a request that has ended.

        Times are in ms; ``first_ms`` is the time until the first bytes of the response.
        """
        first_at = trace.first_at
        self._log.write(
            EVENT_NAME,
            LogLevel.DEBUG,
            request_id=trace.request_id,
            route=trace.route,
            tenant=trace.tenant,
            prompt_tokens=trace.prompt_tokens,
            target_ms=trace.target_ms,
            gap_target_ms=trace.gap_target_ms,
            attempts=trace.attempts,
            engine=trace.engine,
            outcome=trace.outcome.value,
            reason=trace.reason,
            received_at=round(trace.received_at, 3),
            first_ms=None if first_at is None else round(1000.0 * (first_at - trace.received_at), 1),
            gap_ms=round(1000.0 * trace.widest_gap_s, 1),
            total_ms=round(1000.0 * (asyncio.get_running_loop().time() - trace.received_at), 1),
        )
