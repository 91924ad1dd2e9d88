"""Orders of operators as requests to the admin interface (docs/API.md)."""

from __future__ import annotations

import uuid

import msgspec


def new_order_id() -> str:
    """Return a new unique order id."""
    return uuid.uuid4().hex


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order: its id and its HTTP request. For ``race`` and ``expected`` see :class:`OrderRecord`."""

    order: str
    kind: str
    method: str
    path: str
    body: bytes = b""
    race: str = ""
    expected: int = 0


def put_configuration(version: int, document: bytes, race: str = "", expected: int = 0) -> Order:
    """Return the order that replaces the configuration."""
    return _configuration_order("put_configuration", "PUT", version, document, race, expected)


def patch_configuration(version: int, patch: bytes, race: str = "", expected: int = 0) -> Order:
    """Return the order that applies a JSON merge patch to the configuration (RFC 7396)."""
    return _configuration_order("patch_configuration", "PATCH", version, patch, race, expected)


def put_tenant(tenant: str, tokens_per_s: float, burst_tokens: float) -> Order:
    """Return the order that sets a tenant's quota."""
    body = msgspec.json.encode({"tokens_per_s": tokens_per_s, "burst_tokens": burst_tokens})
    return Order(
        order=new_order_id(), kind="put_tenant", method="PUT", path=f"/v1/tenants/{tenant}", body=body
    )


def put_key(key_id: str, tenant: str, key: str) -> Order:
    """Return the order that registers a key."""
    body = msgspec.json.encode({"tenant": tenant, "key": key})
    return Order(order=new_order_id(), kind="put_key", method="PUT", path=f"/v1/keys/{key_id}", body=body)


def revoke_key(key_id: str) -> Order:
    """Return the order that revokes a key."""
    return Order(
        order=new_order_id(), kind="revoke_key", method="POST", path=f"/v1/keys/{key_id}/revoke", body=b""
    )


def put_template(name: str, document: bytes) -> Order:
    """Return the order that stores a rollout template."""
    path = f"/v1/templates/{name}"
    return Order(order=new_order_id(), kind="put_template", method="PUT", path=path, body=document)


def promote(service: str, candidate: str, by_s: float) -> Order:
    """Return the order that starts a rollout with the standard template, to complete within ``by_s``."""
    parameters = {"service": service, "candidate": candidate, "by_s": by_s}
    return Order(
        order=new_order_id(),
        kind="promote",
        method="POST",
        path=f"/v1/rollouts/{service}/promote",
        body=msgspec.json.encode({"parameters": parameters}),
    )


def steer_rollout(service: str, action: str) -> Order:
    """Return the order that applies ``pause``, ``resume`` or ``abort`` to a rollout."""
    return Order(order=new_order_id(), kind=action, method="POST", path=f"/v1/rollouts/{service}/{action}")


def _configuration_order(
    kind: str, method: str, version: int, body: bytes, race: str, expected: int
) -> Order:
    path = f"/v1/configuration?version={version}"
    return Order(
        order=new_order_id(), kind=kind, method=method, path=path, body=body, race=race, expected=expected
    )
