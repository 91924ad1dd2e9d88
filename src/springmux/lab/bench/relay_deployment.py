"""Processes that the measurement of the data plane uses: a back end, a bare relay, a fleet of one node."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from springmux.fleet.layout import FleetOptions, NodeLayout, NodeSpec, create_layout, free_ports
from springmux.fleet.supervisor import Supervisor
from springmux.lab.bench.processes import PythonProcess
from springmux.lab.bench.relay_client import KEY, ROUTE, ClientPlan, ClientResult
from springmux.lab.plan import BackEndPlan
from springmux.lab.stand_ins.host import HostedBackEnd, HostSettings
from springmux.simulation.engine_model import EngineSpec
from springmux.vocabulary.errors import SpringmuxError

IMMEDIATE_ENGINE = EngineSpec(
    slots=512,
    prefill_tokens_per_s=1e12,
    decode_gap_s=0.0,
    decode_gap_full_s=0.0,
    fixed_delay_s=0.0,
    jitter=0.0,
)
PACED_ENGINE = msgspec.structs.replace(IMMEDIATE_ENGINE, decode_gap_s=0.005, decode_gap_full_s=0.005)
"""Engine whose chunks are far enough apart that each arrives separately, as those of a real model."""
START_TIMEOUT_S = 30.0
_POLL_S = 0.1
_CLIENT_TIMEOUT_S = 900.0
CONFIGURATION = {
    "services": {"text": {"stable": "v1"}},
    "routes": {ROUTE: {"kind": "prompt", "service": "text", "class": "interactive"}},
}


class BenchProcessError(SpringmuxError):
    """Processes of a measurement did not start or work as required; their logs are in its folder."""


class RelayDeployment(msgspec.Struct, frozen=True):
    """The running processes: the node, and process id and address of the relay."""

    node: NodeLayout
    relay_pid: int
    relay_address: str
    profile_file: str = ""


@contextlib.contextmanager
def run_relay_deployment(
    folder: Path, profile: bool = False, spec: EngineSpec = IMMEDIATE_ENGINE
) -> Iterator[RelayDeployment]:
    """Start the processes, wait until node and relay serve requests, and stop the processes at the end.

    :param profile: run the node under cProfile, which distorts its measured cost.
    :raises BenchProcessError: if a process does not serve requests within 30 s.
    """
    folder.mkdir(parents=True, exist_ok=True)
    engine_port, relay_port, control_port = free_ports(3)
    engine_address, relay_address = f"127.0.0.1:{engine_port}", f"127.0.0.1:{relay_port}"
    layout = create_layout(
        folder / "fleet",
        [NodeSpec(node="bench-1", zone="bench", controller=True)],
        FleetOptions(controllers_expected=1, log_level="warning"),
    )
    node = layout.nodes[0]
    profile_file = str(folder / "node.profile") if profile else ""
    supervisor = Supervisor(layout, lambda node_layout: _node_command(node_layout, profile_file))
    processes: list[PythonProcess] = []
    try:
        supervisor.start_all()
        processes.append(
            _start_back_end(folder, engine_address, f"127.0.0.1:{control_port}", node.admin_address, spec)
        )
        arguments = ["-m", "springmux.lab.bench.bare_relay", relay_address, engine_address]
        processes.append(PythonProcess(arguments, folder / "relay.log"))
        _configure(node)
        _wait_for(lambda: _serves_requests(node.client_address), "the node does not serve requests")
        _wait_for(lambda: _serves_requests(relay_address), "the relay does not serve requests")
        yield RelayDeployment(node, processes[1].pid, relay_address, profile_file)
    finally:
        for process in processes:
            process.stop()
        supervisor.stop_all()


def run_client(plan: ClientPlan) -> ClientResult:
    """Run a load client as a process, wait for its end and return its result."""
    command = [sys.executable, "-m", "springmux.lab.bench.relay_client", msgspec.json.encode(plan).decode()]
    finished = subprocess.run(command, capture_output=True, timeout=_CLIENT_TIMEOUT_S, check=True)
    return msgspec.json.decode(finished.stdout, type=ClientResult)


def _node_command(node: NodeLayout, profile_file: str) -> list[str]:
    profiler = ["-m", "cProfile", "-o", profile_file] if profile_file else []
    return [sys.executable, *profiler, "-m", "springmux", "node", "--settings", node.settings_file]


def _start_back_end(
    folder: Path, address: str, control_address: str, admin_address: str, spec: EngineSpec
) -> PythonProcess:
    plan = BackEndPlan(kind="model", service="text", version="v1", count=1, lateness_s=0.0, spec=spec)
    settings = HostSettings(
        control_address=control_address,
        admin_addresses=[admin_address],
        back_ends=[HostedBackEnd(engine="bench-engine", address=address, plan=plan)],
        record_file=str(folder / "back-end.records"),
    )
    file = folder / "back-end.json"
    file.write_bytes(msgspec.json.encode(settings))
    return PythonProcess(
        ["-m", "springmux", "lab", "backends", "--settings", str(file)], folder / "back-end.log"
    )


def _configure(node: NodeLayout) -> None:
    tenant = {"tokens_per_s": 1e9, "burst_tokens": 1e9}
    orders = (
        ("/v1/configuration?version=1", CONFIGURATION),
        ("/v1/tenants/bench", tenant),
        ("/v1/keys/bench", {"tenant": "bench", "key": KEY}),
    )
    for path, body in orders:
        _wait_for(
            lambda path=path, body=body: _put(node.admin_address, path, body),  # type: ignore[misc]
            f"the node does not accept PUT {path}",
        )


def _put(address: str, path: str, body: object) -> bool:
    request = urllib.request.Request(f"http://{address}{path}", msgspec.json.encode(body), method="PUT")
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=5.0) as response:
            return bool(response.status == 200)
    except (urllib.error.URLError, OSError):
        return False


def _serves_requests(address: str) -> bool:
    plan = ClientPlan(address=address, requests=1, chunks=2, stream=True, concurrency=1)
    return run_client(plan).complete == 1


def _wait_for(condition: Callable[[], bool], failure: str) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise BenchProcessError(failure)
        time.sleep(_POLL_S)
