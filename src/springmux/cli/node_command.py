"""``springmux node``: the daemon."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from springmux.cli.exit_codes import ExitCode
from springmux.cli.output import fail
from springmux.node.settings import load_settings
from springmux.vocabulary.errors import SettingsError

SettingsOption = Annotated[Path | None, typer.Option("--settings", help="TOML file with the settings.")]


def node(
    settings: SettingsOption = None,
    node: Annotated[str | None, typer.Option(help="Name of the node, unique in the fleet.")] = None,
    zone: Annotated[str | None, typer.Option(help="Zone of the node.")] = None,
    region: Annotated[str | None, typer.Option(help="Region of the zone.")] = None,
    fleet: Annotated[str | None, typer.Option(help="Name of the fleet, the same on all its nodes.")] = None,
    client_address: Annotated[str | None, typer.Option(help="IP:port for client requests.")] = None,
    peer_address: Annotated[
        str | None, typer.Option(help="IP:port for connections from other nodes.")
    ] = None,
    admin_address: Annotated[str | None, typer.Option(help="IP:port for operators and engines.")] = None,
    seed: Annotated[
        list[str] | None,
        typer.Option("--seed", help="Peer address of another node; repeat the option for several."),
    ] = None,
    data_folder: Annotated[
        Path | None, typer.Option(help="Folder on a disk; makes the node a controller.")
    ] = None,
    controllers_expected: Annotated[
        int | None, typer.Option(help="Number of voters that found the consensus group.")
    ] = None,
    log_level: Annotated[str | None, typer.Option(help="debug, info, warning or error.")] = None,
    log_format: Annotated[str | None, typer.Option(help="json or console.")] = None,
) -> None:
    """Run a node until SIGTERM. Flags override SPRINGMUX_* variables, which override the file.

    Exit codes: 0 stopped, 1 can't start, 2 invalid settings, 70 internal error (restart the node).

    Example: springmux node --settings /etc/springmux/node.toml --zone north
    """
    flags = {
        "node": node,
        "zone": zone,
        "region": region,
        "fleet": fleet,
        "client_address": client_address,
        "peer_address": peer_address,
        "admin_address": admin_address,
        "seeds": tuple(seed) if seed else None,
        "data_folder": data_folder,
        "controllers_expected": controllers_expected,
        "log_level": log_level,
        "log_format": log_format,
    }
    try:
        loaded = load_settings(settings, flags)
    except SettingsError as error:
        details = [f"{field_error.path}: {field_error.message}" for field_error in error.errors]
        fail("the settings are invalid", ExitCode.INVALID, details=details)
    from springmux.node.daemon import run_node

    raise typer.Exit(run_node(loaded))
