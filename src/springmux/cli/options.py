"""Options and arguments that several commands share, with the parsing of their values."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from springmux.cli.client import AdminClient
from springmux.cli.exit_codes import ExitCode
from springmux.cli.output import fail

DEFAULT_ADMIN = ["127.0.0.1:7002"]

AdminOption = Annotated[
    list[str],
    typer.Option(
        "--admin", envvar="SPRINGMUX_ADMIN", help="Admin address IP:port; repeat it to name several nodes."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
OperatorOption = Annotated[
    str, typer.Option("--operator", envvar="SPRINGMUX_OPERATOR", help="Your name, recorded in the history.")
]
OrderIdOption = Annotated[
    str,
    typer.Option("--order-id", help="Id of an earlier order, to repeat that order; generated if omitted."),
]
FileArgument = Annotated[Path, typer.Argument(help="JSON file, or - for standard input.")]


@dataclass(frozen=True)
class OrderOptions:
    """The options of a command that sends one order to a fleet's admin listeners."""

    admin: list[str]
    operator: str
    order_id: str
    as_json: bool

    def client(self) -> AdminClient:
        """Return a client that sends orders to the named nodes under the operator's name."""
        return AdminClient(self.admin, self.operator)


def parse_parameters(pairs: Sequence[str], as_json: bool) -> dict[str, Any]:
    """Parse ``NAME=VALUE`` pairs; a value that isn't valid JSON stays a string."""
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
