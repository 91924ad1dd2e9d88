"""State machine of the quota: the data plane's gate, and the owner of some of the fleet's accounts."""

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
from springmux.coordination.quota.owner import QuotaOwner, RequestSequence
from springmux.coordination.quota.share import LocalShare
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

INCARNATION_BITS = 62
"""Size of the random incarnation number, which must fit a signed 64-bit integer on the wire."""

REQUESTS_KEPT = 8
"""Number of pending requests kept for each owner; replies to older ones are ignored."""


class QuotaAllocator:
    """Implements :class:`~springmux.coordination.quota.gate.QuotaGate`; one for each node.

    Handles ``AccountsChanged``, ``QuotaMembersChanged``, ``ContactChanged``, ``MessageReceived`` and
    ``Tick``; returns ``Send``. ``reserve`` and ``settle`` send nothing, but may move ``next_deadline`` to the
    present, so the driver must read it after each call.
    """

    def __init__(self, own: NodeId, random: random.Random, settings: QuotaSettings | None = None) -> None:
        self._own = own
        self._settings = settings or QuotaSettings()
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._sequence = 0
        self._owner = QuotaOwner(self._settings)
        self._rates: dict[str, AccountRate] = {}
        self._shares: dict[str, LocalShare] = {}
        self._active: dict[str, LocalShare] = {}
        self._urgent: dict[str, LocalShare] = {}
        self._idle: dict[str, None] = {}
        self._staying: tuple[NodeId, ...] = (own,)
        self._owners: dict[str, NodeId] = {}
        self._pending_requests: dict[NodeId, dict[int, tuple[AccountDemand, ...]]] = {}
        self._next_request = NEVER
        self._next_round = 0.0
        self._last_request = -NEVER
        self._next_expiry = NEVER
        self._takeover_until = NEVER

    def reserve(self, account: str, amount: float, now: float, again: bool = False) -> bool:
        """Reserve ``amount`` tokens of this node's share; an account without a quota is not limited."""
        share = self._share(account, now)
        if share is None:
            return True
        is_reserved = share.reserve(amount, len(self._staying), now, again)
        self._schedule_request(share, now)
        return is_reserved

    def awaits_owner(self, account: str) -> bool:
        """Return whether the owner has yet to reply to the last failed reservation."""
        share = self._shares.get(account)
        return share is not None and share.awaits_owner()

    def settle(self, account: str, reserved: float, used: float, now: float) -> None:
        """Correct a reservation to the tokens that were actually used, fewer or more."""
        share = self._share(account, now)
        if share is not None:
            share.settle(reserved, used, now)
            self._schedule_request(share, now)

    def retry_after_s(self, account: str, amount: float, now: float) -> float:
        """Return the delay (s) after which a rejected client should retry."""
        share = self._share(account, now)
        return 0.0 if share is None else share.retry_after_s(amount, len(self._staying))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
        match event:
            case AccountsChanged():
                self._change_accounts(event, now)
            case QuotaMembersChanged():
                self._change_members(event, now)
            case ContactChanged(connected=True):
                self._reset_ownership(now)
            case MessageReceived(sender=sender, message=message):
                return self._receive(sender, message, now)
            case Tick():
                return self._tick(now)
        return []

    def next_deadline(self) -> float:
        """Return the time at which the next request or lease expiry is due, ``NEVER`` if the node is idle."""
        return min(self._next_request, self._next_expiry)

    def owned_accounts(self) -> int:
        """Return the number of accounts that this node owns and serves, for status pages."""
        return len(self._owner)

    def active_accounts(self) -> int:
        """Return the number of accounts of which this node has a share, for status pages."""
        return len(self._shares)

    def _share(self, account: str, now: float) -> LocalShare | None:
        share = self._shares.get(account)
        if share is None:
            rate = self._rates.get(account)
            if rate is None:
                return None
            share = self._shares[account] = LocalShare(account, rate, self._settings, now)
        return share

    def _schedule_request(self, share: LocalShare, now: float) -> None:
        if share.account not in self._active:
            self._active[share.account] = share
            self._idle.pop(share.account, None)
        if share.is_urgent:
            self._urgent[share.account] = share
            self._next_request = min(
                self._next_request, max(now, self._last_request + self._settings.urgent_period_s)
            )
        else:
            self._next_request = min(self._next_request, max(now, self._next_round))

    def _change_accounts(self, event: AccountsChanged, now: float) -> None:
        for account in event.removed:
            self._rates.pop(account, None)
            for shares in (self._shares, self._active, self._urgent, self._idle):
                shares.pop(account, None)
            self._owner.set_rate(account, None, now)
        for account, rate in event.changed.items():
            self._rates[account] = rate
            self._owner.set_rate(account, rate, now)
            share = self._shares.get(account)
            if share is not None:
                share.rate = rate

    def _change_members(self, event: QuotaMembersChanged, now: float) -> None:
        staying = tuple(record.node for record in event.view.not_leaving())
        if staying == self._staying:
            return
        self._staying = staying or (self._own,)
        self._owners.clear()
        self._takeover_until = now + self._settings.takeover_s
        for account in self._owner.accounts():
            if self._owner_of(account) != self._own:
                self._owner.forget(account)

    def _reset_ownership(self, now: float) -> None:
        """Drop the owned accounts after an isolation, during which other nodes may have owned them."""
        self._owner.forget_all()
        self._takeover_until = now + self._settings.takeover_s

    def _owner_of(self, account: str) -> NodeId:
        owner = self._owners.get(account)
        if owner is None:
            owner = self._owners[account] = first_holders(account, self._staying, 1)[0]
        return owner

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if now >= self._next_expiry:
            self._owner.expire_leases(now)
            self._next_expiry = now + self._settings.lease_s if len(self._owner) else NEVER
        if now >= self._next_request:
            effects = self._send_requests(now)
        return effects

    def _send_requests(self, now: float) -> list[Effect]:
        """Request tokens for all active accounts once per period, and for exhausted shares in between."""
        self._last_request = now
        due = self._urgent
        if now >= self._next_round:
            self._next_round = now + self._settings.request_period_s
            self._retire_idle(now)
            due = self._active
        demands: dict[NodeId, list[AccountDemand]] = {}
        for account, share in due.items():
            demands.setdefault(self._owner_of(account), []).append(share.demand(len(self._staying), now))
        self._urgent = {}
        self._next_request = self._next_round if self._active else NEVER
        effects: list[Effect] = []
        for owner, owner_demands in demands.items():
            effects += self._send_request(owner, tuple(owner_demands), now)
        return effects

    def _retire_idle(self, now: float) -> None:
        """Stop requests for idle accounts, and remove those that have long been idle."""
        for account, share in list(self._active.items()):
            if share.is_idle(now) and share.is_reported():
                del self._active[account]
                self._idle[account] = None
        while self._idle:
            oldest = next(iter(self._idle))
            if not self._shares[oldest].is_expired(now):
                break
            del self._idle[oldest]
            del self._shares[oldest]

    def _send_request(self, owner: NodeId, demands: tuple[AccountDemand, ...], now: float) -> list[Effect]:
        self._sequence += 1
        pending = self._pending_requests.setdefault(owner, {})
        pending[self._sequence] = demands
        while len(pending) > REQUESTS_KEPT:
            del pending[next(iter(pending))]
        request = QuotaRequest(self._incarnation, self._sequence, demands)
        if owner == self._own:
            self._apply_reply(owner, self._reply(owner, request, now))
            return []
        return [Send(owner, request)]

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        match message:
            case QuotaRequest():
                reply = self._reply(sender, message, now)
                return [Send(sender, reply)] if reply.grants else []
            case QuotaReply():
                self._apply_reply(sender, message)
        return []

    def _reply(self, sender: NodeId, request: QuotaRequest, now: float) -> QuotaReply:
        """Return grants for the accounts that this node owns in its view.

        The others are left out; their sender will address the owner once the views agree.
        """
        grants = []
        is_takeover = now < self._takeover_until
        sequence = RequestSequence(request.incarnation, request.sequence)
        for demand in request.demands:
            rate = self._rates.get(demand.account)
            if rate is None or self._owner_of(demand.account) != self._own:
                continue
            grant = self._owner.grant(sender, sequence, demand, rate, is_takeover, now)
            if grant is not None:
                grants.append(grant)
        if grants and self._next_expiry == NEVER:
            self._next_expiry = now + self._settings.lease_s
        return QuotaReply(request.incarnation, request.sequence, tuple(grants))

    def _apply_reply(self, sender: NodeId, message: QuotaReply) -> None:
        pending = self._pending_requests.get(sender)
        if message.incarnation != self._incarnation or pending is None or message.sequence not in pending:
            return
        requested = {demand.account: demand for demand in pending.pop(message.sequence)}
        for older in [number for number in pending if number < message.sequence]:
            del pending[older]
        for grant in message.grants:
            share = self._shares.get(grant.account)
            if share is not None and grant.account in requested and self._owner_of(grant.account) == sender:
                share.apply_grant(grant, requested[grant.account])
