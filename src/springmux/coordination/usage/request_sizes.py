"""Which requests pass while an account is over its limit: with what chance, by their size.

One bucket for the whole fleet would pass a small request far more often than a large one, since its level
is seldom high enough for the large one. Nodes that only share counts reach the same by drawing: each
request gets about as many of the tokens at hand as any other, and no size is left without a chance.
"""

from __future__ import annotations

from collections import deque

RECENT = 64
"""Requests from which a node takes the mix of sizes: a second's worth at a busy account."""

EVEN_PART = 0.5
"""Part of the tokens that is given out with one chance for all, so that large requests aren't starved."""


class RequestSizes:
    """The sizes asked for lately at this node, in tokens."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=RECENT)

    def note(self, tokens: float) -> None:
        """Count a request, whether it is admitted or not."""
        self._recent.append(tokens)

    def chance(self, tokens: float, part: float) -> float:
        """Return the chance (0..1) to admit a request, so that ``part`` of all tokens asked for is admitted.

        The even part aside, a request's chance times its size is the same for all (max-min fairness, by
        filling up from the smallest), as far as a chance can't be above 1.
        """
        if part >= 1.0 or tokens <= 0.0:
            return 1.0
        even = EVEN_PART * part
        level = self._fill_level(part * (1.0 - EVEN_PART), 1.0 - even)
        return even + min(1.0 - even, level / tokens)

    def _fill_level(self, part: float, most: float) -> float:
        """Return the tokens that each request gets on average, at most ``most`` of its own."""
        left = part * sum(self._recent)
        count = len(self._recent)
        for size in sorted(self._recent):
            if size * most * count >= left:
                return left / count
            left -= size * most
            count -= 1
        return max(self._recent, default=0.0)
