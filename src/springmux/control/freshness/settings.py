"""Times of the freshness lease."""

from __future__ import annotations

import msgspec

LEAST_LEASE_S = 1.5
"""A proof passes from the leader over a controller to a node, each asking twice a second."""
CLOCK_RATE_MARGIN = 0.95
"""Part of the time allowed that a lease uses; clocks that run at rates a twentieth apart keep it."""


class FreshnessSettings(msgspec.Struct, frozen=True):
    """Defaults aim at proofs of at most 1.5 s at every node, at some messages a second and node.

    ``lease_s``: how long a proof holds; ``None``: nothing relies on one, and nodes ask only when a proof is
    wanted. ``ask_period_s``: from an answer to the next question. ``answer_s``: wait for an answer before
    another node is asked. ``told_s``: older proofs are of no use to anybody.
    """

    lease_s: float | None = None
    ask_period_s: float = 0.5
    answer_s: float = 0.2
    told_s: float = 5.0


def lease_for(allowed_s: float) -> FreshnessSettings:
    """Return the settings under which nothing older than ``allowed_s`` is relied on.

    An ``allowed_s`` that is too short for any proof gives the shortest lease: less would refuse everything.
    """
    return FreshnessSettings(lease_s=max(LEAST_LEASE_S, CLOCK_RATE_MARGIN * allowed_s))
