"""Render the metrics in the text exposition format. Only a scrape imports this module and its library."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from springmux.node.metrics.table import PREFIX, HistogramState, MetricKind, MetricSpec


def render(
    specs: Iterable[MetricSpec],
    values: Mapping[tuple[str, ...], float],
    histograms: Mapping[str, HistogramState],
) -> bytes:
    """Return the exposition of the table's metrics. ``values``: by name and label values."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Snapshot(tuple(specs), values, histograms))
    return generate_latest(registry)


class _Snapshot(Collector):
    def __init__(
        self,
        specs: tuple[MetricSpec, ...],
        values: Mapping[tuple[str, ...], float],
        histograms: Mapping[str, HistogramState],
    ) -> None:
        self._specs = specs
        self._values = values
        self._histograms = histograms

    def collect(self) -> Iterator[Metric]:
        for spec in self._specs:
            if spec.kind is MetricKind.HISTOGRAM:
                yield self._histogram(spec)
            else:
                yield self._numbers(spec)

    def _numbers(self, spec: MetricSpec) -> Metric:
        make = CounterMetricFamily if spec.kind is MetricKind.COUNTER else GaugeMetricFamily
        family = make(PREFIX + spec.name, spec.help, labels=spec.labels)
        for series, value in self._values.items():
            if series[0] == spec.name:
                family.add_metric(series[1:], value)
        return family

    def _histogram(self, spec: MetricSpec) -> Metric:
        state = self._histograms[spec.name]
        bounds = [*(str(float(bound)) for bound in spec.buckets), "+Inf"]
        family = HistogramMetricFamily(PREFIX + spec.name, spec.help)
        family.add_metric((), list(zip(bounds, state.cumulative, strict=True)), state.sum)
        return family
