"""``springmux fleet``: run a complete fleet as processes on this machine, for development."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from springmux.fleet.layout import FleetError, FleetOptions, NodeSpec, create_layout, load_layout
from springmux.fleet.supervisor import Supervisor

application = typer.Typer(help="Run a complete fleet as processes on loopback.", no_args_is_help=True)

FolderOption = Annotated[Path, typer.Option("--folder", help="Folder for settings, logs and data.")]
DEFAULT_FOLDER = Path("var/fleet")


def _fail(error: FleetError) -> NoReturn:
    typer.echo(f"springmux fleet: {error}", err=True)
    raise typer.Exit(1)


def _supervisor(folder: Path) -> Supervisor:
    try:
        return Supervisor(load_layout(folder))
    except FleetError as error:
        _fail(error)


def _node_specs(zones: list[str], nodes_per_zone: int, controllers: int) -> list[NodeSpec]:
    """Distribute nodes over zones; the first node of each zone, then the second and so on are controllers."""
    return [
        NodeSpec(
            node=f"{zone}-{number}", zone=zone, controller=(number - 1) * len(zones) + position < controllers
        )
        for position, zone in enumerate(zones)
        for number in range(1, nodes_per_zone + 1)
    ]


@application.command()
def up(
    folder: FolderOption = DEFAULT_FOLDER,
    zones: Annotated[str, typer.Option(help="Zone names, separated by commas.")] = "north,east,south",
    nodes: Annotated[int, typer.Option(help="Nodes in each zone.", min=1)] = 1,
    controllers: Annotated[int, typer.Option(help="Nodes with a data folder.", min=1)] = 3,
    detach: Annotated[
        bool, typer.Option(help="Return after the start; stop the fleet with 'fleet down'.")
    ] = False,
) -> None:
    """Start a fleet; Ctrl-C stops all its nodes.

    Example: springmux fleet up --zones north,east,south,west --nodes 3 --controllers 4
    """
    zone_names = [zone.strip() for zone in zones.split(",") if zone.strip()]
    controllers_expected = 3 if controllers >= 3 else 1
    try:
        layout = create_layout(
            folder.resolve(),  # later commands may run in another working directory
            _node_specs(zone_names, nodes, controllers),
            FleetOptions(controllers_expected=controllers_expected),
        )
        supervisor = Supervisor(layout)
        supervisor.start_all()
    except FleetError as error:
        _fail(error)
    for node in layout.nodes:
        typer.echo(
            f"{node.node:<16} client {node.client_address}  admin {node.admin_address}  pid {node.pid}"
        )
    addresses = " ".join(node.admin_address for node in layout.nodes)
    typer.echo(f'export SPRINGMUX_ADMIN="{addresses}"')
    typer.echo(f"export SPRINGMUX_CLIENT={layout.nodes[0].client_address}")
    if detach:
        return
    typer.echo("running; Ctrl-C ends the fleet")
    _wait_for_signal()
    supervisor.stop_all()
    typer.echo("ended")


def _wait_for_signal() -> None:
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()


@application.command()
def status(
    folder: FolderOption = DEFAULT_FOLDER, as_json: Annotated[bool, typer.Option("--json")] = False
) -> None:
    """Show each node's process, zone and addresses."""
    supervisor = _supervisor(folder)
    rows = [
        {
            "node": node.node,
            "zone": node.zone,
            "controller": node.controller,
            "running": supervisor.running(node.node),
            "pid": node.pid,
            "client_address": node.client_address,
            "admin_address": node.admin_address,
        }
        for node in supervisor.layout.nodes
    ]
    if as_json:
        typer.echo(json.dumps(rows))
        return
    for row in rows:
        state = "running" if row["running"] else "stopped"
        typer.echo(f"{row['node']!s:<20} {row['zone']!s:<10} {state:<8} client {row['client_address']}")


@application.command()
def kill(node: str, folder: FolderOption = DEFAULT_FOLDER) -> None:
    """Kill a node's process (SIGKILL)."""
    _act_on_node(folder, node, Supervisor.kill)


@application.command()
def freeze(node: str, folder: FolderOption = DEFAULT_FOLDER) -> None:
    """Suspend a node's process (SIGSTOP)."""
    _act_on_node(folder, node, Supervisor.freeze)


@application.command()
def thaw(node: str, folder: FolderOption = DEFAULT_FOLDER) -> None:
    """Resume a frozen node's process (SIGCONT)."""
    _act_on_node(folder, node, Supervisor.thaw)


@application.command()
def restart(
    node: str,
    folder: FolderOption = DEFAULT_FOLDER,
    wipe: Annotated[
        bool, typer.Option(help="Delete the node's data folder, as if its machine had been replaced.")
    ] = False,
) -> None:
    """Stop a node gracefully and start it again; a stopped node is only started."""
    supervisor = _supervisor(folder)
    try:
        if supervisor.running(node):
            supervisor.stop(node)
        if wipe:
            supervisor.wipe(node)
        supervisor.start(node)
    except FleetError as error:
        _fail(error)


@application.command()
def down(folder: FolderOption = DEFAULT_FOLDER) -> None:
    """Stop every node of the fleet."""
    _supervisor(folder).stop_all()


def _act_on_node(folder: Path, node: str, action: Callable[[Supervisor, str], None]) -> None:
    try:
        action(_supervisor(folder), node)
    except FleetError as error:
        _fail(error)
