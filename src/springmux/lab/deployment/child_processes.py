"""Processes that the lab runs in addition to a fleet: hosts of back ends, and load clients."""

from __future__ import annotations

import contextlib
import subprocess
import sys
from pathlib import Path

STOP_GRACE_S = 5.0
"""Time that a process has after SIGTERM to flush its records."""
PRIVATE_MODE = 0o600
"""Settings files are readable by their owner only, as the clients' settings contain keys."""


class ChildProcesses:
    """Processes ``springmux lab COMMAND --settings FILE``; their settings and logs are under one folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, command: str, settings: bytes) -> None:
        """Start ``springmux lab COMMAND`` as the process ``name`` with the encoded ``settings``."""
        file = self._folder / "settings" / f"{name}.json"
        file.touch(PRIVATE_MODE)
        file.write_bytes(settings)
        arguments = [sys.executable, "-m", "springmux", "lab", command, "--settings", str(file)]
        with (self._folder / "logs" / f"{name}.log").open("ab") as log:
            self._children[name] = subprocess.Popen(
                arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def running(self, name: str) -> bool:
        """Return whether the process is still running."""
        return self._children[name].poll() is None

    def exit_code(self, name: str) -> int | None:
        """Return the exit code, or ``None`` while the process runs."""
        return self._children[name].poll()

    def stop_all(self) -> None:
        """End every process (SIGTERM, then SIGKILL) and wait for its exit (blocking)."""
        running = [child for child in self._children.values() if child.poll() is None]
        for child in running:
            child.terminate()
        for child in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                child.wait(STOP_GRACE_S)
            if child.poll() is None:
                child.kill()
                child.wait()
