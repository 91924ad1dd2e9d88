"""This node's share of one account: limit, demand, and local grants while the owner is unreachable."""

from __future__ import annotations

import math

from springmux.coordination.quota.events import AccountRate, QuotaSettings
from springmux.coordination.quota.messages import AccountDemand, AccountGrant

MAX_UNSPENT_TARGETS = 4.0
"""Largest number of unspent tokens at a node with an unreachable owner, as a multiple of its target."""

ADVANCE_S = 3.0
"""Advance allowance of a node after its first use of an advance, as the equal share of this many seconds of
the quota, if at least twice as much was available. An owner's failure is detected after about 3 s."""

TYPICAL_SIZE_WEIGHT = 0.2
"""Weight of the newest request in the exponential moving average of request sizes."""


class LocalShare:
    """This node's share of one account's tokens."""

    def __init__(self, account: str, rate: AccountRate, settings: QuotaSettings, now: float) -> None:
        self.account = account
        self.rate = rate
        self.is_urgent = True
        self._settings = settings
        self._used_at = now
        self._unanswered_since: float | None = None
        self._self_granted_at = now
        self._lease_expired = False
        self._has_grant = False
        self._spent = 0.0
        self._limit = 0.0
        self._acknowledged = 0.0
        self._self_granted = 0.0
        self._last_rate = 0.0
        self._available = 0.0
        self._rejected = 0.0
        self._rejection_answered = False
        self._demand_rate = 0.0
        self._typical_size = 0.0
        self._has_used_advance = False
        self._demand_at = now

    def reserve(self, amount: float, present: int, now: float, again: bool = False) -> bool:
        """Reserve tokens if the share, or the advance allowed before the owner's reply, covers them."""
        self._record_use(now)
        if not again:
            self._add_demand(amount, now)
        self._grant_locally(present, now)
        missing = self._spent + amount - self._limit
        if missing <= 0.0 or missing <= self._advance_allowance(present):
            self._has_used_advance = self._has_used_advance or missing > 0.0
            self._spent += amount
            if self._limit - self._spent < self._target() / 2:
                self.is_urgent = True
            return True
        if amount > self._rejected:
            self._rejected = amount
            self._rejection_answered = False
        self.is_urgent = True
        return False

    def awaits_owner(self) -> bool:
        """Return whether the owner has yet to reply to the largest failed reservation."""
        return self._rejected > 0.0 and not self._rejection_answered

    def settle(self, reserved: float, used: float, now: float) -> None:
        """Refund unused tokens, or charge additional ones, which later grants must cover."""
        self._record_use(now)
        self._spent += used - reserved

    def demand(self, present: int, now: float) -> AccountDemand:
        """Return this node's demand for the owner. An idle node thereby returns its share."""
        self.is_urgent = False
        # A new owner charges spent tokens that were not granted locally, so first grant the tokens for the
        # time without an owner.
        self._grant_locally(present, now)
        if self._unanswered_since is None:
            self._unanswered_since = self._self_granted_at = now
        self._decay(now)
        is_idle = self.is_idle(now)
        if is_idle:
            self._rejected = 0.0
            if now - self._unanswered_since <= self._settings.owner_timeout_s:
                self._limit = min(self._limit, self._spent)
        unspent = max(0.0, self._limit - self._spent)
        requested = 0.0 if is_idle else self._target()
        minimum = 0.0 if is_idle else max(self._typical_size, self._rejected)
        return AccountDemand(
            self.account,
            self._spent,
            requested,
            minimum,
            self._acknowledged,
            self._self_granted,
            unspent,
            self._rejected,
        )

    def apply_grant(self, grant: AccountGrant, request: AccountDemand) -> None:
        """Apply the owner's reply to ``request``."""
        self._unanswered_since = None
        self._lease_expired = False
        self._has_grant = True
        self._acknowledged = request.spent
        self._self_granted = max(0.0, self._self_granted - request.self_granted)
        self._last_rate = grant.rate
        self._available = grant.available
        self._has_used_advance = False
        self._limit = grant.limit
        self._rejection_answered = request.rejected >= self._rejected and not grant.reclaiming
        self.is_urgent = self.is_urgent or grant.reclaiming
        if self._limit - self._spent >= self._rejected:
            self._rejected = 0.0

    def is_idle(self, now: float) -> bool:
        """Return whether the account was not used for ``idle_s``."""
        return now - self._used_at >= self._settings.idle_s

    def is_reported(self) -> bool:
        """Return whether an owner has acknowledged all spent tokens and no granted ones remain."""
        return self._has_grant and self._acknowledged == self._spent and self._limit <= self._spent

    def is_expired(self, now: float) -> bool:
        """Return whether the account was idle for so long that its counts are obsolete."""
        return now - self._used_at >= self._settings.account_expiry_s

    def retry_after_s(self, amount: float, present: int) -> float:
        """Return the delay (s) until the share should cover ``amount`` at the owner's last rate."""
        rate = self._last_rate or self.rate.tokens_per_s / max(1, present)
        if rate <= 0.0:
            return math.inf
        return max(self._settings.request_period_s, (self._spent + amount - self._limit) / rate)

    def _record_use(self, now: float) -> None:
        if self.is_idle(now):
            self.is_urgent = True
        self._used_at = now

    def _advance_allowance(self, present: int) -> float:
        """Return the number of tokens beyond its limit that this node may spend before the owner replies."""
        available = self._available if self._has_grant else self.rate.burst_tokens
        if not self._has_used_advance:
            return available * self._settings.advance_share
        equal_share = ADVANCE_S * self.rate.tokens_per_s / max(1, present)
        return max(available / max(1, present), min(available / 2, equal_share))

    def _grant_locally(self, present: int, now: float) -> None:
        """Grant tokens locally while the owner is unreachable: at the last rate, later at an equal share."""
        if self._unanswered_since is None:
            return
        unreachable_s = now - self._unanswered_since
        if unreachable_s <= self._settings.owner_timeout_s:
            return
        if unreachable_s > self._settings.lease_s and not self._lease_expired:
            self._lease_expired = True
            self._limit = min(self._limit, self._spent + self._self_granted)
        equal_rate = self.rate.tokens_per_s / max(1, present)
        last = self._last_rate or equal_rate
        rate = last if unreachable_s <= self._settings.last_rate_s else equal_rate
        max_unspent = max(self.rate.burst_tokens / max(1, present), MAX_UNSPENT_TARGETS * self._target())
        headroom = max(0.0, self._spent + max_unspent - self._limit)
        granted = min(headroom, rate * (now - self._self_granted_at))
        self._self_granted_at = now
        self._limit += granted
        self._self_granted += granted

    def _target(self) -> float:
        return max(self._demand_rate * self._settings.horizon_s, self._typical_size, self._rejected)

    def _add_demand(self, amount: float, now: float) -> None:
        self._decay(now)
        self._demand_rate += amount / self._settings.demand_window_s
        self._typical_size += (
            (amount - self._typical_size) * TYPICAL_SIZE_WEIGHT if self._typical_size else amount
        )

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._demand_at)
        self._demand_at = now
        self._demand_rate *= math.exp(-elapsed_s / self._settings.demand_window_s)
