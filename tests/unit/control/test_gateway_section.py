"""Tests the gateway's configuration in the control state.

It must be valid, change by compare-and-set, read back exactly as sent, and handle resent changes.
"""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.control.commands import ApplyGateway, CommandResult, Outcome, encode_command
from springmux.control.gateway_configuration import (
    EMPTY_GATEWAY,
    Backend,
    GatewayLimits,
    GatewayRoute,
    GatewayRouteKind,
    GatewayService,
    GatewayTenant,
    ModelEngineShape,
)
from springmux.control.gateway_documents import normalize_host
from springmux.control.gateway_section import GatewaySection
from springmux.control.state import ControlState
from springmux.control.state_snapshot import UnreadableSnapshotError, decode_snapshot, encode_snapshot
from springmux.vocabulary.names import OrderId, RouteName, ServiceName, TenantName
from tests.unit.control.gateway_support import change, patch, read_back, whole, with_gateway
from tests.unit.control.support import Log, put_tenant


def route(name: str, path_prefix: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "host": "new.example", "path_prefix": path_prefix, "service": "text", **fields}


def error_paths(result: CommandResult) -> list[str]:
    return [error.path for error in result.errors]


def test_without_a_configuration_there_is_neither_document_nor_version() -> None:
    assert Log().state.gateway_document() is None
    assert Log().state.view().gateway is EMPTY_GATEWAY


def test_a_whole_document_is_parsed_with_defaults_for_missing_fields() -> None:
    gateway = with_gateway().state.view().gateway
    assert gateway.version == 1
    assert gateway.routes == (
        GatewayRoute(
            name=RouteName("draft"),
            host="api.example",
            path_prefix="/draft/",
            kind=GatewayRouteKind.STREAM,
            backends=(Backend(ServiceName("text"), 1.0),),
            timeout_ms=91668.0,
            target_ms=260000.0,
            gap_target_ms=80.0,
            priority=2,
            max_attempts=3,
            sticky=True,
            resumable=True,
        ),
        GatewayRoute(
            name=RouteName("pages"),
            host="www.example",
            path_prefix="/",
            kind=GatewayRouteKind.UNSAFE,
            backends=(Backend(ServiceName("pages"), 9.0), Backend(ServiceName("text"), 0.5)),
            public=True,
        ),
    )
    text, pages = ServiceName("text"), ServiceName("pages")
    assert gateway.services == {
        text: GatewayService(text, engine=ModelEngineShape(8, 9000, 1)),
        pages: GatewayService(pages, "/ok", 7),
    }
    acme, other = TenantName("acme"), TenantName("other")
    assert gateway.tenants == {
        acme: GatewayTenant(acme, ("k1", "k2", "k1"), counts_tokens=True, rate_per_s=5.0, burst=9.0),
        other: GatewayTenant(other, ("k3",), priority=1, uncounted_tokens=40.0),
    }
    assert gateway.key_tenants == {"k1": acme, "k2": acme, "k3": other}
    assert gateway.limits == GatewayLimits(max_body_bytes=1000, header_timeout_ms=250.5)


@pytest.mark.parametrize("left_out", [(), ("tenants",), ("limits",), ("tenants", "limits")])
def test_a_whole_document_reads_back_as_it_was_put(left_out: tuple[str, ...]) -> None:
    document = whole(7, unknown={"a": [1, 2.5, None]}, **dict.fromkeys(left_out))
    log = Log()
    assert log.run(change(0, document)).version == 7
    assert read_back(log) == document


def test_numbers_read_back_with_the_type_that_was_put() -> None:
    draft = read_back(with_gateway())["routes"][0]
    assert (repr(draft["timeout_ms"]), repr(draft["target_ms"])) == ("91668", "260000.0")


def test_a_whole_document_replaces_everything() -> None:
    log = with_gateway()
    small = {"version": 2, "routes": [], "services": []}
    assert log.outcome(change(1, small)) is Outcome.ACCEPTED
    assert read_back(log) == small
    gateway = log.state.view().gateway
    assert (gateway.tenants, gateway.limits, gateway.key_tenants) == ({}, GatewayLimits(), {})


def test_a_partial_change_replaces_in_place_appends_and_removes() -> None:
    log = with_gateway()
    renewed = {**whole()["routes"][0], "timeout_ms": 5}
    added = route("added", "/added/", protocol="h1")
    tenant = {"name": "third", "api_keys": ["k3"]}
    result = log.run(
        patch(
            1,
            upsert={"routes": [added, renewed], "tenants": [tenant]},
            remove={"routes": ["pages", "never there"], "services": ["pages"], "tenants": ["other"]},
        )
    )
    assert (result.outcome, result.version) == (Outcome.ACCEPTED, 2)
    expected = whole(2, routes=[renewed, added])
    expected["services"] = expected["services"][:1]
    expected["tenants"] = [expected["tenants"][0], tenant]
    assert read_back(log) == expected
    gateway = log.state.view().gateway
    assert [(found.name, found.timeout_ms) for found in gateway.routes] == [
        ("draft", 5.0),
        ("added", 30_000.0),
    ]
    assert gateway.key_tenants["k3"] == "third"


@pytest.mark.parametrize("holder", ["top", "upsert"])
def test_a_partial_change_replaces_limits_as_a_whole(holder: str) -> None:
    log = with_gateway()
    limits = {"limits": {"max_header_bytes": 99}}
    members: dict[str, Any] = limits if holder == "top" else {"upsert": limits}
    assert log.outcome(patch(1, **members)) is Outcome.ACCEPTED
    assert read_back(log) == whole(2, **limits)
    assert log.state.view().gateway.limits == GatewayLimits(max_header_bytes=99)


def test_a_partial_change_may_be_the_first_and_adds_only_the_lists_it_names() -> None:
    log = Log()
    services = [{"name": "text"}]
    assert log.outcome(patch(0, upsert={"services": services}, remove={"tenants": ["x"]})) is Outcome.ACCEPTED
    assert read_back(log) == {"version": 1, "routes": [], "services": services}


def test_a_service_may_be_removed_with_its_routes_and_a_path_may_move_to_another_route() -> None:
    log = with_gateway()
    moved = {**whole()["routes"][1], "name": "site", "backends": None, "service": "text"}
    result = log.run(
        patch(1, upsert={"routes": [moved]}, remove={"routes": ["pages"], "services": ["pages"]})
    )
    assert result.outcome is Outcome.ACCEPTED, result.errors


def test_of_two_changes_on_the_same_base_exactly_one_is_accepted() -> None:
    log = with_gateway()
    first, second = patch(1, remove={"tenants": ["other"]}), change(1, whole(5))
    assert log.outcome(first) is Outcome.ACCEPTED
    lost = log.run(second)
    assert (lost.outcome, lost.winner) == (Outcome.CONFLICT, {"version": 2})
    assert log.state.view().gateway.version == 2


@pytest.mark.parametrize("base_version", [0, 2, -1])
def test_another_base_version_is_a_conflict_even_if_the_change_is_invalid(base_version: int) -> None:
    log = with_gateway()
    wrong = whole(1, services=[])
    assert log.outcome(change(base_version, wrong)) is Outcome.CONFLICT


def test_a_change_that_cannot_be_parsed_is_invalid_on_any_base_version() -> None:
    log = with_gateway()
    assert log.outcome(change(0, b"{")) is Outcome.INVALID
    assert log.outcome(change(0, {"version": 9, "routes": [], "services": {}})) is Outcome.INVALID


@pytest.mark.parametrize(
    "document",
    [b"", b"[]", b"null", b'{"version": 2', b"\xff", b'{"a":' * 40 + b"1" + b"}" * 40, b'{"version": NaN}'],
)
@pytest.mark.parametrize("partial", [False, True])
def test_a_document_that_is_no_json_object_is_invalid(document: bytes, partial: bool) -> None:
    assert with_gateway().run(change(1, document, partial)).errors[0].path == ""


@pytest.mark.parametrize("version", [1, 0, -3, 2.0, "2", True, None, 2**63])
def test_a_version_must_be_an_integer_above_the_current_one(version: Any) -> None:
    log = with_gateway()
    for partial in (False, True):
        document = {"version": version} if partial else {**whole(), "version": version}
        result = log.run(change(1, document, partial))
        assert (result.outcome, error_paths(result)) == (Outcome.INVALID, ["version"])


WRONG_ROUTE_FIELDS: list[tuple[str, Any, str]] = [
    ("name", "", "0.name"),
    ("name", 5, "0.name"),
    ("host", None, "draft.host"),
    ("host", "", "draft.host"),
    ("path_prefix", "draft/", "draft.path_prefix"),
    ("path_prefix", "/draft", "draft.path_prefix"),
    ("path_prefix", "/draft/\n", "draft.path_prefix"),
    ("path_prefix", "", "draft.path_prefix"),
    ("kind", "sometimes", "draft.kind"),
    ("kind", 1, "draft.kind"),
    ("timeout_ms", 0, "draft.timeout_ms"),
    ("timeout_ms", -1.5, "draft.timeout_ms"),
    ("timeout_ms", "30", "draft.timeout_ms"),
    ("timeout_ms", 10**400, "draft.timeout_ms"),
    ("target_ms", -1, "draft.target_ms"),
    ("gap_target_ms", -1, "draft.gap_target_ms"),
    ("priority", 0.5, "draft.priority"),
    ("max_attempts", 0, "draft.max_attempts"),
    ("max_attempts", True, "draft.max_attempts"),
    ("public", 1, "draft.public"),
    ("service", "nothing", "draft.service"),
    ("service", None, "draft.service"),
    ("backends", [{"service": "text", "weight": 1}], "draft.service"),
]


@pytest.mark.parametrize(("field", "value", "path"), WRONG_ROUTE_FIELDS)
def test_the_error_names_an_invalid_field_of_a_route(field: str, value: Any, path: str) -> None:
    document = whole(2)
    document["routes"][0][field] = value
    log = with_gateway()
    before = log.state.gateway_document()
    result = log.run(change(1, document))
    assert (result.outcome, error_paths(result)) == (Outcome.INVALID, [f"routes.{path}"])
    assert log.state.gateway_document() == before


@pytest.mark.parametrize(
    ("backends", "path"),
    [
        ([], "backends"),
        ([{"service": "text", "weight": 0}, {"service": "pages", "weight": 0.0}], "backends"),
        ([{"service": "text", "weight": 1e308}, {"service": "pages", "weight": 1e308}], "backends"),
        ([{"service": "text", "weight": 3}, {"service": "pages", "weight": -1}], "backends.1.weight"),
        ([{"service": "text"}], "backends.0"),
        ([{"service": "text", "weight": 1}, {"service": "nothing", "weight": 0}], "backends.1.service"),
        ("text", "backends"),
    ],
)
def test_the_error_names_invalid_weights_and_back_ends(backends: Any, path: str) -> None:
    document = whole(2)
    document["routes"][1]["backends"] = backends
    assert error_paths(with_gateway().run(change(1, document))) == [f"routes.pages.{path}"]


WRONG_ITEMS: list[tuple[str, Any, str]] = [
    ("services", [{"name": "text", "max_connections": 0}], "text.max_connections"),
    ("services", [{"name": "text", "engine": {"slots": "8"}}], "text.engine.slots"),
    ("services", [{"health_path": "/ok"}], "0"),
    ("services", ["text"], "0"),
    ("tenants", [{"name": "acme", "api_keys": ["a", 5]}], "acme.api_keys.1"),
    ("tenants", [{"name": "acme", "api_keys": [""]}], "acme.api_keys.0"),
    ("tenants", [{"name": "acme", "rate_per_s": -1}], "acme.rate_per_s"),
    ("tenants", [{"name": "acme", "burst": -0.1}], "acme.burst"),
    ("tenants", [{"name": "acme", "uncounted_tokens": -1}], "acme.uncounted_tokens"),
    ("tenants", [{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["k"]}], "b.api_keys.0"),
    ("tenants", [{"name": "a"}, {"name": "b"}, {"name": "a"}], "a.name"),
    ("services", [{"name": "text"}, {"name": "pages"}, {"name": "text"}], "text.name"),
    ("routes", [route("a", "/a/"), route("a", "/b/")], "a.name"),
    ("routes", [route("a", "/a/"), route("b", "/a/", host="NEW.example:80")], "b.path_prefix"),
]


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize(("section", "items", "path"), WRONG_ITEMS)
def test_the_error_names_an_invalid_item_in_whole_and_partial_changes(
    section: str, items: Any, path: str, partial: bool
) -> None:
    log = with_gateway(tenants=[])
    document = {"version": 2, "upsert": {section: items}} if partial else whole(2, **{section: items})
    (found,) = error_paths(log.run(change(1, document, partial)))
    assert found.removeprefix("upsert.") == f"{section}.{path}"


@pytest.mark.parametrize("member", ["routes", "services", "tenants", "limits"])
@pytest.mark.parametrize("value", [5, "text"])
def test_the_error_names_a_member_of_a_wrong_type(member: str, value: Any) -> None:
    assert member in error_paths(with_gateway().run(change(1, whole(2, **{member: value}))))
    assert error_paths(with_gateway().run(patch(1, upsert={member: value}))) == [f"upsert.{member}"]


@pytest.mark.parametrize("member", ["routes", "services"])
def test_a_whole_document_must_have_routes_and_services(member: str) -> None:
    assert member in error_paths(with_gateway().run(change(1, whole(2, **{member: None}))))


@pytest.mark.parametrize(
    ("members", "path"),
    [
        ({"upsert": []}, "upsert"),
        ({"remove": "draft"}, "remove"),
        ({"remove": {"routes": "draft"}}, "remove.routes"),
        ({"remove": {"routes": [5]}}, "remove.routes"),
        ({"remove": {"limits": []}}, "remove.limits"),
        ({"upsert": {"route": []}}, "upsert.route"),
        ({"routes": []}, "routes"),
        ({"limits": {"max_body_bytes": 0}}, "limits.max_body_bytes"),
        ({"remove": {"services": ["text"]}}, "routes.draft.service"),
    ],
)
def test_the_error_names_the_invalid_member_of_a_partial_change(members: dict[str, Any], path: str) -> None:
    result = with_gateway().run(patch(1, **members))
    assert (result.outcome, result.errors[0].path) == (Outcome.INVALID, path)


def test_the_error_for_a_key_of_two_tenants_does_not_contain_the_key() -> None:
    tenants = [{"name": "a", "api_keys": ["secret-7"]}, {"name": "b", "api_keys": ["secret-7"]}]
    result = Log().run(change(0, whole(1, tenants=tenants)))
    assert result.outcome is Outcome.INVALID
    assert "secret-7" not in result.message + str(result.errors)


def test_a_number_beyond_the_range_of_floats_is_invalid() -> None:
    document = json.dumps(whole(2)).replace("91668", "1e999").encode()
    assert with_gateway().outcome(change(1, document)) is Outcome.INVALID


def test_errors_are_bounded_in_number() -> None:
    routes = [route(f"r{number}", f"/{number}/", service="gone") for number in range(1200)]
    assert len(Log().run(change(0, whole(1, routes=routes))).errors) == 1001


def test_a_document_beyond_the_limit_is_invalid_also_after_partial_changes() -> None:
    log = Log(ControlState(max_document_bytes=400))
    assert log.outcome(change(0, {"version": 1, "routes": [], "services": []})) is Outcome.ACCEPTED
    for number in range(1, 3):
        services = [{"name": f"s{number}", "note": "x" * 100}]
        assert log.outcome(patch(number, upsert={"services": services})) is Outcome.ACCEPTED
    large = patch(3, upsert={"services": [{"name": "s3", "note": "x" * 100}]})
    assert "limit is 400" in log.run(large).message
    assert "limit is 400" in log.run(change(3, b" " * 401)).message


@pytest.mark.parametrize(
    ("host", "expected"), [("A.B:80", "a.b"), ("a", "a"), ("[::1]:80", "[::1]"), ("[FE::1]", "[fe::1]")]
)
def test_hosts_compare_in_lower_case_without_port(host: str, expected: str) -> None:
    assert normalize_host(host) == expected


def test_a_resent_change_gets_its_first_result_after_later_changes_and_a_snapshot() -> None:
    log = with_gateway()
    accepted_change = patch(1, remove={"tenants": ["other"]})
    first = log.run(accepted_change)
    assert log.outcome(patch(2, remove={"tenants": ["acme"]})) is Outcome.ACCEPTED
    assert log.run(accepted_change) == first
    restored = Log(ControlState())
    restored.state.restore(log.state.snapshot())
    restored.index = log.index
    assert restored.run(accepted_change) == first
    resent_by_another = change(1, accepted_change.document, partial=True, issued_by="bob")
    assert restored.state.recall(encode_command(resent_by_another)) == first
    assert read_back(restored) == read_back(log)
    assert restored.state.view().gateway.version == 3


def test_a_rejected_change_is_decided_again_when_it_is_resent() -> None:
    log = with_gateway(tenants=[])
    early = change(2, whole(3))
    assert log.outcome(early) is Outcome.CONFLICT
    assert log.state.recall(encode_command(early)) is None
    assert log.outcome(change(1, whole(2))) is Outcome.ACCEPTED
    assert log.outcome(early) is Outcome.ACCEPTED


def test_order_ids_differ_by_base_kind_and_document() -> None:
    ids = {
        change(base, data, partial).order
        for base in (1, 11)
        for data in (b"", b"1")
        for partial in (False, True)
    }
    assert len(ids) == 8
    assert change(1, b"x").order == change(1, b"x", issued_by="bob").order


def test_a_snapshot_without_a_gateway_document_still_decodes() -> None:
    log = Log()
    log.run(put_tenant("t"))
    snapshot = decode_snapshot(log.state.snapshot())
    assert snapshot.gateway_document == b""
    restored = with_gateway().state
    restored.restore(encode_snapshot(snapshot))
    assert restored.gateway_document() is None
    assert restored.view().gateway is EMPTY_GATEWAY


def test_a_snapshot_with_an_invalid_gateway_document_changes_nothing() -> None:
    log = with_gateway()
    before = log.state.snapshot()
    broken = before.replace(b'"path_prefix"', b'"path_prefax"')
    with pytest.raises(UnreadableSnapshotError):
        log.state.restore(broken)
    assert log.state.snapshot() == before


def test_a_view_keeps_its_gateway_object_until_a_change_is_accepted() -> None:
    log = with_gateway()
    earlier_gateway = log.state.view().gateway
    log.run(put_tenant("t"))
    log.run(change(7, whole(8)))
    assert log.state.view().gateway is earlier_gateway
    log.run(patch(1, remove={"tenants": ["other"]}))
    assert set(earlier_gateway.tenants) == {"acme", "other"}
    assert set(log.state.view().gateway.tenants) == {"acme"}


def test_a_change_parsed_in_advance_is_used_whatever_the_base_version() -> None:
    log = with_gateway()
    late = change(2, {"version": 9, "remove": {"tenants": ["acme"]}}, partial=True)
    as_whole = change(2, late.document)
    log.state.prepare(encode_command(late))
    log.state.prepare(encode_command(change(0, b"{")))
    assert log.outcome(as_whole) is Outcome.INVALID
    log.run(patch(1, remove={"tenants": ["other"]}))
    assert log.outcome(late) is Outcome.ACCEPTED
    assert read_back(log)["tenants"] == []


def test_an_unchanged_item_is_not_parsed_again_by_a_partial_change() -> None:
    log = with_gateway()
    before = log.state.view().gateway.routes
    log.run(patch(1, upsert={"routes": [route("added", "/added/")]}))
    after = log.state.view().gateway.routes
    assert [now is then for now, then in zip(after, before, strict=False)] == [True, True]


names = st.sampled_from(["a", "b", "c", "d"])
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=2), inner, max_size=2),
    max_leaves=4,
)
unknown_fields = st.dictionaries(st.text(max_size=3).map(lambda name: f"x-{name}"), json_values, max_size=2)
numbers = st.integers(1, 10**6) | st.floats(0.5, 1e6)


def items(**fields: Any) -> st.SearchStrategy[list[dict[str, Any]]]:
    item = st.builds(
        lambda known, unknown: {**known, **unknown}, st.fixed_dictionaries(fields), unknown_fields
    )
    return st.lists(item, max_size=4, unique_by=lambda found: found["name"])


list_strategies = {
    "routes": items(
        name=names,
        host=st.sampled_from(["h1", "H1:80", "h2"]),
        path_prefix=st.sampled_from(["/", "/a/", "/b/"]),
        timeout_ms=numbers,
        service=names,
    ),
    "services": items(name=names, max_connections=st.integers(1, 9)),
    "tenants": items(name=names, api_keys=st.lists(names, max_size=2), burst=numbers),
}
whole_documents = st.fixed_dictionaries(list_strategies)
partial_documents = st.fixed_dictionaries(
    {
        "upsert": st.fixed_dictionaries({}, optional=list_strategies),
        "remove": st.fixed_dictionaries(
            {}, optional={name: st.lists(names, max_size=2) for name in list_strategies}
        ),
    }
)


def merge_expected(base: dict[str, Any], document: dict[str, Any]) -> dict[str, Any]:
    """Return the expected result of a partial change, merged in the simplest way."""
    result = copy.deepcopy(base)
    result["version"] = document["version"]
    for section, put in document["upsert"].items():
        present = result.setdefault(section, [])
        for item in put:
            positions = [position for position, found in enumerate(present) if found["name"] == item["name"]]
            if positions:
                present[positions[0]] = item
            else:
                present.append(item)
    for section, removed_names in document["remove"].items():
        result[section] = [item for item in result[section] if item["name"] not in removed_names]
    return result


@settings(max_examples=120, derandomize=True, deadline=None)
@given(st.lists(whole_documents | partial_documents, max_size=6))
def test_accepted_changes_read_back_and_putting_the_whole_again_gives_the_same_configuration(
    documents: list[dict[str, Any]],
) -> None:
    log = Log()
    expected: dict[str, Any] = {"version": 1, "routes": [], "services": [], "tenants": []}
    assert log.outcome(change(0, expected)) is Outcome.ACCEPTED
    for document in documents:
        version = expected["version"]
        numbered = {"version": version + 1, **document}
        partial = "upsert" in document
        if log.outcome(change(version, numbered, partial)) is Outcome.ACCEPTED:
            expected = merge_expected(expected, numbered) if partial else numbered
        assert read_back(log) == expected
    again = GatewaySection()
    renumbered = ApplyGateway(
        order=OrderId("again"),
        base_version=0,
        document=json.dumps({**read_back(log), "version": 99}).encode(),
    )
    assert again.apply(renumbered).outcome is Outcome.ACCEPTED
    gateway = log.state.view().gateway
    reapplied = again.configuration
    assert (reapplied.routes, reapplied.services, reapplied.tenants) == (
        gateway.routes,
        gateway.services,
        gateway.tenants,
    )
    assert (reapplied.limits, reapplied.key_tenants, reapplied.version) == (
        gateway.limits,
        gateway.key_tenants,
        99,
    )
    assert list(reapplied.services) == list(gateway.services)
    restored = ControlState()
    restored.restore(log.state.snapshot())
    assert restored.snapshot() == log.state.snapshot()
    assert restored.view() == log.state.view()
