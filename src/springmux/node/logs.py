"""Structured logs: one JSON line per event, with a stable event name and never an API key or prompt text."""

from __future__ import annotations

import contextlib
import json
import sys
import threading
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import TextIO

from springmux.coordination.state_machine import LogLevel, LogLine

FORBIDDEN_FIELDS = frozenset({"key", "body", "prompt", "authorization", "secret", "peer_secret"})
"""Field names whose values are redacted as a last resort. No component should log such fields at all."""

_SEVERITIES = {
    LogLevel.DEBUG: 10,
    LogLevel.INFO: 20,
    LogLevel.WARNING: 30,
    LogLevel.ERROR: 40,
}
"""Numeric severities, as in the standard library's logging."""

_RENAMED_FIELDS = {"node": "about_node", "event": "about_event", "name": "about_name", "level": "about_level"}
"""New names of fields that would overwrite a line's own fields.

``node`` is the node that writes the line, ``about_node`` the node that the line is about.
"""


def _json_line(line: Mapping[str, object]) -> str:
    return json.dumps(line, default=str)


def _console_renderer() -> Callable[[Mapping[str, object]], str]:
    """Return a human-readable renderer. Imports its library here because it is not needed in production."""
    import structlog

    renderer = structlog.dev.ConsoleRenderer(colors=False)
    return lambda line: str(renderer(None, str(line["level"]), dict(line)))


class EventLog:
    """Writes the events of one node as lines. The wall clock is used for timestamps only."""

    def __init__(
        self, node: str, level: str = "info", line_format: str = "json", output: TextIO | None = None
    ) -> None:
        self._node = node
        self._output = output or sys.stderr
        self._render = _console_renderer() if line_format == "console" else _json_line
        self._threshold = _SEVERITIES[LogLevel(level)]
        self._lock = threading.Lock()

    def is_enabled_for(self, level: LogLevel) -> bool:
        """Return whether lines of this level are written."""
        return _SEVERITIES[level] >= self._threshold

    def write(self, name: str, level: LogLevel = LogLevel.INFO, **fields: object) -> None:
        """Write one line for the event ``name`` if ``level`` is at or above the threshold."""
        if _SEVERITIES[level] >= self._threshold:
            self._write(name, level, fields, {})

    def write_line(self, line: LogLine) -> None:
        """Write a state machine's :class:`LogLine`."""
        if _SEVERITIES[line.level] >= self._threshold:
            fields = {_RENAMED_FIELDS.get(name, name): value for name, value in line.fields.items()}
            self._write(line.name, line.level, fields, {})

    def crash(self, name: str, error: BaseException) -> None:
        """Write an unexpected exception with its traceback, without the values of local variables."""
        import traceback

        text = "".join(traceback.format_exception(error)).rstrip("\n")
        self._write(name, LogLevel.ERROR, {}, {"exception": text})

    def _write(
        self, name: str, level: LogLevel, fields: Mapping[str, object], trailing: Mapping[str, object]
    ) -> None:
        now = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        line = {
            "node": self._node,
            **fields,
            "event": name,
            "level": level.value,
            "timestamp": now,
            **trailing,
        }
        for forbidden in FORBIDDEN_FIELDS & line.keys():
            line[forbidden] = "[removed]"
        text = self._render(line) + "\n"
        # A failed write (full disk, closed pipe) must not end the node.
        with contextlib.suppress(OSError), self._lock:
            self._output.write(text)
            self._output.flush()
