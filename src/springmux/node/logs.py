"""Structured logs: one JSON line an event with a stable name; never a key or a prompt's text."""

from __future__ import annotations

import contextlib
import json
import sys
import threading
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any, TextIO

from springmux.coordination.state_machine import LogLevel, LogLine

FORBIDDEN_FIELDS = frozenset({"key", "body", "prompt", "authorization", "secret", "peer_secret"})
"""Field names whose values are blanked as a last resort; nobody should log them at all."""

_SEVERITIES = {
    LogLevel.DEBUG: 10,
    LogLevel.INFO: 20,
    LogLevel.WARNING: 30,
    LogLevel.ERROR: 40,
}
"""Ranks of the levels, as in the standard library's logging."""

_RENAMED = {"node": "about_node", "event": "about_event", "name": "about_name", "level": "about_level"}
"""A line's own names stay its own: ``node`` is the writer, ``about_node`` whom a part speaks of."""


def _json_line(line: Mapping[str, Any]) -> str:
    return json.dumps(line, default=str)


def _console_renderer() -> Callable[[Mapping[str, Any]], str]:
    """Return a renderer for people; its package is not needed by a node in service."""
    import structlog

    renderer = structlog.dev.ConsoleRenderer(colors=False)
    return lambda line: str(renderer(None, str(line["level"]), dict(line)))


class EventLog:
    """Writes events of one node as lines. Wall-clock times label lines and decide nothing."""

    def __init__(
        self, node: str, level: str = "info", line_format: str = "json", output: TextIO | None = None
    ) -> None:
        self._node = node
        self._output = output or sys.stderr
        self._render = _console_renderer() if line_format == "console" else _json_line
        self._threshold = _SEVERITIES[LogLevel(level)]
        self._lock = threading.Lock()

    def writes(self, level: LogLevel) -> bool:
        """Say whether lines of this level are written."""
        return _SEVERITIES[level] >= self._threshold

    def write(self, name: str, level: LogLevel = LogLevel.INFO, **fields: Any) -> None:
        """Write one line named ``name``."""
        if _SEVERITIES[level] >= self._threshold:
            self._write(name, level, fields, {})

    def note(self, note: LogLine) -> None:
        """Write a part's :class:`LogLine`."""
        if _SEVERITIES[note.level] >= self._threshold:
            fields = {_RENAMED.get(name, name): value for name, value in note.fields.items()}
            self._write(note.name, note.level, fields, {})

    def crash(self, name: str, error: BaseException) -> None:
        """Write an unexpected exception with its traceback (no local values)."""
        import traceback

        text = "".join(traceback.format_exception(error)).rstrip("\n")
        self._write(name, LogLevel.ERROR, {}, {"exception": text})

    def _write(self, name: str, level: LogLevel, fields: Mapping[str, Any], after: Mapping[str, Any]) -> None:
        now = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        line = {
            "node": self._node,
            **fields,
            "event": name,
            "level": level.value,
            "timestamp": now,
            **after,
        }
        for forbidden in FORBIDDEN_FIELDS & line.keys():
            line[forbidden] = "[removed]"
        text = self._render(line) + "\n"
        # A full disk or a closed pipe below the log must not end the node.
        with contextlib.suppress(OSError), self._lock:
            self._output.write(text)
            self._output.flush()
