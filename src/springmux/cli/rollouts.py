"""``springmux rollout``: templates, plans, orders, status and report."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from springmux.cli.admin_requests import fetch_document, path_segment, run_order, send_order
from springmux.cli.client import AdminClient
from springmux.cli.exit_codes import EPILOG, ExitCode
from springmux.cli.input_files import read_json_file
from springmux.cli.options import (
    DEFAULT_ADMIN,
    AdminOption,
    JsonOption,
    OperatorOption,
    OrderIdOption,
    OrderOptions,
    parse_parameters,
)
from springmux.cli.output import fail, print_document, print_json
from springmux.cli.rollout_pages import print_plan, print_rollout, print_rollouts, print_templates, record_of

application = typer.Typer(no_args_is_help=True, help="Rollouts of engine versions.", epilog=EPILOG)

WATCH_PERIOD_S = 1.0
TERMINAL_PHASES = ("done", "aborted")

ServiceArgument = Annotated[str, typer.Argument(help="Service whose version changes.")]
TemplateOption = Annotated[str, typer.Option("--template", help="Name of a stored template.")]
SetOption = Annotated[
    list[str],
    typer.Option(
        "--set", help="Parameter NAME=VALUE; repeat the option for several. Values are JSON or text."
    ),
]


@application.command()
def template(
    name: Annotated[
        str, typer.Argument(help="Name of the template to store; without it all templates are listed.")
    ] = "",
    file: Annotated[Path | None, typer.Option("--file", help="JSON file, or - for standard input.")] = None,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Store a template, or list the stored templates.

    Example: springmux rollout template careful --file careful.json
    """
    options = OrderOptions(admin, operator, order_id, as_json)
    if file is not None and name:
        document = read_json_file(file, as_json)
        run_order(options, "PUT", f"/v1/templates/{path_segment(name)}", document, f"template {name}")
        return
    if file is not None or name:
        fail(
            "to store a template, give a name and --file; to list templates, give neither",
            ExitCode.INVALID,
            as_json,
        )
    print_document(fetch_document(options.client(), "/v1/templates", as_json), as_json, print_templates)


def _plan_body(template_name: str, pairs: list[str], service: str, as_json: bool) -> dict[str, Any]:
    parameters = parse_parameters(pairs, as_json)
    if service:
        parameters.setdefault("service", service)
    body: dict[str, Any] = {"parameters": parameters}
    if template_name:
        body["template"] = template_name
    return body


@application.command()
def plan(
    service: ServiceArgument,
    template_name: TemplateOption = "",
    parameters: SetOption = [],  # noqa: B006 - typer reads defaults, never changes them
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """Show a plan's schedule and bounds without starting the rollout.

    Example: springmux rollout plan text --template careful --set candidate=v2 --set by_s=60
    """
    body = _plan_body(template_name, parameters, service, as_json)
    # A preview changes nothing but is a POST request, so it is sent with a harmless order id.
    response = send_order(AdminClient(admin), "POST", "/v1/rollouts/preview", body, as_json)
    print_document(response.document, as_json, print_plan)


@application.command()
def promote(
    service: ServiceArgument,
    template_name: TemplateOption = "",
    parameters: SetOption = [],  # noqa: B006
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Start a rollout (alias "go").

    Example: springmux rollout promote text --template careful --set candidate=v2
    """
    body = _plan_body(template_name, parameters, service, as_json)
    options = OrderOptions(admin, operator, order_id, as_json)
    path = f"/v1/rollouts/{path_segment(service)}/promote"
    run_order(options, "POST", path, body, f"rollout of {service}")


def _send_action(action: str, service: str, options: OrderOptions) -> None:
    """Send an order without a document: pause, resume or abort."""
    run_order(
        options, "POST", f"/v1/rollouts/{path_segment(service)}/{action}", None, f"{action} of {service}"
    )


@application.command()
def pause(
    service: ServiceArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Send no more prompts to the candidate and stop the rollout's clock (alias "hold").

    Example: springmux rollout pause text
    """
    _send_action("pause", service, OrderOptions(admin, operator, order_id, as_json))


@application.command()
def resume(
    service: ServiceArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Resume a paused rollout.

    Example: springmux rollout resume text
    """
    _send_action("resume", service, OrderOptions(admin, operator, order_id, as_json))


@application.command()
def abort(
    service: ServiceArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Send every prompt to the stable version again and end the rollout (alias "back").

    Example: springmux rollout abort text
    """
    _send_action("abort", service, OrderOptions(admin, operator, order_id, as_json))


application.command("go", help="Alias of promote.")(promote)
application.command("hold", help="Alias of pause.")(pause)
application.command("back", help="Alias of abort.")(abort)


@application.command()
def status(
    service: Annotated[str, typer.Argument(help="Service to show; without it all are listed.")] = "",
    watch: Annotated[
        bool, typer.Option("--watch", help="Repeat until the rollout is done or aborted.")
    ] = False,
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """Show rollouts. With --watch the exit code is 0 for done and 1 for aborted.

    Example: springmux rollout status text --watch
    """
    client = AdminClient(admin)
    if not service:
        if watch:
            fail("--watch needs a service", ExitCode.INVALID, as_json)
        print_document(fetch_document(client, "/v1/rollouts", as_json), as_json, print_rollouts)
        return
    path = f"/v1/rollouts/{path_segment(service)}"
    while True:
        document = fetch_document(client, path, as_json)
        if as_json:
            typer.echo(json.dumps(document, sort_keys=True))  # one line per sample, for scripts that watch
        else:
            print_rollout(document)
        phase = record_of(document).get("phase", "")
        if not watch:
            return
        if phase in TERMINAL_PHASES:
            raise typer.Exit(ExitCode.OK if phase == "done" else ExitCode.FAILED)
        time.sleep(WATCH_PERIOD_S)


@application.command()
def report(
    service: ServiceArgument,
    out: Annotated[Path, typer.Option("--out", help="Folder for the plot and the table.")],
    admin: AdminOption = DEFAULT_ADMIN,
    as_json: JsonOption = False,
) -> None:
    """Plot weight, exposure, evidence and decisions over time, and write a CSV table.

    Example: springmux rollout report text --out report/
    """
    from springmux.cli.rollout_report import write_report

    document = fetch_document(AdminClient(admin), f"/v1/rollouts/{path_segment(service)}/history", as_json)
    if not document.get("samples"):
        fail(
            f"the node has no samples of {service}; name another node with --admin", ExitCode.FAILED, as_json
        )
    try:
        files = write_report(document, out)
    except OSError as error:
        fail(f"can't write to {out}: {error.strerror}", ExitCode.INVALID, as_json)
    if as_json:
        print_json({"files": [str(file) for file in files]})
    else:
        for file in files:
            typer.echo(str(file))
