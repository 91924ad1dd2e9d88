"""Report of a run: a Markdown page with verdicts, latencies, errors, events and plots."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import msgspec

from springmux.lab.checks.measurements import PERCENTILES, latency_rows
from springmux.lab.checks.verdict import Verdict
from springmux.lab.records import RunRecords
from springmux.lab.reporting import plots

REPORT_FILE = "report.md"
RECORDS_FILE = "records.json"
VERDICTS_FILE = "verdicts.json"


def verdict_label(verdict: Verdict) -> str:
    """Return the label of a verdict in tables, or ``-`` if there is none."""
    if verdict.kept is None:
        return "-"
    return "kept" if verdict.kept else "BROKEN"


def write_report(folder: Path, records: RunRecords, verdicts: Sequence[Verdict]) -> Path:
    """Write the page, the plots, the records and the verdicts into ``folder``; return the page's path."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / RECORDS_FILE).write_bytes(msgspec.json.encode(records))
    (folder / VERDICTS_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(verdicts)))
    drawn = plots.draw_all(folder, records)
    page = folder / REPORT_FILE
    page.write_text(_page(records, verdicts, drawn))
    return page


def _page(records: RunRecords, verdicts: Sequence[Verdict], drawn: Sequence[plots.Plot]) -> str:
    sections = [
        f"# Experiment {records.experiment}",
        f"{len(records.calls)} requests in {records.ended_at_s - records.began_at_s:.0f} s.",
        _verdict_table(verdicts),
        _evidence_sections(verdicts),
        "## Latency",
        _latency_table(records),
        "## Errors",
        _error_table(records),
        "## What was done to it",
        _event_list(records),
    ]
    sections += [f"## {plot.title}\n\n![{plot.title}]({plot.file})" for plot in drawn]
    return "\n\n".join(section for section in sections if section) + "\n"


def _table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(headers) + " |", "|" + "---|" * len(headers)]
    lines += ["| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def _verdict_table(verdicts: Sequence[Verdict]) -> str:
    rows = [
        [verdict.promise, verdict.bound, verdict.measured, verdict_label(verdict)] for verdict in verdicts
    ]
    return _table(["promise", "bound", "measured", "verdict"], rows)


def _evidence_sections(verdicts: Sequence[Verdict]) -> str:
    lines = []
    for verdict in verdicts:
        if verdict.evidence:
            lines.append(f"### Broken: {verdict.promise}\n")
            lines += [f"- {item}" for item in verdict.evidence]
    return "\n".join(lines)


def _latency_table(records: RunRecords) -> str:
    headers = ["route", "measure", "count", *(f"p{percentile:g} ms" for percentile in PERCENTILES)]
    rows = [
        [row.route, row.measure, str(row.count), *(f"{value:.0f}" for value in row.values_ms)]
        for row in latency_rows(records.calls)
    ]
    return _table(headers, rows)


def _error_table(records: RunRecords) -> str:
    counts = Counter(
        (call.route, call.status, call.code, call.fate) for call in records.calls if not call.complete
    )
    rows = [
        [route, str(status), code, fate, str(count)]
        for (route, status, code, fate), count in counts.most_common()
    ]
    return _table(["route", "status", "code", "fate", "count"], rows) if rows else "None."


def _event_list(records: RunRecords) -> str:
    lines = [
        f"- {event.at_s - records.began_at_s:.1f} s: {'begin' if event.began else 'end'} of {event.fault}"
        f" {event.target} {event.detail}".rstrip()
        for event in records.faults
    ]
    for run in records.rollouts:
        end = f"{run.phase} at {run.ended_at_s - records.began_at_s:.1f} s" if run.ended_at_s else "no end"
        lines.append(
            f"- rollout of {run.service} {run.candidate} ({'bad' if run.bad else 'good'}) from"
            f" {run.began_at_s - records.began_at_s:.1f} s: {end}; {run.reason}"
        )
    return "\n".join(lines)
