"""Decision on a claim of an at-most-once key."""

from __future__ import annotations

import enum

import msgspec


class ClaimVerdict(enum.StrEnum):
    """Outcome of the holders' replies."""

    GRANTED = "granted"
    """Two of three holders recorded this claimant; it alone may run."""
    RUNNING = "running"
    """Another claimant holds the key and has not reported an end."""
    FINISHED = "finished"
    """The action ran; ``answer`` is the stored response, if it was small enough."""
    UNAVAILABLE = "unavailable"
    """No two holders replied in time; nothing runs."""


class ClaimDecision(msgspec.Struct, frozen=True):
    """Verdict for one request, with the stored response of a finished one (opaque bytes)."""

    verdict: ClaimVerdict
    answer: bytes = b""
