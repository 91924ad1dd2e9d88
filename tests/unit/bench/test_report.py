"""Least-squares slopes, quantiles, names of measurements and the written report."""

import math
from pathlib import Path

import pytest

from springmux.lab.bench.report import BenchResult, Line, Plot, Table, format_cell, write_report
from springmux.lab.bench.slopes import fit, quantile
from springmux.lab.bench.suite import BenchError, check_names


def test_fit_of_collinear_points_returns_their_line() -> None:
    slope = fit([12.0, 36.0, 120.0], [100.0 + 2.0 * nodes for nodes in (12, 36, 120)])
    assert slope.base == pytest.approx(100.0)
    assert slope.per_unit == pytest.approx(2.0)
    assert slope.at(360.0) == pytest.approx(820.0)
    assert slope.largest_residual == pytest.approx(0.0, abs=1e-9)


def test_residual_is_the_deviation_of_a_point_off_the_line() -> None:
    assert fit([1.0, 2.0, 3.0], [1.0, 5.0, 3.0]).largest_residual == pytest.approx(2.0)


def test_fit_rejects_points_of_a_single_size() -> None:
    with pytest.raises(ValueError, match="two different"):
        fit([12.0, 12.0], [1.0, 2.0])


def test_quantile_interpolates_and_is_nan_without_values() -> None:
    assert math.isnan(quantile([], 0.5))
    assert quantile([1.0, 2.0, 3.0], 0.5) == 2.0


def test_report_contains_command_values_notes_and_plot(tmp_path: Path) -> None:
    table = Table(title="Costs", columns=("nodes", "bytes"), rows=((12, 1789.2),), notes=("Not run: 360.",))
    line = Line(label="quiet", x=(12.0,), y=(1789.2,))
    plot = Plot(name="bytes", title="Bytes", x_label="nodes", y_label="bytes", lines=(line,))
    result = BenchResult(name="control", command="springmux lab bench", tables=(table,), plots=(plot,))
    text = write_report(tmp_path, [result]).read_text()
    assert "| 12 | 1,789 |" in text
    assert "Not run: 360." in text
    assert "`springmux lab bench`" in text
    assert (tmp_path / "bytes.png").stat().st_size > 0


@pytest.mark.parametrize(
    ("cell", "text"), [(12345, "12,345"), (0.01234, "0.0123"), (1500.4, "1,500"), ("quiet", "quiet")]
)
def test_cells_are_formatted_with_few_digits(cell: str | int | float, text: str) -> None:
    assert format_cell(cell) == text


def test_error_names_every_unknown_measurement() -> None:
    with pytest.raises(BenchError, match="speed, colour"):
        check_names(["relay", "speed", "colour"])
