"""The report shows every verdict with its evidence, and statistics computed from the records."""

from __future__ import annotations

from pathlib import Path

import pytest

from springmux.lab.checks.measurements import latency_rows, worst_window
from springmux.lab.checks.run_checks import check_all
from springmux.lab.records import Execution, FaultEvent
from springmux.lab.reporting.report import write_report
from tests.unit.lab.support import call, prompt_arrivals, records, rollout


def test_report_shows_a_broken_promise_with_its_evidence(tmp_path: Path) -> None:
    executions_of_one_action = [Execution(at_s, "pages-p1-1", "pages", "a") for at_s in (101.0, 102.0)]
    run = records(
        executions=executions_of_one_action,
        calls=[call("a", whole=True), call("b", status=503, code="overloaded", fate="refused", told=True)],
        arrivals=prompt_arrivals("v1", 100, 100.0, 150.0),
        faults=[FaultEvent(at_s=110.0, fault="freeze", target="n1", began=True)],
        rollouts=[rollout(bad=False, ended_at_s=150.0, phase="done")],
        prompt_services=("text",),
    )
    page = write_report(tmp_path, run, check_all(run)).read_text()
    assert "| an approval or sale runs at most once | 0 actions run twice | 1 of 1 actions | BROKEN |" in page
    assert "- pages a: ran 2 times" in page
    assert "| proof-approval | 503 | overloaded | refused | 1 |" in page
    assert "- 10.0 s: begin of freeze n1" in page
    plots = {file.name for file in tmp_path.glob("*.png")}
    assert plots == {"traffic.png", "latency.png", "versions.png"}


def test_latencies_by_route_include_only_complete_responses() -> None:
    calls = [
        call("a", at_s=1.0, ended_s=1.1, whole=True),
        call("b", at_s=1.0, ended_s=1.3, whole=True),
        call("c", at_s=1.0, ended_s=9.0),
    ]
    (row,) = latency_rows(calls)
    assert (row.route, row.measure, row.count) == ("proof-approval", "whole answer", 2)
    assert row.values_ms[0] == pytest.approx(100.0, rel=0.02)
    assert row.values_ms[-1] == pytest.approx(300.0, rel=0.02)


def test_worst_window_slides_and_ignores_windows_within_the_floor() -> None:
    events = [(float(at), False) for at in range(10)] + [(20.0, True), (20.5, True), (21.0, False)]
    worst = worst_window(events, window_s=2.0, floor=1)
    assert (worst.count, worst.total, worst.ends_at_s) == (2, 2, 20.5)
    assert worst_window(events, window_s=2.0, floor=2).share == 0.0
