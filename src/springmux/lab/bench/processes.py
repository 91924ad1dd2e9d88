"""Processor time and memory of processes (proc(5)), and the child processes of a measurement."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_STOP_TIMEOUT_S = 10.0


class Usage(msgspec.Struct, frozen=True):
    """Processor time since the start of a process (user and system), and its resident memory."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Return the usage of a running process.

    :raises OSError: if there is no such process.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    # Fields 14 and 15 of proc(5) (utime, stime); the list begins with field 3, after the name in parentheses.
    return Usage((int(fields[11]) + int(fields[12])) / _TICKS_PER_S, pages * _PAGE_BYTES)


class PythonProcess:
    """A child process that runs Python with ``arguments``; its output goes to ``log``."""

    def __init__(self, arguments: Sequence[str], log: Path) -> None:
        with log.open("ab") as output:
            self._process = subprocess.Popen([sys.executable, *arguments], stdout=output, stderr=output)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def stop(self) -> None:
        """End the process with SIGTERM, or with SIGKILL if it does not exit within 10 s."""
        self._process.terminate()
        try:
            self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
