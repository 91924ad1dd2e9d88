"""Layout of a fleet on loopback: node settings files, ports, folders, and the file that lists them."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Callable
from pathlib import Path

import msgspec

from springmux.vocabulary.errors import SpringmuxError

LAYOUT_FILE = "fleet.json"
LOOPBACK = "127.0.0.1"
PORTS = range(10_000, 32_000)
"""Below 32768, the start of Linux's range for outgoing connections (``ip_local_port_range``)."""
SEED_COUNT = 3
"""Number of controllers whose peer addresses are the seeds of every node."""

_allocated_ports: set[int] = set()
"""Ports that :func:`free_ports` returned in this process."""


class FleetError(SpringmuxError):
    """The fleet can't be started or controlled; the message says what to do."""


class NodeLayout(msgspec.Struct, kw_only=True):
    """One node of the fleet. ``pid`` is 0 while the node isn't running."""

    node: str
    zone: str
    controller: bool
    client_address: str
    peer_address: str
    admin_address: str
    settings_file: str
    log_file: str
    data_folder: str = ""
    pid: int = 0


class FleetLayout(msgspec.Struct, kw_only=True):
    """All nodes of a fleet under one folder."""

    fleet: str
    folder: str
    nodes: list[NodeLayout]

    def find(self, node: str) -> NodeLayout:
        """Return the node's layout.

        :raises FleetError: if the fleet has no node with this name.
        """
        for layout in self.nodes:
            if layout.node == node:
                return layout
        names = ", ".join(layout.node for layout in self.nodes)
        raise FleetError(f"no node named {node!r}; the fleet has {names}")

    def save(self) -> None:
        """Write the layout file atomically."""
        path = Path(self.folder) / LAYOUT_FILE
        temporary = path.with_suffix(".new")
        temporary.write_bytes(msgspec.json.format(msgspec.json.encode(self)))
        temporary.replace(path)


def load_layout(folder: Path) -> FleetLayout:
    """Read the layout file in ``folder``.

    :raises FleetError: if the folder has no layout file.
    """
    try:
        return msgspec.json.decode((folder / LAYOUT_FILE).read_bytes(), type=FleetLayout)
    except OSError as error:
        message = f"no fleet in {folder} ({error.strerror}); start one with 'springmux fleet up'"
        raise FleetError(message) from error


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are unused now and that this process has not allocated before.

    They lie below the range of outgoing connections, so that no outgoing connection occupies a node's
    port while the node is down.

    :raises FleetError: if fewer than ``count`` ports are free.
    """
    ports: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        if port in _allocated_ports or not _is_free(port):
            continue
        _allocated_ports.add(port)
        ports.append(port)
        if len(ports) == count:
            return ports
    raise FleetError(f"only {len(ports)} of {count} ports are free between {PORTS.start} and {PORTS.stop}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class NodeSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A node to create: its name, its zone, and whether it is a controller."""

    node: str
    zone: str
    controller: bool


class FleetOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Settings common to all nodes of a fleet."""

    fleet: str = "springmux"
    controllers_expected: int = 3
    fault_injection: bool = False
    log_level: str = "info"


def create_layout(folder: Path, specs: list[NodeSpec], options: FleetOptions) -> FleetLayout:
    """Write a settings file with free ports for each node, and the layout file.

    :raises FleetError: if no node is a controller, or too few ports are free.
    """
    folder.mkdir(parents=True, exist_ok=True)
    ports = iter(free_ports(3 * len(specs)))
    nodes = [_node_layout(folder, spec, ports.__next__) for spec in specs]
    seeds = [layout.peer_address for layout in nodes if layout.controller][:SEED_COUNT]
    if not seeds:
        raise FleetError("a fleet needs at least one controller")
    for layout in nodes:
        write_settings(layout, seeds, options)
    fleet = FleetLayout(fleet=options.fleet, folder=str(folder), nodes=nodes)
    fleet.save()
    return fleet


def _node_layout(folder: Path, spec: NodeSpec, next_port: Callable[[], int]) -> NodeLayout:
    data_folder = str(folder / "data" / spec.node) if spec.controller else ""
    return NodeLayout(
        node=spec.node,
        zone=spec.zone,
        controller=spec.controller,
        client_address=f"{LOOPBACK}:{next_port()}",
        peer_address=f"{LOOPBACK}:{next_port()}",
        admin_address=f"{LOOPBACK}:{next_port()}",
        settings_file=str(folder / "settings" / f"{spec.node}.toml"),
        log_file=str(folder / "logs" / f"{spec.node}.log"),
        data_folder=data_folder,
    )


def write_settings(layout: NodeLayout, seeds: list[str], options: FleetOptions) -> None:
    """Write one node's settings file (TOML; JSON strings, numbers and lists are valid TOML values)."""
    values: dict[str, object] = {
        "node": layout.node,
        "zone": layout.zone,
        "fleet": options.fleet,
        "client_address": layout.client_address,
        "peer_address": layout.peer_address,
        "admin_address": layout.admin_address,
        "seeds": seeds,
        "controllers_expected": options.controllers_expected,
        "log_level": options.log_level,
    }
    if layout.data_folder:
        values["data_folder"] = layout.data_folder
    if options.fault_injection:
        values["fault_injection"] = True
    path = Path(layout.settings_file)
    path.parent.mkdir(parents=True, exist_ok=True)
    Path(layout.log_file).parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items()))
