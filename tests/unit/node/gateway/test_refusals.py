"""Refused and truncated requests are counted by reason, and logged as one summary per reason and second."""

from __future__ import annotations

import asyncio
import io
import json
from collections.abc import Sequence
from typing import Any

import pytest

from springmux.gateway.dialect import OWN_HEADERS
from springmux.gateway.refusals import GatewayCounters, RefusalReason
from springmux.node.gateway.refusal_log import MAX_ID_LENGTH, RefusalLog, counter_values
from springmux.node.http.types import FailureKind, RequestHead, ServerRefusal
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from tests.unit.node.gateway.scripted_engines import (
    DECLINE,
    FOREVER,
    Script,
    play,
    response_head,
    stream_events,
)
from tests.unit.node.gateway.stand_ins import RESUMABLE, SAFE, STREAM, UNSAFE, Node, tenant

Reason = RefusalReason
TRUNCATED = FailureKind.TRUNCATED
TENANTS = (tenant("acme", "k1"),)
SHORT_DEADLINE = (b"x-deadline-ms", b"300")


async def refusals_of(node: Node, *headers: tuple[bytes, bytes], **more: Any) -> dict[RefusalReason, int]:
    await node.send_request(*headers, **more)
    return node.core.counters.refusals


@pytest.mark.parametrize(
    ("scripts", "reason"),
    [
        ([DECLINE] * 3, Reason.ENGINES_FULL),
        ([(FailureKind.RESET,)], Reason.ENGINE_BROKE_OFF),
        ([(FOREVER,)], Reason.NO_ANSWER_IN_TIME),
        ([(FailureKind.UNRESPONSIVE,)] * 3, Reason.NOT_SENT_IN_TIME),
        ([(response_head(200), b"part", TRUNCATED)], Reason.ENGINE_BROKE_OFF),
    ],
)
def test_each_kind_of_failed_attempts_has_its_reason(
    scripts: Sequence[Script], reason: RefusalReason
) -> None:
    async def scenario() -> None:
        assert await refusals_of(Node(UNSAFE, *scripts), SHORT_DEADLINE) == {reason: 1}

    play(scenario())


def test_each_kind_of_refusal_before_an_attempt_has_its_reason() -> None:
    async def scenario() -> None:
        assert await refusals_of(Node(SAFE, configured=False)) == {Reason.NO_CONFIGURATION: 1}
        assert await refusals_of(Node(SAFE), target=b"/none") == {Reason.UNKNOWN_ROUTE: 1}
        assert await refusals_of(Node(SAFE, tenants=TENANTS)) == {Reason.UNKNOWN_KEY: 1}
        assert await refusals_of(Node(SAFE), body=None) == {Reason.BODY_TOO_LARGE: 1}
        assert await refusals_of(Node(SAFE, versions=())) == {Reason.NO_ENGINE: 1}

    play(scenario())


def test_a_truncated_response_counts_as_cut_and_not_as_refused() -> None:
    """Given a stream whose beginning was sent to the client, its truncation is not a refusal."""

    async def scenario() -> None:
        node = Node(STREAM, (response_head(200), stream_events(1, 2), TRUNCATED))
        assert await refusals_of(node) == {Reason.ANSWER_CUT: 1}

    play(scenario())


def test_a_resumed_stream_counts_as_resumed_and_not_as_refused() -> None:
    async def scenario() -> None:
        node = Node(
            RESUMABLE,
            (response_head(200), stream_events(1, 2), TRUNCATED),
            DECLINE,
            (response_head(200), stream_events(3, 4), TRUNCATED),
            (response_head(200), stream_events(5, 5)),
        )
        assert (await node.send_request()).ended
        counters = node.core.counters
        assert (counters.requests, counters.dispatches) == (1, 4)
        assert (counters.retries, counters.resumed, counters.refusals) == (3, 2, {})

    play(scenario())


def test_refusals_of_one_reason_are_logged_once_per_second() -> None:
    """Given two reasons within a second and one of them again later: three lines, each with its first id."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[DECLINE] * 9)
        for _ in range(2):
            await node.send_request()
        await node.send_request(target=b"/none")
        assert node.log_lines == []
        await asyncio.sleep(1.1)
        await node.send_request()
        await asyncio.sleep(0.5)
        assert len(node.log_lines) == 2
        await asyncio.sleep(0.6)
        kept = ("event", "level", "reason", "count", "request_id", "route")
        assert [tuple(line[name] for name in kept) for line in node.log_lines] == [
            ("requests_refused", "warning", "engines_full", 2, "r1", "text"),
            ("requests_refused", "info", "unknown_route", 1, "r1", ""),
            ("requests_refused", "warning", "engines_full", 1, "r1", "text"),
        ]

    play(scenario())


def test_flushing_writes_pending_summaries_once() -> None:
    async def scenario() -> None:
        node = Node(SAFE)
        await node.send_request(target=b"/none")
        node.refusals.flush()
        assert [line["count"] for line in node.log_lines] == [1]
        await asyncio.sleep(2.0)
        assert len(node.log_lines) == 1

    play(scenario())


def test_a_long_request_id_is_truncated_and_a_missing_head_has_none() -> None:
    async def scenario() -> None:
        written = io.StringIO()
        log = RefusalLog(GatewayCounters(), EventLog("n1", output=written), OWN_HEADERS.request_id)
        head = RequestHead(b"GET", b"/", ((OWN_HEADERS.request_id, b"a" * 4000),))
        log.record_server_refusal(ServerRefusal.HANDLER_FAILED, head)
        log.record_server_refusal(ServerRefusal.MALFORMED, None)
        log.flush()
        first, second = (json.loads(line) for line in written.getvalue().splitlines())
        assert (first["reason"], first["request_id"]) == ("internal_fault", "a" * MAX_ID_LENGTH)
        assert (second["reason"], second["request_id"]) == ("malformed_request", "")

    play(scenario())


def test_every_refusal_of_the_http_server_has_its_own_reason() -> None:
    async def scenario() -> None:
        counters = GatewayCounters()
        log = RefusalLog(counters, EventLog("n1", output=io.StringIO()), OWN_HEADERS.request_id)
        for refusal in ServerRefusal:
            log.record_server_refusal(refusal, None)
        log.flush()
        assert len(counters.refusals) == len(ServerRefusal)

    play(scenario())


def test_the_metrics_contain_the_current_counters() -> None:
    """Given counters that change after registration, the exposition has their current values."""
    counters = GatewayCounters(requests=7, dispatches=6, retries=2, resumed=1, lost_engine_attempts=4)
    metrics = NodeMetrics()
    metrics.add_source(lambda: counter_values(counters))
    counters.refusals[Reason.NO_ENGINE] = 3
    lines = metrics.exposition().decode().splitlines()
    for line in (
        "springmux_gateway_requests_total 7.0",
        "springmux_gateway_dispatches_total 6.0",
        "springmux_gateway_retries_total 2.0",
        "springmux_gateway_resumed_total 1.0",
        "springmux_gateway_lost_engine_attempts_total 4.0",
        'springmux_gateway_refusals_total{reason="no_engine"} 3.0',
    ):
        assert line in lines
