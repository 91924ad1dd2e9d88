"""Decision on the claim of an at-most-once key."""

from __future__ import annotations

import enum

import msgspec


class ClaimVerdict(enum.StrEnum):
    """Result of a claim according to the holders' replies."""

    GRANTED = "granted"
    """Two of three holders recorded this claimant; only it may run the action."""
    RUNNING = "running"
    """Another claimant has the key and has not reported an outcome."""
    FINISHED = "finished"
    """The action ran; ``answer`` is the stored response, if it was small enough."""
    UNAVAILABLE = "unavailable"
    """No two holders granted the key in time, so nothing runs."""


class ClaimDecision(msgspec.Struct, frozen=True):
    """Verdict on one request. ``answer``: for FINISHED, the stored response as opaque bytes, if any."""

    verdict: ClaimVerdict
    answer: bytes = b""
