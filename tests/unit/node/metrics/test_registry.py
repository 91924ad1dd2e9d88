"""The metrics' exposition is equal to what the Prometheus client library writes for the same table."""

from __future__ import annotations

import random

import prometheus_client
import pytest
from prometheus_client.parser import text_string_to_metric_families

from springmux.node.metrics.registry import NodeMetrics
from springmux.node.metrics.table import METRICS, PREFIX, MetricKind

LABEL_VALUES = ("", "plain", 'quo"ted', "back\\slash", "line\nend", "ü")


def library_instruments() -> tuple[prometheus_client.CollectorRegistry, dict[str, object]]:
    """Return a registry with the library's instrument for each metric of the table, and these by name."""
    prometheus_client.disable_created_metrics()
    registry = prometheus_client.CollectorRegistry()
    instruments: dict[str, object] = {}
    for spec in METRICS:
        name = PREFIX + spec.name
        if spec.kind is MetricKind.COUNTER:
            instruments[spec.name] = prometheus_client.Counter(
                name, spec.help, spec.labels, registry=registry
            )
        elif spec.kind is MetricKind.GAUGE:
            instruments[spec.name] = prometheus_client.Gauge(name, spec.help, spec.labels, registry=registry)
        else:
            instruments[spec.name] = prometheus_client.Histogram(
                name, spec.help, spec.labels, buckets=spec.buckets, registry=registry
            )
    return registry, instruments


@pytest.mark.parametrize("seed", range(10))
def test_exposition_is_byte_for_byte_equal_to_the_librarys(seed: int) -> None:
    generator = random.Random(seed)
    metrics = NodeMetrics()
    registry, library = library_instruments()
    for _ in range(200):
        spec = generator.choice(METRICS)
        value = generator.choice([0.0, 1.0, 0.25, 7.0, 1e9, *spec.buckets])
        instrument = library[spec.name]
        if isinstance(instrument, prometheus_client.Counter):
            labels = [generator.choice(LABEL_VALUES) for _ in spec.labels]
            metrics.count(spec.name, *labels, amount=value)
            (instrument.labels(*labels) if labels else instrument).inc(value)
        elif isinstance(instrument, prometheus_client.Gauge):
            metrics.set(spec.name, value)
            instrument.set(value)
        elif isinstance(instrument, prometheus_client.Histogram):
            metrics.observe(spec.name, value)
            instrument.observe(value)
    assert metrics.exposition() == prometheus_client.generate_latest(registry)


def test_scrape_of_a_new_node_has_every_metric_of_the_table() -> None:
    families = text_string_to_metric_families(NodeMetrics().exposition().decode())
    found = {family.name: family.type for family in families}
    assert found == {PREFIX + spec.name.removesuffix("_total"): spec.kind.value for spec in METRICS}


def test_value_returns_what_was_counted_or_set() -> None:
    metrics = NodeMetrics()
    assert metrics.value("requests_total", "200") == 0
    metrics.count("requests_total", "200")
    metrics.count("requests_total", "200", amount=2)
    metrics.set("ready", 1)
    assert metrics.value("requests_total", "200") == 3
    assert metrics.value("requests_total", "503") == 0
    assert metrics.value("ready") == 1


def test_metric_or_labels_that_the_table_lacks_are_rejected() -> None:
    metrics = NodeMetrics()
    for call in (
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
            call()
    assert metrics.exposition() == NodeMetrics().exposition()
