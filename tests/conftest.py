"""The pytest option ``--pass-over-known-red``: deselect the tests listed in KNOWN-RED.txt, and print them."""

from __future__ import annotations

import pytest

from tests.support.known_red import present_known_red

OPTION = "--pass-over-known-red"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that CI uses."""
    parser.addoption(OPTION, action="store_true", help="deselect the tests listed in KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the listed tests if the option is set."""
    if not config.getoption(OPTION):
        return
    known_failures = {entry.test for entry in present_known_red()}
    deselected = [item for item in items if item.nodeid in known_failures]
    items[:] = [item for item in items if item.nodeid not in known_failures]
    if deselected:
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the deselected tests with the failure and issue of each."""
    entries = present_known_red() if config.getoption(OPTION) else ()
    if not entries:
        return
    terminalreporter.section("passed over: KNOWN-RED.txt")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.seen} (issue {entry.issue})")
