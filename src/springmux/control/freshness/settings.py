"""Settings of the freshness lease."""

from __future__ import annotations

import msgspec

MIN_LEASE_S = 1.5
"""A proof passes from the leader through a controller to a node, with two requests a second at each hop."""
CLOCK_RATE_MARGIN = 0.95
"""Fraction of the allowed time that a lease uses, so that clock rates may differ by a twentieth."""


class FreshnessSettings(msgspec.Struct, frozen=True):
    """Durations; the defaults keep proofs at every node younger than 1.5 s.

    ``lease_s``: how long a proof is valid; ``None``: no lease, and nodes send requests only for a
    ``ProofWanted``. ``request_interval_s``: from a reply to the next request. ``reply_timeout_s``: wait for a
    reply before another node is asked. ``max_reported_age_s``: older proofs are reported as none.
    """

    lease_s: float | None = None
    request_interval_s: float = 0.5
    reply_timeout_s: float = 0.2
    max_reported_age_s: float = 5.0


def lease_for(allowed_s: float) -> FreshnessSettings:
    """Return the settings under which no node relies on a state older than ``allowed_s``.

    An ``allowed_s`` too short for any proof gives the shortest lease: less would refuse every request.
    """
    return FreshnessSettings(lease_s=max(MIN_LEASE_S, CLOCK_RATE_MARGIN * allowed_s))
