"""``springmux config``: validate, apply, patch, show, diff, history."""

from __future__ import annotations

import difflib
import json
from pathlib import Path
from typing import Annotated, Any

import typer

from springmux.cli.admin_requests import fetch_document, run_order
from springmux.cli.client import AdminClient
from springmux.cli.exit_codes import EPILOG
from springmux.cli.input_files import read_json_file
from springmux.cli.options import (
    DEFAULT_ADMIN,
    AdminOption,
    FileArgument,
    JsonOption,
    OperatorOption,
    OrderIdOption,
    OrderOptions,
)
from springmux.cli.output import print_document, print_json, print_table, print_validation
from springmux.control.configuration import InvalidConfigurationError, build_configuration
from springmux.vocabulary.errors import FieldError

application = typer.Typer(no_args_is_help=True, help="The fleet's configuration document.", epilog=EPILOG)

VersionOption = Annotated[
    int | None,
    typer.Option(
        "--version",
        min=1,
        help="Version that the change creates: the current one plus 1, which is the default.",
    ),
]


def validation_errors(document: Any) -> tuple[FieldError, ...]:
    """Return every invalid field of a complete document, without a request to a node."""
    try:
        build_configuration(document, 1)
    except InvalidConfigurationError as error:
        return error.errors
    return ()


@application.command()
def validate(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a configuration file locally, without contacting a node.

    Example: springmux config validate fleet.json
    """
    errors = validation_errors(read_json_file(file, as_json))
    print_validation(file, errors, [f"{error.path}: {error.message}" for error in errors], as_json)


def _send_change(method: str, file: Path, version: int | None, options: OrderOptions) -> None:
    document = read_json_file(file, options.as_json)
    if version is None:
        version = int(fetch_document(options.client(), "/v1/configuration", options.as_json)["version"]) + 1
    run_order(options, method, f"/v1/configuration?version={version}", document, f"configuration {version}")


@application.command()
def apply(
    file: FileArgument,
    version: VersionOption = None,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Replace the complete configuration.

    If two operators send the same version number, exactly one is accepted; the other exits with code 4.

    Example: springmux config apply fleet.json --version 12 --admin 10.0.0.5:7002
    """
    _send_change("PUT", file, version, OrderOptions(admin, operator, order_id, as_json))


@application.command()
def patch(
    file: FileArgument,
    version: VersionOption = None,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Change parts of the configuration with a JSON Merge Patch (RFC 7396).

    Example: echo '{"limits": {"max_in_flight": 256}}' | springmux config patch -
    """
    _send_change("PATCH", file, version, OrderOptions(admin, operator, order_id, as_json))


@application.command()
def show(admin: AdminOption = DEFAULT_ADMIN, as_json: JsonOption = False) -> None:
    """Print the configuration in force.

    Example: springmux config show --json > fleet.json
    """
    document = fetch_document(AdminClient(admin), "/v1/configuration", as_json)
    if not as_json:
        typer.echo(f"version {document['version']}, revision {document['revision']}", err=True)
    print_json(document["document"])


@application.command()
def diff(file: FileArgument, admin: AdminOption = DEFAULT_ADMIN, as_json: JsonOption = False) -> None:
    """Compare a file with the configuration in force.

    Example: springmux config diff fleet.json
    """
    file_lines = _formatted_lines(read_json_file(file, as_json))
    current_lines = _formatted_lines(
        fetch_document(AdminClient(admin), "/v1/configuration", as_json)["document"]
    )
    changes = list(difflib.unified_diff(current_lines, file_lines, "in force", str(file), lineterm=""))
    if as_json:
        print_json({"equal": not changes, "diff": changes})
    else:
        typer.echo("\n".join(changes) if changes else "no difference")


def _formatted_lines(document: Any) -> list[str]:
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


@application.command()
def history(admin: AdminOption = DEFAULT_ADMIN, as_json: JsonOption = False) -> None:
    """List the configuration's versions.

    Example: springmux config history
    """
    entries = fetch_document(AdminClient(admin), "/v1/configuration/history", as_json)
    print_document(entries, as_json, _print_history)


def _print_history(entries: list[dict[str, Any]]) -> None:
    rows = [(entry["version"], entry["issued_by"], entry["revision"], entry["order"]) for entry in entries]
    print_table(("VERSION", "BY", "REVISION", "ORDER"), rows)
