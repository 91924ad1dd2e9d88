"""Configuration versions that a soak's operators submit, and the outcome of a request under each."""

from __future__ import annotations

import json
import random

import msgspec

HOST = "soak.example"
SERVICES = ("first", "second")
PROBE_REQUEST_ID = "probe"
"""Request id of the run's own requests and of misbehaving clients, which engines may run more than once."""
KEPT_ROUTES = 40
"""Number of newest numbered routes in a version; each version adds one."""
MOVING_PATH = "/moving/"
"""Path of the route whose service changes with each version."""
KEY_PERIOD = 3
"""The clients' key is replaced when the version number passes a multiple of this number."""
KEPT_KEYS = 2
FIRST_KEY = "key-1"
TENANT = "soak"
UNKNOWN_ROUTE, UNKNOWN_KEY = "404", "401"
ROUTE_TIMEOUT_MS = 6000


class Version(msgspec.Struct, frozen=True):
    """One configuration: routes by path, and keys."""

    number: int
    routes: dict[str, str]
    keys: tuple[str, ...]

    def outcome(self, path: str, key: str) -> str:
        """Return the service that serves a request, or the status that rejects it."""
        service = self.routes.get(path)
        if service is None:
            return UNKNOWN_ROUTE
        return service if key in self.keys else UNKNOWN_KEY

    def numbered_path(self) -> str:
        """Return the path of the route that this version added."""
        return numbered_path(self.number)


def numbered_path(number: int) -> str:
    """Return the path of the route that version ``number`` added."""
    return f"/{number}/"


def first_version() -> Version:
    """Return the version that the fleet starts with."""
    return Version(1, {MOVING_PATH: SERVICES[0], numbered_path(1): SERVICES[0]}, (FIRST_KEY,))


def next_version(base: Version, highest: int, source: random.Random) -> Version:
    """Return a version that may follow ``base``; its number is higher by a random step.

    :param highest: the highest number used so far, rejected versions included.
    """
    number = max(base.number, highest) + source.randint(1, 3)
    moved = SERVICES[1] if base.routes[MOVING_PATH] == SERVICES[0] else SERVICES[0]
    numbered = {path: service for path, service in base.routes.items() if path != MOVING_PATH}
    kept = dict(list(numbered.items())[-KEPT_ROUTES:])
    routes = {MOVING_PATH: moved, **kept, numbered_path(number): source.choice(SERVICES)}
    keys = base.keys
    if number // KEY_PERIOD != base.number // KEY_PERIOD:
        keys = (*base.keys, _key(number))[-KEPT_KEYS:]
    return Version(number, routes, keys)


def full_document(version: Version) -> bytes:
    """Return the full configuration as JSON."""
    return json.dumps(
        {
            "version": version.number,
            "routes": [_route(path, service) for path, service in version.routes.items()],
            "services": [{"name": name} for name in SERVICES],
            "tenants": [_tenant(version)],
        }
    ).encode()


def partial_document(base: Version, version: Version) -> bytes:
    """Return the difference from ``base`` to ``version`` as JSON, with items by name."""
    changed = [
        _route(path, service) for path, service in version.routes.items() if base.routes.get(path) != service
    ]
    removed = [_route_name(path) for path in base.routes if path not in version.routes]
    return json.dumps(
        {
            "version": version.number,
            "upsert": {"routes": changed, "tenants": [_tenant(version)]},
            "remove": {"routes": removed},
        }
    ).encode()


def _route(path: str, service: str) -> dict[str, object]:
    return {
        "name": _route_name(path),
        "host": HOST,
        "path_prefix": path,
        "kind": "unsafe",
        "service": service,
        "timeout_ms": ROUTE_TIMEOUT_MS,
        "target_ms": 500,
    }


def _route_name(path: str) -> str:
    return f"route-{path.strip('/')}"


def _tenant(version: Version) -> dict[str, object]:
    return {"name": TENANT, "api_keys": list(version.keys)}


def _key(number: int) -> str:
    return f"key-{number}"
