"""Every bad-input row of docs/API.md is refused with its typed error; nothing is sent, no slot is held."""

from __future__ import annotations

import json
from typing import Any

import pytest

from springmux.router import effects as out
from support.playbook import Playbook, chat, engine

LONG = "k" * 201
REFUSALS: list[tuple[str, dict[str, Any], int, str]] = [
    ("not JSON", {"body": b"{"}, 400, "malformed_json"),
    ("not UTF-8", {"body": chat()[:-4] + b'\xff"}]}'}, 400, "malformed_json"),
    ("a call that is not UTF-8", {"call": "lookup", "body": b'{"a":"\xff"}'}, 400, "malformed_json"),
    ("no model", {"body": b'{"messages":[]}'}, 400, "invalid_request"),
    ("no messages", {"body": b'{"model":"caption","messages":[]}'}, 400, "invalid_request"),
    ("a number as content", {"body": chat(content=5)}, 400, "invalid_request"),
    ("too many tokens", {"body": chat(max_tokens=9999)}, 400, "invalid_request"),
    ("an array to a call", {"call": "lookup", "body": b"[]"}, 400, "invalid_request"),
    ("deep nesting", {"call": "lookup", "body": b'{"a":' + b"[" * 900}, 400, "malformed_json"),
    ("an empty action key", {"call": "approve", "headers": {"idempotency-key": ""}}, 400, "invalid_request"),
    ("a long action key", {"call": "approve", "headers": {"idempotency-key": LONG}}, 400, "invalid_request"),
    ("bytes", {"call": "approve", "headers": {"idempotency-key": "a\udcff"}}, 400, "invalid_request"),
    ("a tab", {"call": "approve", "headers": {"idempotency-key": "a\tb"}}, 400, "invalid_request"),
    ("no key", {"headers": {"authorization": ""}}, 401, "missing_key"),
    ("another scheme", {"headers": {"authorization": "Basic ann"}}, 401, "missing_key"),
    ("an unknown key", {"key": "eve"}, 401, "unknown_key"),
    ("an unknown model", {"body": chat("nothing")}, 404, "unknown_route"),
    ("a call route as model", {"body": chat("approve")}, 404, "unknown_route"),
    ("an unknown call", {"call": "caption"}, 404, "unknown_route"),
    ("an unknown path", {"path": "/v2/chat"}, 404, "not_found"),
    ("another method", {"method": "GET"}, 405, "method_not_allowed"),
    ("a large prompt", {"body": chat(content="x" * 5000)}, 413, "body_too_large"),
    ("a large call", {"call": "lookup", "body": b'{"a":"' + b"x" * 1000 + b'"}'}, 413, "body_too_large"),
    ("a huge body, whatever is in it", {"body": b"{" * (1 << 21)}, 413, "body_too_large"),
]  # fmt: skip


@pytest.mark.parametrize(("name", "request_changes", "status", "code"), REFUSALS)
def test_bad_request_is_refused_immediately(
    name: str, request_changes: dict[str, Any], status: int, code: str
) -> None:
    flow = Playbook().open(**request_changes)

    assert [type(effect) for effect in flow.effects] == [out.ResponseError, out.FlowDone]
    assert (flow.error.status, flow.error.code, flow.error.fate) == (status, code, "refused")
    assert (flow.error.request_id, flow.error.node) == ("r1", "node-1")


def test_error_names_the_invalid_field() -> None:
    flow = Playbook().open(b'{"model":"caption","messages":[{"role":"user","content":5}]}')

    (field,) = flow.error.errors
    assert field.path == "messages[0].content"


def test_revoked_key_is_refused_on_the_next_request() -> None:
    playbook = Playbook()
    playbook.revoke("ann")

    assert playbook.open().error.code == "revoked_key"
    assert not playbook.open(key="ben").effects_of(out.ResponseError)


@pytest.mark.parametrize(
    ("ready", "reason", "connected", "code"),
    [
        (False, "starting", True, "not_ready"),
        (False, "stopping", True, "stopping"),
        (False, "cut off", True, "cut_off"),
        (True, "", False, "cut_off"),
    ],
)
def test_node_that_is_not_ready_or_not_connected_refuses_requests(
    ready: bool, reason: str, connected: bool, code: str
) -> None:
    playbook = Playbook(connected=connected)
    playbook.router.update_readiness(ready, reason)

    error = playbook.open().error

    assert (error.status, error.code, error.fate) == (503, code, "refused")
    assert error.retry_after_s is not None


def test_refusal_for_a_used_up_quota_has_a_retry_delay() -> None:
    playbook = Playbook()
    playbook.quota.tokens_left = 10

    error = playbook.open().error

    assert (error.status, error.code, error.retry_after_s) == (429, "quota_exceeded", 2.5)
    assert playbook.router.status().in_flight["interactive"] == 0


def test_request_waits_briefly_for_the_quota_owner_and_then_is_refused() -> None:
    playbook = Playbook()
    playbook.quota.tokens_left, playbook.quota.is_awaiting_owner = 10, True
    early, late = playbook.open(), playbook.open()
    assert not early.effects

    playbook.quota.tokens_left = 100
    early.tick()
    assert early.effects_of(out.Dispatch)

    asked_at = playbook.now
    while not late.effects:
        late.tick()
    assert 0.2 < playbook.now - asked_at <= 0.31
    assert (late.error.status, late.error.code) == (429, "quota_exceeded")


def test_denial_by_the_quota_owner_refuses_a_waiting_request_immediately() -> None:
    playbook = Playbook()
    playbook.quota.tokens_left, playbook.quota.is_awaiting_owner = 10, True
    flow = playbook.open()
    playbook.quota.is_awaiting_owner = False
    flow.tick()
    assert flow.error.code == "quota_exceeded"


def test_service_without_engines_refuses_requests() -> None:
    error = Playbook(engines=[engine("p", service="pages")]).open().error

    assert (error.status, error.code, error.fate) == (503, "no_engine", "refused")


def test_models_are_listed_in_the_openai_format() -> None:
    flow = Playbook().open(path="/v1/models", method="GET")

    assert [model["id"] for model in json.loads(flow.body)["data"]] == ["caption", "draft"]
    assert flow.is_complete
