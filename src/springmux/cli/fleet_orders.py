"""``springmux engine``, ``springmux controller`` and ``springmux status``."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from springmux.cli.admin_requests import fetch_document, run_order, send_order
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
from springmux.cli.status_page import print_status

engine_application = typer.Typer(
    no_args_is_help=True, help="Engines (back ends) of the fleet.", epilog=EPILOG
)
controller_application = typer.Typer(
    no_args_is_help=True, help="The replicas of the control state.", epilog=EPILOG
)


@engine_application.command("list")
def list_engines(admin: AdminOption = DEFAULT_ADMIN, as_json: JsonOption = False) -> None:
    """List the engines that one node knows.

    Example: springmux engine list
    """
    document = fetch_document(AdminClient(admin), "/v1/engines", as_json)
    print_document(document, as_json, _print_engines)


def _print_engines(document: dict[str, Any]) -> None:
    records = [entry["record"] for entry in document["engines"]]
    rows = [
        (record["engine"], record["service"], record["version"], record["status"], record["address"])
        for record in records
    ]
    print_table(("ENGINE", "SERVICE", "VERSION", "STATUS", "ADDRESS"), rows)


@engine_application.command("drain")
def drain_engine(
    engine: str,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    as_json: JsonOption = False,
) -> None:
    """Send no new requests to an engine; running streams finish.

    Example: springmux engine drain text-3
    """
    client = AdminClient(admin, operator)
    send_order(client, "POST", "/v1/engines/drain", {"engine": engine}, as_json)
    # A node accepts an order for an engine that it doesn't know: another node may have just registered it.
    engines = fetch_document(client, "/v1/engines", as_json)["engines"]
    known = any(entry["record"]["engine"] == engine for entry in engines)
    if as_json:
        print_json({"outcome": "accepted", "engine": engine, "known": known})
        return
    typer.echo(f"drain of {engine}: accepted")
    if not known:
        typer.echo(
            f"warning: this node doesn't know the engine {engine}; see 'springmux engine list'", err=True
        )


@controller_application.command("transfer")
def transfer(
    target: Annotated[
        str, typer.Argument(help="Replica that becomes the leader; without it the most advanced one.")
    ] = "",
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Transfer leadership, for example before a controller's machine is replaced.

    Example: springmux controller transfer
    """
    document: dict[str, Any] = {"target": target} if target else {}
    options = OrderOptions(admin, operator, order_id, as_json)
    run_order(options, "POST", "/v1/controllers/transfer", document, "transfer of leadership")


@controller_application.command("remove")
def remove(
    replica: Annotated[str, typer.Argument(help="Replica id, as shown by 'springmux status'.")],
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Remove a replica that will not return.

    Example: springmux controller remove 0f3a9c
    """
    document = {"replica": replica}
    options = OrderOptions(admin, operator, order_id, as_json)
    run_order(options, "POST", "/v1/controllers/remove", document, f"removal of replica {replica}")


def status(admin: AdminOption = DEFAULT_ADMIN, as_json: JsonOption = False) -> None:
    """Show one node's view of itself and of the fleet; --json prints all of it.

    Example: springmux status --admin 10.0.0.5:7002
    """
    print_document(fetch_document(AdminClient(admin), "/v1/status", as_json), as_json, print_status)
