"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault; CI skips and prints them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
COMMENT = "#"
FIELDS = ("test", "command", "seen", "issue")


class KnownRedError(Exception):
    """An entry lacks a field or has an unknown one, or a test is listed twice."""


@dataclass(frozen=True)
class KnownRed:
    """One entry of the list.

    :param test: the test's id as pytest prints it.
    :param command: the command that shows the failure, with its seed.
    :param seen: the observed failure.
    :param issue: the number of the issue about the fault.
    """

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Return the entries, which are blocks of ``field: value`` lines separated by empty lines.

    :raises KnownRedError: if the fields of a block aren't exactly :data:`FIELDS`, or a test is listed twice.
    """
    blocks = [block for block in _without_comments(text).split("\n\n") if block.strip()]
    entries = tuple(_entry(block) for block in blocks)
    tests = [entry.test for entry in entries]
    if len(set(tests)) != len(tests):
        raise KnownRedError("a test is listed twice")
    return entries


def present_known_red() -> tuple[KnownRed, ...]:
    """Return the entries of the project's file, or an empty tuple if there is no file."""
    return read_known_red(FILE.read_text("utf-8")) if FILE.exists() else ()


def _without_comments(text: str) -> str:
    return "\n".join(line.rstrip() for line in text.splitlines() if not line.startswith(COMMENT))


def _entry(block: str) -> KnownRed:
    pairs = [line.partition(": ") for line in block.strip().splitlines()]
    fields = {name: value.strip() for name, _, value in pairs}
    if sorted(name for name, _, _ in pairs) != sorted(FIELDS) or not all(fields.values()):
        raise KnownRedError(f"an entry must have the lines {', '.join(FIELDS)}; found: {block.strip()!r}")
    return KnownRed(**fields)
