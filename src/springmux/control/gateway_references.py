"""Consistency checks between the items of a gateway configuration. They take time linear in their number."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from springmux.control.gateway_change import GatewayItem
from springmux.control.gateway_configuration import GatewayRoute, GatewayTenant
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import RouteName, TenantName


def unknown_services(
    routes: Mapping[str, GatewayItem[GatewayRoute]], services: Mapping[str, object]
) -> Iterator[FieldError]:
    """Yield an error for each back end whose service doesn't exist."""
    for name, item in routes.items():
        for number, backend in enumerate(item.typed.backends):
            if backend.service not in services:
                member = f"backends.{number}.service" if "backends" in item.raw else "service"
                message = f"there is no service {backend.service!r}"
                yield FieldError(f"routes.{name}.{member}", message)


def duplicate_routes(routes: Mapping[str, GatewayItem[GatewayRoute]]) -> Iterator[FieldError]:
    """Yield an error for each route with the host and path prefix of an earlier one."""
    seen: dict[tuple[str, str], RouteName] = {}
    for name, item in routes.items():
        route = item.typed
        first = seen.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name:
            message = f"route {first!r} has the same host and path_prefix"
            yield FieldError(f"routes.{name}.path_prefix", message)


def duplicate_keys(
    tenants: Mapping[str, GatewayItem[GatewayTenant]], key_tenants: Mapping[str, TenantName]
) -> Iterator[FieldError]:
    """Yield an error for each key that two tenants share. The error doesn't contain the key."""
    for name, item in tenants.items():
        for number, key in enumerate(item.typed.api_keys):
            if key_tenants[key] != item.typed.name:
                message = f"tenant {key_tenants[key]!r} has this key too"
                yield FieldError(f"tenants.{name}.api_keys.{number}", message)


def tenants_by_key(tenants: Mapping[str, GatewayItem[GatewayTenant]]) -> dict[str, TenantName]:
    """Map each key to its tenant, or to the first one if two tenants share it."""
    owners: dict[str, TenantName] = {}
    for item in tenants.values():
        for key in item.typed.api_keys:
            owners.setdefault(key, item.typed.name)
    return owners
