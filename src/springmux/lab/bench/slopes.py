"""Straight lines through measured points (ordinary least squares)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy


class Slope(msgspec.Struct, frozen=True):
    """Line ``y = base + per_unit * x``. ``largest_residual``: largest deviation of a point in ``y``."""

    base: float
    per_unit: float
    largest_residual: float

    def at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.base + self.per_unit * x


def fit(x: Sequence[float], y: Sequence[float]) -> Slope:
    """Return the least-squares line.

    :raises ValueError: if there are fewer than two different ``x``.
    """
    if len(set(x)) < 2:
        raise ValueError("a slope needs points at two different x")
    design = numpy.column_stack([numpy.ones(len(x)), numpy.asarray(x, dtype=float)])
    values = numpy.asarray(y, dtype=float)
    (base, per_unit), *_ = numpy.linalg.lstsq(design, values, rcond=None)
    residuals = numpy.abs(design @ numpy.array([base, per_unit]) - values)
    return Slope(float(base), float(per_unit), float(residuals.max()))


def quantile(values: Sequence[float], q: float) -> float:
    """Return the ``q`` quantile (0 to 1) by linear interpolation, or NaN if there are no values."""
    return float(numpy.quantile(numpy.asarray(values), q)) if values else float("nan")
