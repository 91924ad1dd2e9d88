"""Brings committed commands to this node, in order, once, and never an older state after a newer.

Three ways in, one way out: the own replica's entries, pushes through the relay tree, and transfers
from peers that are ahead all end in :meth:`AppliedCommands.take`, which lets through only what follows
the present revision. What was committed can't differ between them, so whichever comes first counts.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from springmux.control.delivery.applied_commands import AppliedCommands
from springmux.control.delivery.arrival import Arrival, ArrivalWatch, DeliveryWay
from springmux.control.delivery.confirmation import RevisionConfirmer, RevisionRequester
from springmux.control.delivery.effects import ApplyCommands, ReplaceState
from springmux.control.delivery.events import (
    CommandsCommitted,
    ConfirmedRevision,
    MembershipChanged,
    PeerLost,
    PeerRevisionObserved,
    ReplicaRestored,
    SnapshotProvided,
)
from springmux.control.delivery.fetching import Fetched, StateFetcher
from springmux.control.delivery.messages import (
    DeliveredCommand,
    FetchState,
    NothingNewer,
    PushCommands,
    RevisionConfirmed,
    RevisionRequest,
    StateChunk,
    TransferKind,
)
from springmux.control.delivery.recent_log import RecentLog
from springmux.control.delivery.relay_tree import branches_of_leader, send_along, split
from springmux.control.delivery.serving import StateServer, decode_delta
from springmux.control.delivery.settings import DeliverySettings
from springmux.control.events import LeadershipKnown
from springmux.control.state_image import UnreadableImageError
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.membership.events import ContactChanged
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import (
    Effect,
    Event,
    LogLevel,
    LogLine,
    MessageReceived,
    PeerMessage,
    Send,
    Tick,
)


class StateDelivery:
    """Delivery in one node, controller or not. ``rng`` spreads fetches in time and over peers."""

    def __init__(self, own: NodeId, rng: random.Random, settings: DeliverySettings | None = None) -> None:
        self._own = own
        self._settings = settings or DeliverySettings()
        self._members = MembershipView(own, {})
        self._newest_heard = Revision(0)
        self._replica_index = LogIndex(0)
        self._term = Term(0)
        self._leader: NodeId | None = None
        self._leading = False
        self._held_push: PushCommands | None = None
        recent = RecentLog(self._settings.recent_commands, self._settings.recent_bytes)
        self._applied = AppliedCommands(recent)
        self._arrivals = ArrivalWatch()
        self._server = StateServer(recent, self._settings)
        self._fetcher = StateFetcher(rng, self._settings, self._is_near)
        self._asker = RevisionRequester(rng, self._settings)
        self._confirmer = RevisionConfirmer(self._settings)
        self._handlers: dict[type[Event], Callable[[Any, float], list[Effect]]] = {
            CommandsCommitted: self._on_committed,
            ReplicaRestored: self._on_replica_restored,
            PeerRevisionObserved: self._on_peer_revision,
            PeerLost: self._on_peer_lost,
            MembershipChanged: self._on_membership,
            LeadershipKnown: self._on_leadership,
            ContactChanged: self._on_contact,
            ConfirmedRevision: self._on_confirmed,
            SnapshotProvided: self._on_snapshot_provided,
            MessageReceived: self._on_message,
            Tick: self._on_tick,
        }
        self._message_handlers: dict[type[PeerMessage], Callable[[NodeId, Any, float], list[Effect]]] = {
            PushCommands: self._on_push,
            FetchState: self._on_fetch,
            StateChunk: self._on_chunk,
            NothingNewer: self._on_nothing_newer,
            RevisionRequest: self._on_ask_revision,
            RevisionConfirmed: self._on_revision_confirmed,
        }

    @property
    def revision(self) -> Revision:
        """Index of the newest command given to the agent; goes into every envelope."""
        return self._applied.revision

    @property
    def newest_arrival(self) -> Arrival | None:
        """How the newest commands came here; ``None`` before the first."""
        return self._arrivals.newest

    @property
    def replica_index(self) -> LogIndex:
        """Log index up to which the own replica's commands were given to the agent."""
        return self._replica_index

    @property
    def newest_heard(self) -> Revision:
        """The newest revision that a peer said to have."""
        return self._newest_heard

    @property
    def confirmed(self) -> Revision | None:
        """The revision that a quorum confirmed since this process started, or ``None``."""
        return self._asker.confirmed

    @property
    def confirming(self) -> bool:
        """Whether the leader's answer since the start, or since the last cut, is missing."""
        return self._asker.asking

    @property
    def ready(self) -> bool:
        """Whether the state is at least as new as the newest one acknowledged before this start."""
        return self._asker.confirmed is not None and self._applied.revision >= self._asker.confirmed

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event; see :class:`springmux.coordination.state_machine.StateMachine`."""
        handler = self._handlers.get(type(event))
        return self._deliver_to_self(handler(event, now), now) if handler is not None else []

    def next_deadline(self) -> float:
        """Return when a :class:`Tick` is wanted."""
        return min(
            self._fetcher.next_deadline(),
            self._asker.next_deadline(self._leader),
            self._confirmer.next_deadline(),
            self._server.next_deadline(),
        )

    def _on_committed(self, event: CommandsCommitted, now: float) -> list[Effect]:
        commands = self._applied.new_among(event.entries)
        effects = self._arrived(DeliveryWay.REPLICA, self._applied.take(commands), now)
        if event.entries:
            self._replica_index = max(self._replica_index, event.entries[-1].index)
        if commands and self._leading:
            effects += self._push(commands)
        effects += self._confirmer.applied(self._replica_index, self._applied.revision, now)
        return effects

    def _on_replica_restored(self, event: ReplicaRestored, now: float) -> list[Effect]:
        self._replica_index = max(self._replica_index, event.index)
        effects = self._arrived(DeliveryWay.REPLICA, self._applied.replace(event.snapshot), now)
        return effects + self._confirmer.applied(self._replica_index, self._applied.revision, now)

    def _on_peer_revision(self, event: PeerRevisionObserved, now: float) -> list[Effect]:
        self._newest_heard = max(self._newest_heard, event.revision)
        self._arrivals.heard(event.revision, self._applied.revision, now)
        if event.revision > self._applied.revision:
            self._fetcher.heard(event.node, event.revision, self._applied.revision, now)
        return []

    def _on_peer_lost(self, event: PeerLost, now: float) -> list[Effect]:
        return self._fetcher.peer_lost(event.node, self._applied.revision, now)

    def _on_membership(self, event: MembershipChanged, now: float) -> list[Effect]:
        self._members = event.view
        return []

    def _on_leadership(self, event: LeadershipKnown, now: float) -> list[Effect]:
        if event.term < self._term:
            return []
        self._term = event.term
        is_new = event.leader != self._leader
        self._leader = event.leader
        if self._leading and not event.leading:
            self._confirmer.stop()
        self._leading = event.leading
        if is_new:
            self._asker.leader_changed()
        return self._ask_if_due(now)

    def _on_tick(self, event: Tick, now: float) -> list[Effect]:
        self._server.tick(now)
        effects = self._fetcher.tick(self._applied.revision, now)
        effects += self._confirmer.tick(now)
        return effects + self._ask_if_due(now)

    def _on_contact(self, event: ContactChanged, now: float) -> list[Effect]:
        """After a cut, peers may not know what was acknowledged meanwhile either: ask the leader."""
        if event.connected and self._asker.confirmed is not None:
            self._asker.ask_anew()
        return self._ask_if_due(now)

    def _ask_if_due(self, now: float) -> list[Effect]:
        return self._asker.tick(self._leader, now)

    def _on_confirmed(self, event: ConfirmedRevision, now: float) -> list[Effect]:
        return self._confirmer.confirmed(
            event.correlation_id, event.index, self._replica_index, self._applied.revision, now
        )

    def _deliver_to_self(self, effects: list[Effect], now: float) -> list[Effect]:
        """Take what this node sends to itself (it asks itself when it leads) without the network."""
        rest: list[Effect] = []
        for effect in effects:
            if isinstance(effect, Send) and effect.to == self._own:
                rest += self._on_message(MessageReceived(self._own, effect.message), now)
            else:
                rest.append(effect)
        return rest

    def _on_snapshot_provided(self, event: SnapshotProvided, now: float) -> list[Effect]:
        return self._server.provide(event.revision, event.snapshot, now)

    def _on_message(self, event: MessageReceived, now: float) -> list[Effect]:
        handler = self._message_handlers.get(type(event.message))
        return handler(event.sender, event.message, now) if handler is not None else []

    def _on_push(self, sender: NodeId, push: PushCommands, now: float) -> list[Effect]:
        if push.commands or push.revision <= self._applied.revision:
            effects = self._relay(push)
        else:
            self._held_push = push
            effects = []
        self._arrivals.heard(push.revision, self._applied.revision, now)
        effects += self._arrived(DeliveryWay.PUSH, self._applied.take(push.commands), now)
        if push.revision > self._applied.revision:
            effects += self._fetcher.begin_now(sender, push.revision, self._applied.revision, now)
        return effects

    def _relay(self, push: PushCommands) -> list[Effect]:
        return send_along(split(push.relay_to, self._settings.fan_out), push)

    def _relay_held(self) -> list[Effect]:
        """Pass an announcement on once others can fetch here what it announces."""
        push = self._held_push
        if push is None or push.revision > self._applied.revision:
            return []
        self._held_push = None
        return self._relay(push)

    def _on_fetch(self, sender: NodeId, fetch: FetchState, now: float) -> list[Effect]:
        return self._server.answer(sender, fetch, self._applied.revision, now)

    def _on_chunk(self, sender: NodeId, chunk: StateChunk, now: float) -> list[Effect]:
        fetched, effects = self._fetcher.take_chunk(sender, chunk, self._applied.revision, now)
        if fetched is None:
            return effects
        before = self._applied.revision
        effects += self._arrived(DeliveryWay.TRANSFER, self._take_fetched(sender, fetched), now)
        if self._applied.revision == before:
            self._fetcher.no_progress(sender, now)
            return effects
        effects += self._relay_held()
        return effects + self._fetcher.go_on(self._applied.revision, now)

    def _take_fetched(self, sender: NodeId, fetched: Fetched) -> list[Effect]:
        try:
            if fetched.kind is TransferKind.SNAPSHOT:
                return self._applied.replace(fetched.content)
            return self._applied.take(decode_delta(fetched.content))
        except (msgspec.DecodeError, UnreadableImageError) as error:
            fields = {"peer": sender, "kind": fetched.kind.value, "reason": str(error)}
            return [LogLine("transfer_unreadable", LogLevel.ERROR, fields)]

    def _on_nothing_newer(self, sender: NodeId, nothing: NothingNewer, now: float) -> list[Effect]:
        return self._fetcher.take_nothing(sender, nothing, self._applied.revision, now)

    def _on_ask_revision(self, sender: NodeId, question: RevisionRequest, now: float) -> list[Effect]:
        return self._confirmer.ask(sender, question, now) if self._leading else []

    def _on_revision_confirmed(self, sender: NodeId, answer: RevisionConfirmed, now: float) -> list[Effect]:
        if self._asker.take(answer) and answer.revision > self._applied.revision:
            return self._fetcher.begin_now(sender, answer.revision, self._applied.revision, now)
        return []

    def _arrived(self, way: DeliveryWay, effects: list[Effect], now: float) -> list[Effect]:
        """Take note of the way of what brought the state on; return ``effects`` unchanged."""
        if any(isinstance(effect, ApplyCommands | ReplaceState) for effect in effects):
            self._arrivals.arrived(way, self._applied.revision >= self._newest_heard, now)
        return effects

    def _push(self, commands: tuple[DeliveredCommand, ...]) -> list[Effect]:
        size_bytes = sum(len(command.data) for command in commands)
        pushed = commands if size_bytes <= self._settings.push_max_bytes else ()
        push = PushCommands(self._term, self._applied.revision, pushed)
        return send_along(branches_of_leader(self._members, self._settings), push)

    def _is_near(self, node: NodeId) -> bool:
        return self._members.zone_of(node) == self._members.zone_of(self._own)
