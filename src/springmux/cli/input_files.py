"""Reads the input files of commands; an unreadable file ends the command with an error message."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import typer

from springmux.cli.exit_codes import ExitCode
from springmux.cli.output import fail

STANDARD_INPUT = "-"


def read_file(path: Path, as_json: bool = False) -> bytes:
    """Return a file's bytes (``-`` is standard input), or print the error and exit."""
    try:
        if str(path) == STANDARD_INPUT:
            return typer.get_binary_stream("stdin").read()
        return path.read_bytes()
    except OSError as error:
        fail(f"can't read {path}: {error.strerror}", ExitCode.INVALID, as_json)


def read_json_file(path: Path, as_json: bool = False) -> Any:
    """Return a file's JSON document, or print the error with its line and column and exit."""
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
    return "standard input" if str(path) == STANDARD_INPUT else str(path)
