"""``springmux gateway``: status, configuration and rollouts of a fleet of gateway nodes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Annotated, Any, NoReturn

import typer

from springmux.cli.admin_requests import checked, path_segment, print_accepted
from springmux.cli.client import AdminClient, AdminResponse
from springmux.cli.exit_codes import EPILOG, ExitCode
from springmux.cli.gateway_losses import losses
from springmux.cli.gateway_status_page import print_gateway_status
from springmux.cli.input_files import read_file
from springmux.cli.options import FileArgument, JsonOption
from springmux.cli.output import fail, print_document, print_json, print_validation
from springmux.control.commands import ApplyGateway, gateway_order_id
from springmux.control.gateway_section import GatewaySection
from springmux.vocabulary.errors import FieldError

application = typer.Typer(no_args_is_help=True, help="A fleet of gateway nodes.", epilog=EPILOG)

application.command()(losses)

CONTROL_SOURCES = "--control or SPRINGMUX_CONTROL"
"""Where the addresses of nodes come from, for messages."""
STATUS_PATH = "/v1/gateway/status"
CONFIGURATION_PATH = "/v1/gateway/configuration"
ROLLOUTS_PATH = "/v1/gateway/rollouts"
WATCH_PERIOD_S = 1.0

ControlOption = Annotated[
    list[str],
    typer.Option(
        "--control",
        envvar="SPRINGMUX_CONTROL",
        help="Control address IP:port of a node; repeat it to name several nodes.",
    ),
]
ServiceArgument = Annotated[str, typer.Argument(help="Service of the gateway's configuration.")]


@application.command()
def status(control: ControlOption, json_output: JsonOption = False) -> None:
    """Show one node: readiness, configuration's version, role, leader, engines and rollouts.

    Example: springmux gateway status --control 10.0.0.5:8002
    """
    found = _read(AdminClient(control), STATUS_PATH, "role", json_output)
    print_document(found, json_output, print_gateway_status)


@application.command()
def configuration(control: ControlOption) -> None:
    """Print the gateway's whole configuration in force, as JSON; its version is a member of it.

    Example: springmux gateway configuration --control 10.0.0.5:8002 > gateway.json
    """
    print_json(_read(AdminClient(control), CONFIGURATION_PATH, "routes", False))


@application.command()
def validate(file: FileArgument, json_output: JsonOption = False) -> None:
    """Check a whole configuration of the gateway here, without a node.

    Example: springmux gateway validate gateway.json
    """
    errors = local_errors(read_file(file, json_output))
    print_validation(file, errors, [_error_line(error) for error in errors], json_output)


@application.command()
def put(
    file: FileArgument,
    builds_on: Annotated[
        int, typer.Option("--builds-on", min=0, help="Version in force that the file was made from; 0: none.")
    ],
    control: ControlOption,
    json_output: JsonOption = False,
) -> None:
    """Replace the gateway's whole configuration. The file's own version must be higher.

    Of two changes on top of one version exactly one is accepted (exit 4 for the other).

    Example: springmux gateway put gateway.json --builds-on 12 --control 10.0.0.5:8002
    """
    document = read_file(file, json_output)
    client = AdminClient(control)
    response = _send_order(
        lambda: client.order("PUT", CONFIGURATION_PATH, document, base_version=builds_on), json_output
    )
    print_accepted(response, f"configuration on top of version {builds_on}", json_output)


@application.command()
def promote(
    service: ServiceArgument,
    candidate: Annotated[str, typer.Option(help="Version that the service's engines are to run.")],
    by_s: Annotated[float, typer.Option("--by-s", help="Seconds until all traffic is on it.")],
    control: ControlOption,
    json_output: JsonOption = False,
) -> None:
    """Begin a rollout: move a service's traffic to the engines of a version.

    Example: springmux gateway promote text --candidate v2 --by-s 60 --control 10.0.0.5:8002
    """
    order = {"service": service, "candidate": candidate, "by_s": by_s}
    client = AdminClient(control)
    response = _send_order(lambda: client.order("POST", ROLLOUTS_PATH, order), json_output)
    print_accepted(response, f"rollout of {service} to {candidate}", json_output)


@application.command()
def rollout(
    service: ServiceArgument,
    control: ControlOption,
    watch: Annotated[bool, typer.Option("--watch", help="Repeat until it is done or aborted.")] = False,
    json_output: JsonOption = False,
) -> None:
    """Show a service's newest rollout. With --watch the exit code is 0 for done and 1 for aborted.

    Example: springmux gateway rollout text --watch --control 10.0.0.5:8002
    """
    client = AdminClient(control)
    while True:
        path = f"{ROLLOUTS_PATH}/{path_segment(service)}"
        found = _read(client, path, "state", json_output)
        if json_output:
            print_json(found)
        else:
            typer.echo(f"{service}: {found['state']}, candidate {found['candidate']}")
        if not watch:
            return
        if found["state"] != "running":
            raise typer.Exit(ExitCode.OK if found["state"] == "done" else ExitCode.FAILED)
        time.sleep(WATCH_PERIOD_S)


def local_errors(document: bytes) -> tuple[FieldError, ...]:
    """Return the first wrong field of each item of a complete document, without a request to a node."""
    order = gateway_order_id(0, document, False)
    return GatewaySection().apply(ApplyGateway(order=order, base_version=0, document=document)).errors


def _read(client: AdminClient, path: str, member: str, as_json: bool) -> dict[str, Any]:
    """Return the document at ``path``, or exit with what was wrong.

    :param member: a member that the document of a gateway node always has.
    """
    response = checked(lambda: client.get(path), as_json, CONTROL_SOURCES)
    if not isinstance(response.document, dict) or member not in response.document:
        _fail_foreign(response.address, as_json)
    return response.document


def _send_order(request: Callable[[], AdminResponse], as_json: bool) -> AdminResponse:
    """Send an order and return the response that accepts it, or exit with what was wrong."""
    response = checked(request, as_json, CONTROL_SOURCES)
    if not isinstance(response.document, dict):
        _fail_foreign(response.address, as_json)
    return response


def _fail_foreign(address: str, as_json: bool) -> NoReturn:
    details = ["give the control_address of a node's settings with --control"]
    fail(f"what answers at {address} is no gateway's control listener", ExitCode.FAILED, as_json, details)


def _error_line(error: FieldError) -> str:
    return f"{error.path}: {error.message}" if error.path else error.message
