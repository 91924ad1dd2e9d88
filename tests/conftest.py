"""``--pass-over-known-red``: leave out exactly the tests that KNOWN-RED.txt lists, and print them."""

from __future__ import annotations

import pytest

from tests.support.known_red import present_known_red

OPTION = "--pass-over-known-red"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that CI gives."""
    parser.addoption(OPTION, action="store_true", help="leave out the tests listed in KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests."""
    if not config.getoption(OPTION):
        return
    known = {entry.test for entry in present_known_red()}
    passed_over = [item for item in items if item.nodeid in known]
    items[:] = [item for item in items if item.nodeid not in known]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print what was passed over."""
    entries = present_known_red() if config.getoption(OPTION) else ()
    if not entries:
        return
    terminalreporter.section("passed over: KNOWN-RED.txt")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.seen} (issue {entry.issue})")
