"""Owner of accounts: one token bucket per account, allocated to the nodes that request tokens.

The bucket is charged for *spent* tokens; granted but unspent ones are outstanding. Tokens are thus created in
one place only, and neither lost or late messages nor load that moves between nodes creates more of them.
Source of the bucket: Turner 1986 (leaky bucket as a meter).
"""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId
from springmux.coordination.quota.events import AccountRate, QuotaSettings
from springmux.coordination.quota.messages import AccountDemand, AccountGrant

TAKEOVER_LEVEL_S = 0.3
"""Initial level after a takeover, in seconds of the quota's rate: 3% of a window of ten seconds."""

SHORTAGE_S = 0.2
"""Time for which unspent tokens are reclaimed: one request period, in which each node requests once and
returns the tokens that it doesn't need."""


class RequestSequence(msgspec.Struct, frozen=True):
    """Position of a request among those of one node's incarnation."""

    incarnation: int
    number: int


class NodeAllocation:
    """Allocation of one account's tokens to one node.

    ``requested``: tokens that the node needs. ``target``: the part of them that it should be granted now.
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
        """Return the tokens that are granted and not reported as spent."""
        return max(0.0, self.limit - self.spent)


class OwnedAccount:
    """The bucket of one account and its allocations to nodes."""

    def __init__(self, rate: AccountRate, level: float, now: float) -> None:
        self.rate = rate
        self.level = level
        self.allocations: dict[NodeId, NodeAllocation] = {}
        self._refilled_at = now
        self._shortage_until = now

    def refill(self, now: float) -> None:
        """Add the accrued tokens. The tokens that are not granted never exceed the burst."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        headroom = max(0.0, self.rate.burst_tokens - self.available())
        self.level += min(headroom, elapsed_s * self.rate.tokens_per_s)

    def available(self) -> float:
        """Return the tokens that may be granted now; a negative number is the account's debt."""
        return self.level - sum(allocation.outstanding() for allocation in self.allocations.values())

    def add_node(self, node: NodeId, sequence: RequestSequence, demand: AccountDemand) -> NodeAllocation:
        """Add a node; charge only tokens that no owner has acknowledged and the node has not granted itself.

        Its unspent tokens come from a former owner's bucket, so they are added to this one as outstanding.
        """
        uncharged = max(0.0, demand.spent - demand.acknowledged - demand.self_granted)
        unspent = min(max(0.0, demand.unspent), self.rate.burst_tokens)
        allocation = NodeAllocation(sequence, demand.spent - uncharged, demand.spent + unspent)
        self.level += unspent
        self.allocations[node] = allocation
        return allocation

    def reclaim(self, allocation: NodeAllocation, rejected: float, now: float) -> bool:
        """Reclaim unspent tokens of other nodes for a while if a rejected request can't be covered otherwise.

        Without this, a large request would fail while the account's tokens remain unused in small shares. In
        a lasting shortage there are no unused tokens, and the request fails immediately.

        :returns: whether the request should wait for reclaimed tokens.
        """
        shortfall = rejected - allocation.outstanding() - self.available()
        reclaimable = sum(each.outstanding() for each in self.allocations.values() if each is not allocation)
        reclaiming = 0.0 < shortfall <= reclaimable
        if reclaiming:
            self._shortage_until = now + SHORTAGE_S
        if now < self._shortage_until:
            allocation.target = min(allocation.requested, rejected)
        return reclaiming

    def raise_limit(
        self, account: str, allocation: NodeAllocation, minimum: float, reclaiming: bool
    ) -> AccountGrant:
        """Grant the target, or in a shortage a part of the available tokens in proportion to all targets.

        A share too small for one request is not granted, since its tokens could not be used.
        """
        allocation.limit = min(allocation.limit, allocation.spent + allocation.target)
        allocation.limit = max(allocation.limit, allocation.spent)
        available = self.available()
        shortfall = allocation.target - allocation.outstanding()
        if shortfall > 0.0 and available > 0.0:
            total_shortfall = sum(
                max(0.0, each.target - each.outstanding()) for each in self.allocations.values()
            )
            minimum_grant = min(shortfall, max(0.0, minimum - allocation.outstanding()))
            granted = max(shortfall * min(1.0, available / total_shortfall), minimum_grant)
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
        """Remove all accounts, since other nodes may have owned them in the meantime."""
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
        """Apply a node's demand and raise its limit; return ``None`` for a request that is not the newest.

        :param is_takeover: whether shares granted by a former owner may still be in use, so that a new bucket
            starts almost empty instead of with a full burst.
        """
        owned = self._accounts.get(demand.account)
        if owned is None:
            owned = OwnedAccount(rate, _initial_level(rate, is_takeover), now)
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
        """Reclaim the shares whose lease expired, and remove accounts without shares whose bucket is full."""
        horizon = now - self._settings.lease_s - self._settings.owner_margin_s
        for account, owned in list(self._accounts.items()):
            expired_nodes = [
                node for node, allocation in owned.allocations.items() if allocation.updated_at < horizon
            ]
            for node in expired_nodes:
                del owned.allocations[node]
            owned.refill(now)
            if not owned.allocations and owned.level >= owned.rate.burst_tokens:
                del self._accounts[account]


def _initial_level(rate: AccountRate, is_takeover: bool) -> float:
    if not is_takeover:
        return rate.burst_tokens
    return min(rate.burst_tokens / 2, rate.tokens_per_s * TAKEOVER_LEVEL_S)
