"""Checkers over the requests that clients sent and engines ran in a gateway fleet.

Each returns the violations found, unless its docstring says otherwise.
"""

from __future__ import annotations

from collections import Counter

from tests.unit.bad_days.gateway_fleet import STREAM, TIMEOUT_S, UNSAFE, ClientRequest, GatewayFleet
from tests.unit.bad_days.model_engines import expected_body, expected_stream

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a client that its request has not run and will not run."""
RESPONSE_SLACK_S = 0.5
WINDOW_S = 8.0
QUOTA_TOLERANCE = 1.1
REPEAT_SHARE, REPEAT_FLOOR, REPEAT_WINDOW_S = 0.2, 20, 10.0


def executed_twice(fleet: GatewayFleet) -> list[bytes]:
    """Return non-idempotent requests that ran more than once."""
    counts = Counter(run.request_id for run in fleet.engine_client.runs)
    return [
        request.request_id
        for request in fleet.requests
        if request.kind is UNSAFE and counts[request.request_id] > 1
    ]


def executed_despite_refusal(fleet: GatewayFleet) -> list[bytes]:
    """Return non-idempotent requests that ran although their response promised that they would not run."""
    executed = {run.request_id for run in fleet.engine_client.runs}
    refused = (
        request
        for request in fleet.requests
        if request.kind is UNSAFE and request.client.status in NOT_EXECUTED_STATUSES
    )
    return [request.request_id for request in refused if request.request_id in executed]


def foreign_or_corrupted(fleet: GatewayFleet) -> list[bytes]:
    """Return requests whose successful response isn't the complete response to this request."""
    return [request.request_id for request in fleet.requests if not _has_own_response(request)]


def _has_own_response(request: ClientRequest) -> bool:
    client = request.client
    if client.status != 200:
        return True
    expected = (
        expected_stream(request.request_id) if request.kind is STREAM else expected_body(request.request_id)
    )
    if client.ended:
        return client.data == expected
    return client.aborted and expected.startswith(client.data)


def not_ended_in_time(fleet: GatewayFleet) -> list[bytes]:
    """Return requests without the end of a response half a second after their route's timeout."""
    limit_s = TIMEOUT_S + RESPONSE_SLACK_S
    return [
        request.request_id
        for request in fleet.requests
        if not (request.client.ended or request.client.aborted)
        or request.client.responded_at - request.client.received_at > limit_s
    ]


def wrongly_forwarded(fleet: GatewayFleet) -> list[bytes]:
    """Return requests that reached an engine with an API key, another tenant or other token counts."""
    tenants: dict[str, str] = {}
    for node in fleet.nodes:
        tenants.update(node.core.table.configuration.key_tenants)
    requests = {request.request_id: request for request in fleet.requests}
    violations = []
    for run in fleet.engine_client.runs:
        request = requests[run.request_id]
        tenant = run.tenant.decode() if run.tenant is not None else ""
        usage = b"%d,0" % request.tokens if request.tokens else None
        if run.carries_key or tenant != tenants.get(request.key, tenant) or run.token_usage != usage:
            violations.append(run.request_id)
    return violations


def overstated_time_left(fleet: GatewayFleet) -> list[bytes]:
    """Return requests that reached an engine with a deadline over half a second later than the real one."""
    deadlines = {request.request_id: request.client.received_at + TIMEOUT_S for request in fleet.requests}
    limit_s = RESPONSE_SLACK_S
    return [
        run.request_id
        for run in fleet.engine_client.runs
        if run.started_at + run.time_left_s > deadlines[run.request_id] + limit_s
    ]


def denied(fleet: GatewayFleet) -> list[bytes]:
    """Return valid requests that were rejected with 401, 403 or 404."""
    return [request.request_id for request in fleet.requests if request.client.status in (401, 403, 404)]


def executed_with_key(fleet: GatewayFleet, key: str, since: float) -> list[bytes]:
    """Return requests with ``key`` that were sent after ``since`` seconds and ran."""
    executed = {run.request_id for run in fleet.engine_client.runs}
    late = (request for request in fleet.requests if request.key == key and request.sent_at > since)
    return [request.request_id for request in late if request.request_id in executed]


def quota_excess(fleet: GatewayFleet, key: str, rate_per_s: float, burst: float) -> float:
    """Return the tokens beyond (rate x 8 s + burst) x 1.1 in the worst 8 s; negative if within the bound."""
    tokens = {request.request_id: request.tokens for request in fleet.requests if request.key == key}
    token_runs = [
        (run.started_at, tokens[run.request_id])
        for run in fleet.engine_client.runs
        if run.request_id in tokens
    ]
    highest = total = window_start = 0
    for at, size in token_runs:
        total += size
        while token_runs[window_start][0] <= at - WINDOW_S:
            total -= token_runs[window_start][1]
            window_start += 1
        highest = max(highest, total)
    return highest - (rate_per_s * WINDOW_S + burst) * QUOTA_TOLERANCE


def success_share(fleet: GatewayFleet, begin: float, end: float, key: str | None = None) -> float:
    """Return the share of successful requests among those sent in ``[begin, end)``, of all keys or of one."""
    found = [
        request for request in fleet.requests if begin <= request.sent_at < end and key in (None, request.key)
    ]
    assert found, "no request was sent"
    return sum(request.succeeded for request in found) / len(found)


def attempt_share(fleet: GatewayFleet, engine: str, begin: float, end: float) -> float:
    """Return the share of the attempts in ``[begin, end)`` that went to one engine."""
    times = [(at - fleet.started_at, name) for at, name in fleet.engine_client.attempts]
    found = [name for at, name in times if begin <= at < end]
    assert found, "no attempt was made"
    return found.count(engine) / len(found)


def repeats_beyond_budget(fleet: GatewayFleet) -> float:
    """Return by how much repeats exceed a fifth of the requests plus the floor of 20, in the worst 10 s."""
    seen: set[bytes] = set()
    repeats = []
    for at, request_id in fleet.engine_client.arrivals:
        if request_id in seen:
            repeats.append(at - fleet.started_at)
        seen.add(request_id)
    worst = -float(REPEAT_FLOOR)
    for first in repeats:
        count = sum(first <= at < first + REPEAT_WINDOW_S for at in repeats)
        sent = sum(first <= request.sent_at < first + REPEAT_WINDOW_S for request in fleet.requests)
        worst = max(worst, count - REPEAT_SHARE * sent - REPEAT_FLOOR)
    return worst


def check_safety(fleet: GatewayFleet) -> None:
    """Assert the rules that hold under every fault."""
    assert executed_twice(fleet) == []
    assert executed_despite_refusal(fleet) == []
    assert foreign_or_corrupted(fleet) == []
    assert not_ended_in_time(fleet) == []
    assert wrongly_forwarded(fleet) == []
    assert overstated_time_left(fleet) == []
