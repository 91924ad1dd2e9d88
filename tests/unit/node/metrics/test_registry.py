"""Metrics: the exposition is what the Prometheus client library would write for the same table."""

from __future__ import annotations

import random

import prometheus_client
import pytest
from prometheus_client.parser import text_string_to_metric_families

from springmux.node.metrics.registry import NodeMetrics
from springmux.node.metrics.table import METRICS, PREFIX, MetricKind

STRANGE_LABELS = ("", "plain", 'quo"ted', "back\\slash", "line\nend", "ü")


def library_of_the_table() -> tuple[prometheus_client.CollectorRegistry, dict[str, object]]:
    """Return the library's own instruments for every metric of the table."""
    prometheus_client.disable_created_metrics()
    registry = prometheus_client.CollectorRegistry()
    made: dict[str, object] = {}
    for spec in METRICS:
        name = PREFIX + spec.name
        if spec.kind is MetricKind.COUNTER:
            made[spec.name] = prometheus_client.Counter(name, spec.help, spec.labels, registry=registry)
        elif spec.kind is MetricKind.GAUGE:
            made[spec.name] = prometheus_client.Gauge(name, spec.help, spec.labels, registry=registry)
        else:
            made[spec.name] = prometheus_client.Histogram(
                name, spec.help, spec.labels, buckets=spec.buckets, registry=registry
            )
    return registry, made


@pytest.mark.parametrize("seed", range(10))
def test_the_exposition_is_byte_for_byte_the_librarys(seed: int) -> None:
    source = random.Random(seed)
    metrics = NodeMetrics()
    registry, library = library_of_the_table()
    for _ in range(200):
        spec = source.choice(METRICS)
        value = source.choice([0.0, 1.0, 0.25, 7.0, 1e9, *spec.buckets])
        instrument = library[spec.name]
        if isinstance(instrument, prometheus_client.Counter):
            labels = [source.choice(STRANGE_LABELS) for _ in spec.labels]
            metrics.count(spec.name, *labels, amount=value)
            (instrument.labels(*labels) if labels else instrument).inc(value)
        elif isinstance(instrument, prometheus_client.Gauge):
            metrics.set(spec.name, value)
            instrument.set(value)
        elif isinstance(instrument, prometheus_client.Histogram):
            metrics.observe(spec.name, value)
            instrument.observe(value)
    assert metrics.exposition() == prometheus_client.generate_latest(registry)


def test_a_scrape_of_a_fresh_node_names_every_metric_of_the_table() -> None:
    families = text_string_to_metric_families(NodeMetrics().exposition().decode())
    found = {family.name: family.type for family in families}
    assert found == {PREFIX + spec.name.removesuffix("_total"): spec.kind.value for spec in METRICS}


def test_values_are_what_was_counted_and_set() -> None:
    metrics = NodeMetrics()
    assert metrics.value("requests_total", "200") == 0
    metrics.count("requests_total", "200")
    metrics.count("requests_total", "200", amount=2)
    metrics.set("ready", 1)
    assert metrics.value("requests_total", "200") == 3
    assert metrics.value("requests_total", "503") == 0
    assert metrics.value("ready") == 1


def test_what_is_not_in_the_table_is_refused() -> None:
    metrics = NodeMetrics()
    for wrong in (
        lambda: metrics.count("unknown_total"),
        lambda: metrics.count("requests_total"),
        lambda: metrics.count("requests_total", "200", "more"),
        lambda: metrics.count("request_seconds"),
        lambda: metrics.set("unknown", 1),
        lambda: metrics.set("requests_total", 1),
        lambda: metrics.observe("ready", 1),
        lambda: metrics.value("requests_total"),
        lambda: metrics.value("unknown"),
    ):
        with pytest.raises((KeyError, ValueError)):
            wrong()
    assert metrics.exposition() == NodeMetrics().exposition()
