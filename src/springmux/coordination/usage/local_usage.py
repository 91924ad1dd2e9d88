"""Admitted tokens and demand of one account at this node, and their last reported values."""

from __future__ import annotations

import math

from springmux.coordination.usage.events import UsageSettings
from springmux.coordination.usage.extrapolation import extrapolation_weight
from springmux.coordination.usage.messages import AccountUse
from springmux.coordination.usage.request_sizes import RequestSizes

SENT_REPORTS_KEPT = 8
"""Number of sent reports kept for matching a collector's ``included`` sequence: two seconds' worth."""

CHANGED_DEMAND_SHARE = 0.02
"""Growth of demand, as a fraction of the account's rate, that triggers a report by itself."""

NEWLY_USED_S = 1.5
"""Time, in seconds, for which an account that is used again after a pause is newly in use."""


class LocalUsage:
    """Counters of one account at this node."""

    def __init__(self, settings: UsageSettings, now: float) -> None:
        self._settings = settings
        self.sizes = RequestSizes()
        self._demand = 0.0
        self._demand_at = now
        self._used_since = now
        self.admitted = 0.0
        self.requested_at = -math.inf
        self._recent = 0.0
        self._recent_at = now
        self._sent: list[tuple[int, float]] = []
        self._sent_admitted = 0.0
        self._sent_demand = 0.0
        self._sent_at = -math.inf
        self._final_reported = True

    def record_request(self, tokens: float, now: float) -> None:
        """Add a request to the demand, admitted or not."""
        if now - self.requested_at > NEWLY_USED_S:
            self._used_since = now
        self._demand = self.demand(now) + tokens / self._settings.demand_window_s
        self._demand_at = self.requested_at = now

    def record_admitted(self, tokens: float, now: float) -> None:
        """Count admitted tokens; a negative number refunds them."""
        self.admitted += tokens
        self._recent = max(0.0, self.recent(now) + tokens)
        self._recent_at = now

    def demand(self, now: float) -> float:
        """Return the current demand: requested tokens/s, exponentially decayed."""
        return self._demand * math.exp((self._demand_at - now) / self._settings.demand_window_s)

    def recent(self, now: float) -> float:
        """Return the tokens admitted recently, exponentially decayed."""
        return self._recent * math.exp((self._recent_at - now) / self._settings.unresponsive_s)

    def has_changes(self, rate_per_s: float, hold_s: float, now: float) -> bool:
        """Return whether the counts differ enough from the last report to send another."""
        if round(self.admitted) != round(self._sent_admitted):
            return True
        if not self._final_reported and now >= self._sent_at + self._settings.repeat_s:
            return True
        decay = (
            extrapolation_weight(now - self._sent_at, hold_s, self._settings.demand_window_s)
            if self._sent
            else 0.0
        )
        return self.demand(now) > self._sent_demand * decay + CHANGED_DEMAND_SHARE * rate_per_s

    def is_final_reported(self) -> bool:
        """Return whether the final counts of an idle account were reported, so that no report is pending."""
        return self._final_reported and round(self.admitted) == round(self._sent_admitted)

    def report(self, account: str, level: float, full: bool, now: float) -> AccountUse:
        """Return the counts to send.

        :param full: whether the receiver may have missed earlier reports and needs the recent tokens as well.
        """
        include_recent = full or now - self._used_since < NEWLY_USED_S
        recent = round(self.recent(now)) if include_recent else 0
        demand = 0 if self._is_idle(now) else round(self.demand(now))
        return AccountUse(account, round(self.admitted), demand, round(level), recent)

    def _is_idle(self, now: float) -> bool:
        return now - self.requested_at >= self._settings.repeat_s

    def record_sent_report(self, sequence: int, now: float) -> None:
        """Record that the current counts were sent in report ``sequence``."""
        self._final_reported = self._is_idle(now) and round(self.admitted) == round(self._sent_admitted)
        self._sent_admitted, self._sent_demand, self._sent_at = self.admitted, self.demand(now), now
        self._sent.append((sequence, self.admitted))
        del self._sent[:-SENT_REPORTS_KEPT]

    def admitted_since(self, sequence: int, now: float) -> float:
        """Return the tokens admitted after report ``sequence``, or the recent ones if it is too old."""
        for sent, admitted in reversed(self._sent):
            if sent <= sequence:
                return self.admitted - admitted
        return min(self.admitted, self.recent(now))
