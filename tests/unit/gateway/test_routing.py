"""Lookup of routes by host and longest prefix, of tenants by key, and parsing of prompt headers."""

from __future__ import annotations

import pytest

from springmux.control.gateway_configuration import (
    Backend,
    GatewayConfiguration,
    GatewayRoute,
    GatewayRouteKind,
    GatewayTenant,
)
from springmux.gateway.prompt_headers import engine_priority, parse_prompt_metadata, quota_tokens
from springmux.gateway.routing import KeyRejectedError, RouteNotFoundError, RouteTable
from springmux.vocabulary.names import RouteName, ServiceName, TenantName


def _route(name: str, host: str, prefix: str, public: bool = False, priority: int = 0) -> GatewayRoute:
    return GatewayRoute(
        name=RouteName(name),
        host=host,
        path_prefix=prefix,
        kind=GatewayRouteKind.SAFE,
        backends=(Backend(ServiceName("s"), 1.0),),
        public=public,
        priority=priority,
    )


TENANT = GatewayTenant(
    TenantName("north"),
    api_keys=("k1",),
    priority=1,
    counts_tokens=True,
    uncounted_tokens=200,
    rate_per_s=10,
    burst=5,
)
TABLE = RouteTable(
    GatewayConfiguration(
        version=1,
        routes=(
            _route("root", "a.example", "/"),
            _route("long", "a.example", "/x/y/"),
            _route("short", "a.example", "/x/"),
            _route("open", "b.example", "/o/", public=True),
        ),
        tenants={TENANT.name: TENANT},
        key_tenants={"k1": TENANT.name},
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/y/z", "long"),
        ("a.example", "/x/y/", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x/yz/q", "short"),
        ("A.Example:8080", "/other", "root"),
    ],
)
def test_the_route_with_the_longest_prefix_of_the_host_is_found(host: str, path: str, name: str) -> None:
    """Given several prefixes of a path, the longest one's route is found."""
    assert TABLE.admit(host, path, "k1").route.name == name


@pytest.mark.parametrize(("host", "path"), [("c.example", "/x/"), ("b.example", "/x/"), ("b.example", "/o")])
def test_a_request_without_a_matching_route_is_rejected(host: str, path: str) -> None:
    """Given another host, or a path that matches no prefix, there is no route."""
    with pytest.raises(RouteNotFoundError):
        TABLE.admit(host, path, "k1")


def test_keys_are_required_except_on_public_routes() -> None:
    """Given tenants, a missing or unknown key is rejected, except on a public route."""
    for key in (None, "k2"):
        with pytest.raises(KeyRejectedError):
            TABLE.admit("a.example", "/", key)
        assert TABLE.admit("b.example", "/o/", key).tenant is None
    assert TABLE.admit("b.example", "/o/", "k1").tenant is TENANT


def test_no_keys_are_required_without_tenants() -> None:
    """Given no tenants, requests need no key."""
    table = RouteTable(GatewayConfiguration(version=1, routes=(_route("r", "a.example", "/"),)))
    assert table.admit("a.example", "/p", None).tenant is None


def test_prompt_metadata_is_parsed_from_the_headers() -> None:
    """Given both headers, the parts keep their order, and malformed parts are ignored."""
    prompt = parse_prompt_metadata(b"5c1e:800,91bd:410, e440:250", b"1460,80")
    assert prompt.prefix == (("5c1e", 800), ("91bd", 410), ("e440", 250))
    assert (prompt.prompt_tokens, prompt.output_tokens) == (1460, 80)
    assert parse_prompt_metadata(b"a:5,b:x,:3", None).prompt_tokens == 5
    assert parse_prompt_metadata(None, b"nonsense").prompt_tokens == 0


def test_quota_units_are_the_stated_tokens_or_the_tenants_default() -> None:
    """Stated tokens are summed, else the default applies; a tenant that counts requests uses one unit."""
    assert quota_tokens(TENANT, b"1460,80") == 1540
    assert quota_tokens(TENANT, None) == 200
    assert quota_tokens(GatewayTenant(TenantName("t")), b"1460,80") == 1


def test_a_tenants_priority_takes_precedence_over_the_routes() -> None:
    """Given priorities of both, the least urgent route of a more urgent tenant still comes first."""
    urgent = GatewayTenant(TenantName("u"), priority=0)
    least_urgent_route = _route("r", "a", "/", priority=2)
    assert engine_priority(least_urgent_route, urgent) < engine_priority(_route("r", "a", "/"), TENANT)
    assert engine_priority(_route("r", "a", "/", priority=50), TENANT) == 9
