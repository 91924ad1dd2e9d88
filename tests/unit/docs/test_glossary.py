"""The glossary's map of former names leads to names that exist."""

from __future__ import annotations

import re

from tests.unit.docs import pages

FORMER_NAMES = "Former names"
LEAST_ROWS = 150


def present_names() -> list[str]:
    """Return the code spans of the map's second column that are names, not paths."""
    rows = pages.rows(pages.section("GLOSSARY.md", FORMER_NAMES))
    assert len(rows) >= LEAST_ROWS
    spans = [span for row in rows for span in pages.spans(row[1])]
    return [span for span in spans if re.fullmatch(r"\w+", span)]


def test_every_present_name_is_in_the_code() -> None:
    words = {
        word
        for file in pages.SOURCE.rglob("*.py")
        for word in re.findall(r"\b\w+\b", file.read_text("utf-8"))
    }
    names = present_names()
    assert len(names) > LEAST_ROWS // 3
    assert [name for name in names if name not in words] == []
