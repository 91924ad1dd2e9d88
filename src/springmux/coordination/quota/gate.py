"""Quota interface of the data plane: reserve on admission, settle with the actual count."""

from __future__ import annotations

from typing import Protocol


class QuotaGate(Protocol):
    """Local side of a fleet-wide rate limit, in tokens of one account (a tenant)."""

    def reserve(self, account: str, amount: float, now: float, again: bool = False) -> bool:
        """Reserve ``amount`` tokens of this node's share; return whether the share covered them.

        :param again: whether the call repeats an earlier reservation, whose demand must not be counted twice.
        """
        ...

    def awaits_owner(self, account: str) -> bool:
        """Return, after a failed reservation, whether the account's owner has yet to reply.

        If so, tokens may arrive soon. If not, the request must be rejected immediately (429).
        """
        ...

    def settle(self, account: str, reserved: float, used: float, now: float) -> None:
        """Correct a reservation to the tokens that were actually used, fewer or more."""
        ...

    def retry_after_s(self, account: str, amount: float, now: float) -> float:
        """Return the delay (s) after which a rejected client should retry."""
        ...
