"""Requests to the nodes of a fleet; a failed request ends the command with the exit code for its error."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NoReturn
from urllib.parse import quote

import typer

from springmux.cli.client import AdminClient, AdminResponse, NoNodeReachableError
from springmux.cli.exit_codes import ExitCode
from springmux.cli.options import OrderOptions
from springmux.cli.output import fail, print_json

ADMIN_ADDRESS_SOURCES = "--admin or SPRINGMUX_ADMIN"
"""Option and environment variable that set the nodes' addresses, as named in error messages."""

EXIT_CODE_BY_STATUS: dict[int, ExitCode] = {
    HTTPStatus.BAD_REQUEST: ExitCode.INVALID,
    HTTPStatus.CONFLICT: ExitCode.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: ExitCode.CONFLICT,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ExitCode.INVALID,
    HTTPStatus.UNPROCESSABLE_ENTITY: ExitCode.INVALID,
}
"""Exit code for the HTTP status of a rejection; other statuses exit with :attr:`ExitCode.FAILED`."""


def path_segment(name: str) -> str:
    """Return ``name`` as one segment of a URL's path (percent-encoded, RFC 3986 section 2.1)."""
    return quote(name, safe="")


def fetch_document(client: AdminClient, path: str, as_json: bool) -> Any:
    """Return the document at ``path``, or print the error and exit."""
    return response_or_exit(lambda: client.get(path), as_json).document


def send_order(
    client: AdminClient, method: str, path: str, document: Any, as_json: bool, order_id: str = ""
) -> AdminResponse:
    """Send an order and return the response that accepts it, or print the error and exit."""
    return response_or_exit(lambda: client.order(method, path, document, order_id), as_json)


def run_order(options: OrderOptions, method: str, path: str, document: Any, subject: str) -> None:
    """Send an order and print that it was accepted, or print the error and exit.

    :param subject: what the order creates or does, for the printed line, such as "tenant school-12".
    """
    response = send_order(options.client(), method, path, document, options.as_json, options.order_id)
    print_accepted(response, subject, options.as_json)


def response_or_exit(
    request: Callable[[], AdminResponse], as_json: bool, address_sources: str = ADMIN_ADDRESS_SOURCES
) -> AdminResponse:
    """Make a request and return its response; if it failed, print the error and exit with its code.

    :param address_sources: option and environment variable that set the nodes' addresses, named in the
        error message if no node can be reached.
    """
    try:
        response = request()
    except NoNodeReachableError as error:
        details = [*error.reasons, f"set reachable addresses with {address_sources}"]
        fail(str(error), ExitCode.UNREACHABLE, as_json, details)
    if response.status >= HTTPStatus.BAD_REQUEST:
        _fail_rejected(response, as_json)
    return response


def _fail_rejected(response: AdminResponse, as_json: bool) -> NoReturn:
    code = EXIT_CODE_BY_STATUS.get(response.status, ExitCode.FAILED)
    document = response.document if isinstance(response.document, dict) else {}
    if as_json:
        print_json(
            document or {"error": {"status": response.status, "message": "the response has no JSON object"}}
        )
        raise typer.Exit(code)
    error = document.get("error", document)  # a gateway's control listener sends the bare error object
    message = f"{error.get('code', 'refused')}: {error.get('message', f'status {response.status}')}"
    fail(message, code, details=_rejection_details(response, document, error))


def _rejection_details(response: AdminResponse, document: dict[str, Any], error: dict[str, Any]) -> list[str]:
    """Return one line for each invalid field, then advice on what to do."""
    details = [f"{item.get('path')}: {item.get('message')}" for item in error.get("errors", ())]
    if document.get("winner"):
        details.append(f"in force instead: {json.dumps(document['winner'], sort_keys=True)}")
    if error.get("fate") == "unknown":
        details.append("the order may have been executed; repeat it with the same --order-id")
    retry_after_s = error.get("retry_after_s") or response.retry_after_s
    if retry_after_s:
        details.append(f"try again in {retry_after_s} s")
    if response.status == HTTPStatus.PRECONDITION_FAILED:
        details.append("read the version in force, reapply the change to it, and send it with that version")
    return details


def print_accepted(response: AdminResponse, subject: str, as_json: bool) -> None:
    """Print that an order was accepted, with its revision and version."""
    if as_json:
        print_json(response.document)
        return
    document = response.document or {}
    version = f", version {document['version']}" if document.get("version") else ""
    revision = f" (revision {document['revision']}{version})" if "revision" in document else ""
    typer.echo(f"{subject}: accepted{revision}")
