"""The present values of a node's metrics, plain numbers until a scrape."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Mapping
from itertools import accumulate

from springmux.node.metrics.table import METRICS, HistogramState, MetricKind

_SPECS = {spec.name: spec for spec in METRICS}
_Series = tuple[str, ...]
"""A time series: the metric's name, then its label values."""
MetricsSource = Callable[[], Mapping[_Series, float]]
"""Returns the present values of metrics that are counted elsewhere, by series."""


class _Observations:
    """A histogram: number of observations in each bucket, the last one unbounded, and their sum."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def add(self, value: float) -> None:
        # A bucket's bound is inclusive, as Prometheus defines it.
        self.counts[bisect_left(self.bounds, value)] += 1
        self.sum += value


class NodeMetrics:
    """The node's metrics, plain numbers until a scrape.

    Threads other than the event loop's may count only under labels that no other thread uses.
    """

    def __init__(self) -> None:
        self._values: dict[_Series, float] = {}
        self._histograms: dict[str, _Observations] = {}
        self._sources: list[MetricsSource] = []
        for spec in METRICS:
            if spec.kind is MetricKind.HISTOGRAM:
                self._histograms[spec.name] = _Observations(spec.buckets)
            elif not spec.labels:
                self._values[(spec.name,)] = 0.0

    def add_source(self, source: MetricsSource) -> None:
        """Read counters and gauges of the table from ``source`` at each exposition."""
        self._sources.append(source)

    def count(self, name: str, *labels: str, amount: float = 1) -> None:
        """Add ``amount`` to a counter of the table.

        :raises KeyError, ValueError: if the table has no such counter, or it has other labels.
        """
        series = (name, *labels)
        before = self._values.get(series)
        if before is None:
            before = self._initial_value(series)
        self._values[series] = before + amount

    def set(self, name: str, value: float) -> None:
        """Set a gauge of the table."""
        if _SPECS[name].kind is not MetricKind.GAUGE:
            raise ValueError(f"{name} is no gauge")
        self._values[(name,)] = value

    def observe(self, name: str, value: float) -> None:
        """Add one observation to a histogram of the table."""
        self._histograms[name].add(value)

    def value(self, name: str, *labels: str) -> float:
        """Return a counter's or gauge's present value (for status pages and tests)."""
        series = (name, *labels)
        found = self._values.get(series)
        return self._initial_value(series) if found is None else found

    def exposition(self) -> bytes:
        """Return the text exposition format. The library is loaded at the first scrape."""
        from springmux.node.metrics.exposition import render

        values = dict(self._values)
        for source in self._sources:
            values.update(source())
        return render(METRICS, values, {name: self._buckets(name) for name in self._histograms})

    def _buckets(self, name: str) -> HistogramState:
        observations = self._histograms[name]
        return HistogramState(tuple(accumulate(observations.counts)), observations.sum)

    def _initial_value(self, series: _Series) -> float:
        """Return the value of a series that has none yet."""
        spec = _SPECS[series[0]]
        if spec.kind is MetricKind.HISTOGRAM:
            raise ValueError(f"{spec.name} is a histogram")
        if len(series) - 1 != len(spec.labels):
            raise ValueError(f"{spec.name} has the labels {spec.labels}, given were {series[1:]}")
        return 0.0
