"""Losses of a fleet by a property of its requests, computed from the nodes' ``request_ended`` log lines.

A request earns 1 if it is served in time, less if it is served late, and 0 if it is not served. What requests
did not earn is summed by a property of them, such as route, size, second, node, tenant, engine or reason.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence

import msgspec

from springmux.gateway.request_trace import RequestOutcome

EVENT = "request_ended"
LATE_WORTH = 0.3
"""Value that a request with a late response earns by default; one served in time earns 1."""
SIZE_CLASSES = ((0.9, "largest tenth"), (0.7, "fifth beneath"), (0.0, "the rest"))
"""Lower bound and name of each size class; bounds are quantiles of the prompt sizes of a route."""
NO_VALUE = "-"
_TIMESTAMP_SECOND_LENGTH = len("2026-12-02T11:17:44")


class Dimension(enum.StrEnum):
    """A property by which requests are grouped."""

    ROUTE = "route"
    SIZE = "size"
    SECOND = "second"
    """Second of the request's end by the log's wall clock, as machines do not share a monotonic clock."""
    NODE = "node"
    TENANT = "tenant"
    ENGINE = "engine"
    REASON = "reason"
    ATTEMPTS = "attempts"


class EndedRequest(msgspec.Struct, frozen=True):
    """One ``request_ended`` line. Times in ms, except ``received_at`` in seconds of the node's clock."""

    node: str
    route: str
    tenant: str
    prompt_tokens: int
    target_ms: float
    gap_target_ms: float
    attempts: int
    engine: str
    outcome: RequestOutcome
    reason: str
    received_at: float
    first_ms: float | None
    gap_ms: float
    total_ms: float
    request_id: str = ""
    timestamp: str = ""

    @property
    def late(self) -> bool:
        """Return whether the request was served but exceeded a target: first chunk, or gap between chunks."""
        if self.outcome is not RequestOutcome.SERVED:
            return False
        response_ms = self.total_ms if self.first_ms is None else self.first_ms
        gap_exceeded = self.gap_target_ms > 0 and self.gap_ms > self.gap_target_ms
        return gap_exceeded or (self.target_ms > 0 and response_ms > self.target_ms)


class LossRow(msgspec.Struct, frozen=True):
    """Losses of one group of requests.

    ``late``, ``refused``, ``failed`` and ``left`` are fractions of its requests. ``lost``: sum of what its
    requests did not earn.
    """

    group: str
    requests: int
    late: float
    refused: float
    failed: float
    left: float
    lost: float


def read_requests(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Yield the requests in log lines; ignore other events, and any text before the JSON object of a line."""
    for line in lines:
        start = line.find("{")
        if start < 0 or EVENT not in line:
            continue
        try:
            fields = json.loads(line[start:])
            if fields.get("event") == EVENT:
                yield msgspec.convert(fields, EndedRequest)
        except (ValueError, msgspec.ValidationError):
            continue


def losses_by(
    requests: Sequence[EndedRequest], dimension: Dimension, late_worth: float = LATE_WORTH
) -> list[LossRow]:
    """Return a row for each value of ``dimension``, sorted by decreasing loss."""
    names = _size_class_names(requests) if dimension is Dimension.SIZE else {}
    groups: dict[str, list[EndedRequest]] = {}
    for request in requests:
        groups.setdefault(_value(request, dimension, names), []).append(request)
    rows = [_row(group, members, late_worth) for group, members in groups.items()]
    return sorted(rows, key=lambda row: (-row.lost, row.group))


def _row(group: str, members: Sequence[EndedRequest], late_worth: float) -> LossRow:
    count = len(members)
    late = sum(member.late for member in members)

    def share(outcome: RequestOutcome) -> float:
        return sum(member.outcome is outcome for member in members) / count

    unserved = sum(member.outcome is not RequestOutcome.SERVED for member in members)
    return LossRow(
        group=group,
        requests=count,
        late=late / count,
        refused=share(RequestOutcome.REFUSED),
        failed=share(RequestOutcome.FAILED),
        left=share(RequestOutcome.LEFT),
        lost=unserved + late * (1.0 - late_worth),
    )


def _value(request: EndedRequest, dimension: Dimension, sizes: Mapping[int, str]) -> str:
    value: object
    if dimension is Dimension.SIZE:
        value = f"{request.route}, {sizes[id(request)]}"
    elif dimension is Dimension.SECOND:
        value = request.timestamp[:_TIMESTAMP_SECOND_LENGTH]
    elif dimension is Dimension.REASON:
        value = request.reason or _default_reason(request)
    else:
        value = getattr(request, dimension.value)
    return str(value) or NO_VALUE


def _default_reason(request: EndedRequest) -> str:
    if request.outcome is not RequestOutcome.SERVED:
        return request.outcome.value
    return "late" if request.late else "in time"


def _size_class_names(requests: Sequence[EndedRequest]) -> dict[int, str]:
    """Return the size class of each request among those of its route, by ``id`` of the request object."""
    by_route: dict[str, list[EndedRequest]] = {}
    for request in requests:
        by_route.setdefault(request.route, []).append(request)
    names = {}
    for members in by_route.values():
        ordered = sorted(members, key=lambda member: member.prompt_tokens)
        for rank, member in enumerate(ordered):
            names[id(member)] = next(
                name for lower_bound, name in SIZE_CLASSES if rank >= lower_bound * len(ordered)
            )
    return names
