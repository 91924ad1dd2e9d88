"""Refused and cut requests are counted by reason, and logged as one summary for each reason and second."""

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

R = RefusalReason
CUT = FailureKind.TRUNCATED
KEYED = (tenant("acme", "k1"),)
SOON = (b"x-deadline-ms", b"300")


async def refusals_of(node: Node, *headers: tuple[bytes, bytes], **more: Any) -> dict[RefusalReason, int]:
    await node.ask(*headers, **more)
    return node.core.counters.refusals


@pytest.mark.parametrize(
    ("scripts", "reason"),
    [
        ([DECLINE] * 3, R.ENGINES_FULL),
        ([(FailureKind.RESET,)], R.ENGINE_BROKE_OFF),
        ([(FOREVER,)], R.NO_ANSWER_IN_TIME),
        ([(FailureKind.UNRESPONSIVE,)] * 3, R.NOT_SENT_IN_TIME),
        ([(response_head(200), b"part", CUT)], R.ENGINE_BROKE_OFF),
    ],
)
def test_each_end_at_the_engines_has_its_reason(scripts: Sequence[Script], reason: RefusalReason) -> None:
    async def scenario() -> None:
        assert await refusals_of(Node(UNSAFE, *scripts), SOON) == {reason: 1}

    play(scenario())


def test_each_refusal_before_the_engines_has_its_reason() -> None:
    async def scenario() -> None:
        assert await refusals_of(Node(SAFE, configured=False)) == {R.NO_CONFIGURATION: 1}
        assert await refusals_of(Node(SAFE), target=b"/none") == {R.UNKNOWN_ROUTE: 1}
        assert await refusals_of(Node(SAFE, tenants=KEYED)) == {R.UNKNOWN_KEY: 1}
        assert await refusals_of(Node(SAFE), body=None) == {R.BODY_TOO_LARGE: 1}
        assert await refusals_of(Node(SAFE, versions=())) == {R.NO_ENGINE: 1}

    play(scenario())


def test_a_begun_answer_that_is_cut_counts_as_that() -> None:
    """Given a stream whose beginning the client has, its end without a rest is a cut, not a refusal."""

    async def scenario() -> None:
        node = Node(STREAM, (response_head(200), stream_events(1, 2), CUT))
        assert await refusals_of(node) == {R.ANSWER_CUT: 1}

    play(scenario())


def test_a_resumed_stream_is_counted_and_is_no_refusal() -> None:
    async def scenario() -> None:
        node = Node(
            RESUMABLE,
            (response_head(200), stream_events(1, 2), CUT),
            DECLINE,
            (response_head(200), stream_events(3, 4), CUT),
            (response_head(200), stream_events(5, 5)),
        )
        assert (await node.ask()).ended
        counters = node.core.counters
        assert (counters.requests, counters.dispatches) == (1, 4)
        assert (counters.retries, counters.resumed, counters.refusals) == (3, 2, {})

    play(scenario())


def test_a_second_of_refusals_is_one_line_a_reason() -> None:
    """Given two reasons within a second and one of them again later: three lines, with the first ids."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[DECLINE] * 9)
        for _ in range(2):
            await node.ask()
        await node.ask(target=b"/none")
        assert node.log_lines == []
        await asyncio.sleep(1.1)
        await node.ask()
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


def test_the_end_of_the_process_writes_what_is_open_once() -> None:
    async def scenario() -> None:
        node = Node(SAFE)
        await node.ask(target=b"/none")
        node.refusals.flush()
        assert [line["count"] for line in node.log_lines] == [1]
        await asyncio.sleep(2.0)
        assert len(node.log_lines) == 1

    play(scenario())


def test_a_long_request_id_is_cut_and_a_missing_head_has_none() -> None:
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


def test_every_refusal_of_the_server_has_a_reason() -> None:
    async def scenario() -> None:
        counters = GatewayCounters()
        log = RefusalLog(counters, EventLog("n1", output=io.StringIO()), OWN_HEADERS.request_id)
        for refusal in ServerRefusal:
            log.record_server_refusal(refusal, None)
        log.flush()
        assert len(counters.refusals) == len(ServerRefusal)

    play(scenario())


def test_the_counters_are_in_the_metrics() -> None:
    """Given counts, the exposition has each of them as they are at that moment."""
    counters = GatewayCounters(requests=7, dispatches=6, retries=2, resumed=1)
    metrics = NodeMetrics()
    metrics.add_source(lambda: counter_values(counters))
    counters.refusals[R.NO_ENGINE] = 3
    lines = metrics.exposition().decode().splitlines()
    for line in (
        "springmux_gateway_requests_total 7.0",
        "springmux_gateway_dispatches_total 6.0",
        "springmux_gateway_retries_total 2.0",
        "springmux_gateway_resumed_total 1.0",
        'springmux_gateway_refusals_total{reason="no_engine"} 3.0',
    ):
        assert line in lines
