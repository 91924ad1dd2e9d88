"""The usage part: admits requests against fleet-wide buckets, and exchanges counts and engine loads."""

from __future__ import annotations

import random
from collections.abc import Mapping

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)
from springmux.coordination.usage.bucket import Bucket
from springmux.coordination.usage.collector import Collector
from springmux.coordination.usage.contact import FleetContact
from springmux.coordination.usage.engine_loads import EngineLoads
from springmux.coordination.usage.events import (
    AccountLimit,
    AccountLimitsChanged,
    UsageMembersChanged,
    UsageSettings,
)
from springmux.coordination.usage.messages import (
    AccountUse,
    EngineLoad,
    UsageReport,
    UsageTotals,
    ZoneTotals,
)
from springmux.coordination.usage.zone_relay import NewestTotals, send_each, tell_all

INCARNATION_BITS = 32
"""Incarnations are random numbers that take five bytes on the wire."""


SOON = -NEVER
"""Deadline of a report that was asked for at an unknown time: due once the last one is a period old."""


class UsageExchange:
    """One a node. Takes ``AccountLimitsChanged``, ``UsageMembersChanged``, ``MessageReceived`` and ``Tick``.

    ``admit``, ``give_back`` and ``note_engine_load`` only count; they may move ``next_deadline`` to the
    present, so the driver looks at it after them.
    """

    def __init__(self, own: NodeId, random: random.Random, settings: UsageSettings | None = None) -> None:
        self._own = own
        self._random = random
        self._settings = settings or UsageSettings()
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._sequence = 0
        self._limits: Mapping[str, AccountLimit] = {}
        self._buckets: dict[str, Bucket] = {}
        self._active: dict[str, None] = {}
        self._contact = FleetContact(own, self._settings)
        self._loads = EngineLoads(self._settings)
        self._collector = Collector(self._settings)
        self._next_report = NEVER
        self._last_report = -NEVER
        self._next_totals = NEVER
        self._totals_number = 0
        self._newest_totals = NewestTotals()
        self._now = 0.0

    def admit(self, account: str, tokens: float, now: float) -> float | None:
        """Admit and count a request of ``tokens``; an account without a limit always is, uncounted.

        :returns: ``None``, or the seconds after which the caller should come back.
        """
        self._look_at_clock(now)
        bucket = self._bucket(account, now)
        if bucket is None:
            return None
        self._active[account] = None
        self._plan_report(now)
        return bucket.admit(tokens, self._contact.standing(now), self._random.random(), now)

    def give_back(self, account: str, tokens: float, now: float) -> None:
        """Take back the count of an admitted request that never ran."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.spend(-tokens, now)
            self._active[account] = None
            self._plan_report(now)

    def note_engine_load(self, engine: str, requests: float, prompt_tokens: float) -> None:
        """Set this node's present load at an engine; it goes out with the next report."""
        self._loads.note(engine, requests, prompt_tokens)
        if self._next_report == NEVER and self._loads.pending():
            self._next_report = SOON

    def other_engine_loads(self) -> Mapping[str, tuple[float, float]]:
        """Return requests and prompt tokens of all other nodes at each engine, as lately reported."""
        return self._loads.others(self._now)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event."""
        match event:
            case AccountLimitsChanged():
                self._change_limits(event)
            case UsageMembersChanged():
                self._change_members(event, now)
            case MessageReceived(sender=sender, message=message):
                return self._receive(sender, message, now)
            case Tick():
                return self._tick(now)
        return []

    def next_deadline(self) -> float:
        """Return when a report or totals are due; an idle node waits for nothing."""
        report = self._last_report + self._period() if self._next_report == SOON else self._next_report
        return max(self._now, min(report, self._next_totals))

    def _look_at_clock(self, now: float) -> None:
        """Begin again where the process stood still: its picture of the others is as old as its last tick."""
        planned = self._next_totals if self._next_report == SOON else self.next_deadline()
        if now > planned + self._settings.stall_s:
            self._contact.start(now, self._settings.catch_up_s)
            for bucket in self._buckets.values():
                bucket.stand_still(now)
            self._next_report = now
            if self._next_totals != NEVER:
                self._next_totals = now
        self._now = now

    def _bucket(self, account: str, now: float) -> Bucket | None:
        """Return an account's bucket, or ``None`` if the account has no limit."""
        bucket = self._buckets.get(account)
        if bucket is None:
            limit = self._limits.get(account)
            if limit is None or limit.rate_per_s <= 0.0:
                return None
            standing = self._contact.standing(now)
            bucket = self._buckets[account] = Bucket(limit, self._settings, standing, now)
        return bucket

    def _plan_report(self, now: float) -> None:
        if self._next_report in (NEVER, SOON):
            self._next_report = max(now, self._last_report + self._period())

    def _period(self) -> float:
        collecting = self._contact.collecting
        return self._settings.totals_period_s if collecting else self._settings.report_period_s

    def _change_limits(self, event: AccountLimitsChanged) -> None:
        self._limits = event.limits
        for account, bucket in list(self._buckets.items()):
            limit = event.limits.get(account)
            if limit is None or limit.rate_per_s <= 0.0:
                del self._buckets[account]
                self._active.pop(account, None)
            elif limit != bucket.limit:
                bucket.set_limit(limit)

    def _change_members(self, event: UsageMembersChanged, now: float) -> None:
        self._contact.change_members(event.view, now)
        self._loads.keep(self._contact.present)
        if self._contact.is_collector and self._next_totals == NEVER:
            self._next_totals = now + self._settings.totals_period_s

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        self._look_at_clock(now)
        match message:
            case UsageReport():
                return self._receive_report(sender, message, now)
            case UsageTotals():
                self._receive_totals(message, now)
            case ZoneTotals():
                return self._pass_on(message, now)
        return []

    def _pass_on(self, message: ZoneTotals, now: float) -> list[Effect]:
        """Take the own totals and send the others theirs."""
        for node, sequence in message.receivers:
            if node == self._own:
                self._receive_totals(message.totals.holding(sequence), now)
        return send_each(message.totals, tuple(entry for entry in message.receivers if entry[0] != self._own))

    def _receive_report(self, sender: NodeId, report: UsageReport, now: float) -> list[Effect]:
        was_silent = sender in self._contact.standing(now).silent
        after_gap = was_silent or self._contact.has_gap(sender, now)
        peer = self._contact.heard(sender, now)
        if report.incarnation != peer.incarnation:
            peer.incarnation, peer.sequence = report.incarnation, 0
            for bucket in self._buckets.values():
                bucket.restart_peer(sender)
        elif report.sequence <= peer.sequence and report.accounts:
            return []
        peer.sequence = max(peer.sequence, report.sequence)
        if was_silent:
            for bucket in self._buckets.values():
                bucket.release(sender)
        self._hear_accounts(sender, report.accounts, after_gap, now)
        self._loads.hear(sender, report.engines, now)
        peer.owes_since = now if any(use.demand for use in report.accounts) else NEVER
        if self._contact.is_collector:
            self._next_totals = min(self._next_totals, now + self._settings.totals_period_s)
            return []
        if not report.accounts or (not after_gap and now - peer.sent < self._settings.reply_s):
            return []
        peer.sent = now
        return [Send(sender, self._answer(after_gap, now))]

    def _answer(self, after_gap: bool, now: float) -> UsageReport:
        """Return an empty report, or one with all that a peer may have missed."""
        if not after_gap:
            return UsageReport(self._incarnation, self._sequence)
        self._sequence += 1
        return UsageReport(self._incarnation, self._sequence, self._full_rows(now))

    def _hear_accounts(
        self, sender: NodeId, uses: tuple[AccountUse, ...], after_gap: bool, now: float
    ) -> None:
        standing = self._contact.standing(now)
        for use in uses:
            bucket = self._bucket(use.account, now)
            if bucket is not None:
                bucket.hear_use(sender, use, standing, after_gap, now)
                self._collector.note(use.account, now)

    def _receive_totals(self, totals: UsageTotals, now: float) -> None:
        if totals.collector not in self._contact.collectors or not self._newest_totals.take(totals):
            return
        self._contact.heard_totals(now)
        if self._contact.is_collector:
            return
        standing = self._contact.standing(now)
        for total in totals.accounts:
            bucket = self._bucket(total.account, now)
            if bucket is not None:
                bucket.hear_total(total, totals.included, standing, now)
        self._loads.hear_sums(totals.collector, totals.engines, now)

    def _tick(self, now: float) -> list[Effect]:
        self._look_at_clock(now)
        effects: list[Effect] = []
        if now >= self._next_report and now >= self._last_report + self._period():
            effects += self._report(now)
        if now >= self._next_totals:
            effects += self._tell_totals(now)
        return effects

    def _report(self, now: float) -> list[Effect]:
        self._last_report = now
        hold_s = self._contact.standing(now).hold_s
        active = {account: self._buckets[account] for account in self._active}
        news = [name for name, b in active.items() if b.own.has_news(b.limit.rate_per_s, hold_s, now)]
        engines = self._loads.take_due(now)
        effects: list[Effect] = []
        if news or engines:
            self._sequence += 1
            effects = self._send_reports(news, engines, now)
            for account in news:
                self._buckets[account].own.mark_sent(self._sequence, now)
                self._collector.note(account, now)
        self._rest(now)
        waits = bool(self._active) or self._loads.pending()
        self._next_report = now + self._period() if waits else NEVER
        return effects

    def _rest(self, now: float) -> None:
        """Fall silent about accounts that are idle and told."""
        idle_since = now - self._settings.repeat_s
        for account in list(self._active):
            own = self._buckets[account].own
            if own.asked_at < idle_since and own.is_told():
                del self._active[account]

    def _send_reports(self, news: list[str], engines: tuple[EngineLoad, ...], now: float) -> list[Effect]:
        contact = self._contact
        receivers = contact.collectors if contact.collecting else contact.present
        usual = UsageReport(self._incarnation, self._sequence, self._rows(news, False, now), engines)
        full: UsageReport | None = None
        effects: list[Effect] = []
        for node in receivers:
            if node == self._own:
                continue
            report = usual
            if contact.is_silent(node, now):
                if full is None:
                    full = UsageReport(self._incarnation, self._sequence, self._full_rows(now), engines)
                report = full
            contact.sent(node, bool(usual.accounts), now)
            effects.append(Send(node, report))
        return effects

    def _rows(self, accounts: list[str], full: bool, now: float) -> tuple[AccountUse, ...]:
        return tuple(
            bucket.own.report(account, bucket.level, full, now)
            for account in accounts
            for bucket in (self._buckets[account],)
        )

    def _full_rows(self, now: float) -> tuple[AccountUse, ...]:
        since = now - self._settings.full_s
        used = [name for name, bucket in self._buckets.items() if bucket.own.asked_at > since]
        return self._rows(used, True, now)

    def _tell_totals(self, now: float) -> list[Effect]:
        """Send totals to all, if this is the first collector, or the first one was not heard lately."""
        contact = self._contact
        if not contact.is_collector:
            self._next_totals = NEVER
            return []
        self._next_totals = now + self._settings.totals_period_s if self._collector.is_busy() else NEVER
        first = contact.collectors[0] == self._own
        standing = contact.standing(now)
        if standing.starting or (not first and contact.quiet_collector_s(now) < self._settings.stand_in_s):
            return []
        accounts = self._collector.due_accounts(self._buckets, standing, now)
        engines = self._collector.due_engines(self._loads, now)
        if not self._collector.is_worth_telling(bool(accounts or engines), now):
            return []
        self._totals_number += 1
        totals = UsageTotals(0, accounts, engines, self._own, self._incarnation, self._totals_number)
        return tell_all(totals, contact.zones, self._own, lambda node: contact.peers[node].sequence)
