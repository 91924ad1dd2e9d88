"""What this node admitted of one account, how much was asked of it, and what it last told of both."""

from __future__ import annotations

import math

from springmux.coordination.usage.events import UsageSettings
from springmux.coordination.usage.messages import AccountUse
from springmux.coordination.usage.request_sizes import RequestSizes

KEPT_SENT = 8
"""Reports remembered for a collector's word of what it holds: two seconds' worth."""

NEWS_SHARE = 0.02
"""Demand that grew by this part of the account's rate is worth a report by itself."""

NEW_S = 1.5
"""An account used again after a pause counts as newly in use for this long."""


def spread_s(age_s: float, hold_s: float, window_s: float) -> float:
    """Return the integral over ``age_s`` of a weight that is 1 for ``hold_s``, then fades exponentially.

    So a reported demand is extrapolated: unchanged while the next report isn't due, then as if it had ended.
    """
    if age_s <= hold_s:
        return max(age_s, 0.0)
    return hold_s + window_s * (1.0 - math.exp((hold_s - age_s) / window_s))


def weight(age_s: float, hold_s: float, window_s: float) -> float:
    """Return the derivative of :func:`spread_s`."""
    return 1.0 if age_s <= hold_s else math.exp((hold_s - age_s) / window_s)


class OwnUse:
    """Counts of one account at this node."""

    def __init__(self, settings: UsageSettings, now: float) -> None:
        self._settings = settings
        self.sizes = RequestSizes()
        self._demand = 0.0
        self._demand_at = now
        self._used_since = now
        self.admitted = 0.0
        self.asked_at = -math.inf
        self._recent = 0.0
        self._recent_at = now
        self._sent: list[tuple[int, float]] = []
        self._sent_admitted = 0.0
        self._sent_demand = 0.0
        self._sent_at = -math.inf
        self._closed = True

    def ask(self, tokens: float, now: float) -> None:
        """Count a request into the demand, whether it is admitted or not."""
        if now - self.asked_at > NEW_S:
            self._used_since = now
        self._demand = self.demand(now) + tokens / self._settings.demand_window_s
        self._demand_at = self.asked_at = now

    def spend(self, tokens: float, now: float) -> None:
        """Count admitted tokens; less than zero for those given back."""
        self.admitted += tokens
        self._recent = max(0.0, self.recent(now) + tokens)
        self._recent_at = now

    def demand(self, now: float) -> float:
        """Return the tokens/s asked for lately."""
        return self._demand * math.exp((self._demand_at - now) / self._settings.demand_window_s)

    def recent(self, now: float) -> float:
        """Return the tokens admitted in the last seconds, older ones counting less."""
        return self._recent * math.exp((self._recent_at - now) / self._settings.silent_s)

    def has_news(self, rate_per_s: float, hold_s: float, now: float) -> bool:
        """Say whether the others' picture of this account is worth a correction."""
        if round(self.admitted) != round(self._sent_admitted):
            return True
        if not self._closed and now >= self._sent_at + self._settings.repeat_s:
            return True
        faded = weight(now - self._sent_at, hold_s, self._settings.demand_window_s) if self._sent else 0.0
        return self.demand(now) > self._sent_demand * faded + NEWS_SHARE * rate_per_s

    def is_told(self) -> bool:
        """Say whether the end of this use was told, so that an idle account needs nothing more."""
        return self._closed and round(self.admitted) == round(self._sent_admitted)

    def report(self, account: str, level: float, full: bool, now: float) -> AccountUse:
        """Return the figures to send.

        :param full: for readers that may have missed earlier reports.
        """
        newly = full or now - self._used_since < NEW_S
        recent = round(self.recent(now)) if newly else 0
        demand = 0 if self._is_idle(now) else round(self.demand(now))
        return AccountUse(account, round(self.admitted), demand, round(level), recent)

    def _is_idle(self, now: float) -> bool:
        return now - self.asked_at >= self._settings.repeat_s

    def mark_sent(self, sequence: int, now: float) -> None:
        """Note that the present figures went out with report ``sequence``."""
        self._closed = self._is_idle(now) and round(self.admitted) == round(self._sent_admitted)
        self._sent_admitted, self._sent_demand, self._sent_at = self.admitted, self.demand(now), now
        self._sent.append((sequence, self.admitted))
        del self._sent[:-KEPT_SENT]

    def beyond(self, sequence: int, now: float) -> float:
        """Return tokens admitted after report ``sequence``; the recent ones if that is too long ago."""
        for sent, admitted in reversed(self._sent):
            if sent <= sequence:
                return self.admitted - admitted
        return min(self.admitted, self.recent(now))
