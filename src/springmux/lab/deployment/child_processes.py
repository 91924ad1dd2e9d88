"""The lab's own processes beside a fleet: back ends and clients."""

from __future__ import annotations

import contextlib
import subprocess
import sys
from pathlib import Path

STOP_GRACE_S = 5.0
"""Time to flush records after SIGTERM."""
PRIVATE_MODE = 0o600
"""The clients' settings contain keys."""


class ChildProcesses:
    """Processes ``springmux lab NAME --settings FILE`` with files and logs under one folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, command: str, settings: bytes) -> None:
        """Start the process ``name`` that runs the lab's ``command``."""
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
        """Return the exit code, ``None`` while the process runs."""
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
