"""Starts, stops, kills and freezes the processes of a fleet on loopback. For developers and experiments."""

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

BECOMING_S = 1.0
"""How long a process that was just started may be without a command line, on a busy machine."""
BECOMING_LOOK_S = 0.005
STOP_GRACE_S = 15.0
POLL_S = 0.05


def node_command(layout: NodeLayout) -> list[str]:
    """Return the command line of a node's daemon."""
    return [sys.executable, "-m", "springmux", "node", "--settings", layout.settings_file]


class Supervisor:
    """Owns the processes of one fleet. Also works on a fleet that another shell started (by process id).

    :param command: gives a node's command line; it must hold the settings file's name.
    """

    def __init__(
        self, layout: FleetLayout, command: Callable[[NodeLayout], list[str]] = node_command
    ) -> None:
        self.layout = layout
        self._command = command
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_all(self) -> None:
        """Start every node that doesn't run."""
        for node in self.layout.nodes:
            if not self.running(node.node):
                self.start(node.node)

    def start(self, node: str) -> None:
        """Start one node; returns at once."""
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
        """Say whether the node's process exists (a frozen one does)."""
        layout = self.layout.find(node)
        process = self._processes.get(node)
        if process is not None:
            return process.poll() is None
        return layout.pid > 0 and _is_ours(layout)

    def kill(self, node: str) -> None:
        """End a node without warning (SIGKILL)."""
        self._signal(node, signal.SIGKILL)
        self._reap(node, STOP_GRACE_S)

    def kill_all(self) -> None:
        """End every node at once without warning, as a loss of power does."""
        running = [node.node for node in self.layout.nodes if self.running(node.node)]
        for node in running:
            self._signal_if_running(node, signal.SIGKILL)
        for node in running:
            self._reap(node, STOP_GRACE_S)

    def freeze(self, node: str) -> None:
        """Stop a node's process from running (SIGSTOP); its connections stay."""
        self._signal(node, signal.SIGSTOP)

    def thaw(self, node: str) -> None:
        """Let a frozen node go on (SIGCONT)."""
        self._signal(node, signal.SIGCONT)

    def stop(self, node: str, grace_s: float = STOP_GRACE_S) -> bool:
        """Ask a node to stop (SIGTERM); kill it after ``grace_s``. ``True`` if it stopped by itself."""
        self._signal(node, signal.SIGTERM)
        if self._reap(node, grace_s):
            return True
        self.kill(node)
        return False

    def restart(self, node: str, orderly: bool = True) -> None:
        """Stop (or kill) a node and start it again."""
        if self.running(node):
            if orderly:
                self.stop(node)
            else:
                self.kill(node)
        self.start(node)

    def wipe(self, node: str) -> None:
        """Delete the data folder of a node that doesn't run: its machine came back empty."""
        layout = self.layout.find(node)
        if self.running(node):
            raise FleetError(f"{node} runs; stop or kill it before its data is wiped")
        if layout.data_folder:
            shutil.rmtree(layout.data_folder, ignore_errors=True)

    def stop_all(self) -> None:
        """End every node; frozen ones are thawed first so that they can stop."""
        running = [node.node for node in self.layout.nodes if self.running(node.node)]
        for node in running:
            self._signal_if_running(node, signal.SIGCONT)
            self._signal_if_running(node, signal.SIGTERM)
        deadline = time.monotonic() + STOP_GRACE_S
        for node in running:
            if not self._reap(node, max(0.0, deadline - time.monotonic())):
                self._signal_if_running(node, signal.SIGKILL)
                self._reap(node, STOP_GRACE_S)

    def _signal(self, node: str, number: signal.Signals) -> None:
        if not self.running(node):
            raise FleetError(f"{node} doesn't run")
        self._signal_if_running(node, number)

    def _signal_if_running(self, node: str, number: signal.Signals) -> None:
        """Signal a node unless it has ended, perhaps just now (Ctrl-C reaches every process at once)."""
        if self.running(node):
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.layout.find(node).pid, number)

    def _reap(self, node: str, within_s: float) -> bool:
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


def _is_ours(layout: NodeLayout) -> bool:
    """Check by its command line that the process id still belongs to this node.

    A process that was just started has an empty one for a moment, while it becomes the new program.
    """
    deadline = time.monotonic() + BECOMING_S
    while True:
        try:
            command = Path(f"/proc/{layout.pid}/cmdline").read_bytes()
            state = Path(f"/proc/{layout.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
        except OSError:
            return False
        if command or state == "Z" or time.monotonic() >= deadline:
            return layout.settings_file.encode() in command and state != "Z"
        time.sleep(BECOMING_LOOK_S)
