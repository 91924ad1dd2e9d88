"""Starts the system's processes as the deploy file says, each on a loopback address of its own."""

from __future__ import annotations

import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RUN = ["platform/main.py"]  # `run` of deploy/system.toml, after python3
BOUNDS = {
    "contactMs": 3000,
    "configApplyMs": 2000,
    "drainMs": 2000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetMinRetries": 58,
    "canaryShare": 0.1,
    "canarySlack": 50,
    "rollbackMs": 5000,
    "strictRevoke": "false",
    "revokeMs": 5000,
}
"""The bounds of the sheet of dvs-mux (SYSTEM.md)."""


def _lookup(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else ""
        else:
            value = value.get(part, "") if isinstance(value, dict) else ""
    return value


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill a template with the gaps of DEPLOY.md that deploy/node.toml uses."""

    def block(match: re.Match[str]) -> str:
        items = _lookup(fields, match[1])
        last = len(items) - 1
        return "".join(
            match[2].replace("{{.}}", str(item)).replace("{{,}}", "" if i == last else ",")
            for i, item in enumerate(items)
        )

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", block, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(_lookup(fields, match[1])), text)


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on every host."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port in ports:
            continue
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Node:
    """One machine with one process."""

    def __init__(self, fleet: Fleet, name: str, zone: str, host: str, disk: bool) -> None:
        self.fleet, self.name, self.zone, self.host, self.disk = fleet, name, zone, host, disk
        self.process: subprocess.Popen[bytes] | None = None
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.front = (host, fleet.ports[0])
        self.ready = (host, fleet.ports[1])
        self.control = (host, fleet.ports[2])

    def start(self, first_start: bool = False) -> None:
        """Start the process with the settings of this moment."""
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "loop",
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{self.front[1]}",
                "ready": f"{self.host}:{self.ready[1]}",
                "control": f"{self.host}:{self.control[1]}",
            },
            "internalPorts": [self.fleet.ports[3]],
            "seeds": [f"{host}:{self.fleet.ports[2]}" for host in self.fleet.seeds],
            "bootstrap": "true" if first_start else "false",
            "faultTolerance": {"machines": 1},
            "bounds": self.fleet.bounds,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "dataDir": str(self.folder / "data") if self.disk else "",
        }
        if self.disk:
            (self.folder / "data").mkdir(exist_ok=True)
        template = (ROOT / "deploy" / "node.toml").read_text()
        settings = self.folder / "boot.conf"
        settings.write_text(fill(template, fields))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "SPRINGMUX_BOOT": str(settings)}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *RUN], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """The machines of one deployment, in a temporary folder."""

    def __init__(
        self, disks: int = 3, plain: int = 0, subnet: int = 61, zones: str = "abc", **bounds: Any
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="springmux-review-"))
        self.bounds = BOUNDS | bounds
        hosts = [f"127.0.{subnet}.{10 + i}" for i in range(disks + plain)]
        self.seeds = hosts[:disks][:3]
        self.ports = free_ports(hosts, 4)
        self.nodes = [
            Node(
                self,
                f"front-{zones[i % len(zones)]}-{i // len(zones) + 1}",
                zones[i % len(zones)],
                host,
                i < disks,
            )
            for i, host in enumerate(hosts)
        ]

    def start(self) -> None:
        """Start every process for the first time."""
        for node in self.nodes:
            node.start(first_start=True)

    def close(self) -> None:
        """End every process and remove the folder."""
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        line = f"{time.monotonic() - self._began:8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
