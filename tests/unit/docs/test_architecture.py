"""The page of the architecture names files and functions that exist."""

from __future__ import annotations

import ast
import re

from tests.unit.docs import pages

QUESTIONS = "On-call questions"
LEAST_QUESTIONS = 12
_PLACE = re.compile(r"`([\w/]+\.py)`: ((?:`[\w.]+`(?:, )?)+)")


def named_places() -> list[tuple[str, str]]:
    """Return each file with each name that the questions' table gives for it."""
    rows = pages.rows(pages.section("ARCHITECTURE.md", QUESTIONS))
    places = [_PLACE.findall(row[1]) for row in rows]
    assert all(places), "each question names a file and a function"
    return [(file, name) for found in places for file, names in found for name in pages.spans(names)]


def names_of(file: str) -> set[str]:
    """Return the module's functions, classes, constants, and methods as ``Class.method``."""
    found: set[str] = set()
    for node in ast.parse((pages.SOURCE / file).read_text("utf-8")).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            found |= {
                f"{node.name}.{member.name}"
                for member in node.body
                if isinstance(member, ast.FunctionDef | ast.AsyncFunctionDef)
            }
        if isinstance(node, ast.Assign):
            found |= {target.id for target in node.targets if isinstance(target, ast.Name)}
        if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            found.add(node.target.id)
    return found


def test_every_question_is_answered_by_a_name_that_exists() -> None:
    places = named_places()
    assert [place for place in places if place[1] not in names_of(place[0])] == []


def test_the_page_answers_enough_questions() -> None:
    rows = pages.rows(pages.section("ARCHITECTURE.md", QUESTIONS))
    assert len({row[0] for row in rows}) >= LEAST_QUESTIONS
