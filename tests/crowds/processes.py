"""Starts one process of the system on loopback, and reads its memory and descriptors from ``/proc``."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from springmux.fleet.layout import free_ports
from springmux.lab.soak.http_connection import Response, request_once

HOST = "127.0.0.1"
MACHINE_MEMORY_BYTES = 200 * 1000 * 1000
"""Memory of the smallest machine that the deployments name (``limits.memoryMb``): more ends a process."""
RESERVED_DESCRIPTORS = 200
"""Descriptors of a machine that are reserved for files (the users' page on machines)."""
START_TIMEOUT_S = 60.0
POLL_S = 0.05
SAMPLE_PERIOD_S = 0.1


@dataclass(frozen=True)
class Ports:
    """Listening ports of a process, by listener."""

    front: int
    ready: int
    control: int
    peer: int


class SystemProcess:
    """A running process of the system and the most memory that it held."""

    def __init__(self, process: subprocess.Popen[bytes], ports: Ports, log_file: Path) -> None:
        self.ports = ports
        self.most_unread_bytes = 0
        self._process = process
        self._log_file = log_file

    @property
    def lives(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def most_memory_bytes(self) -> int:
        """Peak of the resident memory, plus the peak of the bytes that arrived and were not read."""
        status = Path(f"/proc/{self._process.pid}/status").read_text("utf-8")
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) * 1024 + self.most_unread_bytes

    @property
    def open_descriptors(self) -> int:
        """Number of open descriptors."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    @property
    def processor_s(self) -> float:
        """Processor time used so far, in seconds."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text("ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log(self) -> str:
        """Return what the process wrote."""
        return self._log_file.read_text("utf-8", "replace")

    async def sample_unread(self) -> None:
        """Sample the bytes in the receive queues of the process's sockets until cancelled."""
        while True:
            self.most_unread_bytes = max(self.most_unread_bytes, _unread_bytes(self._process.pid))
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def check_limits(self) -> None:
        """Assert that the process lives and stayed within its machine's memory."""
        assert self.lives, self.log()[-2000:]
        most = self.most_memory_bytes
        print(f"{most / 1e6:.0f} MB held")  # noqa: T201 - shown by `pytest -rP`
        assert most <= MACHINE_MEMORY_BYTES, (
            f"{most / 1e6:.0f} MB held, {MACHINE_MEMORY_BYTES / 1e6:.0f} allowed"
        )


def _unread_bytes(process_id: int) -> int:
    """Return the bytes in the receive queues of the process's TCP connections."""
    sockets = _socket_inodes(process_id)
    unread_bytes = 0
    for line in Path("/proc/net/tcp").read_text("ascii").splitlines()[1:]:
        fields = line.split()
        listens = fields[3] == "0A"  # its queue counts connections
        if fields[9] in sockets and not listens:
            unread_bytes += int(fields[4].partition(":")[2], 16)
    return unread_bytes


def _socket_inodes(process_id: int) -> set[str]:
    inodes = set()
    with contextlib.suppress(OSError):
        for descriptor in os.scandir(f"/proc/{process_id}/fd"):
            with contextlib.suppress(OSError):
                target = os.readlink(descriptor.path)
                if target.startswith("socket:["):
                    inodes.add(target[len("socket:[") : -1])
    return inodes


@asynccontextmanager
async def _running(
    command: list[str], folder: Path, ports: Ports, max_descriptors: int | None
) -> AsyncIterator[SystemProcess]:
    log_file = folder / "log"

    def limit_descriptors() -> None:
        if max_descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

    with log_file.open("wb") as log:
        process = subprocess.Popen(  # noqa: ASYNC220 - it returns at once
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, preexec_fn=limit_descriptors
        )
    system = SystemProcess(process, ports, log_file)
    sampler = asyncio.create_task(system.sample_unread())
    try:
        yield system
    finally:
        sampler.cancel()
        process.kill()
        await asyncio.to_thread(process.wait)


@asynccontextmanager
async def gateway_process(folder: Path, max_descriptors: int | None = None) -> AsyncIterator[SystemProcess]:
    """Run a gateway node that is its whole fleet."""
    ports = Ports(*free_ports(4))
    settings = {
        "node": "alone",
        "zone": "z1",
        "host": HOST,
        "front_address": f"{HOST}:{ports.front}",
        "ready_address": f"{HOST}:{ports.ready}",
        "control_address": f"{HOST}:{ports.control}",
        "peer_port": str(ports.peer),
        "first_start": "true",
        "losses_tolerated": "0",
        "data_folder": str(folder / "data"),
    }
    file = folder / "node.toml"
    file.write_text("".join(f"{name} = '{value}'\n" for name, value in settings.items()), "utf-8")
    command = [sys.executable, "-m", "springmux.node.gateway", str(file)]
    async with _running(command, folder, ports, max_descriptors) as system:
        await _until_listening(system, ports.front)
        yield system


@asynccontextmanager
async def chat_process(folder: Path, max_descriptors: int | None = None) -> AsyncIterator[SystemProcess]:
    """Run a node of the chat-completions interface that is its whole fleet.

    Its client listener is ``front``, and its admin listener is ``control``. ``ready`` is the client's too.
    """
    client, admin, peer = free_ports(3)
    ports = Ports(front=client, ready=client, control=admin, peer=peer)
    settings = {
        "node": "alone",
        "zone": "z1",
        "client_address": f"{HOST}:{client}",
        "admin_address": f"{HOST}:{admin}",
        "peer_address": f"{HOST}:{peer}",
        "data_folder": str(folder / "data"),
        "controllers_expected": 1,
        "header_timeout_s": 60.0,
        "body_timeout_s": 60.0,
    }
    file = folder / "node.toml"
    file.write_text("".join(f"{name} = {json.dumps(value)}\n" for name, value in settings.items()), "utf-8")
    command = [sys.executable, "-m", "springmux", "node", "--settings", str(file)]
    async with _running(command, folder, ports, max_descriptors) as system:
        await _until_listening(system, ports.front)
        yield system


async def _until_listening(system: SystemProcess, port: int) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            assert system.lives, system.log()[-2000:]
            with contextlib.suppress(OSError), socket.create_connection((HOST, port), timeout=1.0):
                return
            await asyncio.sleep(POLL_S)


async def send_until_accepted(
    port: int, method: str, target: str, body: bytes, headers: dict[str, str] | None = None
) -> Response:
    """Send an operator's or engine's order until its response is a success, and return that."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            response = await request_once(HOST, port, method, target, headers or {}, body, 10.0)
            if response is not None and response.status < 300:
                return response
            await asyncio.sleep(POLL_S)
