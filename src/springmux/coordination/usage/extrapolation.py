"""Extrapolation of a peer's last reported demand: constant until its next report is due, then decaying."""

from __future__ import annotations

import math


def extrapolation_weight(age_s: float, hold_s: float, window_s: float) -> float:
    """Return the weight (0..1) of a demand reported ``age_s`` ago.

    It is 1 for ``hold_s``, then decays exponentially with the time constant ``window_s``.
    """
    return 1.0 if age_s <= hold_s else math.exp((hold_s - age_s) / window_s)


def effective_age_s(age_s: float, hold_s: float, window_s: float) -> float:
    """Return the integral of :func:`extrapolation_weight` from 0 to ``age_s``."""
    if age_s <= hold_s:
        return max(age_s, 0.0)
    return hold_s + window_s * (1.0 - math.exp((hold_s - age_s) / window_s))
