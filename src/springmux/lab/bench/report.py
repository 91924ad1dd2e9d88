"""Results of measurements as tables, written as Markdown with plots beside it."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

REPORT_NAME = "bench.md"
Cell = str | int | float


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """One table. ``notes``: limits of its figures."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    notes: tuple[str, ...] = ()

    def as_markdown(self) -> str:
        """Return the table as Markdown."""
        lines = [f"### {self.title}", "", _row(self.columns), _row(["---"] * len(self.columns))]
        lines += [_row([format_cell(cell) for cell in row]) for row in self.rows]
        lines += ["", *(f"{note}" for note in self.notes)]
        return "\n".join(lines).rstrip() + "\n"


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a plot."""

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
    """Result of one measurement. ``command`` repeats it."""

    name: str
    command: str
    tables: tuple[Table, ...]
    plots: tuple[Plot, ...] = ()


def format_cell(cell: Cell) -> str:
    """Return a figure with three or four significant digits."""
    if isinstance(cell, str):
        return cell
    if isinstance(cell, int):
        return f"{cell:,}"
    if abs(cell) >= 1000:
        return f"{cell:,.0f}"
    return f"{cell:.3g}"


def _row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def write_report(folder: Path, results: Sequence[BenchResult]) -> Path:
    """Write ``bench.md``, ``bench.json`` and the plots; return the Markdown file.

    :raises OSError: if the folder can't be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    sections = ["# Measured costs\n"]
    for result in results:
        sections.append(f"## {result.name}\n\n`{result.command}`\n")
        sections += [table.as_markdown() for table in result.tables]
        for plot in result.plots:
            _draw(folder, plot)
            sections.append(f"![{plot.title}]({plot.name}.png)\n")
    path = folder / REPORT_NAME
    path.write_text("\n".join(sections))
    (folder / "bench.json").write_bytes(msgspec.json.format(msgspec.json.encode(list(results))))
    return path


def _draw(folder: Path, plot: Plot) -> None:
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
