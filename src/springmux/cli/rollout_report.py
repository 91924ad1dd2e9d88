"""The plot and table of ``springmux rollout report``."""

from __future__ import annotations

import csv
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

COLUMNS = (
    "at_s",
    "phase",
    "weight",
    "prompts",
    "sent",
    "exposure",
    "candidate_total",
    "candidate_bad",
    "stable_total",
    "stable_bad",
    "waiting",
    "decision",
)
"""Fields of :class:`springmux.rollout.status.RolloutStatus`; ``exposure`` is ``sent`` / ``prompts``."""
PLOT_NAME = "rollout.png"
TABLE_NAME = "rollout.csv"

Row = dict[str, Any]


def write_report(history: dict[str, Any], folder: Path) -> list[Path]:
    """Write the plot and the table of a rollout's history into ``folder``; return the files.

    :raises OSError: if the folder can't be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    rows = table_rows(history["samples"])
    table = folder / TABLE_NAME
    with table.open("w", newline="", encoding="utf-8") as output:
        writer = csv.DictWriter(output, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)
    plot = folder / PLOT_NAME
    _draw(history["service"], rows, plot)
    return [plot, table]


def table_rows(samples: list[dict[str, Any]]) -> list[Row]:
    """Return a row for each sample; times are in seconds since the first sample."""
    started_at_s = samples[0]["at_s"]
    return [_row(sample["at_s"] - started_at_s, sample["status"]) for sample in samples]


def _row(at_s: float, status: dict[str, Any]) -> Row:
    evidence = status["evidence"]
    prompts, sent = status["prompts"], status["sent"]
    decision = status.get("decision") or {}
    return {
        "at_s": round(at_s, 2),
        "phase": status["phase"],
        "weight": status["weight"],
        "prompts": prompts,
        "sent": sent,
        "exposure": round(sent / prompts, 4) if prompts else 0.0,
        "candidate_total": evidence["candidate_total"],
        "candidate_bad": evidence["candidate_bad"],
        "stable_total": evidence["stable_total"],
        "stable_bad": evidence["stable_bad"],
        "waiting": status.get("waiting", ""),
        "decision": decision.get("reason", ""),
    }


def _draw(service: str, rows: list[Row], file: Path) -> None:
    at_s = [row["at_s"] for row in rows]
    figure = Figure(figsize=(9, 9))
    weight_axis, exposure_axis, evidence_axis = figure.subplots(3, 1, sharex=True)
    weight_axis.step(at_s, [row["weight"] for row in rows], where="post")
    weight_axis.set_ylabel("weight")
    weight_axis.set_ylim(-0.02, 1.05)
    weight_axis.set_title(f"rollout of {service}")
    exposure_axis.plot(at_s, [row["exposure"] for row in rows])
    exposure_axis.set_ylabel("share of prompts sent to the candidate")
    for version in ("candidate", "stable"):
        evidence_axis.plot(at_s, [_bad_share(row, version) for row in rows], label=version)
    evidence_axis.set_ylabel("share of bad answers")
    evidence_axis.set_xlabel("seconds")
    evidence_axis.legend()
    _draw_phase_changes(rows, (weight_axis, exposure_axis, evidence_axis))
    figure.tight_layout()
    figure.savefig(file, dpi=120)


def _bad_share(row: Row, version: str) -> float:
    total = row[f"{version}_total"]
    return row[f"{version}_bad"] / total if total else 0.0


def _draw_phase_changes(rows: list[Row], axes: tuple[Any, ...]) -> None:
    """Draw a vertical line at each change of phase, labelled with the phase and the decision's reason."""
    previous_phase = None
    for row in rows:
        if row["phase"] == previous_phase:
            continue
        previous_phase = row["phase"]
        for axis in axes:
            axis.axvline(row["at_s"], color="grey", linestyle=":", linewidth=0.8)
        label = f"{row['phase']}: {row['decision']}" if row["decision"] else row["phase"]
        axes[0].text(row["at_s"], 1.0, label, rotation=90, va="top", fontsize=7)
