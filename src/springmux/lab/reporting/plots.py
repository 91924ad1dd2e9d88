"""Plots of the traffic, latencies and versions of a run over time."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import msgspec
import numpy as np
import numpy.typing as npt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from springmux.lab.checks.measurements import fault_spans
from springmux.lab.records import CallRecord, RunRecords

matplotlib.use("Agg")

BIN_S = 1.0
WIDTH_INCHES = 10.0
HEIGHT_INCHES = 3.6
DOTS_PER_INCH = 110
FloatArray = npt.NDArray[np.float64]


class Plot(msgspec.Struct, frozen=True):
    """A plot that was drawn: its title and the name of its file in the report's folder."""

    title: str
    file: str


def draw_all(folder: Path, records: RunRecords) -> list[Plot]:
    """Draw all plots of a run, save them in ``folder`` and return them."""
    duration_s = records.ended_at_s - records.began_at_s
    bin_edges: FloatArray = np.arange(0.0, max(duration_s, BIN_S) + BIN_S, BIN_S)
    plots = [_draw_traffic(folder, records, bin_edges), _draw_latency(folder, records, bin_edges)]
    plots.append(_draw_versions(folder, records, bin_edges))
    return plots


def _create_figure(title: str, label: str) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    axes.set_title(title)
    axes.set_xlabel("seconds")
    axes.set_ylabel(label)
    return figure, axes


def _save_figure(folder: Path, file: str, figure: Figure, axes: Axes, records: RunRecords) -> None:
    for spans in fault_spans(records.faults, records.ended_at_s).values():
        for span in spans:
            axes.axvspan(
                span.from_s - records.began_at_s, span.to_s - records.began_at_s, color="orange", alpha=0.15
            )
    for run in records.rollouts:
        axes.axvline(run.began_at_s - records.began_at_s, color="grey", linestyle="--", linewidth=0.8)
        if run.ended_at_s:
            axes.axvline(run.ended_at_s - records.began_at_s, color="grey", linewidth=0.8)
    axes.set_xlim(0.0, records.ended_at_s - records.began_at_s)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="upper right", fontsize="small")
    figure.savefig(folder / file, dpi=DOTS_PER_INCH)


def _rate_per_s(times: Sequence[float], bin_edges: FloatArray) -> FloatArray:
    counts, _ = np.histogram(np.asarray(times, dtype=float), bins=bin_edges)
    return counts / BIN_S


def _draw_traffic(folder: Path, records: RunRecords, bin_edges: FloatArray) -> Plot:
    figure, axes = _create_figure("Traffic and errors", "answers per second")
    calls = records.calls
    series: list[tuple[str, list[CallRecord]]] = [
        ("whole", [call for call in calls if call.complete]),
        ("refused", [call for call in calls if not call.complete and call.fate == "refused"]),
        ("failed", [call for call in calls if not call.complete and call.fate == "failed"]),
        ("unknown", [call for call in calls if not call.complete and call.fate == "unknown"]),
    ]
    for label, selected_calls in series:
        axes.plot(
            bin_edges[:-1], _rate_per_s([call.ended_s for call in selected_calls], bin_edges), label=label
        )
    _save_figure(folder, "traffic.png", figure, axes, records)
    return Plot("Traffic and errors (faults shaded, rollouts between dashed and full lines)", "traffic.png")


def _draw_latency(folder: Path, records: RunRecords, bin_edges: FloatArray) -> Plot:
    figure, axes = _create_figure("Time to the first piece", "milliseconds")
    for route in sorted({call.route for call in records.calls if call.kind == "prompt"}):
        selected_calls = [
            call for call in records.calls if call.route == route and call.first_chunk_s is not None
        ]
        bins = np.digitize([call.at_s for call in selected_calls], bin_edges)
        values = np.array([(call.first_chunk_s or 0.0) * 1000.0 for call in selected_calls])
        for percentile, style in ((50, "-"), (99, ":")):
            percentile_values = [
                float(np.percentile(values[bins == number], percentile)) if np.any(bins == number) else np.nan
                for number in range(1, len(bin_edges))
            ]
            axes.plot(bin_edges[:-1], percentile_values, style, label=f"{route} p{percentile}")
    axes.set_yscale("log")
    _save_figure(folder, "latency.png", figure, axes, records)
    return Plot("Time to the first piece", "latency.png")


def _draw_versions(folder: Path, records: RunRecords, bin_edges: FloatArray) -> Plot:
    figure, axes = _create_figure("Prompts by version", "prompts per second")
    prompts = [arrival for arrival in records.arrivals if arrival.service in records.prompt_services]
    for version in sorted({arrival.version for arrival in prompts}):
        times = [arrival.at_s - records.began_at_s for arrival in prompts if arrival.version == version]
        axes.plot(bin_edges[:-1], _rate_per_s(times, bin_edges), label=version)
    _save_figure(folder, "versions.png", figure, axes, records)
    return Plot("Prompts by version", "versions.png")
