"""The local side of one account: what this node may spend, and how much it would like to."""

from __future__ import annotations

import math

from springmux.coordination.quota.events import AccountRate, QuotaSettings
from springmux.coordination.quota.messages import AccountDemand, AccountGrant

SAVED_TARGETS = 4.0
"""Without its owner a node saves up to this many times what it would like at hand, as it asks nobody."""

AHEAD_S = 3.0
"""After its first request ahead of the answer a node may go on by its equal part of so many seconds' quota,
where twice that was spare: an owner's death is noticed after about three seconds."""

TYPICAL_GAIN = 0.2
"""Weight of the newest request in the running mean of sizes: about the last ten count."""


class Share:
    """This node's part of one account's tokens."""

    def __init__(self, account: str, rate: AccountRate, settings: QuotaSettings, now: float) -> None:
        self.account = account
        self.rate = rate
        self.hurried = True
        self._settings = settings
        self._used_at = now
        self._unanswered_since: float | None = None
        self._minted_at = now
        self._lapsed = False
        self._known = False
        self._spent = 0.0
        self._limit = 0.0
        self._acknowledged = 0.0
        self._minted = 0.0
        self._last_rate = 0.0
        self._spare = 0.0
        self._refused = 0.0
        self._refusal_answered = False
        self._demand_rate = 0.0
        self._typical = 0.0
        self._went_ahead = False
        self._demand_at = now

    def reserve(self, amount: float, present: int, now: float, again: bool = False) -> bool:
        """Take tokens if the share, or what may be taken ahead of the owner's answer, covers them."""
        self._wake(now)
        if not again:
            self._note_demand(amount, now)
        self._mint(present, now)
        missing = self._spent + amount - self._limit
        if missing <= 0.0 or missing <= self._ahead(present):
            self._went_ahead = self._went_ahead or missing > 0.0
            self._spent += amount
            if self._limit - self._spent < self._target() / 2:
                self.hurried = True
            return True
        if amount > self._refused:
            self._refused = amount
            self._refusal_answered = False
        self.hurried = True
        return False

    def awaits_owner(self) -> bool:
        """Return whether the owner has yet to answer for the largest amount that was not there."""
        return self._refused > 0.0 and not self._refusal_answered

    def settle(self, reserved: float, used: float, now: float) -> None:
        """Give back what was not used, or take what was used beyond: the debt is paid from later shares."""
        self._wake(now)
        self._spent += used - reserved

    def demand(self, present: int, now: float) -> AccountDemand:
        """Return this node's figures for the owner; an idle node gives its share back with them."""
        self.hurried = False
        # A new owner charges what was spent and not made here: first make what the silence was worth.
        self._mint(present, now)
        if self._unanswered_since is None:
            self._unanswered_since = self._minted_at = now
        self._decay(now)
        idle = self.is_idle(now)
        if idle:
            self._refused = 0.0
            if now - self._unanswered_since <= self._settings.silence_s:
                self._limit = min(self._limit, self._spent)
        held = max(0.0, self._limit - self._spent)
        wanted = 0.0 if idle else self._target()
        least = 0.0 if idle else max(self._typical, self._refused)
        return AccountDemand(
            self.account,
            self._spent,
            wanted,
            least,
            self._acknowledged,
            self._minted,
            held,
            self._refused,
        )

    def take(self, grant: AccountGrant, asked: AccountDemand, now: float) -> None:
        """Take the owner's answer to ``asked``."""
        self._unanswered_since = None
        self._lapsed = False
        self._known = True
        self._acknowledged = asked.spent
        self._minted = max(0.0, self._minted - asked.minted)
        self._last_rate = grant.rate
        self._spare = grant.spare
        self._went_ahead = False
        self._limit = grant.limit
        self._refusal_answered = asked.refused >= self._refused and not grant.coming
        self.hurried = self.hurried or grant.coming
        if self._limit - self._spent >= self._refused:
            self._refused = 0.0

    def is_idle(self, now: float) -> bool:
        """Return whether nothing was asked of the account for a while."""
        return now - self._used_at >= self._settings.idle_s

    def is_reported(self) -> bool:
        """Return whether an owner has answered all that was spent and nothing is left here."""
        return self._known and self._acknowledged == self._spent and self._limit <= self._spent

    def is_forgotten(self, now: float) -> bool:
        """Return whether the account was idle for so long that its figures tell nothing any more."""
        return now - self._used_at >= self._settings.forget_s

    def retry_after_s(self, amount: float, present: int) -> float:
        """Return when the share should cover ``amount``, from the rate that the owner gave."""
        rate = self._last_rate or self.rate.tokens_per_s / max(1, present)
        if rate <= 0.0:
            return math.inf
        return max(self._settings.ask_period_s, (self._spent + amount - self._limit) / rate)

    def _wake(self, now: float) -> None:
        if self.is_idle(now):
            self.hurried = True
        self._used_at = now

    def _ahead(self, present: int) -> float:
        """Return how far this node may spend beyond its limit until the owner answers."""
        spare = self._spare if self._known else self.rate.burst_tokens
        if not self._went_ahead:
            return spare * self._settings.starter_share
        part = AHEAD_S * self.rate.tokens_per_s / max(1, present)
        return max(spare / max(1, present), min(spare / 2, part))

    def _mint(self, present: int, now: float) -> None:
        """Without the owner: go on at the last rate, later at an equal part of the quota."""
        if self._unanswered_since is None:
            return
        silent_s = now - self._unanswered_since
        if silent_s <= self._settings.silence_s:
            return
        if silent_s > self._settings.lease_s and not self._lapsed:
            self._lapsed = True
            self._limit = min(self._limit, self._spent + self._minted)
        least = self.rate.tokens_per_s / max(1, present)
        last = self._last_rate or least
        rate = last if silent_s <= self._settings.last_share_s else least
        saved = max(self.rate.burst_tokens / max(1, present), SAVED_TARGETS * self._target())
        room = max(0.0, self._spent + saved - self._limit)
        made = min(room, rate * (now - self._minted_at))
        self._minted_at = now
        self._limit += made
        self._minted += made

    def _target(self) -> float:
        return max(self._demand_rate * self._settings.horizon_s, self._typical, self._refused)

    def _note_demand(self, amount: float, now: float) -> None:
        self._decay(now)
        self._demand_rate += amount / self._settings.demand_window_s
        self._typical += (amount - self._typical) * TYPICAL_GAIN if self._typical else amount

    def _decay(self, now: float) -> None:
        passed_s = max(0.0, now - self._demand_at)
        self._demand_at = now
        self._demand_rate *= math.exp(-passed_s / self._settings.demand_window_s)
