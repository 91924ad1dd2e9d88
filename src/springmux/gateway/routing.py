"""Lookup of a request's route and tenant in the configuration."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from springmux.control.gateway_configuration import GatewayConfiguration, GatewayRoute, GatewayTenant


class RouteNotFoundError(Exception):
    """No route of the host has a prefix that matches the path (404)."""


class KeyRejectedError(Exception):
    """The route requires a key, and the request's key is missing or unknown (401)."""


class Admitted(msgspec.Struct, frozen=True):
    """A request's route and tenant. ``tenant`` is ``None`` on public routes without a known key."""

    route: GatewayRoute
    tenant: GatewayTenant | None

    @property
    def by_key(self) -> bool:
        """Whether the request was admitted because of its key."""
        return self.tenant is not None and not self.route.public


class RouteTable:
    """Lookup tables of one version of the configuration."""

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._routes = {(route.host, route.path_prefix): route for route in configuration.routes}

    def admit(self, host: str, path: str, key: str | None) -> Admitted:
        """Return the route and tenant of a request.

        :param host: value of the Host header, with or without a port.
        :param path: path without its query.
        :raises RouteNotFoundError: no route matches host and path.
        :raises KeyRejectedError: the route requires a valid key.
        """
        route = self._find(host, path)
        if route is None:
            raise RouteNotFoundError(path)
        tenant = self._tenant(key)
        if tenant is None and self.configuration.requires_key and not route.public:
            raise KeyRejectedError(route.name)
        return Admitted(route, tenant)

    def _find(self, host: str, path: str) -> GatewayRoute | None:
        """Return the route with the longest matching prefix; prefixes end with a slash."""
        host_name = _without_port(host)
        end = path.rfind("/") + 1
        while end > 0:
            found = self._routes.get((host_name, path[:end]))
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def _tenant(self, key: str | None) -> GatewayTenant | None:
        if key is None:
            return None
        name = self.configuration.key_tenants.get(key)
        tenants: Mapping[str, GatewayTenant] = self.configuration.tenants  # type: ignore[assignment]
        return tenants.get(name) if name is not None else None


def _without_port(host: str) -> str:
    lowered = host.strip().lower()
    if lowered.startswith("["):
        return lowered.partition("]")[0] + "]"
    return lowered.partition(":")[0]
