"""The table of all metrics, from which docs/REFERENCE.md is generated."""

from __future__ import annotations

import enum

import msgspec


class MetricKind(enum.StrEnum):
    """Prometheus type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class MetricSpec(msgspec.Struct, frozen=True):
    """One metric: name without prefix, type, help text, label names, upper bounds of histogram buckets."""

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


class HistogramState(msgspec.Struct, frozen=True):
    """A histogram at a scrape: cumulative bucket counts, the unbounded bucket last, and the sum."""

    cumulative: tuple[int, ...]
    sum: float


PREFIX = "springmux_"
EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the text exposition format."""
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
LAG_BUCKETS_S = (0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0)
FSYNC_BUCKETS_S = (0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)

_COUNTER, _GAUGE, _HISTOGRAM = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.HISTOGRAM

METRICS: tuple[MetricSpec, ...] = (
    MetricSpec("requests_total", _COUNTER, "Answered caller requests by HTTP status.", ("status",)),
    MetricSpec("request_errors_total", _COUNTER, "Typed errors answered to callers.", ("code",)),
    MetricSpec("requests_in_flight", _GAUGE, "Caller requests that are being served."),
    MetricSpec(
        "request_seconds", _HISTOGRAM, "Time from a request read whole to its end.", (), LATENCY_BUCKETS_S
    ),
    MetricSpec("client_connections", _GAUGE, "Open connections of callers."),
    MetricSpec("client_connections_refused_total", _COUNTER, "Connections closed over max_connections."),
    MetricSpec(
        "upstream_attempts_total", _COUNTER, "Exchanges begun with back ends.", ("service", "version")
    ),
    MetricSpec("upstream_failures_total", _COUNTER, "Exchanges with back ends that failed.", ("cause",)),
    MetricSpec("peer_sent_messages_total", _COUNTER, "Messages sent to peers by type.", ("message",)),
    MetricSpec("peer_sent_bytes_total", _COUNTER, "Bytes sent to peers by message type.", ("message",)),
    MetricSpec("peer_received_messages_total", _COUNTER, "Messages from peers by type.", ("message",)),
    MetricSpec("peer_received_bytes_total", _COUNTER, "Bytes from peers by message type.", ("message",)),
    MetricSpec(
        "peer_dropped_messages_total", _COUNTER, "Messages from and to peers that were dropped.", ("reason",)
    ),
    MetricSpec("peer_refused_hellos_total", _COUNTER, "Peers refused at the hello.", ("reason",)),
    MetricSpec(
        "peer_refused_connections_total",
        _COUNTER,
        "Inbound peer connections closed since there were too many.",
    ),
    MetricSpec("connection_held_bytes", _GAUGE, "Counted bytes that connections make the process hold."),
    MetricSpec(
        "connection_yields_total",
        _COUNTER,
        "Connections closed while they waited for their client, since others needed their memory.",
    ),
    MetricSpec("peer_connections", _GAUGE, "Established outgoing peer connections."),
    MetricSpec(
        "loop_lag_seconds", _HISTOGRAM, "Delay of the event loop beyond a due timer.", (), LAG_BUCKETS_S
    ),
    MetricSpec("storage_write_seconds", _HISTOGRAM, "Time of one storage operation.", (), FSYNC_BUCKETS_S),
    MetricSpec("storage_failures_total", _COUNTER, "Storage operations that failed.", ("kind",)),
    MetricSpec("storage_waiting_seconds", _GAUGE, "Age of the oldest waiting storage operation."),
    MetricSpec("orders_total", _COUNTER, "Operators' orders by outcome.", ("outcome",)),
    MetricSpec("gateway_requests_total", _COUNTER, "Requests to the gateway whose head was read."),
    MetricSpec("gateway_dispatches_total", _COUNTER, "Attempts of the gateway at engines."),
    MetricSpec(
        "gateway_retries_total", _COUNTER, "Attempts at another engine after one that had the request."
    ),
    MetricSpec(
        "gateway_resumed_total", _COUNTER, "Streams begun that another engine was asked to go on with."
    ),
    MetricSpec(
        "gateway_lost_engine_attempts_total",
        _COUNTER,
        "Attempts at engines whose heartbeats stopped, made since no other engine was usable.",
    ),
    MetricSpec("gateway_refusals_total", _COUNTER, "Requests that the gateway refused or cut.", ("reason",)),
    MetricSpec("ready", _GAUGE, "1 while the node is ready."),
    MetricSpec("control_revision", _GAUGE, "Revision of the control state in force here."),
    MetricSpec(
        "control_changes_total", _COUNTER, "Newer control states put in force, by how they came.", ("way",)
    ),
    MetricSpec(
        "control_behind_seconds",
        _HISTOGRAM,
        "Time from first hearing of a newer control state to its being in force.",
        (),
        LATENCY_BUCKETS_S,
    ),
    MetricSpec("replica_stopped", _GAUGE, "1 if this node's replica stopped."),
)
