"""The quota part: gate of the data plane, and owner of some accounts for the fleet."""

from __future__ import annotations

import random

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.events import ContactChanged
from springmux.coordination.quota.events import (
    AccountRate,
    AccountsChanged,
    QuotaMembersChanged,
    QuotaSettings,
)
from springmux.coordination.quota.messages import AccountDemand, QuotaReply, QuotaRequest
from springmux.coordination.quota.owner import Owner, RequestSequence
from springmux.coordination.quota.share import Share
from springmux.coordination.rendezvous import first_holders
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)

BOOT_BITS = 62
"""Boots are random numbers that fit a signed 64-bit integer on the wire."""

KEPT_ASKS = 8
"""Asks remembered for each owner: older answers are of no use."""


class QuotaAllocator:
    """Implements :class:`~springmux.coordination.quota.gate.QuotaGate`; one for each node.

    Takes ``AccountsChanged``, ``QuotaMembersChanged``, ``MessageReceived`` and ``Tick``; gives ``Send``.
    ``reserve`` and ``settle`` only count; they may move ``next_deadline`` to the present, so the
    driver looks at it after them.
    """

    def __init__(self, own: NodeId, random: random.Random, settings: QuotaSettings | None = None) -> None:
        self._own = own
        self._settings = settings or QuotaSettings()
        self._boot = random.getrandbits(BOOT_BITS)
        self._sequence = 0
        self._owner = Owner(self._settings)
        self._rates: dict[str, AccountRate] = {}
        self._shares: dict[str, Share] = {}
        self._active: dict[str, Share] = {}
        self._hurried: dict[str, Share] = {}
        self._resting: dict[str, None] = {}
        self._staying: tuple[NodeId, ...] = (own,)
        self._owners: dict[str, NodeId] = {}
        self._asked: dict[NodeId, dict[int, tuple[AccountDemand, ...]]] = {}
        self._next_ask = NEVER
        self._next_round = 0.0
        self._last_ask = -NEVER
        self._next_sweep = NEVER
        self._take_over_until = NEVER

    def reserve(self, account: str, amount: float, now: float, again: bool = False) -> bool:
        """Take ``amount`` tokens from this node's share; an account without a quota is not limited."""
        share = self._share(account, now)
        if share is None:
            return True
        taken = share.reserve(amount, len(self._staying), now, again)
        self._plan_ask(share, now)
        return taken

    def awaits_owner(self, account: str) -> bool:
        """Say whether the owner has yet to answer for the refusal that this node would give now."""
        share = self._shares.get(account)
        return share is not None and share.awaits_owner()

    def settle(self, account: str, reserved: float, used: float, now: float) -> None:
        """Correct a reservation by what was really used (less or more)."""
        share = self._share(account, now)
        if share is not None:
            share.settle(reserved, used, now)
            self._plan_ask(share, now)

    def retry_after_s(self, account: str, amount: float, now: float) -> float:
        """Return when a refused caller should come back."""
        share = self._share(account, now)
        return 0.0 if share is None else share.retry_after_s(amount, len(self._staying))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event."""
        match event:
            case AccountsChanged():
                self._change_accounts(event, now)
            case QuotaMembersChanged():
                self._change_members(event, now)
            case ContactChanged(connected=True):
                self._begin_again(now)
            case MessageReceived(sender=sender, message=message):
                return self._receive(sender, message, now)
            case Tick():
                return self._tick(now)
        return []

    def next_deadline(self) -> float:
        """Return when shares are to be asked for or taken back; an idle node waits for nothing."""
        return min(self._next_ask, self._next_sweep)

    def owned_accounts(self) -> int:
        """Return how many accounts this node owns and serves now, for status pages."""
        return len(self._owner)

    def active_accounts(self) -> int:
        """Return how many accounts have a share here, for status pages."""
        return len(self._shares)

    def _share(self, account: str, now: float) -> Share | None:
        share = self._shares.get(account)
        if share is None:
            rate = self._rates.get(account)
            if rate is None:
                return None
            share = self._shares[account] = Share(account, rate, self._settings, now)
        return share

    def _plan_ask(self, share: Share, now: float) -> None:
        if share.account not in self._active:
            self._active[share.account] = share
            self._resting.pop(share.account, None)
        if share.hurried:
            self._hurried[share.account] = share
            self._next_ask = min(self._next_ask, max(now, self._last_ask + self._settings.hurry_period_s))
        else:
            self._next_ask = min(self._next_ask, max(now, self._next_round))

    def _change_accounts(self, event: AccountsChanged, now: float) -> None:
        for account in event.removed:
            self._rates.pop(account, None)
            for shares in (self._shares, self._active, self._hurried, self._resting):
                shares.pop(account, None)
            self._owner.set_rate(account, None, now)
        for account, rate in event.changed.items():
            self._rates[account] = rate
            self._owner.set_rate(account, rate, now)
            share = self._shares.get(account)
            if share is not None:
                share.rate = rate

    def _change_members(self, event: QuotaMembersChanged, now: float) -> None:
        staying = tuple(record.node for record in event.view.staying())
        if staying == self._staying:
            return
        self._staying = staying or (self._own,)
        self._owners.clear()
        self._take_over_until = now + self._settings.take_over_s
        for account in self._owner.accounts():
            if self._owner_of(account) != self._own:
                self._owner.forget(account)

    def _begin_again(self, now: float) -> None:
        """Back in contact: what this node saved up for its accounts while alone is worth nothing.

        Others owned and shared out the accounts meanwhile.
        """
        self._owner.forget_all()
        self._take_over_until = now + self._settings.take_over_s

    def _owner_of(self, account: str) -> NodeId:
        owner = self._owners.get(account)
        if owner is None:
            owner = self._owners[account] = first_holders(account, self._staying, 1)[0]
        return owner

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if now >= self._next_sweep:
            self._owner.sweep(now)
            self._next_sweep = now + self._settings.lease_s if len(self._owner) else NEVER
        if now >= self._next_ask:
            effects = self._ask(now)
        return effects

    def _ask(self, now: float) -> list[Effect]:
        """Ask for all active accounts once a period, and in between for those whose share ran out."""
        self._last_ask = now
        due = self._hurried
        if now >= self._next_round:
            self._next_round = now + self._settings.ask_period_s
            self._rest(now)
            due = self._active
        demands: dict[NodeId, list[AccountDemand]] = {}
        for account, share in due.items():
            demands.setdefault(self._owner_of(account), []).append(share.demand(len(self._staying), now))
        self._hurried = {}
        self._next_ask = self._next_round if self._active else NEVER
        effects: list[Effect] = []
        for owner, asked in demands.items():
            effects += self._send_ask(owner, tuple(asked), now)
        return effects

    def _rest(self, now: float) -> None:
        """Fall silent about idle accounts, and forget those that have long been idle."""
        for account, share in list(self._active.items()):
            if share.is_idle(now) and share.is_reported():
                del self._active[account]
                self._resting[account] = None
        while self._resting:
            oldest = next(iter(self._resting))
            if not self._shares[oldest].is_forgotten(now):
                break
            del self._resting[oldest]
            del self._shares[oldest]

    def _send_ask(self, owner: NodeId, demands: tuple[AccountDemand, ...], now: float) -> list[Effect]:
        self._sequence += 1
        kept = self._asked.setdefault(owner, {})
        kept[self._sequence] = demands
        while len(kept) > KEPT_ASKS:
            del kept[next(iter(kept))]
        ask = QuotaRequest(self._boot, self._sequence, demands)
        if owner == self._own:
            self._take_share(owner, self._answer(owner, ask, now), now)
            return []
        return [Send(owner, ask)]

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        match message:
            case QuotaRequest():
                share = self._answer(sender, message, now)
                return [Send(sender, share)] if share.grants else []
            case QuotaReply():
                self._take_share(sender, message, now)
        return []

    def _answer(self, sender: NodeId, ask: QuotaRequest, now: float) -> QuotaReply:
        """Answer for the accounts that this node believes to own; for others the asker looks elsewhere."""
        grants = []
        fresh = now < self._take_over_until
        sequence = RequestSequence(ask.boot, ask.sequence)
        for demand in ask.demands:
            rate = self._rates.get(demand.account)
            if rate is None or self._owner_of(demand.account) != self._own:
                continue
            grant = self._owner.grant(sender, sequence, demand, rate, fresh, now)
            if grant is not None:
                grants.append(grant)
        if grants and self._next_sweep == NEVER:
            self._next_sweep = now + self._settings.lease_s
        return QuotaReply(ask.boot, ask.sequence, tuple(grants))

    def _take_share(self, sender: NodeId, message: QuotaReply, now: float) -> None:
        kept = self._asked.get(sender)
        if message.boot != self._boot or kept is None or message.sequence not in kept:
            return
        asked = {demand.account: demand for demand in kept.pop(message.sequence)}
        for older in [number for number in kept if number < message.sequence]:
            del kept[older]
        for grant in message.grants:
            share = self._shares.get(grant.account)
            if share is not None and grant.account in asked and self._owner_of(grant.account) == sender:
                share.take(grant, asked[grant.account], now)
