"""Log lines: order of fields, levels, redacted secrets, failing outputs.

Guards against secrets in the log, against lines that can't be parsed, and against a log that ends the node.
"""

from __future__ import annotations

import io
import json
import re

import pytest

from springmux.coordination.state_machine import LogLevel, LogLine
from springmux.node.logs import FORBIDDEN_FIELDS, EventLog


def make_log(log_level: str = "info", line_format: str = "json") -> tuple[EventLog, io.StringIO]:
    output = io.StringIO()
    return EventLog("n1", log_level, line_format, output), output


def test_a_line_contains_node_fields_event_level_and_timestamp() -> None:
    log, output = make_log()
    log.write("peer_refused", LogLevel.WARNING, reason="secret", count=3, path=LogLevel)
    (text,) = output.getvalue().splitlines()
    line = json.loads(text)
    assert list(line) == ["node", "reason", "count", "path", "event", "level", "timestamp"]
    assert (line["node"], line["event"], line["level"]) == ("n1", "peer_refused", "warning")
    assert (line["reason"], line["count"], line["path"]) == ("secret", 3, str(LogLevel))
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{6})?Z", line["timestamp"])


def test_fields_that_would_overwrite_a_lines_own_fields_are_renamed() -> None:
    log, output = make_log()
    log.write_line(LogLine("moved", fields={"node": "n2", "event": "x", "name": "y", "level": "z"}))
    line = json.loads(output.getvalue())
    assert (line["node"], line["event"], line["level"]) == ("n1", "moved", "info")
    assert [line[f"about_{name}"] for name in ("node", "event", "name", "level")] == ["n2", "x", "y", "z"]


@pytest.mark.parametrize("threshold", list(LogLevel))
def test_lines_below_the_threshold_are_not_written(threshold: LogLevel) -> None:
    log, output = make_log(threshold.value)
    for level in LogLevel:
        log.write("by_write", level)
        log.write_line(LogLine("by_write_line", level))
    levels = [json.loads(line)["level"] for line in output.getvalue().splitlines()]
    order = list(LogLevel)
    assert levels == [level for level in order[order.index(threshold) :] for _ in range(2)]


@pytest.mark.parametrize("line_format", ["json", "console"])
def test_secrets_are_redacted_and_a_crash_has_its_traceback(line_format: str) -> None:
    log, output = make_log(line_format=line_format)
    log.write("leaky", **dict.fromkeys(FORBIDDEN_FIELDS, "hidden"))
    log.write_line(LogLine("leaky", fields=dict.fromkeys(FORBIDDEN_FIELDS, "hidden")))
    try:
        raise LookupError("broken")
    except LookupError as error:
        log.crash("agent_crashed", error)
    text = output.getvalue()
    assert "hidden" not in text
    assert text.count("[removed]") == 2 * len(FORBIDDEN_FIELDS)
    assert "agent_crashed" in text
    assert "Traceback (most recent call last):" in text
    assert "LookupError: broken" in text


def test_line_breaks_in_a_field_do_not_split_the_line() -> None:
    log, output = make_log()
    log.write("unusual", text="a\nb\u2028\ud800")
    assert len(output.getvalue().splitlines()) == 1
    assert json.loads(output.getvalue())["text"] == "a\nb\u2028\ud800"


def test_a_full_disk_does_not_raise_from_the_log() -> None:
    class FullDisk(io.StringIO):
        def write(self, text: str) -> int:
            raise OSError("no space left on device")

    log = EventLog("n1", output=FullDisk())
    log.write("lost")
    log.write_line(LogLine("lost"))
    log.crash("lost", ValueError())
