"""Results of measurements as tables and plots, written as a Markdown file with images."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

REPORT_NAME = "bench.md"
Cell = str | int | float


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """One table. ``notes``: conditions and limits of its values."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    notes: tuple[str, ...] = ()

    def as_markdown(self) -> str:
        """Return the table as Markdown."""
        lines = [
            f"### {self.title}",
            "",
            _markdown_row(self.columns),
            _markdown_row(["---"] * len(self.columns)),
        ]
        lines += [_markdown_row([format_cell(cell) for cell in row]) for row in self.rows]
        lines += ["", *(f"{note}" for note in self.notes)]
        return "\n".join(lines).rstrip() + "\n"


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One labelled line of a plot; ``x`` and ``y`` have equal length."""

    label: str
    x: tuple[float, ...]
    y: tuple[float, ...]


class Plot(msgspec.Struct, frozen=True, kw_only=True):
    """One plot, saved as ``name``.png."""

    name: str
    title: str
    x_label: str
    y_label: str
    lines: tuple[Line, ...]


class BenchResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one measurement. ``command``: the command line that repeats the measurement."""

    name: str
    command: str
    tables: tuple[Table, ...]
    plots: tuple[Plot, ...] = ()


def format_cell(cell: Cell) -> str:
    """Return text unchanged, integers in full, other numbers with three or more significant digits."""
    if isinstance(cell, str):
        return cell
    if isinstance(cell, int):
        return f"{cell:,}"
    if abs(cell) >= 1000:
        return f"{cell:,.0f}"
    return f"{cell:.3g}"


def _markdown_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def write_report(folder: Path, results: Sequence[BenchResult]) -> Path:
    """Write ``bench.md``, ``bench.json`` and the plots into ``folder``; return the path of ``bench.md``.

    :raises OSError: if a file cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    sections = ["# Measured costs\n"]
    for result in results:
        sections.append(f"## {result.name}\n\n`{result.command}`\n")
        sections += [table.as_markdown() for table in result.tables]
        for plot in result.plots:
            _save_plot(folder, plot)
            sections.append(f"![{plot.title}]({plot.name}.png)\n")
    path = folder / REPORT_NAME
    path.write_text("\n".join(sections))
    (folder / "bench.json").write_bytes(msgspec.json.format(msgspec.json.encode(list(results))))
    return path


def _save_plot(folder: Path, plot: Plot) -> None:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(7, 4))
    axes = figure.add_subplot()
    for line in plot.lines:
        axes.plot(line.x, line.y, marker="o", label=line.label)
    axes.set_title(plot.title)
    axes.set_xlabel(plot.x_label)
    axes.set_ylabel(plot.y_label)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(folder / f"{plot.name}.png", dpi=100)
