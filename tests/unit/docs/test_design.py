"""The tables of docs/DESIGN.md are complete and true to the code."""

import re

from springmux.agent.wire import ALL_MESSAGES
from springmux.lab.faults.catalogue import FAULTS
from springmux.simulation import scenario_faults
from springmux.simulation.checkers import all_checkers
from springmux.simulation.world import faults
from tests.unit.docs import pages

FAILURES = {
    "crash",
    "dark",
    "slow",
    "replaced one after another",
    "second loss before the first replacement is warm",
    "node killed",
    "node frozen, then thawed",
    "node restarted",
    "leader lost",
    "follower lost",
    "two of three voters lost",
    "controller cut off for 20 s and more",
    "disk slow",
    "disk stalled",
    "disk full",
    "disk wiped",
    "power cut after an acknowledgement",
    "wall clock jumps",
    "machine back empty at another address",
    "token lost",
    "token doubled",
    "token late",
    "operator's answer lost",
    "two operators under one number",
    "invalid configuration",
    "huge configuration",
    "key revoked while in use",
    "burst",
    "hot key or prefix",
    "hot tenant",
}
PROMISES = 12
"""Items of the brief's list."""
NOT_A_PROMISE = {"consistency.py", "violation.py"}


def test_every_peer_message_is_in_the_table_once() -> None:
    named = [row[0].strip("`") for row in pages.rows(pages.section("DESIGN.md", "Messages"))]
    assert sorted(named) == sorted(message.__name__ for message in ALL_MESSAGES)


def test_the_failure_table_has_every_failure_with_something_that_causes_it() -> None:
    table = pages.rows(pages.section("DESIGN.md", "Failures"))
    assert set() == FAILURES - {row[0] for row in table}
    types = set(vars(faults)) | set(vars(scenario_faults))
    known = pages.test_names() | set(FAULTS) | types
    for row in table:
        assert len(row) == 5, row
        assert all(row), row
        causes = pages.spans(row[-1])
        assert any(cause.startswith("test_") for cause in causes), row[0]
        assert set(causes) <= known, (row[0], set(causes) - known)


def test_every_fault_of_the_lab_is_in_the_failure_table() -> None:
    assert set(FAULTS) - set(pages.spans(pages.section("DESIGN.md", "Failures"))) == set()


def test_every_promise_names_its_files_its_checker_and_the_break_that_must_be_seen() -> None:
    table = pages.rows(pages.section("DESIGN.md", "Promises"))
    assert len(table) == PROMISES
    mutations = (pages.ROOT / "tests" / "unit" / "simulation" / "test_mutations.py").read_text("utf-8")
    for _, files, checker, breaks in table:
        assert pages.links(files)
        assert all("simulation/checkers/" in link for link in pages.links(checker))
        assert all(f"def {name}(" in mutations for name in pages.spans(breaks))


def test_every_checker_guards_a_promise() -> None:
    imports = re.findall(r"checkers\.(\w+) import", (pages.SOURCE / all_checkers_file()).read_text("utf-8"))
    linked = {link.rpartition("/")[2] for link in pages.links(pages.section("DESIGN.md", "Promises"))}
    assert {f"{module}.py" for module in imports} - NOT_A_PROMISE - linked == set()


def all_checkers_file() -> str:
    return all_checkers.__name__.removeprefix("springmux.").replace(".", "/") + ".py"
