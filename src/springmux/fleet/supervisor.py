"""Start, stop, kill and freeze the processes of a fleet on loopback, for development and experiments."""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from springmux.fleet.layout import FleetError, FleetLayout, NodeLayout

EXEC_TIMEOUT_S = 1.0
"""Time allowed on a busy machine for a new process to get its command line (between fork and exec)."""
EXEC_POLL_S = 0.005
STOP_GRACE_S = 15.0
POLL_S = 0.05


def node_command(layout: NodeLayout) -> list[str]:
    """Return the command line of a node's daemon."""
    return [sys.executable, "-m", "springmux", "node", "--settings", layout.settings_file]


class Supervisor:
    """Controls the processes of one fleet, including those that another shell started (by process id).

    :param command: returns a node's command line, which must contain the settings file's name.
    """

    def __init__(
        self, layout: FleetLayout, command: Callable[[NodeLayout], list[str]] = node_command
    ) -> None:
        self.layout = layout
        self._command = command
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_all(self) -> None:
        """Start every node that isn't running."""
        for node in self.layout.nodes:
            if not self.running(node.node):
                self.start(node.node)

    def start(self, node: str) -> None:
        """Start one node without waiting until it is ready.

        :raises FleetError: if it is running.
        """
        layout = self.layout.find(node)
        if self.running(node):
            raise FleetError(f"{node} runs already (process {layout.pid})")
        with open(layout.log_file, "ab") as log:
            process = subprocess.Popen(
                self._command(layout), stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self._processes[node] = process
        layout.pid = process.pid
        self.layout.save()

    def running(self, node: str) -> bool:
        """Return whether the node's process exists; a frozen process does."""
        layout = self.layout.find(node)
        process = self._processes.get(node)
        if process is not None:
            return process.poll() is None
        return layout.pid > 0 and _is_process_of(layout)

    def kill(self, node: str) -> None:
        """Kill a node (SIGKILL).

        :raises FleetError: if it isn't running.
        """
        self._signal(node, signal.SIGKILL)
        self._wait_for_exit(node, STOP_GRACE_S)

    def kill_all(self) -> None:
        """Kill all nodes at the same time, as a power failure does."""
        running = [node.node for node in self.layout.nodes if self.running(node.node)]
        for node in running:
            self._signal_if_running(node, signal.SIGKILL)
        for node in running:
            self._wait_for_exit(node, STOP_GRACE_S)

    def freeze(self, node: str) -> None:
        """Suspend a node's process (SIGSTOP); its connections stay open.

        :raises FleetError: if it isn't running.
        """
        self._signal(node, signal.SIGSTOP)

    def thaw(self, node: str) -> None:
        """Resume a frozen node (SIGCONT).

        :raises FleetError: if it isn't running.
        """
        self._signal(node, signal.SIGCONT)

    def stop(self, node: str, grace_s: float = STOP_GRACE_S) -> bool:
        """Stop a node (SIGTERM); if it still runs after ``grace_s`` seconds, kill it.

        Return whether the node ended without being killed.

        :raises FleetError: if it isn't running.
        """
        self._signal(node, signal.SIGTERM)
        if self._wait_for_exit(node, grace_s):
            return True
        self.kill(node)
        return False

    def restart(self, node: str, orderly: bool = True) -> None:
        """Stop a node, or kill it if not ``orderly``, and start it again."""
        if self.running(node):
            if orderly:
                self.stop(node)
            else:
                self.kill(node)
        self.start(node)

    def wipe(self, node: str) -> None:
        """Delete the data folder of a stopped node, as when its machine was replaced.

        :raises FleetError: if it is running.
        """
        layout = self.layout.find(node)
        if self.running(node):
            raise FleetError(f"{node} runs; stop or kill it before its data is wiped")
        if layout.data_folder:
            shutil.rmtree(layout.data_folder, ignore_errors=True)

    def stop_all(self) -> None:
        """Stop every node; resume frozen ones first so that they can stop."""
        running = [node.node for node in self.layout.nodes if self.running(node.node)]
        for node in running:
            self._signal_if_running(node, signal.SIGCONT)
            self._signal_if_running(node, signal.SIGTERM)
        deadline = time.monotonic() + STOP_GRACE_S
        for node in running:
            if not self._wait_for_exit(node, max(0.0, deadline - time.monotonic())):
                self._signal_if_running(node, signal.SIGKILL)
                self._wait_for_exit(node, STOP_GRACE_S)

    def _signal(self, node: str, number: signal.Signals) -> None:
        if not self.running(node):
            raise FleetError(f"{node} doesn't run")
        self._signal_if_running(node, number)

    def _signal_if_running(self, node: str, number: signal.Signals) -> None:
        """Signal a node unless its process has ended, perhaps just now: Ctrl-C signals all processes."""
        if self.running(node):
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.layout.find(node).pid, number)

    def _wait_for_exit(self, node: str, within_s: float) -> bool:
        layout = self.layout.find(node)
        deadline = time.monotonic() + within_s
        while self.running(node):
            if time.monotonic() >= deadline:
                return False
            time.sleep(POLL_S)
        self._processes.pop(node, None)
        layout.pid = 0
        self.layout.save()
        return True


def _is_process_of(layout: NodeLayout) -> bool:
    """Return whether the process id still belongs to this node, according to its command line.

    The command line of a new process is empty until the process executes its program.
    """
    deadline = time.monotonic() + EXEC_TIMEOUT_S
    while True:
        try:
            command = Path(f"/proc/{layout.pid}/cmdline").read_bytes()
            state = Path(f"/proc/{layout.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
        except OSError:
            return False
        if command or state == "Z" or time.monotonic() >= deadline:
            return layout.settings_file.encode() in command and state != "Z"
        time.sleep(EXEC_POLL_S)
