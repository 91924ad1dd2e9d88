"""State machine of the claims protocol: an action runs at most once, as decided by two of three holders.

Source: majority locks with intersecting quorums (Gifford 1979; Thomas 1979). In addition, a holder with a
disk replies to a request only once its grant is synced. A holder that lost its records, joined, paused or was
down pulls the records of the others before it grants (docs/notes/claims.md).
"""

from __future__ import annotations

import random

from springmux.coordination.claims.claimant import Claimant
from springmux.coordination.claims.events import (
    ClaimAbandoned,
    ClaimEnded,
    ClaimSettings,
    ClaimsPersisted,
    ClaimsPersistFailed,
    ClaimWanted,
    HoldersChanged,
)
from springmux.coordination.claims.holder import Holder
from springmux.coordination.claims.journal import RecoveredClaims
from springmux.coordination.claims.messages import (
    ClaimPage,
    ClaimPull,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimSettleAck,
)
from springmux.coordination.claims.peer_incarnations import PeerIncarnations
from springmux.coordination.claims.persistence import ClaimPersistence
from springmux.coordination.claims.ring import RingHistory
from springmux.coordination.claims.store import ClaimStore
from springmux.coordination.claims.synchronization import Synchronizer
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import (
    NEVER,
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)

INCARNATION_BITS = 62
"""Size of random incarnations; they fit a signed 64-bit integer on the wire."""


class ClaimCoordinator:
    """Holder and claimant of one node.

    Handles ``HoldersChanged``, ``ClaimWanted``, ``ClaimEnded``, ``ClaimAbandoned``, ``ClaimsPersisted``,
    ``ClaimsPersistFailed``, ``MessageReceived`` and ``Tick``; returns ``Send``, ``PersistClaims``,
    ``ClaimResolved`` and ``LogLine``. A granted claim must be ended.

    :param recovered: content of the node's journal at start, or ``None`` on a node without a disk, which
        keeps claims in memory only and never emits ``PersistClaims``.
    """

    def __init__(
        self,
        own: NodeId,
        random: random.Random,
        settings: ClaimSettings | None = None,
        recovered: RecoveredClaims | None = None,
    ) -> None:
        self._own = own
        self._settings = settings or ClaimSettings()
        incarnation = random.getrandbits(INCARNATION_BITS)
        incarnations = PeerIncarnations()
        state = recovered.state if recovered is not None else None
        self._rings = RingHistory(state.rings if state is not None else ())
        self._recovered = recovered
        self._persistence = ClaimPersistence(self._settings) if recovered is not None else None
        store = ClaimStore(self._settings, self._persistence.write if self._persistence else None)
        self._synchronizer = Synchronizer(
            own, incarnation, self._settings, incarnations, self._rings, store, recovered
        )
        self._holder = Holder(
            own,
            incarnation,
            self._settings,
            self._rings,
            incarnations,
            self._synchronizer,
            store,
            self._persistence,
        )
        self._claimant = Claimant(own, incarnation, self._settings)
        self._last_event_at: float | None = None

    def next_deadline(self) -> float:
        """Return when the next tick is due: within ``tick_s``, so that a pause can be detected."""
        next_tick = 0.0 if self._last_event_at is None else self._last_event_at + self._settings.tick_s
        disk = self._persistence.deadline if self._persistence else NEVER
        return min(next_tick, self._claimant.deadline, self._synchronizer.deadline, disk)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event and the resulting messages to this node itself; return the effects to execute."""
        effects = self._recover(now)
        effects += self._detect_pause(now)
        effects += self._handle(event, now)
        if now >= self._synchronizer.deadline:
            effects += self._synchronizer.send_pulls(now)
        effects += self._claimant.tick(now)
        return self._deliver_local(effects, now) + self._flush_journal(now)

    def held_keys(self) -> int:
        """Return the number of keys of which this node has a record, for status pages."""
        return len(self._holder.store)

    def is_synchronized(self, now: float) -> bool:
        """Return whether this node's records of claims are complete."""
        return self._synchronizer.is_intact(now)

    def _recover(self, now: float) -> list[Effect]:
        """Restore the journal's records at the first event, since only events supply the time."""
        recovered, self._recovered = self._recovered, None
        if recovered is None:
            return []
        self._holder.restore(recovered.claims, now)
        if not recovered.damage:
            return []
        return [LogLine("claims_journal_damaged", LogLevel.ERROR, {"reason": recovered.damage})]

    def _flush_journal(self, now: float) -> list[Effect]:
        if self._persistence is None:
            return []
        state = self._synchronizer.pop_changed_state(now)
        if state is not None:
            self._persistence.write(state)
        return self._persistence.flush(now)

    def _handle_persisted(self, batch: int) -> list[Effect]:
        assert self._persistence is not None
        replies = [
            (grant, self._holder.reply_to_persisted(grant))
            for grant in self._persistence.handle_persisted(batch)
        ]
        return [Send(grant.claimant, reply) for grant, reply in replies if reply is not None]

    def _detect_pause(self, now: float) -> list[Effect]:
        last, self._last_event_at = self._last_event_at, now
        if last is None or now - last <= self._settings.tick_s + self._settings.pause_limit_s:
            return []
        log_line = LogLine("claims_paused", LogLevel.WARNING, {"paused_s": round(now - last, 3)})
        return [log_line, *self._synchronizer.restart_pulls(now, discard_pulled=True)]

    def _handle(self, event: Event, now: float) -> list[Effect]:
        match event:
            case MessageReceived(sender=sender, message=message):
                return self._receive(sender, message, now)
            case ClaimWanted():
                return self._claimant.request(event, self._rings.span(event.key), now)
            case ClaimEnded():
                return self._claimant.end(event, now)
            case ClaimAbandoned():
                return self._claimant.abandon(event.correlation_id, now)
            case HoldersChanged():
                return self._change_ring(event, now)
            case ClaimsPersisted(batch=batch):
                return self._handle_persisted(batch)
            case ClaimsPersistFailed():
                if self._persistence is not None:
                    self._persistence.handle_failure(event, now)
            case Tick():
                self._holder.expire(now)
        return []

    def _change_ring(self, event: HoldersChanged, now: float) -> list[Effect]:
        if not self._rings.advance(event.ring):
            return []
        spans = ((key, self._rings.span(key)) for key in self._claimant.open_keys())
        self._claimant.add_holders({key: span for key, span in spans if span is not None})
        return self._synchronizer.change_ring(event.ring, now)

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        match message:
            case ClaimRequest():
                reply = self._holder.handle_request(sender, message, now)
                return [Send(sender, reply)] if reply is not None else []
            case ClaimReply():
                return self._claimant.handle_reply(sender, message, now)
            case ClaimSettle():
                self._holder.apply_settle(message, now)
                return [Send(sender, ClaimSettleAck(message.attempt))]
            case ClaimSettleAck():
                self._claimant.handle_settle_ack(sender, message)
            case ClaimPull():
                page = self._holder.build_page(sender, message, self._claimant.own_records(), now)
                return [Send(sender, page)] if page else []
            case ClaimPage():
                return self._apply_page(sender, message, now)
        return []

    def _apply_page(self, sender: NodeId, page: ClaimPage, now: float) -> list[Effect]:
        effects = self._synchronizer.apply_page(sender, page, now)
        if effects is None:
            return []
        self._holder.merge(page.records, now)
        return effects

    def _deliver_local(self, effects: list[Effect], now: float) -> list[Effect]:
        """Handle messages from this node to itself until none is left; return the other effects."""
        remote: list[Effect] = []
        pending = effects
        while pending:
            local: list[Effect] = []
            for effect in pending:
                if isinstance(effect, Send) and effect.to == self._own:
                    local += self._receive(self._own, effect.message, now)
                else:
                    remote.append(effect)
            pending = local
        return remote
