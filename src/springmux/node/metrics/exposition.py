"""Text exposition of the metrics. This module and prometheus_client are imported only for a scrape."""

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
    """Return the text exposition of the metrics that ``specs`` defines.

    :param values: counters and gauges by metric name and label values.
    :param histograms: by metric name.
    """
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
                yield self._counter_or_gauge(spec)

    def _counter_or_gauge(self, spec: MetricSpec) -> Metric:
        family_type = CounterMetricFamily if spec.kind is MetricKind.COUNTER else GaugeMetricFamily
        family = family_type(PREFIX + spec.name, spec.help, labels=spec.labels)
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
