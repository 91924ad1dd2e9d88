"""KNOWN-RED.txt lists tests that exist, each once and whole."""

from __future__ import annotations

import pytest

from tests.support.known_red import FILE, KnownRed, KnownRedError, present_known_red, read_known_red

ENTRY = "test: a.py::test_a\ncommand: pytest a.py\nseen: late by 3 s\nissue: 20\n"


def test_entries_are_blocks_and_comments_are_left_out() -> None:
    text = f"# heading\n\n{ENTRY}\n# another\n{ENTRY.replace('test_a', 'test_b')}"
    assert [entry.test for entry in read_known_red(text)] == ["a.py::test_a", "a.py::test_b"]
    assert read_known_red(ENTRY) == (KnownRed("a.py::test_a", "pytest a.py", "late by 3 s", "20"),)
    assert read_known_red("# nothing\n") == ()


@pytest.mark.parametrize(
    "text",
    [
        ENTRY.replace("issue: 20\n", ""),
        ENTRY + "note: more\n",
        ENTRY.replace("late by 3 s", ""),
        f"{ENTRY}\n{ENTRY}",
        ENTRY + "issue: 21\n",
    ],
)
def test_entries_that_are_not_whole_are_refused(text: str) -> None:
    with pytest.raises(KnownRedError):
        read_known_red(text)


def test_every_listed_test_exists() -> None:
    for entry in present_known_red():
        file, _, rest = entry.test.partition("::")
        function = rest.partition("[")[0]
        assert f"def {function}(" in (FILE.parent / file).read_text("utf-8"), entry.test
