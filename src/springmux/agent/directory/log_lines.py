"""Log lines of the engine directory."""

from __future__ import annotations

from springmux.agent.directory.entry import DirectoryEntry
from springmux.coordination.state_machine import Effect, LogLevel, LogLine
from springmux.vocabulary.names import EngineId


def status_log_line(before: DirectoryEntry | None, entry: DirectoryEntry) -> list[Effect]:
    """Return the log line if an engine's status changed, or whether it is lost; else an empty list."""
    if before is not None and before.status is entry.status and before.lost == entry.lost:
        return []
    level = LogLevel.WARNING if entry.lost and not entry.left else LogLevel.INFO
    fields = {
        "engine": entry.record.engine,
        "status": entry.status.value,
        "draining": entry.draining,
        "lost": entry.lost,
    }
    return [LogLine("directory_status", level, fields)]


def outdated_incarnation_log_line(engine: EngineId, incarnation: int) -> LogLine:
    """Return the log line for a message about an earlier incarnation."""
    fields = {"engine": engine, "incarnation": incarnation}
    return LogLine("directory_old_life", LogLevel.WARNING, fields)
