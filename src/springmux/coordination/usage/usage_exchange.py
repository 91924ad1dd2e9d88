"""State machine that admits requests against fleet-wide buckets and exchanges counts and engine loads."""

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
from springmux.coordination.usage.peer_tracker import PeerTracker
from springmux.coordination.usage.zone_relay import TotalsFilter, broadcast_totals

INCARNATION_BITS = 32
"""Size of the random incarnation number, which takes at most five bytes on the wire."""

WHEN_PERIOD_ELAPSED = -NEVER
"""Marks a report requested without a known time; it is due one period after the previous report."""


class UsageExchange:
    """Usage exchange of one node; see the package docstring.

    Handles ``AccountLimitsChanged``, ``UsageMembersChanged``, ``MessageReceived`` and ``Tick``. ``admit``,
    ``refund`` and ``note_engine_load`` send nothing, but may move ``next_deadline`` to the present, so the
    driver must read it after each call.
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
        self._peer_tracker = PeerTracker(own, self._settings)
        self._loads = EngineLoads(self._settings)
        self._collector = Collector(self._settings)
        self._next_report = NEVER
        self._last_report = -NEVER
        self._next_totals = NEVER
        self._totals_number = 0
        self._totals_filter = TotalsFilter()
        self._now = 0.0

    def admit(self, account: str, tokens: float, now: float) -> float | None:
        """Admit and count a request of ``tokens``.

        A request of an account without a limit is always admitted and not counted.

        :returns: ``None`` if admitted, else the delay in seconds after which the client should retry.
        """
        self._observe_time(now)
        bucket = self._bucket(account, now)
        if bucket is None:
            return None
        self._active[account] = None
        self._plan_report(now)
        return bucket.admit(tokens, self._peer_tracker.fleet_view(now), self._random.random(), now)

    def refund(self, account: str, tokens: float, now: float) -> None:
        """Refund the tokens of an admitted request that was not executed."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.spend(-tokens, now)
            self._active[account] = None
            self._plan_report(now)

    def note_engine_load(self, engine: str, requests: float, prompt_tokens: float) -> None:
        """Set this node's current load at an engine; the next report includes it."""
        self._loads.set_own(engine, requests, prompt_tokens)
        if self._next_report == NEVER and self._loads.has_pending():
            self._next_report = WHEN_PERIOD_ELAPSED

    def other_engine_loads(self) -> Mapping[str, tuple[float, float]]:
        """Return the requests and prompt tokens that all other nodes last reported, summed by engine."""
        return self._loads.others(self._now)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event; return the effects to execute."""
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
        """Return the time at which the next report or totals are due, or ``NEVER`` if the node is idle."""
        report = (
            self._last_report + self._period()
            if self._next_report == WHEN_PERIOD_ELAPSED
            else self._next_report
        )
        return max(self._now, min(report, self._next_totals))

    def _observe_time(self, now: float) -> None:
        """Advance the clock. After a stall, repeat the startup phase, as the peers' counts are outdated."""
        planned = self._next_totals if self._next_report == WHEN_PERIOD_ELAPSED else self.next_deadline()
        if now > planned + self._settings.stall_s:
            self._peer_tracker.start(now, self._settings.catch_up_s)
            for bucket in self._buckets.values():
                bucket.skip_stall(now)
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
            fleet = self._peer_tracker.fleet_view(now)
            bucket = self._buckets[account] = Bucket(limit, self._settings, fleet, now)
        return bucket

    def _plan_report(self, now: float) -> None:
        if self._next_report in (NEVER, WHEN_PERIOD_ELAPSED):
            self._next_report = max(now, self._last_report + self._period())

    def _period(self) -> float:
        uses_collectors = self._peer_tracker.uses_collectors
        return self._settings.totals_period_s if uses_collectors else self._settings.report_period_s

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
        self._peer_tracker.change_members(event.view, now)
        self._loads.retain(self._peer_tracker.present)
        if self._peer_tracker.is_collector and self._next_totals == NEVER:
            self._next_totals = now + self._settings.totals_period_s

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        self._observe_time(now)
        match message:
            case UsageReport():
                return self._receive_report(sender, message, now)
            case UsageTotals():
                self._receive_totals(message, now)
            case ZoneTotals():
                return self._forward_totals(message, now)
        return []

    def _forward_totals(self, message: ZoneTotals, now: float) -> list[Effect]:
        """Apply the totals addressed to this node and forward the others to their receivers."""
        effects: list[Effect] = []
        for node, sequence in message.receivers:
            totals = message.totals.with_included(sequence)
            if node == self._own:
                self._receive_totals(totals, now)
            else:
                effects.append(Send(node, totals))
        return effects

    def _receive_report(self, sender: NodeId, report: UsageReport, now: float) -> list[Effect]:
        was_unresponsive = sender in self._peer_tracker.fleet_view(now).unresponsive
        after_gap = was_unresponsive or self._peer_tracker.had_gap(sender, now)
        peer = self._peer_tracker.record_received(sender, now)
        if report.incarnation != peer.incarnation:
            peer.incarnation, peer.sequence = report.incarnation, 0
            for bucket in self._buckets.values():
                bucket.reset_peer(sender)
        elif report.sequence <= peer.sequence and report.accounts:
            return []
        peer.sequence = max(peer.sequence, report.sequence)
        if was_unresponsive:
            for bucket in self._buckets.values():
                bucket.release(sender)
        self._apply_accounts(sender, report.accounts, after_gap, now)
        self._loads.apply_report(sender, report.engines, now)
        peer.report_due_since = now if any(use.demand for use in report.accounts) else NEVER
        if self._peer_tracker.is_collector:
            self._next_totals = min(self._next_totals, now + self._settings.totals_period_s)
            return []
        if not report.accounts or (not after_gap and now - peer.last_sent < self._settings.reply_interval_s):
            return []
        peer.last_sent = now
        return [Send(sender, self._reply(after_gap, now))]

    def _reply(self, after_gap: bool, now: float) -> UsageReport:
        """Return an empty report, or a full one if the peer may have missed reports."""
        if not after_gap:
            return UsageReport(self._incarnation, self._sequence)
        self._sequence += 1
        return UsageReport(self._incarnation, self._sequence, self._full_account_usages(now))

    def _apply_accounts(
        self, sender: NodeId, uses: tuple[AccountUse, ...], after_gap: bool, now: float
    ) -> None:
        fleet = self._peer_tracker.fleet_view(now)
        for use in uses:
            bucket = self._bucket(use.account, now)
            if bucket is not None:
                bucket.apply_peer_usage(sender, use, fleet, after_gap, now)
                self._collector.record_use(use.account, now)

    def _receive_totals(self, totals: UsageTotals, now: float) -> None:
        if totals.collector not in self._peer_tracker.collectors or not self._totals_filter.accept(totals):
            return
        self._peer_tracker.record_totals(now)
        if self._peer_tracker.is_collector:
            return
        fleet = self._peer_tracker.fleet_view(now)
        for total in totals.accounts:
            bucket = self._bucket(total.account, now)
            if bucket is not None:
                bucket.apply_total(total, totals.included, fleet, now)
        self._loads.apply_totals(totals.collector, totals.engines, now)

    def _tick(self, now: float) -> list[Effect]:
        self._observe_time(now)
        effects: list[Effect] = []
        if now >= self._next_report and now >= self._last_report + self._period():
            effects += self._report(now)
        if now >= self._next_totals:
            effects += self._publish_totals(now)
        return effects

    def _report(self, now: float) -> list[Effect]:
        self._last_report = now
        interval_s = self._peer_tracker.fleet_view(now).report_interval_s
        active = {account: self._buckets[account] for account in self._active}
        changed = [
            account
            for account, bucket in active.items()
            if bucket.local.has_changes(bucket.limit.rate_per_s, interval_s, now)
        ]
        engines = self._loads.take_due(now)
        effects: list[Effect] = []
        if changed or engines:
            self._sequence += 1
            effects = self._send_reports(changed, engines, now)
            for account in changed:
                self._buckets[account].local.record_sent_report(self._sequence, now)
                self._collector.record_use(account, now)
        self._deactivate_idle(now)
        has_pending = bool(self._active) or self._loads.has_pending()
        self._next_report = now + self._period() if has_pending else NEVER
        return effects

    def _deactivate_idle(self, now: float) -> None:
        """Stop reporting idle accounts whose final counts were sent."""
        idle_since = now - self._settings.repeat_s
        for account in list(self._active):
            local = self._buckets[account].local
            if local.requested_at < idle_since and local.is_final_reported():
                del self._active[account]

    def _send_reports(self, changed: list[str], engines: tuple[EngineLoad, ...], now: float) -> list[Effect]:
        tracker = self._peer_tracker
        receivers = tracker.collectors if tracker.uses_collectors else tracker.present
        usual = UsageReport(
            self._incarnation, self._sequence, self._account_usages(changed, False, now), engines
        )
        full: UsageReport | None = None
        effects: list[Effect] = []
        for node in receivers:
            if node == self._own:
                continue
            report = usual
            if tracker.is_unresponsive(node, now):
                if full is None:
                    full = UsageReport(
                        self._incarnation, self._sequence, self._full_account_usages(now), engines
                    )
                report = full
            tracker.record_sent(node, bool(usual.accounts), now)
            effects.append(Send(node, report))
        return effects

    def _account_usages(self, accounts: list[str], full: bool, now: float) -> tuple[AccountUse, ...]:
        return tuple(
            bucket.local.report(account, bucket.level, full, now)
            for account in accounts
            for bucket in (self._buckets[account],)
        )

    def _full_account_usages(self, now: float) -> tuple[AccountUse, ...]:
        since = now - self._settings.full_report_window_s
        used = [name for name, bucket in self._buckets.items() if bucket.local.requested_at > since]
        return self._account_usages(used, True, now)

    def _publish_totals(self, now: float) -> list[Effect]:
        """Send totals to all nodes if this is the first collector, or if the first collector timed out."""
        tracker = self._peer_tracker
        if not tracker.is_collector:
            self._next_totals = NEVER
            return []
        self._next_totals = now + self._settings.totals_period_s if self._collector.is_busy() else NEVER
        first = tracker.collectors[0] == self._own
        fleet = tracker.fleet_view(now)
        if fleet.starting or (not first and tracker.since_totals_s(now) < self._settings.takeover_s):
            return []
        accounts = self._collector.take_due_accounts(self._buckets, fleet, now)
        engines = self._collector.take_due_engines(self._loads, now)
        if not self._collector.should_publish(bool(accounts or engines), now):
            return []
        self._totals_number += 1
        totals = UsageTotals(0, accounts, engines, self._own, self._incarnation, self._totals_number)
        return broadcast_totals(totals, tracker.zones, self._own, lambda node: tracker.peers[node].sequence)
