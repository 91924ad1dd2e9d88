"""What commands print, their common options, and how answers become exit codes."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any, NoReturn
from urllib.parse import quote

import typer

from springmux.cli.client import AdminClient, AdminReply, NoNodeReachableError
from springmux.cli.exit_codes import ExitCode

DEFAULT_ADMIN = ["127.0.0.1:7002"]
ADMIN_SOURCES = "--admin or SPRINGMUX_ADMIN"
"""Where the addresses of nodes come from, for messages."""

AdminOption = Annotated[
    list[str],
    typer.Option(
        "--admin", envvar="SPRINGMUX_ADMIN", help="Admin address IP:port; repeat it to name several nodes."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
OperatorOption = Annotated[
    str, typer.Option("--operator", envvar="SPRINGMUX_OPERATOR", help="Your name, for the history.")
]
OrderIdOption = Annotated[
    str, typer.Option("--order-id", help="Repeat an earlier order under its id (made if not given).")
]


EXIT_CODES: dict[int, ExitCode] = {
    HTTPStatus.BAD_REQUEST: ExitCode.INVALID,
    HTTPStatus.CONFLICT: ExitCode.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: ExitCode.CONFLICT,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ExitCode.INVALID,
    HTTPStatus.UNPROCESSABLE_ENTITY: ExitCode.INVALID,
}
"""Exit codes of refusals by HTTP status; any other is :attr:`ExitCode.FAILED`."""


def print_json(document: Any) -> None:
    """Print a JSON document."""
    typer.echo(json.dumps(document, indent=2, sort_keys=True))


def print_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print aligned columns."""
    lines = [[str(cell) for cell in row] for row in [headers, *rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    for line in lines:
        typer.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def fail(message: str, code: ExitCode, as_json: bool = False, details: Sequence[str] = ()) -> NoReturn:
    """Say what was wrong and exit."""
    if as_json:
        print_json({"error": {"message": message, "details": list(details)}})
    else:
        typer.echo(f"error: {message}", err=True)
        for detail in details:
            typer.echo(f"  {detail}", err=True)
    raise typer.Exit(code)


def read(client: AdminClient, path: str, as_json: bool) -> Any:
    """Return the document at ``path``, or exit with what was wrong."""
    return checked(lambda: client.get(path), as_json).document


def order(
    client: AdminClient, method: str, path: str, document: Any, as_json: bool, order_id: str = ""
) -> AdminReply:
    """Give an order and return its accepted answer, or exit with what was wrong."""
    return checked(lambda: client.order(method, path, document, order_id), as_json)


def path_segment(name: str) -> str:
    """Return ``name`` as one segment of a URL's path (percent-encoded, RFC 3986 section 2.1)."""
    return quote(name, safe="")


def checked(call: Callable[[], AdminReply], as_json: bool, sources: str = ADMIN_SOURCES) -> AdminReply:
    """Make a call and exit with the right code unless it was answered well.

    :param sources: options and variables that name the nodes, for the message if none can be reached.
    """
    try:
        reply = call()
    except NoNodeReachableError as error:
        details = [*error.reasons, f"give reachable addresses with {sources}"]
        fail(str(error), ExitCode.UNREACHABLE, as_json, details)
    if reply.status >= HTTPStatus.BAD_REQUEST:
        _refused(reply, as_json)
    return reply


def _refused(reply: AdminReply, as_json: bool) -> NoReturn:
    code = EXIT_CODES.get(reply.status, ExitCode.FAILED)
    document = reply.document if isinstance(reply.document, dict) else {}
    if as_json:
        print_json(document or {"error": {"status": reply.status, "message": "no JSON answer"}})
        raise typer.Exit(code)
    error = document.get("error", document)  # a gateway's control listener answers the error itself
    details = [f"{item.get('path')}: {item.get('message')}" for item in error.get("errors", ())]
    if document.get("winner"):
        details.append(f"in force instead: {json.dumps(document['winner'], sort_keys=True)}")
    if error.get("fate") == "unknown":
        details.append("it may have been taken: repeat it with the same --order-id")
    retry_after_s = error.get("retry_after_s") or reply.retry_after_s
    if retry_after_s:
        details.append(f"try again in {retry_after_s} s")
    if reply.status == HTTPStatus.PRECONDITION_FAILED:
        details.append("read the version in force, make the change on top of it, and name that version")
    message = f"{error.get('code', 'refused')}: {error.get('message', f'status {reply.status}')}"
    fail(message, code, details=details)


def show_accepted(reply: AdminReply, what: str, as_json: bool) -> None:
    """Print an accepted order."""
    if as_json:
        print_json(reply.document)
        return
    document = reply.document or {}
    version = f", version {document['version']}" if document.get("version") else ""
    revision = f" (revision {document['revision']}{version})" if "revision" in document else ""
    typer.echo(f"{what}: accepted{revision}")


def read_file(path: Path, as_json: bool = False) -> bytes:
    """Return a file's bytes (``-`` is standard input), or exit with what was wrong."""
    try:
        return typer.get_binary_stream("stdin").read() if str(path) == "-" else path.read_bytes()
    except OSError as error:
        fail(f"can't read {path}: {error.strerror}", ExitCode.INVALID, as_json)


def read_json_file(path: Path, as_json: bool = False) -> Any:
    """Return a file's JSON document, or exit with line and column of what was wrong."""
    try:
        return json.loads(read_file(path, as_json))
    except UnicodeDecodeError:
        fail(f"{_source(path)} is not UTF-8", ExitCode.INVALID, as_json)
    except json.JSONDecodeError as error:
        fail(
            f"{_source(path)} is not JSON: line {error.lineno}, column {error.colno}: {error.msg}",
            ExitCode.INVALID,
            as_json,
        )


def _source(path: Path) -> str:
    return "standard input" if str(path) == "-" else str(path)


def parse_settings(pairs: Sequence[str], as_json: bool) -> dict[str, Any]:
    """Turn ``name=value`` pairs into parameters; values are JSON where they parse, else text."""
    parameters: dict[str, Any] = {}
    for pair in pairs:
        name, separator, value = pair.partition("=")
        if not separator or not name:
            fail(f"--set takes NAME=VALUE, not {pair!r}", ExitCode.INVALID, as_json)
        try:
            parameters[name] = json.loads(value)
        except ValueError:
            parameters[name] = value
    return parameters
