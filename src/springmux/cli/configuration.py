"""``springmux config``: validate, apply, patch, show, diff, history."""

from __future__ import annotations

import difflib
import json
from pathlib import Path
from typing import Annotated, Any

import typer

from springmux.cli.admin_requests import read, run_order
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
    typer.Option("--version", min=1, help="Number the change must get (present one plus 1)."),
]


def local_errors(document: Any) -> tuple[FieldError, ...]:
    """Return every wrong field of a complete document, without a request to a node."""
    try:
        build_configuration(document, 1)
    except InvalidConfigurationError as error:
        return error.errors
    return ()


@application.command()
def validate(file: FileArgument, json_output: JsonOption = False) -> None:
    """Check a configuration file here, without a node.

    Example: springmux config validate fleet.json
    """
    errors = local_errors(read_json_file(file, json_output))
    print_validation(file, errors, [f"{error.path}: {error.message}" for error in errors], json_output)


def _change(method: str, file: Path, version: int | None, options: OrderOptions) -> None:
    document = read_json_file(file, options.as_json)
    if version is None:
        version = int(read(options.client(), "/v1/configuration", options.as_json)["version"]) + 1
    run_order(options, method, f"/v1/configuration?version={version}", document, f"configuration {version}")


@application.command()
def apply(
    file: FileArgument,
    version: VersionOption = None,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Replace the whole configuration.

    Of two operators with one version number exactly one is accepted (exit 4 for the other).

    Example: springmux config apply fleet.json --version 12 --admin 10.0.0.5:7002
    """
    _change("PUT", file, version, OrderOptions(admin, operator, order_id, json_output))


@application.command()
def patch(
    file: FileArgument,
    version: VersionOption = None,
    admin: AdminOption = DEFAULT_ADMIN,
    operator: OperatorOption = "operator",
    order_id: OrderIdOption = "",
    json_output: JsonOption = False,
) -> None:
    """Change parts of the configuration by a JSON Merge Patch (RFC 7396).

    Example: echo '{"limits": {"max_in_flight": 256}}' | springmux config patch -
    """
    _change("PATCH", file, version, OrderOptions(admin, operator, order_id, json_output))


@application.command()
def show(admin: AdminOption = DEFAULT_ADMIN, json_output: JsonOption = False) -> None:
    """Print the configuration in force.

    Example: springmux config show --json > fleet.json
    """
    found = read(AdminClient(admin), "/v1/configuration", json_output)
    if not json_output:
        typer.echo(f"version {found['version']}, revision {found['revision']}", err=True)
    print_json(found["document"])


@application.command()
def diff(file: FileArgument, admin: AdminOption = DEFAULT_ADMIN, json_output: JsonOption = False) -> None:
    """Compare a file with the configuration in force.

    Example: springmux config diff fleet.json
    """
    ours = _lines(read_json_file(file, json_output))
    theirs = _lines(read(AdminClient(admin), "/v1/configuration", json_output)["document"])
    changes = list(difflib.unified_diff(theirs, ours, "in force", str(file), lineterm=""))
    if json_output:
        print_json({"equal": not changes, "diff": changes})
    else:
        typer.echo("\n".join(changes) if changes else "no difference")


def _lines(document: Any) -> list[str]:
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


@application.command()
def history(admin: AdminOption = DEFAULT_ADMIN, json_output: JsonOption = False) -> None:
    """List the configuration's versions.

    Example: springmux config history
    """
    entries = read(AdminClient(admin), "/v1/configuration/history", json_output)
    print_document(entries, json_output, _print_history)


def _print_history(entries: list[dict[str, Any]]) -> None:
    rows = [(entry["version"], entry["issued_by"], entry["revision"], entry["order"]) for entry in entries]
    print_table(("VERSION", "BY", "REVISION", "ORDER"), rows)
