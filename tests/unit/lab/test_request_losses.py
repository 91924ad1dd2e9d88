"""Tables of a fleet's losses, computed from the logs of its nodes."""

from __future__ import annotations

import io
import json
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from springmux.cli.main import application
from springmux.gateway.request_trace import RequestOutcome, RequestTrace
from springmux.lab.reporting.request_losses import Dimension, losses_by, read_requests
from springmux.node.gateway.request_log import RequestLog
from springmux.node.logs import EventLog
from tests.unit.node.gateway.scripted_engines import play


def _log_line(**overrides: Any) -> str:
    fields = {
        "node": "n1",
        "event": "request_ended",
        "route": "text",
        "tenant": "a",
        "prompt_tokens": 100,
        "target_ms": 500.0,
        "gap_target_ms": 400.0,
        "attempts": 1,
        "engine": "e1",
        "outcome": "served",
        "reason": "",
        "received_at": 10.2,
        "first_ms": 100.0,
        "gap_ms": 20.0,
        "total_ms": 300.0,
    }
    return json.dumps(fields | overrides)


def test_a_request_line_that_a_node_writes_can_be_read() -> None:
    """The log line of a request that was served with a large gap contains every field that is read."""
    written = io.StringIO()

    async def record_request() -> None:
        trace = RequestTrace(10.0, route="text", tenant="a", target_ms=500.0, gap_target_ms=400.0)
        trace.record_attempt("e7")
        for at in (10.2, 10.3, 10.9):
            trace.record_event(at)
        trace.record_response()
        RequestLog(EventLog("n1", "debug", output=written)).write(trace)

    play(record_request())
    (request,) = read_requests(written.getvalue().splitlines())
    assert (request.node, request.engine, request.attempts) == ("n1", "e7", 1)
    assert request.first_ms == 200.0 and request.gap_ms == 600.0
    assert request.outcome is RequestOutcome.SERVED and request.late


def test_only_complete_request_lines_are_read() -> None:
    """Lines of other events and incomplete lines are skipped; a prefix before the JSON is allowed."""
    lines = [
        "12.3 front-1 " + _log_line(),
        json.dumps({"event": "node_started"}),
        _log_line()[:-5],
        "request_ended {",
    ]
    assert len(list(read_requests(lines))) == 1


@pytest.mark.parametrize(
    ("overrides", "late"),
    [
        ({}, False),
        ({"first_ms": 500.1}, True),
        ({"gap_ms": 400.1}, True),
        ({"gap_ms": 9000.0, "gap_target_ms": 0.0}, False),
        ({"first_ms": None, "total_ms": 501.0}, True),
        ({"outcome": "failed", "first_ms": 900.0}, False),
    ],
)
def test_a_request_is_late_if_its_first_chunk_or_a_gap_exceeds_its_target(
    overrides: dict[str, Any], late: bool
) -> None:
    (request,) = read_requests([_log_line(**overrides)])
    assert request.late is late


def test_groups_are_ordered_by_their_losses() -> None:
    """Of two routes the one that loses more comes first, with the shares of its requests by outcome."""
    lines = [_log_line(route="quick")] * 8 + [
        _log_line(route="slow", first_ms=900.0),
        _log_line(route="slow", outcome="failed", reason="engine_broke_off"),
        _log_line(route="slow", outcome="refused", reason="quota_exceeded"),
        _log_line(route="slow", outcome="left"),
    ]
    requests = list(read_requests(lines))
    worst, best = losses_by(requests, Dimension.ROUTE, late_worth=0.5)
    assert (worst.group, worst.requests, worst.lost) == ("slow", 4, 3.5)
    assert (worst.late, worst.refused, worst.failed, worst.left) == (0.25, 0.25, 0.25, 0.25)
    assert (best.group, best.lost) == ("quick", 0.0)
    reasons = {row.group for row in losses_by(requests, Dimension.REASON)}
    assert reasons == {"in time", "late", "engine_broke_off", "quota_exceeded", "left"}


def test_size_classes_are_ranks_among_the_prompts_of_a_route() -> None:
    """Of a hundred prompts, the largest tenth and the fifth below it form the two upper classes."""
    requests = list(read_requests([_log_line(prompt_tokens=size) for size in range(100)]))
    counts = {row.group: row.requests for row in losses_by(requests, Dimension.SIZE)}
    assert counts == {"text, largest tenth": 10, "text, fifth beneath": 20, "text, the rest": 70}


def test_requests_of_all_nodes_are_grouped_by_wall_clock_second() -> None:
    """The monotonic clocks of two nodes differ, so requests are grouped by the second of their timestamps."""
    stamp = "2026-12-02T10:00:01.5Z"
    lines = [_log_line(received_at=at, timestamp=stamp) for at in (5.0, 90000.0)]
    (row,) = losses_by(list(read_requests(lines)), Dimension.SECOND)
    assert (row.group, row.requests) == ("2026-12-02T10:00:01", 2)


def test_command_prints_the_requested_tables(tmp_path: Path) -> None:
    """Each --by prints one table, as text or as JSON."""
    log = tmp_path / "n1.log"
    log.write_text("\n".join([_log_line(), _log_line(first_ms=600.0)]), "utf-8")
    runner = CliRunner()
    shown = runner.invoke(application, ["gateway", "losses", str(log), "--by", "route", "--by", "reason"])
    assert shown.exit_code == 0
    assert "by route" in shown.output and "by reason" in shown.output and "50.0%" in shown.output
    as_json = runner.invoke(application, ["gateway", "losses", str(log), "--by", "route", "--json"])
    assert json.loads(as_json.output)["route"][0]["requests"] == 2


def test_command_fails_without_a_traceback_if_a_log_has_no_requests(tmp_path: Path) -> None:
    log = tmp_path / "n1.log"
    log.write_text("", "utf-8")
    for file in (log, tmp_path / "absent.log"):
        shown = CliRunner().invoke(application, ["gateway", "losses", str(file)])
        assert shown.exit_code == 1 and "Traceback" not in shown.output
