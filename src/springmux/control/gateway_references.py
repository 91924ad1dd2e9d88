"""What must hold between the items of a gateway configuration. Linear in their number."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from springmux.control.gateway_change import Entry
from springmux.control.gateway_configuration import GatewayRoute, GatewayTenant
from springmux.vocabulary.errors import FieldError
from springmux.vocabulary.names import RouteName, TenantName


def unknown_services(
    routes: Mapping[str, Entry[GatewayRoute]], services: Mapping[str, object]
) -> Iterator[FieldError]:
    """Yield an error for each back end that names no service."""
    for name, entry in routes.items():
        for number, backend in enumerate(entry.typed.backends):
            if backend.service not in services:
                member = f"backends.{number}.service" if "backends" in entry.raw else "service"
                message = f"there is no service {backend.service!r}"
                yield FieldError(f"routes.{name}.{member}", message)


def routes_alike(routes: Mapping[str, Entry[GatewayRoute]]) -> Iterator[FieldError]:
    """Yield an error for each route with the host and path prefix of one before it."""
    seen: dict[tuple[str, str], RouteName] = {}
    for name, entry in routes.items():
        route = entry.typed
        first = seen.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name:
            message = f"route {first!r} has the same host and path_prefix"
            yield FieldError(f"routes.{name}.path_prefix", message)


def shared_keys(
    tenants: Mapping[str, Entry[GatewayTenant]], key_tenants: Mapping[str, TenantName]
) -> Iterator[FieldError]:
    """Yield an error for each key of two tenants. The key itself isn't told."""
    for name, entry in tenants.items():
        for number, key in enumerate(entry.typed.api_keys):
            if key_tenants[key] != entry.typed.name:
                message = f"tenant {key_tenants[key]!r} has this key too"
                yield FieldError(f"tenants.{name}.api_keys.{number}", message)


def tenants_by_key(tenants: Mapping[str, Entry[GatewayTenant]]) -> dict[str, TenantName]:
    """Return whose each key is; the first tenant's, if two share it."""
    owners: dict[str, TenantName] = {}
    for entry in tenants.values():
        for key in entry.typed.api_keys:
            owners.setdefault(key, entry.typed.name)
    return owners
