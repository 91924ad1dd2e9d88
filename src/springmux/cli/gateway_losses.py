"""``springmux gateway losses``: losses by late, refused and failed requests, computed from node logs."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from springmux.cli.exit_codes import ExitCode
from springmux.cli.options import JsonOption
from springmux.cli.output import fail, print_json
from springmux.lab.reporting.request_losses import LATE_WORTH, Dimension, LossRow, losses_by, read_requests

DEFAULT_ROWS = 12
HEADINGS = ("requests", "late", "refused", "failed", "left", "lost")
GROUP_WIDTH = 44


def losses(
    files: Annotated[
        list[Path], typer.Argument(help="Logs of nodes with log_level debug; - for standard input.")
    ],
    by: Annotated[
        list[Dimension] | None,
        typer.Option("--by", help="Property to group by; repeat the option for several tables."),
    ] = None,
    late_worth: Annotated[
        float,
        typer.Option(
            "--late-worth", min=0.0, max=1.0, help="Fraction of its value that a late response keeps."
        ),
    ] = LATE_WORTH,
    rows: Annotated[
        int, typer.Option("--rows", min=1, help="Maximum number of rows of each table.")
    ] = DEFAULT_ROWS,
    as_json: JsonOption = False,
) -> None:
    """Show where requests were late, refused or failed: by route, size, second, node, tenant, engine, reason.

    Example: springmux gateway losses node-1.log node-2.log --by size --by reason
    """
    requests = list(read_requests(_read_lines(files, as_json)))
    if not requests:
        details = ["set log_level to debug; nodes then log a line for each request"]
        fail("no request_ended line was found", ExitCode.FAILED, as_json, details)
    tables = {
        dimension: losses_by(requests, dimension, late_worth)[:rows] for dimension in by or list(Dimension)
    }
    if as_json:
        print_json({dimension.value: msgspec.to_builtins(table) for dimension, table in tables.items()})
        return
    for dimension, table in tables.items():
        _print_table(dimension, table)


def _read_lines(files: list[Path], as_json: bool) -> Iterator[str]:
    for file in files:
        if str(file) == "-":
            yield from sys.stdin
            continue
        try:
            with file.open(encoding="utf-8", errors="replace") as opened:
                yield from opened
        except OSError as error:
            fail(f"can't read {file}: {error.strerror}", ExitCode.FAILED, as_json)


def _print_table(dimension: Dimension, table: list[LossRow]) -> None:
    typer.echo(f"by {dimension.value:<{GROUP_WIDTH - 3}}" + "".join(f"{name:>10}" for name in HEADINGS))
    for row in table:
        shares = "".join(f"{100 * share:>9.1f}%" for share in (row.late, row.refused, row.failed, row.left))
        typer.echo(f"{row.group[:GROUP_WIDTH]:<{GROUP_WIDTH}}{row.requests:>10}{shares}{row.lost:>10.1f}")
    typer.echo("")
