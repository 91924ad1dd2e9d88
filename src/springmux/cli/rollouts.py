"""``springmux rollout``: templates, plans, orders, status and report."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from springmux.cli.admin_requests import path_segment, read, run_order, send_order
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
    parse_settings,
)
from springmux.cli.output import fail, print_document, print_json
from springmux.cli.rollout_pages import print_plan, print_rollout, print_rollouts, print_templates, record_of

application = typer.Typer(no_args_is_help=True, help="Rollouts of engine versions.", epilog=EPILOG)

WATCH_PERIOD_S = 1.0
TERMINAL_PHASES = ("done", "aborted")

ServiceArgument = Annotated[str, typer.Argument(help="Service whose version changes.")]
TemplateOption = Annotated[str, typer.Option("--template", help="Name of a stored template.")]
SetOption = Annotated[
    list[str], typer.Option("--set", help="Parameter NAME=VALUE; repeat it. Values are JSON or text.")
]


@application.command()
def template(
    name: Annotated[str, typer.Argument(help="Template to store; without it all are listed.")] = "",
    file: Annotated[Path | None, typer.Option("--file", help="JSON file, or - for standard input.")] = None,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Store a template, or list those stored.

    Example: springmux rollout template careful --file careful.json
    """
    options = OrderOptions(admin, operator, order_id, json_output)
    if file is not None and name:
        document = read_json_file(file, json_output)
        run_order(options, "PUT", f"/v1/templates/{path_segment(name)}", document, f"template {name}")
        return
    if file is not None or name:
        fail("give a name and --file to store one, neither to list", ExitCode.INVALID, json_output)
    print_document(read(options.client(), "/v1/templates", json_output), json_output, print_templates)


def _plan_body(template_name: str, settings: list[str], service: str, as_json: bool) -> dict[str, Any]:
    parameters = parse_settings(settings, as_json)
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
    settings: SetOption = [],  # noqa: B006 - typer reads defaults, never changes them
    admin: AdminOption = DEFAULT_ADMIN,
    json_output: JsonOption = False,
) -> None:
    """Show a plan's schedule and bounds without beginning it.

    Example: springmux rollout plan text --template careful --set candidate=v2 --set by_s=60
    """
    body = _plan_body(template_name, settings, service, json_output)
    # A preview changes nothing, but it is a POST; an order id does no harm.
    response = send_order(AdminClient(admin), "POST", "/v1/rollouts/preview", body, json_output)
    print_document(response.document, json_output, print_plan)


@application.command()
def promote(
    service: ServiceArgument,
    template_name: TemplateOption = "",
    settings: SetOption = [],  # noqa: B006
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Begin a rollout ("go").

    Example: springmux rollout promote text --template careful --set candidate=v2
    """
    body = _plan_body(template_name, settings, service, json_output)
    options = OrderOptions(admin, operator, order_id, json_output)
    path = f"/v1/rollouts/{path_segment(service)}/promote"
    run_order(options, "POST", path, body, f"rollout of {service}")


def _run_verb(verb: str, service: str, options: OrderOptions) -> None:
    """Send an order that needs no document: pause, resume or abort."""
    run_order(options, "POST", f"/v1/rollouts/{path_segment(service)}/{verb}", None, f"{verb} of {service}")


@application.command()
def pause(
    service: ServiceArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Send nothing more to the candidate and stop the rollout's clock ("hold").

    Example: springmux rollout pause text
    """
    _run_verb("pause", service, OrderOptions(admin, operator, order_id, json_output))


@application.command()
def resume(
    service: ServiceArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Go on with a paused rollout.

    Example: springmux rollout resume text
    """
    _run_verb("resume", service, OrderOptions(admin, operator, order_id, json_output))


@application.command()
def abort(
    service: ServiceArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Return every prompt to the stable version, for good ("back").

    Example: springmux rollout abort text
    """
    _run_verb("abort", service, OrderOptions(admin, operator, order_id, json_output))


application.command("go", help="Alias of promote.")(promote)
application.command("hold", help="Alias of pause.")(pause)
application.command("back", help="Alias of abort.")(abort)


@application.command()
def status(
    service: Annotated[str, typer.Argument(help="One service; without it all.")] = "",
    watch: Annotated[bool, typer.Option("--watch", help="Repeat until it is done or aborted.")] = False,
    admin: AdminOption = DEFAULT_ADMIN,
    json_output: JsonOption = False,
) -> None:
    """Show rollouts. With --watch the exit code is 0 for done and 1 for aborted.

    Example: springmux rollout status text --watch
    """
    client = AdminClient(admin)
    if not service:
        if watch:
            fail("--watch needs a service", ExitCode.INVALID, json_output)
        print_document(read(client, "/v1/rollouts", json_output), json_output, print_rollouts)
        return
    path = f"/v1/rollouts/{path_segment(service)}"
    while True:
        found = read(client, path, json_output)
        if json_output:
            typer.echo(json.dumps(found, sort_keys=True))  # one line a sample, for scripts that watch
        else:
            print_rollout(found)
        phase = record_of(found).get("phase", "")
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
    json_output: JsonOption = False,
) -> None:
    """Draw weight, exposure, evidence and decisions over time, and write a table.

    Example: springmux rollout report text --out report/
    """
    from springmux.cli.rollout_report import write_report

    found = read(AdminClient(admin), f"/v1/rollouts/{path_segment(service)}/history", json_output)
    if not found.get("samples"):
        fail(f"the node has no samples of {service}; ask another with --admin", ExitCode.FAILED, json_output)
    try:
        files = write_report(found, out)
    except OSError as error:
        fail(f"can't write to {out}: {error.strerror}", ExitCode.INVALID, json_output)
    if json_output:
        print_json({"files": [str(file) for file in files]})
    else:
        for file in files:
            typer.echo(str(file))
