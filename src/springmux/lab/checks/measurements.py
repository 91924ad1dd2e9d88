"""Statistics over recorded events: sliding windows, fault intervals, latency percentiles."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from springmux.lab.records import CallRecord, FaultEvent

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LOWEST_MS = 1
HIGHEST_MS = 120_000
SIGNIFICANT_DIGITS = 2


class Span(msgspec.Struct, frozen=True):
    """A closed interval of time."""

    from_s: float
    to_s: float

    def intersects(self, from_s: float, to_s: float) -> bool:
        """Return whether the two intervals intersect."""
        return self.from_s <= to_s and from_s <= self.to_s


def fault_spans(faults: Iterable[FaultEvent], end_s: float) -> dict[str, list[Span]]:
    """Return the intervals of the faults by target; a fault without an end lasts until ``end_s``."""
    begin_times: dict[tuple[str, str], float] = {}
    spans: dict[str, list[Span]] = {}
    for event in faults:
        key = (event.fault, event.target)
        if event.began:
            begin_times[key] = event.at_s
        elif key in begin_times:
            spans.setdefault(event.target, []).append(Span(begin_times.pop(key), event.at_s))
    for (_, target), from_s in begin_times.items():
        spans.setdefault(target, []).append(Span(from_s, end_s))
    return spans


class WindowShare(msgspec.Struct, frozen=True):
    """A window and its share of marked events: ``share`` is ``count`` divided by ``total``."""

    share: float
    count: int
    total: int
    ends_at_s: float


def worst_window(events: Sequence[tuple[float, bool]], window_s: float, floor: int) -> WindowShare:
    """Return the sliding window with the highest share of marked events.

    ``events`` are pairs of a time and a mark, sorted by time. Windows with at most ``floor`` marked events
    are ignored, because their share says too little.
    """
    in_window: deque[tuple[float, bool]] = deque()
    marked = 0
    worst = WindowShare(0.0, 0, 0, 0.0)
    for at_s, mark in events:
        in_window.append((at_s, mark))
        marked += mark
        while in_window[0][0] <= at_s - window_s:
            marked -= in_window.popleft()[1]
        share = marked / len(in_window)
        if marked > floor and share > worst.share:
            worst = WindowShare(share, marked, len(in_window), at_s)
    return worst


def count_between(times: Sequence[float], from_s: float, to_s: float) -> int:
    """Return how many of the sorted times lie in the interval, ends included."""
    return bisect_right(times, to_s) - bisect_left(times, from_s)


class LatencyRow(msgspec.Struct, frozen=True):
    """Percentiles of one measure of one route, in milliseconds, in the order of ``PERCENTILES``."""

    route: str
    measure: str
    count: int
    values_ms: tuple[float, ...]


def latency_rows(calls: Iterable[CallRecord]) -> list[LatencyRow]:
    """Return percentiles by route: time to the first chunk and to the complete response."""
    histograms: dict[tuple[str, str], HdrHistogram] = {}
    for call in calls:
        if not call.complete:
            continue
        _record_latency(histograms, call.route, "whole answer", call.ended_s - call.at_s)
        if call.first_chunk_s is not None:
            _record_latency(histograms, call.route, "first piece", call.first_chunk_s)
    return [
        LatencyRow(
            route=route,
            measure=measure,
            count=histogram.get_total_count(),
            values_ms=tuple(
                float(histogram.get_value_at_percentile(percentile)) for percentile in PERCENTILES
            ),
        )
        for (route, measure), histogram in sorted(histograms.items())
    ]


def _record_latency(
    histograms: dict[tuple[str, str], HdrHistogram], route: str, measure: str, value_s: float
) -> None:
    histogram = histograms.get((route, measure))
    if histogram is None:
        histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        histograms[route, measure] = histogram
    histogram.record_value(min(HIGHEST_MS, max(LOWEST_MS, math.ceil(value_s * 1000.0))))
