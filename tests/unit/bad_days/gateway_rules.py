"""Checkers over what clients and engines of a gateway fleet saw. Each returns the violations it found."""

from __future__ import annotations

from collections import Counter

from tests.unit.bad_days.gateway_fleet import STREAM, TIMEOUT_S, UNSAFE, Asked, GatewayFleet
from tests.unit.bad_days.model_engines import whole_answer, whole_stream

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""
ANSWER_SLACK_S = 0.5
WINDOW_S = 8.0
QUOTA_TOLERANCE = 1.1
REPEAT_SHARE, REPEAT_FLOOR, REPEAT_WINDOW_S = 0.2, 20, 10.0


def run_twice(fleet: GatewayFleet) -> list[bytes]:
    """Return requests that are not idempotent and ran more than once."""
    counts = Counter(run.request_id for run in fleet.farm.runs)
    return [one.request_id for one in fleet.asked if one.kind is UNSAFE and counts[one.request_id] > 1]


def run_though_refused(fleet: GatewayFleet) -> list[bytes]:
    """Return requests that are not idempotent, ran, and were answered as if they never would."""
    ran = {run.request_id for run in fleet.farm.runs}
    refused = (one for one in fleet.asked if one.kind is UNSAFE and one.caller.status in PROMISES)
    return [one.request_id for one in refused if one.request_id in ran]


def foreign_or_damaged(fleet: GatewayFleet) -> list[bytes]:
    """Return clients that got a success that isn't the whole answer of their own request."""
    return [one.request_id for one in fleet.asked if not _sound(one)]


def _sound(asked: Asked) -> bool:
    caller = asked.caller
    if caller.status != 200:
        return True
    due = whole_stream(asked.request_id) if asked.kind is STREAM else whole_answer(asked.request_id)
    if caller.ended:
        return caller.data == due
    return caller.aborted and due.startswith(caller.data)


def held_too_long(fleet: GatewayFleet) -> list[bytes]:
    """Return clients that had no end of an answer half a second after their route's timeout."""
    longest = TIMEOUT_S + ANSWER_SLACK_S
    return [
        one.request_id
        for one in fleet.asked
        if not (one.caller.ended or one.caller.aborted)
        or one.caller.responded_at - one.caller.received_at > longest
    ]


def passed_on_wrongly(fleet: GatewayFleet) -> list[bytes]:
    """Return requests that engines got with a key, under another tenant, or with other stated tokens."""
    tenants: dict[str, str] = {}
    for node in fleet.nodes:
        tenants.update(node.core.table.configuration.key_tenants)
    asked = {one.request_id: one for one in fleet.asked}
    wrong = []
    for run in fleet.farm.runs:
        one = asked[run.request_id]
        named = run.tenant.decode() if run.tenant is not None else ""
        usage = b"%d,0" % one.tokens if one.tokens else None
        if run.carries_key or named != tenants.get(one.key, named) or run.token_usage != usage:
            wrong.append(run.request_id)
    return wrong


def told_too_much_time(fleet: GatewayFleet) -> list[bytes]:
    """Return requests of which an engine was told that more time is left than there is, by half a second."""
    ends = {one.request_id: one.caller.received_at + TIMEOUT_S for one in fleet.asked}
    longest = ANSWER_SLACK_S
    return [run.request_id for run in fleet.farm.runs if run.at + run.told_s > ends[run.request_id] + longest]


def denied(fleet: GatewayFleet) -> list[bytes]:
    """Return proper requests that were answered as if the configuration forbade them."""
    return [one.request_id for one in fleet.asked if one.caller.status in (401, 403, 404)]


def run_with_key(fleet: GatewayFleet, key: str, since: float) -> list[bytes]:
    """Return requests with ``key`` that were asked after ``since`` seconds and ran."""
    ran = {run.request_id for run in fleet.farm.runs}
    late = (one for one in fleet.asked if one.key == key and one.at > since)
    return [one.request_id for one in late if one.request_id in ran]


def quota_excess(fleet: GatewayFleet, key: str, rate_per_s: float, burst: float) -> float:
    """Return the tokens that ran beyond (rate x 8 s + burst) x 1.1 in the worst 8 s (negative: none)."""
    tokens = {one.request_id: one.tokens for one in fleet.asked if one.key == key}
    taken = [(run.at, tokens[run.request_id]) for run in fleet.farm.runs if run.request_id in tokens]
    most = total = begin = 0
    for at, size in taken:
        total += size
        while taken[begin][0] <= at - WINDOW_S:
            total -= taken[begin][1]
            begin += 1
        most = max(most, total)
    return most - (rate_per_s * WINDOW_S + burst) * QUOTA_TOLERANCE


def served_share(fleet: GatewayFleet, begin: float, end: float, key: str | None = None) -> float:
    """Return the share of the requests of a time, and of a key, that got a whole success."""
    found = [one for one in fleet.asked if begin <= one.at < end and key in (None, one.key)]
    assert found, "nobody asked"
    return sum(one.served for one in found) / len(found)


def tried_share(fleet: GatewayFleet, engine: str, begin: float, end: float) -> float:
    """Return the share of a time's attempts that went to one engine."""
    times = [(at - fleet.began, name) for at, name in fleet.farm.tries]
    found = [name for at, name in times if begin <= at < end]
    assert found, "nothing was tried"
    return found.count(engine) / len(found)


def repeats_beyond_budget(fleet: GatewayFleet) -> float:
    """Return by how much repeats exceed a fifth of the requests, and the floor, in the worst 10 s."""
    seen: set[bytes] = set()
    repeats = []
    for at, request_id in fleet.farm.arrivals:
        if request_id in seen:
            repeats.append(at - fleet.began)
        seen.add(request_id)
    worst = -float(REPEAT_FLOOR)
    for first in repeats:
        count = sum(first <= at < first + REPEAT_WINDOW_S for at in repeats)
        asked = sum(first <= one.at < first + REPEAT_WINDOW_S for one in fleet.asked)
        worst = max(worst, count - REPEAT_SHARE * asked - REPEAT_FLOOR)
    return worst


def check_safety(fleet: GatewayFleet) -> None:
    """Assert every rule that holds on any day."""
    assert run_twice(fleet) == []
    assert run_though_refused(fleet) == []
    assert foreign_or_damaged(fleet) == []
    assert held_too_long(fleet) == []
    assert passed_on_wrongly(fleet) == []
    assert told_too_much_time(fleet) == []
