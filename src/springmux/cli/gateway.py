"""``springmux gateway``: status, configuration and rollouts of a fleet of gateway nodes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Annotated, Any, NoReturn

import typer

from springmux.cli.admin_requests import path_segment, print_accepted, response_or_exit
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

CONTROL_ADDRESS_SOURCES = "--control or SPRINGMUX_CONTROL"
"""Option and environment variable that set the nodes' addresses, as named in error messages."""
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
def status(control: ControlOption, as_json: JsonOption = False) -> None:
    """Show one node's readiness, configuration version, role, leader, engines and rollouts.

    Example: springmux gateway status --control 10.0.0.5:8002
    """
    document = _fetch_document(AdminClient(control), STATUS_PATH, "role", as_json)
    print_document(document, as_json, print_gateway_status)


@application.command()
def configuration(control: ControlOption) -> None:
    """Print the gateway's complete configuration in force as JSON, including its version.

    Example: springmux gateway configuration --control 10.0.0.5:8002 > gateway.json
    """
    print_json(_fetch_document(AdminClient(control), CONFIGURATION_PATH, "routes", False))


@application.command()
def validate(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a complete gateway configuration locally, without contacting a node.

    Example: springmux gateway validate gateway.json
    """
    errors = validation_errors(read_file(file, as_json))
    print_validation(file, errors, [_error_line(error) for error in errors], as_json)


@application.command()
def put(
    file: FileArgument,
    builds_on: Annotated[
        int, typer.Option("--builds-on", min=0, help="Version in force that the file is based on; 0: none.")
    ],
    control: ControlOption,
    as_json: JsonOption = False,
) -> None:
    """Replace the gateway's complete configuration. The file's version must be above the one in force.

    If two changes are based on the same version, exactly one is accepted; the other exits with code 4.

    Example: springmux gateway put gateway.json --builds-on 12 --control 10.0.0.5:8002
    """
    document = read_file(file, as_json)
    client = AdminClient(control)
    response = _send_order(
        lambda: client.order("PUT", CONFIGURATION_PATH, document, base_version=builds_on), as_json
    )
    print_accepted(response, f"configuration on top of version {builds_on}", as_json)


@application.command()
def promote(
    service: ServiceArgument,
    candidate: Annotated[str, typer.Option(help="Version whose engines receive the service's traffic.")],
    by_s: Annotated[float, typer.Option("--by-s", help="Seconds until all traffic goes to the candidate.")],
    control: ControlOption,
    as_json: JsonOption = False,
) -> None:
    """Start a rollout: move a service's traffic to the engines of a version.

    Example: springmux gateway promote text --candidate v2 --by-s 60 --control 10.0.0.5:8002
    """
    order = {"service": service, "candidate": candidate, "by_s": by_s}
    client = AdminClient(control)
    response = _send_order(lambda: client.order("POST", ROLLOUTS_PATH, order), as_json)
    print_accepted(response, f"rollout of {service} to {candidate}", as_json)


@application.command()
def rollout(
    service: ServiceArgument,
    control: ControlOption,
    watch: Annotated[
        bool, typer.Option("--watch", help="Repeat until the rollout is done or aborted.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show a service's latest rollout. With --watch the exit code is 0 for done and 1 for aborted.

    Example: springmux gateway rollout text --watch --control 10.0.0.5:8002
    """
    client = AdminClient(control)
    while True:
        path = f"{ROLLOUTS_PATH}/{path_segment(service)}"
        document = _fetch_document(client, path, "state", as_json)
        if as_json:
            print_json(document)
        else:
            typer.echo(f"{service}: {document['state']}, candidate {document['candidate']}")
        if not watch:
            return
        if document["state"] != "running":
            raise typer.Exit(ExitCode.OK if document["state"] == "done" else ExitCode.FAILED)
        time.sleep(WATCH_PERIOD_S)


def validation_errors(document: bytes) -> tuple[FieldError, ...]:
    """Return the first invalid field of each item of a complete document, without a request to a node."""
    order = gateway_order_id(0, document, False)
    return GatewaySection().apply(ApplyGateway(order=order, base_version=0, document=document)).errors


def _fetch_document(client: AdminClient, path: str, member: str, as_json: bool) -> dict[str, Any]:
    """Return the document at ``path``, or print the error and exit.

    :param member: a JSON member that every gateway node's document contains.
    """
    response = response_or_exit(lambda: client.get(path), as_json, CONTROL_ADDRESS_SOURCES)
    if not isinstance(response.document, dict) or member not in response.document:
        _fail_not_control_listener(response.address, as_json)
    return response.document


def _send_order(request: Callable[[], AdminResponse], as_json: bool) -> AdminResponse:
    """Send an order and return the response that accepts it, or print the error and exit."""
    response = response_or_exit(request, as_json, CONTROL_ADDRESS_SOURCES)
    if not isinstance(response.document, dict):
        _fail_not_control_listener(response.address, as_json)
    return response


def _fail_not_control_listener(address: str, as_json: bool) -> NoReturn:
    details = ["set --control to the control_address in a node's settings"]
    fail(f"the server at {address} is not a gateway's control listener", ExitCode.FAILED, as_json, details)


def _error_line(error: FieldError) -> str:
    return f"{error.path}: {error.message}" if error.path else error.message
