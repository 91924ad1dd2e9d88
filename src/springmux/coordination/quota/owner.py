"""The owner's side: one token bucket an account, shared out among the nodes that ask.

The bucket counts what was *spent*, and what is granted but not spent as outstanding; so tokens are
made in one place only and no order of loss, delay or movement of load makes more of them.
Source of the bucket: Turner 1986 (leaky bucket as a meter).
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.quota.events import AccountRate, QuotaSettings
from springmux.coordination.quota.messages import AccountDemand, AccountGrant

FRESH_LEVEL_S = 0.3
"""Saved seconds of quota that a new owner begins with: 3% of a window of ten seconds, enough to begin on."""


SHORTAGE_S = 0.2
"""An ask period: each node has asked once, and given back what it doesn't need at once."""


class RequestSequence(msgspec.Struct, frozen=True):
    """Place of an ask among those of one node's boot."""

    boot: int
    number: int


class Ledger:
    """One node's standing with one account.

    ``wanted``: what it would like at hand; ``due``: the part of it that it is to get now.
    """

    __slots__ = ("due", "heard_at", "limit", "sequence", "spent", "wanted")

    def __init__(self, sequence: RequestSequence, spent: float, limit: float) -> None:
        self.sequence = sequence
        self.spent = spent
        self.limit = limit
        self.wanted = 0.0
        self.due = 0.0
        self.heard_at = 0.0

    def outstanding(self) -> float:
        """Return tokens granted and not known to be spent."""
        return max(0.0, self.limit - self.spent)


class OwnedAccount:
    """The bucket of one account and the ledgers of the nodes that use it."""

    def __init__(self, rate: AccountRate, level: float, now: float) -> None:
        self.rate = rate
        self.level = level
        self.ledgers: dict[NodeId, Ledger] = {}
        self._refilled_at = now
        self._short_until = now

    def refill(self, now: float) -> None:
        """Add what accrued; no more than the burst is saved up beyond what is granted."""
        passed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        room = max(0.0, self.rate.burst_tokens - self.free())
        self.level += min(room, passed_s * self.rate.tokens_per_s)

    def free(self) -> float:
        """Return tokens that may be granted now (negative: the account is in debt)."""
        return self.level - sum(ledger.outstanding() for ledger in self.ledgers.values())

    def open_ledger(self, node: NodeId, sequence: RequestSequence, demand: AccountDemand) -> Ledger:
        """Begin with a node: charge only what no owner has answered and the node has not made itself.

        What it still holds was taken from a former bucket; it counts as outstanding here and is added.
        """
        uncharged = max(0.0, demand.spent - demand.acknowledged - demand.minted)
        held = min(max(0.0, demand.held), self.rate.burst_tokens)
        ledger = Ledger(sequence, demand.spent - uncharged, demand.spent + held)
        self.level += held
        self.ledgers[node] = ledger
        return ledger

    def take_back(self, ledger: Ledger, refused: float, now: float) -> bool:
        """Take shares back for a while if what is free doesn't cover a request that waits, but they would.

        Otherwise a large one would be refused while the account's tokens lie idle in small shares. In
        lasting shortage nothing lies idle, and the request is refused at once.

        :returns: whether the request should go on waiting for what comes back.
        """
        missing = refused - ledger.outstanding() - self.free()
        idle = sum(each.outstanding() for each in self.ledgers.values() if each is not ledger)
        coming = 0.0 < missing <= idle
        if coming:
            self._short_until = now + SHORTAGE_S
        if now < self._short_until:
            ledger.due = min(ledger.wanted, refused)
        return coming

    def raise_limit(self, account: str, ledger: Ledger, least: float, coming: bool) -> AccountGrant:
        """Give what is wanted, or in shortage a part of what is free in proportion to all demands.

        A part too small for one request is not given: tokens spread in such pieces would lie idle.
        """
        ledger.limit = min(ledger.limit, ledger.spent + ledger.due)
        ledger.limit = max(ledger.limit, ledger.spent)
        free = self.free()
        short = ledger.due - ledger.outstanding()
        if short > 0.0 and free > 0.0:
            missing = sum(max(0.0, each.due - each.outstanding()) for each in self.ledgers.values())
            useful = min(short, max(0.0, least - ledger.outstanding()))
            granted = max(short * min(1.0, free / missing), useful)
            if granted <= free:
                ledger.limit += granted
                free -= granted
        all_wanted = sum(each.wanted for each in self.ledgers.values())
        rate = self.rate.tokens_per_s * ledger.wanted / all_wanted if all_wanted > 0.0 else 0.0
        return AccountGrant(account, ledger.limit, rate, max(0.0, free), coming)


class Owner:
    """Accounts that this node owns and that someone uses."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._accounts: dict[str, OwnedAccount] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def set_rate(self, account: str, rate: AccountRate | None, now: float) -> None:
        """Change the rate of an account in use, or forget it."""
        owned = self._accounts.get(account)
        if owned is None:
            return
        if rate is None:
            del self._accounts[account]
            return
        owned.refill(now)
        owned.rate = rate
        owned.level = min(owned.level, rate.burst_tokens)

    def forget(self, account: str) -> None:
        """Drop an account that another node owns now."""
        self._accounts.pop(account, None)

    def forget_all(self) -> None:
        """Drop every account: another node may have owned them meanwhile."""
        self._accounts.clear()

    def accounts(self) -> list[str]:
        """Return the accounts in use."""
        return list(self._accounts)

    def grant(
        self,
        sender: NodeId,
        sequence: RequestSequence,
        demand: AccountDemand,
        rate: AccountRate,
        fresh: bool,
        now: float,
    ) -> AccountGrant | None:
        """Take a node's figures and raise its limit. ``None``: a late ask, overtaken by a newer one.

        :param fresh: this node may have taken the account over just now: shares of the former owner
            may still be in use, so the bucket begins with little and not with a whole burst.
        """
        owned = self._accounts.get(demand.account)
        if owned is None:
            owned = OwnedAccount(rate, _first_level(rate, fresh), now)
            self._accounts[demand.account] = owned
        owned.refill(now)
        ledger = owned.ledgers.get(sender)
        if ledger is None or ledger.sequence.boot != sequence.boot:
            ledger = owned.open_ledger(sender, sequence, demand)
        elif sequence.number <= ledger.sequence.number:
            return None
        owned.level -= demand.spent - ledger.spent
        ledger.spent = demand.spent
        ledger.wanted = ledger.due = max(0.0, demand.wanted)
        ledger.sequence = sequence
        ledger.heard_at = now
        coming = owned.take_back(ledger, demand.refused, now)
        return owned.raise_limit(demand.account, ledger, demand.least, coming)

    def sweep(self, now: float) -> None:
        """Take back shares whose lease lapsed, and forget accounts that are idle and full."""
        horizon = now - self._settings.lease_s - self._settings.owner_margin_s
        for account, owned in list(self._accounts.items()):
            lapsed = [node for node, ledger in owned.ledgers.items() if ledger.heard_at < horizon]
            for node in lapsed:
                del owned.ledgers[node]
            owned.refill(now)
            if not owned.ledgers and owned.level >= owned.rate.burst_tokens:
                del self._accounts[account]


def _first_level(rate: AccountRate, fresh: bool) -> float:
    if not fresh:
        return rate.burst_tokens
    return min(rate.burst_tokens / 2, rate.tokens_per_s * FRESH_LEVEL_S)
