"""The claims part: at most one run of an action, decided by two of three holders.

Source of the idea: majority locks with intersecting quorums (Gifford 1979; Thomas 1979). What is
added is the care for memory: a holder with a disk answers a grant only once it is synced, and one
that forgot, joined, paused or was down pulls from the others before it grants (docs/notes/claims.md).
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
from springmux.coordination.claims.peers import PeerBoots
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

BOOT_BITS = 62
"""Boots are random numbers that fit a signed 64-bit integer on the wire."""


class ClaimCoordinator:
    """Holder and claimant of one node.

    Takes ``HoldersChanged``, ``ClaimWanted``, ``ClaimEnded``, ``ClaimAbandoned``, ``ClaimsPersisted``,
    ``ClaimsPersistFailed``, ``MessageReceived`` and ``Tick``; gives ``Send``, ``PersistClaims``,
    ``ClaimResolved`` and ``LogLine``. A granted claim must be ended.

    :param recovered: what the node's journal held at start; ``None`` on a node without a disk, which
        keeps claims in memory only and never asks for ``PersistClaims``.
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
        boot = random.getrandbits(BOOT_BITS)
        boots = PeerBoots()
        state = recovered.state if recovered is not None else None
        self._rings = RingHistory(state.rings if state is not None else ())
        self._recovered = recovered
        self._persistence = ClaimPersistence(self._settings) if recovered is not None else None
        store = ClaimStore(self._settings, self._persistence.write if self._persistence else None)
        self._synchronizer = Synchronizer(own, boot, self._settings, boots, self._rings, store, recovered)
        self._holder = Holder(
            own, boot, self._settings, self._rings, boots, self._synchronizer, store, self._persistence
        )
        self._claimant = Claimant(own, boot, self._settings)
        self._last_seen: float | None = None

    def next_deadline(self) -> float:
        """Return when this part wants a tick; the own pace bounds it, by which a pause is noticed."""
        pace = 0.0 if self._last_seen is None else self._last_seen + self._settings.tick_s
        disk = self._persistence.deadline if self._persistence else NEVER
        return min(pace, self._claimant.deadline, self._synchronizer.deadline, disk)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event; messages to the own node are handled in place."""
        effects = self._recover(now)
        effects += self._notice_pause(now)
        effects += self._handle(event, now)
        if now >= self._synchronizer.deadline:
            effects += self._synchronizer.pull(now)
        effects += self._claimant.tick(now)
        return self._loop_back(effects, now) + self._flush(now)

    def held_keys(self) -> int:
        """Return how many keys this node remembers, for status pages."""
        return len(self._holder.store)

    def is_synchronized(self, now: float) -> bool:
        """Return whether this node's memory of claims is whole since its start."""
        return self._synchronizer.is_intact(now)

    def _recover(self, now: float) -> list[Effect]:
        """Take the journal's records at the first event, which brings the time."""
        recovered, self._recovered = self._recovered, None
        if recovered is None:
            return []
        self._holder.restore(recovered.claims, now)
        if not recovered.damage:
            return []
        return [LogLine("claims_journal_damaged", LogLevel.ERROR, {"reason": recovered.damage})]

    def _flush(self, now: float) -> list[Effect]:
        if self._persistence is None:
            return []
        state = self._synchronizer.new_state(now)
        if state is not None:
            self._persistence.write(state)
        return self._persistence.flush(now)

    def _persisted(self, batch: int) -> list[Effect]:
        assert self._persistence is not None
        answers = [(grant, self._holder.answer(grant)) for grant in self._persistence.persisted(batch)]
        return [Send(grant.claimant, reply) for grant, reply in answers if reply is not None]

    def _notice_pause(self, now: float) -> list[Effect]:
        last, self._last_seen = self._last_seen, now
        if last is None or now - last <= self._settings.tick_s + self._settings.pause_limit_s:
            return []
        note = LogLine("claims_paused", LogLevel.WARNING, {"paused_s": round(now - last, 3)})
        return [note, *self._synchronizer.restart(now, forget=True)]

    def _handle(self, event: Event, now: float) -> list[Effect]:
        match event:
            case MessageReceived(sender=sender, message=message):
                return self._receive(sender, message, now)
            case ClaimWanted():
                return self._claimant.want(event, self._rings.span(event.key), now)
            case ClaimEnded():
                return self._claimant.end(event, now)
            case ClaimAbandoned():
                return self._claimant.abandon(event.correlation_id, now)
            case HoldersChanged():
                return self._change_ring(event, now)
            case ClaimsPersisted(batch=batch):
                return self._persisted(batch)
            case ClaimsPersistFailed():
                if self._persistence is not None:
                    self._persistence.failed(event, now)
            case Tick():
                self._holder.expire(now)
        return []

    def _change_ring(self, event: HoldersChanged, now: float) -> list[Effect]:
        if not self._rings.advance(event.ring):
            return []
        spans = ((key, self._rings.span(key)) for key in self._claimant.open_keys())
        self._claimant.include({key: span for key, span in spans if span is not None})
        return self._synchronizer.follow(event.ring, now)

    def _receive(self, sender: NodeId, message: PeerMessage, now: float) -> list[Effect]:
        match message:
            case ClaimRequest():
                reply = self._holder.decide(sender, message, now)
                return [Send(sender, reply)] if reply is not None else []
            case ClaimReply():
                return self._claimant.reply(sender, message, now)
            case ClaimSettle():
                self._holder.settle(message, now)
                return [Send(sender, ClaimSettleAck(message.attempt))]
            case ClaimSettleAck():
                self._claimant.settled(sender, message)
            case ClaimPull():
                page = self._holder.page(sender, message, self._claimant.records(), now)
                return [Send(sender, page)] if page else []
            case ClaimPage():
                return self._take_page(sender, message, now)
        return []

    def _take_page(self, sender: NodeId, page: ClaimPage, now: float) -> list[Effect]:
        effects = self._synchronizer.take(sender, page, now)
        if effects is None:
            return []
        self._holder.merge(page.records, now)
        return effects

    def _loop_back(self, effects: list[Effect], now: float) -> list[Effect]:
        outside: list[Effect] = []
        waiting = effects
        while waiting:
            inside: list[Effect] = []
            for effect in waiting:
                if isinstance(effect, Send) and effect.to == self._own:
                    inside += self._receive(self._own, effect.message, now)
                else:
                    outside.append(effect)
            waiting = inside
        return outside
