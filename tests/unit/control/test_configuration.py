"""Tests configuration documents: merge patch, and all errors reported together with their paths."""

from __future__ import annotations

import json
from typing import Any

import pytest

from springmux.control.configuration import (
    MAX_DOCUMENT_BYTES,
    MAX_REPORTED_ERRORS,
    ConfigurationTooLargeError,
    InvalidConfigurationError,
    canonical_document,
    parse_configuration,
)
from springmux.control.merge_patch import merge_patch
from springmux.control.view import AdmissionLimits, Route, RouteKind, TrafficClass

RFC_7396_EXAMPLES = [
    ({"a": "b"}, {"a": "c"}, {"a": "c"}),
    ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
    ({"a": "b"}, {"a": None}, {}),
    ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
    ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
    ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
    ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
    ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
    (["a", "b"], ["c", "d"], ["c", "d"]),
    ({"a": "b"}, ["c"], ["c"]),
    ({"a": "foo"}, None, None),
    ({"a": "foo"}, "bar", "bar"),
    ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
    ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
    ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
]


@pytest.mark.parametrize(("target", "patch", "result"), RFC_7396_EXAMPLES)
def test_merge_patch_gives_the_results_of_rfc_7396_appendix_a(target: Any, patch: Any, result: Any) -> None:
    before = json.dumps([target, patch])
    assert merge_patch(target, patch) == result
    assert json.dumps([target, patch]) == before


def errors_of(document: Any) -> dict[str, str]:
    with pytest.raises(InvalidConfigurationError) as raised:
        parse_configuration(json.dumps(document).encode())
    return {error.path: error.message for error in raised.value.errors}


def test_missing_fields_have_the_defaults_of_the_view() -> None:
    document = {
        "services": {"text": {"stable": "v1"}},
        "routes": {"draft": {"kind": "prompt", "service": "text", "class": "bulk", "deadline_s": 20}},
    }
    configuration = parse_configuration(json.dumps(document).encode(), version=4)
    assert configuration.version == 4
    assert configuration.limits == AdmissionLimits()
    assert dict(configuration.routes) == {
        "draft": Route("draft", RouteKind.PROMPT, "text", TrafficClass.BULK, deadline_s=20.0)  # type: ignore[arg-type]
    }


def test_all_invalid_fields_are_reported_together() -> None:
    found = errors_of(
        {
            "services": {"text": {"stable": 1}, "bad name": {"stable": "v1"}, "x": 3},
            "routes": {
                "a": {"kind": "prompt", "service": "texd", "class": "bulk", "deadlin_s": 3},
                "b": {"kind": "phone", "service": "text", "class": "bulk", "deadline_s": "3"},
                "c": {"service": "text", "class": "bulk", "max_body_bytes": 0},
            },
            "limits": {"max_in_flight": 100, "per_key_share": 2},
            "exceptions": [],
            "limit": {},
        }
    )
    assert set(found) == {
        "services.text.stable",
        "services.bad name",
        "services.x",
        "routes.a.deadlin_s",
        "routes.a.service",
        "routes.b.kind",
        "routes.b.deadline_s",
        "routes.c.kind",
        "routes.c.max_body_bytes",
        "limits.per_key_share",
        "exceptions",
        "limit",
    }
    assert "did you mean 'deadline_s'" in found["routes.a.deadlin_s"]
    assert "did you mean 'text'" in found["routes.a.service"]
    assert "did you mean 'limits'" in found["limit"]


def test_reserved_slots_must_not_exceed_the_slots_in_flight() -> None:
    assert set(errors_of({"limits": {"max_in_flight": 100}})) == {"limits.interactive_reserved"}


@pytest.mark.parametrize("document", [b"", b"{", b"\xff", b"[]", b"null", b'{"limits": NaN}', b"[" * 100_000])
def test_bytes_that_are_no_document_are_rejected(document: bytes) -> None:
    with pytest.raises(InvalidConfigurationError):
        parse_configuration(document)


def test_a_document_over_the_size_limit_is_rejected_and_one_below_it_is_parsed() -> None:
    route = {"kind": "prompt", "service": "text", "class": "bulk", "deadline_s": 30}
    document: dict[str, Any] = {"services": {"text": {"stable": "v1"}}}
    document["routes"] = {f"route-{number}": route for number in range(90_000)}
    data = json.dumps(document).encode()
    assert MAX_DOCUMENT_BYTES * 0.9 < len(data) < MAX_DOCUMENT_BYTES
    assert len(parse_configuration(data).routes) == 90_000
    with pytest.raises(ConfigurationTooLargeError):
        parse_configuration(b" " * (MAX_DOCUMENT_BYTES + 1))


def test_the_errors_of_a_document_are_bounded_in_number() -> None:
    routes = {f"r{number}": {} for number in range(5_000)}
    with pytest.raises(InvalidConfigurationError) as raised:
        parse_configuration(json.dumps({"routes": routes}).encode())
    assert len(raised.value.errors) == MAX_REPORTED_ERRORS + 1
    assert raised.value.errors[-1].message == "and 14000 more errors"


def test_canonical_json_does_not_depend_on_order_or_whitespace() -> None:
    assert (
        canonical_document(json.loads('{"b": 1, "a": [1, {"d": 2, "c": 3}]}'))
        == b'{"a":[1,{"c":3,"d":2}],"b":1}'
    )
