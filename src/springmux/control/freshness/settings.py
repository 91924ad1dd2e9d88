"""Settings of the freshness lease."""

from __future__ import annotations

import msgspec

MIN_LEASE_S = 1.5
"""A proof reaches a node from the leader through a controller, with two requests a second at each hop."""
CLOCK_RATE_MARGIN = 0.95
"""Fraction of the allowed time that a lease lasts, so that clock rates may differ by a twentieth."""


class FreshnessSettings(msgspec.Struct, frozen=True):
    """Durations in seconds. With the defaults, the proofs at every node are younger than 1.5 s.

    ``lease_s``: how long a proof is valid. ``None`` means no lease: every state counts as current, and nodes
    send requests only for a ``ProofRequested`` event.
    ``request_interval_s``: delay from a reply with a newer proof to the next request.
    ``reply_timeout_s``: wait for a reply before another node gets a request.
    ``max_reported_age_s``: a node with an older proof reports that it has none.
    """

    lease_s: float | None = None
    request_interval_s: float = 0.5
    reply_timeout_s: float = 0.2
    max_reported_age_s: float = 5.0


def lease_for(allowed_s: float) -> FreshnessSettings:
    """Return the settings under which no node relies on a state older than ``allowed_s`` seconds.

    If ``allowed_s`` is too short for any proof, the lease is :data:`MIN_LEASE_S`: with a shorter one, nodes
    would reject every request.
    """
    return FreshnessSettings(lease_s=max(MIN_LEASE_S, CLOCK_RATE_MARGIN * allowed_s))
