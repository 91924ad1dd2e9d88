"""Owner of accounts: one token bucket per account, allocated to the nodes that request tokens.

The bucket is charged for *spent* tokens; granted but unspent ones count as outstanding. Tokens are thus
created in one place only, and no loss, delay or movement of load creates more of them.
Source of the bucket: Turner 1986 (leaky bucket as a meter).
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.quota.events import AccountRate, QuotaSettings
from springmux.coordination.quota.messages import AccountDemand, AccountGrant

TAKEOVER_LEVEL_S = 0.3
"""Seconds of the quota in the bucket of an owner that took the account over: 3% of a ten second window."""

SHORTAGE_S = 0.2
"""One request period, in which each node requests once and returns what it doesn't need."""


class RequestSequence(msgspec.Struct, frozen=True):
    """Position of a request among those of one node's incarnation."""

    incarnation: int
    number: int


class NodeAllocation:
    """Allocation of one account's tokens to one node.

    ``requested``: tokens that the node needs; ``target``: the amount of them that it should get now.
    """

    __slots__ = ("limit", "requested", "sequence", "spent", "target", "updated_at")

    def __init__(self, sequence: RequestSequence, spent: float, limit: float) -> None:
        self.sequence = sequence
        self.spent = spent
        self.limit = limit
        self.requested = 0.0
        self.target = 0.0
        self.updated_at = 0.0

    def outstanding(self) -> float:
        """Return the tokens granted and not reported as spent."""
        return max(0.0, self.limit - self.spent)


class OwnedAccount:
    """The bucket of one account and its allocations to nodes."""

    def __init__(self, rate: AccountRate, level: float, now: float) -> None:
        self.rate = rate
        self.level = level
        self.allocations: dict[NodeId, NodeAllocation] = {}
        self._refilled_at = now
        self._short_until = now

    def refill(self, now: float) -> None:
        """Add the accrued tokens; those not granted never exceed the burst."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        headroom = max(0.0, self.rate.burst_tokens - self.available())
        self.level += min(headroom, elapsed_s * self.rate.tokens_per_s)

    def available(self) -> float:
        """Return the tokens that may be granted now (negative: the account is in debt)."""
        return self.level - sum(allocation.outstanding() for allocation in self.allocations.values())

    def add_node(self, node: NodeId, sequence: RequestSequence, demand: AccountDemand) -> NodeAllocation:
        """Add a node; charge only tokens that no owner has acknowledged and the node has not granted itself.

        Its unspent tokens come from a former owner's bucket; they are added here and count as outstanding.
        """
        uncharged = max(0.0, demand.spent - demand.acknowledged - demand.self_granted)
        unspent = min(max(0.0, demand.unspent), self.rate.burst_tokens)
        allocation = NodeAllocation(sequence, demand.spent - uncharged, demand.spent + unspent)
        self.level += unspent
        self.allocations[node] = allocation
        return allocation

    def reclaim(self, allocation: NodeAllocation, rejected: float, now: float) -> bool:
        """Reclaim unspent tokens of other nodes for a while if only they cover a rejected request.

        Otherwise a large request would fail while the account's tokens lie idle in small shares. In a lasting
        shortage no tokens lie idle, and the request fails at once.

        :returns: whether the request should wait for reclaimed tokens.
        """
        missing = rejected - allocation.outstanding() - self.available()
        idle = sum(each.outstanding() for each in self.allocations.values() if each is not allocation)
        reclaiming = 0.0 < missing <= idle
        if reclaiming:
            self._short_until = now + SHORTAGE_S
        if now < self._short_until:
            allocation.target = min(allocation.requested, rejected)
        return reclaiming

    def raise_limit(
        self, account: str, allocation: NodeAllocation, minimum: float, reclaiming: bool
    ) -> AccountGrant:
        """Grant the target, or in a shortage a share of the available tokens in proportion to all targets.

        A share too small for one request is not granted, since its tokens would lie idle.
        """
        allocation.limit = min(allocation.limit, allocation.spent + allocation.target)
        allocation.limit = max(allocation.limit, allocation.spent)
        available = self.available()
        short = allocation.target - allocation.outstanding()
        if short > 0.0 and available > 0.0:
            missing = sum(max(0.0, each.target - each.outstanding()) for each in self.allocations.values())
            useful = min(short, max(0.0, minimum - allocation.outstanding()))
            granted = max(short * min(1.0, available / missing), useful)
            if granted <= available:
                allocation.limit += granted
                available -= granted
        all_requested = sum(each.requested for each in self.allocations.values())
        rate = self.rate.tokens_per_s * allocation.requested / all_requested if all_requested > 0.0 else 0.0
        return AccountGrant(account, allocation.limit, rate, max(0.0, available), reclaiming)


class QuotaOwner:
    """The accounts in use that this node owns."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._accounts: dict[str, OwnedAccount] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def set_rate(self, account: str, rate: AccountRate | None, now: float) -> None:
        """Change the rate of an account in use, or remove the account (``None``)."""
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
        """Remove an account that another node owns now."""
        self._accounts.pop(account, None)

    def forget_all(self) -> None:
        """Remove all accounts, since another node may have owned them meanwhile."""
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
        is_takeover: bool,
        now: float,
    ) -> AccountGrant | None:
        """Apply a node's figures and raise its limit; return ``None`` for a request that is not the newest.

        :param is_takeover: shares of a former owner may still be in use, so a new bucket starts almost
            empty instead of with a full burst.
        """
        owned = self._accounts.get(demand.account)
        if owned is None:
            owned = OwnedAccount(rate, _first_level(rate, is_takeover), now)
            self._accounts[demand.account] = owned
        owned.refill(now)
        allocation = owned.allocations.get(sender)
        if allocation is None or allocation.sequence.incarnation != sequence.incarnation:
            allocation = owned.add_node(sender, sequence, demand)
        elif sequence.number <= allocation.sequence.number:
            return None
        owned.level -= demand.spent - allocation.spent
        allocation.spent = demand.spent
        allocation.requested = allocation.target = max(0.0, demand.requested)
        allocation.sequence = sequence
        allocation.updated_at = now
        reclaiming = owned.reclaim(allocation, demand.rejected, now)
        return owned.raise_limit(demand.account, allocation, demand.minimum, reclaiming)

    def expire_leases(self, now: float) -> None:
        """Reclaim shares whose lease expired, and remove accounts that are idle and full."""
        horizon = now - self._settings.lease_s - self._settings.owner_margin_s
        for account, owned in list(self._accounts.items()):
            lapsed = [
                node for node, allocation in owned.allocations.items() if allocation.updated_at < horizon
            ]
            for node in lapsed:
                del owned.allocations[node]
            owned.refill(now)
            if not owned.allocations and owned.level >= owned.rate.burst_tokens:
                del self._accounts[account]


def _first_level(rate: AccountRate, is_takeover: bool) -> float:
    if not is_takeover:
        return rate.burst_tokens
    return min(rate.burst_tokens / 2, rate.tokens_per_s * TAKEOVER_LEVEL_S)
