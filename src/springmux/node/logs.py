"""Structured logs: one JSON line per event with a stable name; never a key or a prompt's text."""

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
"""Field names whose values are redacted as a last resort; no component should log them at all."""

_SEVERITIES = {
    LogLevel.DEBUG: 10,
    LogLevel.INFO: 20,
    LogLevel.WARNING: 30,
    LogLevel.ERROR: 40,
}
"""Ranks of the levels, as in the standard library's logging."""

_RENAMED = {"node": "about_node", "event": "about_event", "name": "about_name", "level": "about_level"}
"""Fields that would hide a line's own: ``node`` is the writer, ``about_node`` the subject of the line."""


def _json_line(line: Mapping[str, object]) -> str:
    return json.dumps(line, default=str)


def _console_renderer() -> Callable[[Mapping[str, object]], str]:
    """Return a human-readable renderer; imported late, because nodes in production don't need it."""
    import structlog

    renderer = structlog.dev.ConsoleRenderer(colors=False)
    return lambda line: str(renderer(None, str(line["level"]), dict(line)))


class EventLog:
    """Writes events of one node as lines. Wall-clock times only label lines."""

    def __init__(
        self, node: str, level: str = "info", line_format: str = "json", output: TextIO | None = None
    ) -> None:
        self._node = node
        self._output = output or sys.stderr
        self._render = _console_renderer() if line_format == "console" else _json_line
        self._threshold = _SEVERITIES[LogLevel(level)]
        self._lock = threading.Lock()

    def writes(self, level: LogLevel) -> bool:
        """Return whether lines of this level are written."""
        return _SEVERITIES[level] >= self._threshold

    def write(self, name: str, level: LogLevel = LogLevel.INFO, **fields: object) -> None:
        """Write one line named ``name``."""
        if _SEVERITIES[level] >= self._threshold:
            self._write(name, level, fields, {})

    def write_line(self, line: LogLine) -> None:
        """Write a state machine's :class:`LogLine`."""
        if _SEVERITIES[line.level] >= self._threshold:
            fields = {_RENAMED.get(name, name): value for name, value in line.fields.items()}
            self._write(line.name, line.level, fields, {})

    def crash(self, name: str, error: BaseException) -> None:
        """Write an unexpected exception with its traceback (no local values)."""
        import traceback

        text = "".join(traceback.format_exception(error)).rstrip("\n")
        self._write(name, LogLevel.ERROR, {}, {"exception": text})

    def _write(
        self, name: str, level: LogLevel, fields: Mapping[str, object], after: Mapping[str, object]
    ) -> None:
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
        # A full disk or a closed pipe must not end the node.
        with contextlib.suppress(OSError), self._lock:
            self._output.write(text)
            self._output.flush()
