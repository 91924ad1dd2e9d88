"""Print JSON, tables, validation results and error messages."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NoReturn

import typer

from springmux.cli.exit_codes import ExitCode
from springmux.vocabulary.errors import FieldError


def print_json(document: Any) -> None:
    """Print ``document`` as indented JSON with sorted keys."""
    typer.echo(json.dumps(document, indent=2, sort_keys=True))


def print_document(document: Any, as_json: bool, print_text: Callable[[Any], None]) -> None:
    """Print a document as JSON, or with ``print_text`` in human-readable form."""
    if as_json:
        print_json(document)
    else:
        print_text(document)


def print_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print ``headers`` and ``rows`` as left-aligned columns."""
    lines = [[str(cell) for cell in row] for row in [headers, *rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    for line in lines:
        typer.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def print_validation(file: Path, errors: Sequence[FieldError], details: Sequence[str], as_json: bool) -> None:
    """Print whether a configuration file is valid; exit with :attr:`ExitCode.INVALID` if not.

    :param details: the errors in human-readable form, one line each.
    """
    if as_json:
        entries = [{"path": error.path, "message": error.message} for error in errors]
        print_json({"valid": not errors, "errors": entries})
        if errors:
            raise typer.Exit(ExitCode.INVALID)
    elif errors:
        fail(f"{file} is not valid", ExitCode.INVALID, details=details)
    else:
        typer.echo(f"{file}: valid")


def fail(message: str, code: ExitCode, as_json: bool = False, details: Sequence[str] = ()) -> NoReturn:
    """Print an error message with its details and exit with ``code``."""
    if as_json:
        print_json({"error": {"message": message, "details": list(details)}})
    else:
        typer.echo(f"error: {message}", err=True)
        for detail in details:
            typer.echo(f"  {detail}", err=True)
    raise typer.Exit(code)
