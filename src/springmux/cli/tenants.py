"""``springmux tenant`` and ``springmux key``."""

from __future__ import annotations

import hashlib
import secrets
from typing import Annotated, Any

import typer

from springmux.cli.admin_requests import fetch_document, path_segment, print_accepted, run_order, send_order
from springmux.cli.client import AdminClient
from springmux.cli.exit_codes import EPILOG
from springmux.cli.options import (
    DEFAULT_ADMIN,
    AdminOption,
    JsonOption,
    OperatorOption,
    OrderIdOption,
    OrderOptions,
)
from springmux.cli.output import print_document, print_json, print_table

KEY_BYTES = 32
"""Random bytes of a generated key; its 256 bits can't be guessed."""

tenant_application = typer.Typer(no_args_is_help=True, help="Tenants and their quotas.", epilog=EPILOG)
key_application = typer.Typer(no_args_is_help=True, help="Clients' keys.", epilog=EPILOG)


@tenant_application.command("put")
def put_tenant(
    tenant: str,
    tokens_per_s: Annotated[float, typer.Option(help="Fleet-wide quota in tokens per second.")],
    burst_tokens: Annotated[float, typer.Option(help="Tokens that a burst may use above the rate.")],
    weight: Annotated[
        float, typer.Option(help="Share of a fully loaded node relative to other tenants.")
    ] = 1.0,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Create or replace a tenant.

    Example: springmux tenant put school-12 --tokens-per-s 4000 --burst-tokens 8000
    """
    document = {"tokens_per_s": tokens_per_s, "burst_tokens": burst_tokens, "weight": weight}
    path = f"/v1/tenants/{path_segment(tenant)}"
    options = OrderOptions(admin, operator, order_id, as_json)
    run_order(options, "PUT", path, document, f"tenant {tenant}")


@tenant_application.command("remove")
def remove_tenant(
    tenant: str,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Remove a tenant and revoke its keys.

    Example: springmux tenant remove school-12
    """
    options = OrderOptions(admin, operator, order_id, as_json)
    path = f"/v1/tenants/{path_segment(tenant)}"
    run_order(options, "DELETE", path, None, f"removal of tenant {tenant}")


@tenant_application.command("list")
def list_tenants(admin: AdminOption = DEFAULT_ADMIN, as_json: JsonOption = False) -> None:
    """List tenants.

    Example: springmux tenant list
    """
    print_document(fetch_document(AdminClient(admin), "/v1/tenants", as_json), as_json, _print_tenants)


def _print_tenants(tenants: list[dict[str, Any]]) -> None:
    rows = [
        (tenant["name"], tenant["tokens_per_s"], tenant["burst_tokens"], tenant.get("weight", 1.0))
        for tenant in tenants
    ]
    print_table(("TENANT", "TOKENS/S", "BURST", "WEIGHT"), rows)


@key_application.command("put")
def put_key(
    key_id: Annotated[str, typer.Argument(help="Name of the key (not the key itself).")],
    tenant: Annotated[str, typer.Option(help="Tenant that the key belongs to.")],
    digest: Annotated[str, typer.Option(help="Hex SHA-256 of an existing key.")] = "",
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Register a key. Without --digest a random key is generated locally and shown once.

    Only the digest is sent to the node.

    Example: springmux key put school-12-a --tenant school-12
    """
    key = "" if digest else secrets.token_urlsafe(KEY_BYTES)
    digest = digest or hashlib.sha256(key.encode()).hexdigest()
    path = f"/v1/keys/{path_segment(key_id)}"
    document = {"tenant": tenant, "digest": digest}
    response = send_order(AdminClient(admin, operator), "PUT", path, document, as_json, order_id)
    if as_json:
        print_json({**(response.document or {}), **({"key": key} if key else {})})
        return
    print_accepted(response, f"key {key_id}", as_json)
    if key:
        typer.echo(f"the key, shown only now: {key}")


@key_application.command("revoke")
def revoke_key(
    key_id: str,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Revoke a key: its next requests are refused and its running streams end.

    Example: springmux key revoke school-12-a
    """
    options = OrderOptions(admin, operator, order_id, as_json)
    path = f"/v1/keys/{path_segment(key_id)}/revoke"
    run_order(options, "POST", path, None, f"revocation of key {key_id}")


@key_application.command("list")
def list_keys(admin: AdminOption = DEFAULT_ADMIN, as_json: JsonOption = False) -> None:
    """List keys, without their values.

    Example: springmux key list
    """
    print_document(fetch_document(AdminClient(admin), "/v1/keys", as_json), as_json, _print_keys)


def _print_keys(keys: list[dict[str, Any]]) -> None:
    rows = [(key["key"], key["tenant"], "revoked" if key.get("revoked") else "valid") for key in keys]
    print_table(("KEY", "TENANT", "STATE"), rows)
