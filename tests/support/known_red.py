"""Reads KNOWN-RED.txt: tests that fail because of a known fault, which CI passes over and prints."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
COMMENT = "#"
FIELDS = ("test", "command", "seen", "issue")


class KnownRedError(Exception):
    """An entry isn't complete or has an unknown field."""


@dataclass(frozen=True)
class KnownRed:
    """One entry. ``test``: its id as pytest prints it; ``command``: how to see it fail, with the seed."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Return the entries: blocks of ``field: value`` lines with an empty line between them.

    :raises KnownRedError: if a block doesn't have just :data:`FIELDS`, or a test is listed twice.
    """
    blocks = [block for block in _without_comments(text).split("\n\n") if block.strip()]
    entries = tuple(_entry(block) for block in blocks)
    tests = [entry.test for entry in entries]
    if len(set(tests)) != len(tests):
        raise KnownRedError("a test is listed twice")
    return entries


def present_known_red() -> tuple[KnownRed, ...]:
    """Return the entries of the project's file; none if there is no file."""
    return read_known_red(FILE.read_text("utf-8")) if FILE.exists() else ()


def _without_comments(text: str) -> str:
    return "\n".join(line.rstrip() for line in text.splitlines() if not line.startswith(COMMENT))


def _entry(block: str) -> KnownRed:
    pairs = [line.partition(": ") for line in block.strip().splitlines()]
    fields = {name: value.strip() for name, _, value in pairs}
    if sorted(name for name, _, _ in pairs) != sorted(FIELDS) or not all(fields.values()):
        raise KnownRedError(f"an entry must have the lines {', '.join(FIELDS)}; found: {block.strip()!r}")
    return KnownRed(**fields)
