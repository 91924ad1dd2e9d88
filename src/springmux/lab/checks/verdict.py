"""The verdict on one promise, and its constructors for checkers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from springmux.lab.records import RunRecords

MAX_EVIDENCE = 10
"""Number of violations that a verdict shows; the others can be found in the records."""


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one check. ``kept`` is ``None`` if the promise was not tested or has no bound."""

    promise: str
    bound: str
    measured: str
    kept: bool | None
    evidence: tuple[str, ...] = ()


Checker = Callable[[RunRecords], Verdict]


def untested(promise: str, bound: str) -> Verdict:
    """Return the verdict on a promise that the run did not test."""
    return Verdict(promise=promise, bound=bound, measured="not put to the test", kept=None)


def verdict_from(promise: str, bound: str, measured: str, violations: Sequence[str]) -> Verdict:
    """Return the verdict of a check: kept if there are no violations."""
    return Verdict(
        promise=promise,
        bound=bound,
        measured=measured,
        kept=not violations,
        evidence=tuple(violations[:MAX_EVIDENCE]),
    )
