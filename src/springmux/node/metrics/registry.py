"""Current values of a node's metrics, kept as plain numbers and encoded only for a scrape."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Mapping
from itertools import accumulate

from springmux.node.metrics.table import METRICS, HistogramState, MetricKind

_SPECS = {spec.name: spec for spec in METRICS}
_Series = tuple[str, ...]
"""Key of a time series: the metric's name, then its label values."""
MetricsSource = Callable[[], Mapping[_Series, float]]
"""Returns the current values, by series, of metrics that are counted elsewhere."""


class _Observations:
    """A histogram: the number of observations in each bucket, the last one unbounded, and their sum."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def add(self, value: float) -> None:
        # A bucket's bound is inclusive, as Prometheus defines it.
        self.counts[bisect_left(self.bounds, value)] += 1
        self.sum += value


class NodeMetrics:
    """The node's metrics, kept as plain numbers and encoded only for a scrape.

    A thread other than the event loop's may count only under labels that no other thread uses.
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
        """Read counters and gauges of the table from ``source`` at each scrape."""
        self._sources.append(source)

    def count(self, name: str, *labels: str, amount: float = 1) -> None:
        """Add ``amount`` to a counter of the table.

        :raises KeyError, ValueError: the table has no such counter, or the counter has other labels.
        """
        series = (name, *labels)
        previous = self._values.get(series)
        if previous is None:
            previous = self._initial_value(series)
        self._values[series] = previous + amount

    def set(self, name: str, value: float) -> None:
        """Set a gauge of the table, which must be one without labels.

        :raises KeyError, ValueError: the table has no such gauge.
        """
        if _SPECS[name].kind is not MetricKind.GAUGE:
            raise ValueError(f"{name} is not a gauge")
        self._values[(name,)] = value

    def observe(self, name: str, value: float) -> None:
        """Add one observation to a histogram of the table.

        :raises KeyError: the table has no such histogram.
        """
        self._histograms[name].add(value)

    def value(self, name: str, *labels: str) -> float:
        """Return the current value of a counter or gauge (for status pages and tests)."""
        series = (name, *labels)
        current = self._values.get(series)
        return self._initial_value(series) if current is None else current

    def exposition(self) -> bytes:
        """Return all metrics in the text exposition format; the first call imports prometheus_client."""
        from springmux.node.metrics.exposition import render

        values = dict(self._values)
        for source in self._sources:
            values.update(source())
        return render(METRICS, values, {name: self._buckets(name) for name in self._histograms})

    def _buckets(self, name: str) -> HistogramState:
        observations = self._histograms[name]
        return HistogramState(tuple(accumulate(observations.counts)), observations.sum)

    def _initial_value(self, series: _Series) -> float:
        """Return the value of a series that was not counted or set yet."""
        spec = _SPECS[series[0]]
        if spec.kind is MetricKind.HISTOGRAM:
            raise ValueError(f"{spec.name} is a histogram")
        if len(series) - 1 != len(spec.labels):
            raise ValueError(f"{spec.name} has the labels {spec.labels}, but got {series[1:]}")
        return 0.0
