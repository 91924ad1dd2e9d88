"""Gateway processes of a soak: starts, signals, exits, and the time of each node's last disturbance."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from springmux.lab.soak.engines import ControlEndpoint
from springmux.lab.soak.findings import Findings, Rule
from springmux.lab.soak.plan import SignalKind, SoakSize, Step

FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8001, 8002, 8003, 7300
SEEDS = 3
GRACE_S = 8.0
"""Grace period of a process between SIGTERM and SIGKILL."""
END_SLACK_S = 1.0
"""Extra time for a process to exit after its grace period, on a loaded machine."""
DISTURBANCE_EFFECT_S = 3.0
"""Time after the last disturbance until a node, or the group of controllers, counts as undisturbed."""
POLL_S = 0.02
MEMORY_BYTES = 200_000_000
"""Memory of the smallest machine on which a node runs."""
MEMORY_CHECK_PERIOD_S = 0.5


class SoakNode:
    """One node and its current process, if one runs."""

    def __init__(self, number: int, zone: str, host: str, folder: Path, has_disk: bool) -> None:
        self.number = number
        self.name = f"node-{number}"
        self.host = host
        self.has_disk = has_disk
        self.incarnation = 0
        """Number of processes started so far."""
        self.process: subprocess.Popen[bytes] | None = None
        self.stopping = False
        self.frozen = False
        self.frozen_s = 0.0
        """Total time that the current incarnation was frozen."""
        self.ended = asyncio.Event()
        self.started = False
        """Whether the current process listens."""
        self.undisturbed_from = 0.0
        self._zone = zone
        self._folder = folder
        self._killed_incarnation = 0
        self._log_begins_at = 0

    @property
    def running(self) -> bool:
        """Return whether there is a process, frozen or not."""
        return self.process is not None

    @property
    def log_file(self) -> Path:
        """Return the log file of the node's processes."""
        return self._folder / f"{self.name}.log"

    @property
    def was_killed(self) -> bool:
        """Return whether the soak sent SIGKILL to the current or last process."""
        return self._killed_incarnation == self.incarnation

    def write_settings(self, seeds: list[str], first_start: bool) -> None:
        """Write the settings file that the next start or SIGHUP reads."""
        settings = {
            "node": self.name,
            "zone": self._zone,
            "host": self.host,
            "front_address": f"{self.host}:{FRONT_PORT}",
            "ready_address": f"{self.host}:{READY_PORT}",
            "control_address": f"{self.host}:{CONTROL_PORT}",
            "peer_port": str(PEER_PORT),
            "first_start": str(first_start).lower(),
            "stop_grace_s": str(GRACE_S),
            "data_folder": str(self._folder / f"{self.name}-data") if self.has_disk else "",
        }
        text = "".join(f"{name} = '{value}'\n" for name, value in settings.items())
        seed_list = ", ".join(f"'{seed}:{CONTROL_PORT}'" for seed in seeds)
        new_file = self._settings_file.with_suffix(".new")
        new_file.write_text(text + f"seeds = [{seed_list}]\n", "utf-8")
        new_file.replace(self._settings_file)

    def start(self) -> None:
        """Start the node's next process."""
        self.incarnation += 1
        self.started = self.stopping = self.frozen = False
        self.frozen_s = 0.0
        self.ended = asyncio.Event()
        self._log_begins_at = self.log_file.stat().st_size if self.log_file.exists() else 0
        arguments = [sys.executable, "-m", "springmux.node.gateway", str(self._settings_file)]
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def record_disturbance(self, for_s: float = 0.0) -> None:
        """Record a disturbance that lasts ``for_s`` from now on."""
        self.undisturbed_from = max(self.undisturbed_from, time.monotonic() + for_s + DISTURBANCE_EFFECT_S)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the current process."""
        if self.process is not None:
            if signal_number == signal.SIGKILL:
                self._killed_incarnation = self.incarnation
            self.process.send_signal(signal_number)

    def has_logged(self, event: str) -> bool:
        """Return whether the current or last process logged a line that contains ``event``."""
        with self.log_file.open("rb") as log:
            log.seek(self._log_begins_at)
            return event.encode() in log.read()

    def poll(self) -> int | None:
        """Return the exit code if the process has exited since the last call."""
        if self.process is None:
            return None
        code = self.process.poll()
        if code is not None:
            self.process = None
            self.ended.set()
        return code

    def most_memory_bytes(self) -> int:
        """Return the most memory that the current process has held, 0 if there is none."""
        if self.process is None:
            return 0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
        except OSError:
            return 0
        peaks = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(peaks[0].split()[1]) * 1024 if peaks else 0

    @property
    def _settings_file(self) -> Path:
        return self._folder / f"{self.name}.toml"


class SoakFleet:
    """All nodes of a soak; executes the steps of a plan."""

    def __init__(self, size: SoakSize, folder: Path, findings: Findings, source: random.Random) -> None:
        self._findings = findings
        self._random = source
        self._controllers_undisturbed_from = 0.0
        process_id = os.getpid()
        network = f"127.{1 + process_id // 250 % 250}.{process_id % 250}"
        self.nodes = [
            SoakNode(
                number,
                f"zone-{number % size.zones}",
                f"{network}.{number + 1}",
                folder,
                number < size.controllers,
            )
            for number in range(size.nodes)
        ]
        self._seeds = [node.host for node in self.nodes[: min(SEEDS, size.controllers)]]
        self._watch_task: asyncio.Task[None] | None = None
        self._memory_check_at = 0.0
        self._stopping_all = False

    def control_endpoints(self) -> list[ControlEndpoint]:
        """Return the control listeners of all nodes."""
        return [ControlEndpoint(node.host, CONTROL_PORT) for node in self.nodes]

    def is_undisturbed(self, node: SoakNode, now: float) -> bool:
        """Return whether node and controllers had no recent disturbance.

        A stop of the node itself does not count as a disturbance.
        """
        own = node.started and not node.frozen and now >= node.undisturbed_from
        return own and now >= self._controllers_undisturbed_from and self._controllers_run()

    def _controllers_run(self) -> bool:
        """Return whether a majority of the controllers runs and no controller is starting."""
        controllers = [node for node in self.nodes if node.has_disk]
        usable = [node for node in controllers if node.running and node.started and not node.frozen]
        return 2 * len(usable) > len(controllers) and not any(
            node.running and not node.started for node in controllers
        )

    def start_all(self) -> None:
        """Start the fleet for the first time."""
        for node in self.nodes:
            node.write_settings(self._seeds, first_start=True)
        for node in self.nodes:
            self._start(node)
        self._watch_task = asyncio.get_running_loop().create_task(self._watch_processes())

    async def execute(self, step: Step) -> None:
        """Execute one step, with the restart or thaw that follows it."""
        node = self.nodes[step.node]
        if not node.running:
            return
        match step.kind:
            case SignalKind.TERMINATE:
                await self._terminate(node, step.for_s)
            case SignalKind.KILL:
                await self._kill(node, step.for_s)
            case SignalKind.FREEZE:
                await self._freeze(node, step.for_s)
            case SignalKind.HANG_UP:
                self._hang_up(node)

    async def stop_all(self) -> None:
        """Stop every process gracefully and check that each exits in time."""
        self._stopping_all = True
        await asyncio.gather(*(self._stop(node) for node in self.nodes if node.running))
        if self._watch_task is not None:
            self._watch_task.cancel()
            await asyncio.gather(self._watch_task, return_exceptions=True)

    def kill_all(self) -> None:
        """Kill every process that still runs."""
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()

    def _start(self, node: SoakNode) -> None:
        if not self._stopping_all and not node.running:
            node.start()
            self._record_disturbance(node)

    def _record_disturbance(self, node: SoakNode, for_s: float = 0.0) -> None:
        """Record a disturbance of a node that lasts ``for_s`` from now on."""
        node.record_disturbance(for_s)
        self._record_controller_disturbance(node, for_s)

    def _record_controller_disturbance(self, node: SoakNode, for_s: float = 0.0) -> None:
        if node.has_disk:
            until = time.monotonic() + for_s + DISTURBANCE_EFFECT_S
            self._controllers_undisturbed_from = max(self._controllers_undisturbed_from, until)

    async def _terminate(self, node: SoakNode, down_s: float) -> None:
        if await self._stop(node):
            await asyncio.sleep(down_s)
            node.write_settings(self._seeds, first_start=False)
            self._start(node)

    async def _stop(self, node: SoakNode) -> bool:
        """Stop a process; return ``False`` if it was already stopping or a newer one has started."""
        incarnation, already_stopping = node.incarnation, node.stopping
        node.stopping = True
        self._record_controller_disturbance(node)
        node.send(signal.SIGTERM)
        if already_stopping:
            return False
        began_at = time.monotonic()
        while not node.ended.is_set():
            if time.monotonic() - began_at > GRACE_S + END_SLACK_S + node.frozen_s and not node.frozen:
                self._findings.add(Rule.END, f"{node.name} runs {GRACE_S:g} s after its stop was asked for")
                node.send(signal.SIGKILL)
            await asyncio.sleep(POLL_S)
        return node.incarnation == incarnation

    async def _kill(self, node: SoakNode, down_s: float) -> None:
        self._record_disturbance(node)
        node.send(signal.SIGKILL)
        await node.ended.wait()
        await asyncio.sleep(down_s)
        if not node.running:
            node.write_settings(self._seeds, first_start=False)
            self._start(node)

    async def _freeze(self, node: SoakNode, for_s: float) -> None:
        if node.frozen:
            return
        incarnation = node.incarnation
        node.frozen = True
        self._record_disturbance(node, for_s)
        node.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if node.incarnation == incarnation and node.running:
            node.frozen = False
            node.frozen_s += for_s
            self._record_disturbance(node)
            node.send(signal.SIGCONT)

    def _hang_up(self, node: SoakNode) -> None:
        running = [other.host for other in self.nodes if other.running]
        self._seeds = self._random.sample(running, min(SEEDS, len(running)))
        node.write_settings(self._seeds, first_start=False)
        node.send(signal.SIGHUP)

    def _detect_start(self, node: SoakNode) -> None:
        if node.running and not node.started and node.has_logged("node_started"):
            node.started = True
            self._record_disturbance(node)

    def _check_memory(self) -> None:
        """Check the peak memory of every process, now and then."""
        now = time.monotonic()
        if now < self._memory_check_at:
            return
        self._memory_check_at = now + MEMORY_CHECK_PERIOD_S
        for node in self.nodes:
            held_bytes = node.most_memory_bytes()
            if held_bytes > MEMORY_BYTES:
                what = f"{node.name} (life {node.incarnation}) held {held_bytes / 1e6:.0f} MB"
                self._findings.add(Rule.BOUNDED, what)

    async def _watch_processes(self) -> None:
        """Detect exits; an unrequested exit, or a requested one with a code other than 0, is a finding."""
        while True:
            self._check_memory()
            for node in self.nodes:
                self._detect_start(node)
                code = node.poll()
                if code is None or node.was_killed or (node.stopping and code == 0):
                    continue
                if not _exited_before_handlers(node, code):
                    reason = "was asked to stop and" if node.stopping else "was asked nothing but"
                    self._findings.add(
                        Rule.END, f"{node.name} (life {node.incarnation}) {reason} ended with {code}"
                    )
                if not node.stopping:
                    self._start(node)
            await asyncio.sleep(POLL_S)


def _exited_before_handlers(node: SoakNode, code: int) -> bool:
    """Return whether a process may exit with ``code`` because it had no signal handler yet.

    That holds for SIGTERM until it has logged ``node_started``, and for SIGHUP until its first log line.
    """
    if code == -signal.SIGTERM:
        return node.stopping and not node.has_logged("node_started")
    return code == -signal.SIGHUP and not node.has_logged("event")
