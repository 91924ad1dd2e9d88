"""The verdict on one promise, and what checkers share."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from springmux.lab.records import RunRecords

MAX_EVIDENCE = 10
"""Events shown with a broken promise; the records have the others."""


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """One promise of the brief after a run. ``kept`` is ``None`` if the run did not put it to the test."""

    promise: str
    bound: str
    measured: str
    kept: bool | None
    evidence: tuple[str, ...] = ()


Checker = Callable[[RunRecords], Verdict]


def untested(promise: str, bound: str) -> Verdict:
    """Return the verdict on a promise that the run did not put to the test."""
    return Verdict(promise=promise, bound=bound, measured="not put to the test", kept=None)


def judged(promise: str, bound: str, measured: str, breaks: Sequence[str]) -> Verdict:
    """Return the verdict: kept if nothing broke it."""
    return Verdict(
        promise=promise,
        bound=bound,
        measured=measured,
        kept=not breaks,
        evidence=tuple(breaks[:MAX_EVIDENCE]),
    )
