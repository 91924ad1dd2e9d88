"""``springmux engine``, ``springmux controller`` and ``springmux status``."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from springmux.cli.admin_requests import read, run_order, send_order
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

engine_application = typer.Typer(no_args_is_help=True, help="Back ends.", epilog=EPILOG)
controller_application = typer.Typer(
    no_args_is_help=True, help="The replicas of the control state.", epilog=EPILOG
)


@engine_application.command("list")
def list_engines(admin: AdminOption = DEFAULT_ADMIN, json_output: JsonOption = False) -> None:
    """List back ends as one node knows them.

    Example: springmux engine list
    """
    found = read(AdminClient(admin), "/v1/engines", json_output)
    print_document(found, json_output, _print_engines)


def _print_engines(found: dict[str, Any]) -> None:
    records = [entry["record"] for entry in found["engines"]]
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
    json_output: JsonOption = False,
) -> None:
    """Send nothing new to a back end; running streams finish.

    Example: springmux engine drain text-3
    """
    client = AdminClient(admin, operator)
    send_order(client, "POST", "/v1/engines/drain", {"engine": engine}, json_output)
    # A node accepts the order for an unknown engine: it may have registered at another node just now.
    listed = read(client, "/v1/engines", json_output)["engines"]
    known = any(entry["record"]["engine"] == engine for entry in listed)
    if json_output:
        print_json({"outcome": "accepted", "engine": engine, "known": known})
        return
    typer.echo(f"drain of {engine}: accepted")
    if not known:
        typer.echo(f"warning: this node knows no engine {engine}; see 'springmux engine list'", err=True)


@controller_application.command("transfer")
def transfer(
    target: Annotated[str, typer.Argument(help="Replica that is to lead; without it the newest.")] = "",
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Move leadership, before a machine that serves control is swapped.

    Example: springmux controller transfer
    """
    document: dict[str, Any] = {"target": target} if target else {}
    options = OrderOptions(admin, operator, order_id, json_output)
    run_order(options, "POST", "/v1/controllers/transfer", document, "transfer of leadership")


@controller_application.command("remove")
def remove(
    replica: Annotated[str, typer.Argument(help="Replica id, from springmux status.")],
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Remove a replica that won't come back.

    Example: springmux controller remove 0f3a9c
    """
    document = {"replica": replica}
    options = OrderOptions(admin, operator, order_id, json_output)
    run_order(options, "POST", "/v1/controllers/remove", document, f"removal of replica {replica}")


def status(admin: AdminOption = DEFAULT_ADMIN, json_output: JsonOption = False) -> None:
    """Show one node's view of itself and of the fleet; --json has every figure.

    Example: springmux status --admin 10.0.0.5:7002
    """
    print_document(read(AdminClient(admin), "/v1/status", json_output), json_output, print_status)
