"""docs/OPERATIONS.md knows every error, alarming event and reason, and no metric that does not exist."""

import ast
import re
from collections.abc import Iterator

from springmux.agent import gateway_readiness, readiness
from springmux.gateway.refusals import CLIENT_ERRORS, RefusalReason
from springmux.node.metrics.table import METRICS, PREFIX
from springmux.vocabulary.errors import ErrorCode
from tests.unit.docs import pages

LOGGING_PACKAGES = ("coordination", "storage", "control", "rollout", "router", "agent", "node")
ALARMING = {"WARNING", "ERROR"}


def column(title: str) -> set[str]:
    return {span for row in pages.rows(pages.section("OPERATIONS.md", title)) for span in pages.spans(row[0])}


def alarming_events() -> Iterator[str]:
    """Yield the names in calls that write a log line whose level is, or may be, warning or error."""
    for package in LOGGING_PACKAGES:
        for file in sorted((pages.SOURCE / package).rglob("*.py")):
            for node in ast.walk(ast.parse(file.read_text("utf-8"))):
                if isinstance(node, ast.Call) and is_alarming(node):
                    yield node.args[0].value  # type: ignore[attr-defined]


def is_alarming(call: ast.Call) -> bool:
    callee = call.func.attr if isinstance(call.func, ast.Attribute) else getattr(call.func, "id", "")
    first = call.args[0] if call.args else None
    if not isinstance(first, ast.Constant) or not isinstance(first.value, str):
        return False
    if callee == "crash":
        return True
    levels = {node.attr for node in ast.walk(call) if isinstance(node, ast.Attribute)}
    handed = any(isinstance(argument, ast.Name) and argument.id == "level" for argument in call.args)
    return callee in {"LogLine", "emit_log_line", "note", "write"} and bool(levels & ALARMING or handed)


def test_every_error_code_has_its_advice() -> None:
    assert column("Errors") == {code.value for code in ErrorCode}


def test_every_warning_and_error_of_the_log_has_its_advice() -> None:
    found = set(alarming_events())
    assert {"agent_crashed", "rollout_abort_wanted", "membership_status"} <= found
    assert column("Log events") == found


def test_every_reason_of_a_refused_request_has_its_advice() -> None:
    rows = pages.rows(pages.section("OPERATIONS.md", "Refusals of the gateway"))
    levels = {pages.spans(row[0])[0]: row[1] for row in rows}
    assert levels == {
        reason.value: "info" if reason in CLIENT_ERRORS else "warning" for reason in RefusalReason
    }


def test_every_metric_named_exists() -> None:
    text = (pages.ROOT / "docs" / "OPERATIONS.md").read_text("utf-8")
    named = set(re.findall(rf"{PREFIX}[a-z_]+(?=[` ])", text))
    assert len(named) > 5
    assert named <= {PREFIX + metric.name for metric in METRICS}


def test_every_reason_of_a_node_that_is_not_ready_is_explained() -> None:
    reasons = {
        readiness.STARTING,
        readiness.JOINING,
        readiness.FETCHING,
        readiness.CUT_OFF,
        readiness.STOPPING,
        readiness.UNREADABLE,
    }
    reasons |= {
        gateway_readiness.STARTING,
        gateway_readiness.STOPPING,
        gateway_readiness.UNREADABLE,
        gateway_readiness.NO_CONFIGURATION,
        gateway_readiness.OLDER_STATE,
        gateway_readiness.FETCHING_ENGINES,
    }
    assert reasons <= set(pages.spans(pages.section("OPERATIONS.md", "Read status and metrics")))
