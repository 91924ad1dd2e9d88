"""Delivers committed commands to this node in order and once, and never an older state after a newer one.

Commands come from this node's own replica, from pushes through the relay tree and from transfers of peers
that are ahead. All pass :meth:`AppliedCommands.apply`, which accepts only commands that follow the current
revision. Committed commands can't differ between the three sources, so the first to arrive is applied.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from springmux.control.delivery.applied_commands import AppliedCommands
from springmux.control.delivery.arrival import Arrival, ArrivalTracker, DeliveryMethod
from springmux.control.delivery.confirmation import RevisionConfirmer, RevisionRequester
from springmux.control.delivery.effects import ApplyCommands, ReplaceState
from springmux.control.delivery.events import (
    CommandsCommitted,
    ConfirmedRevision,
    MembershipChanged,
    PeerRevisionObserved,
    ReplicaRestored,
    SnapshotProvided,
)
from springmux.control.delivery.fetching import CompletedTransfer, StateFetcher
from springmux.control.delivery.messages import (
    DeliveredCommand,
    FetchState,
    NoNewerRevision,
    PushCommands,
    RevisionConfirmed,
    RevisionRequest,
    StateChunk,
    TransferKind,
)
from springmux.control.delivery.recent_log import RecentLog
from springmux.control.delivery.relay_tree import branches_of_leader, send_push, split_into_branches
from springmux.control.delivery.serving import StateServer, decode_delta
from springmux.control.delivery.settings import DeliverySettings
from springmux.control.events import LeadershipKnown
from springmux.control.state_snapshot import UnreadableSnapshotError
from springmux.coordination.identifiers import LogIndex, NodeId, Revision, Term
from springmux.coordination.membership.events import ContactChanged, PeerUnreachable
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
    """State machine of state delivery in one node, whether it is a controller or not.

    :param rng: jitters fetches in time and spreads them over peers.
    """

    def __init__(self, own: NodeId, rng: random.Random, settings: DeliverySettings | None = None) -> None:
        self._own = own
        self._settings = settings or DeliverySettings()
        self._members = MembershipView(own, {})
        self._newest_observed = Revision(0)
        self._replica_index = LogIndex(0)
        self._term = Term(0)
        self._leader: NodeId | None = None
        self._leading = False
        self._pending_announcement: PushCommands | None = None
        recent = RecentLog(self._settings.recent_commands, self._settings.recent_bytes)
        self._applied = AppliedCommands(recent)
        self._arrivals = ArrivalTracker()
        self._server = StateServer(recent, self._settings)
        self._fetcher = StateFetcher(rng, self._settings, self._is_same_zone)
        self._requester = RevisionRequester(rng, self._settings)
        self._confirmer = RevisionConfirmer(self._settings)
        self._handlers: dict[type[Event], Callable[[Any, float], list[Effect]]] = {
            CommandsCommitted: self._on_committed,
            ReplicaRestored: self._on_replica_restored,
            PeerRevisionObserved: self._on_peer_revision,
            PeerUnreachable: self._on_peer_unreachable,
            MembershipChanged: self._on_membership,
            LeadershipKnown: self._on_leadership,
            ContactChanged: self._on_contact,
            ConfirmedRevision: self._on_confirmed_revision,
            SnapshotProvided: self._on_snapshot_provided,
            MessageReceived: self._on_message,
            Tick: self._on_tick,
        }
        self._message_handlers: dict[type[PeerMessage], Callable[[NodeId, Any, float], list[Effect]]] = {
            PushCommands: self._on_push,
            FetchState: self._on_fetch,
            StateChunk: self._on_chunk,
            NoNewerRevision: self._on_no_newer_revision,
            RevisionRequest: self._on_revision_request,
            RevisionConfirmed: self._on_revision_confirmed,
        }

    @property
    def revision(self) -> Revision:
        """Log index of the newest command passed to the agent. The envelope of every message carries it."""
        return self._applied.revision

    @property
    def newest_arrival(self) -> Arrival | None:
        """How the newest commands reached this node; ``None`` before the first ones."""
        return self._arrivals.newest

    @property
    def replica_index(self) -> LogIndex:
        """Log index up to which commands of this node's own replica were passed to the agent."""
        return self._replica_index

    @property
    def newest_observed(self) -> Revision:
        """The newest revision that a peer reported."""
        return self._newest_observed

    @property
    def confirmed(self) -> Revision | None:
        """The revision that a quorum confirmed since this process started, or ``None``."""
        return self._requester.confirmed_revision

    @property
    def confirming(self) -> bool:
        """Whether no reply of the leader has arrived since the start, or since contact was restored."""
        return self._requester.awaiting_reply

    @property
    def ready(self) -> bool:
        """Whether the state includes everything acknowledged before this process started."""
        return (
            self._requester.confirmed_revision is not None
            and self._applied.revision >= self._requester.confirmed_revision
        )

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event and return the effects to execute, in order."""
        handler = self._handlers.get(type(event))
        return self._deliver_to_self(handler(event, now), now) if handler is not None else []

    def next_deadline(self) -> float:
        """Return the monotonic time of the next :class:`Tick`."""
        return min(
            self._fetcher.next_deadline(),
            self._requester.next_deadline(self._leader),
            self._confirmer.next_deadline(),
            self._server.next_deadline(),
        )

    def _on_committed(self, event: CommandsCommitted, now: float) -> list[Effect]:
        commands = self._applied.select_new(event.entries)
        effects = self._record_arrival(DeliveryMethod.REPLICA, self._applied.apply(commands), now)
        if event.entries:
            self._replica_index = max(self._replica_index, event.entries[-1].index)
        if commands and self._leading:
            effects += self._push(commands)
        effects += self._confirmer.handle_applied_index(self._replica_index, self._applied.revision, now)
        return effects

    def _on_replica_restored(self, event: ReplicaRestored, now: float) -> list[Effect]:
        self._replica_index = max(self._replica_index, event.index)
        effects = self._record_arrival(DeliveryMethod.REPLICA, self._applied.replace(event.snapshot), now)
        return effects + self._confirmer.handle_applied_index(
            self._replica_index, self._applied.revision, now
        )

    def _on_peer_revision(self, event: PeerRevisionObserved, now: float) -> list[Effect]:
        self._newest_observed = max(self._newest_observed, event.revision)
        self._arrivals.observe_revision(event.revision, self._applied.revision, now)
        if event.revision > self._applied.revision:
            self._fetcher.observe_revision(event.node, event.revision, self._applied.revision, now)
        return []

    def _on_peer_unreachable(self, event: PeerUnreachable, now: float) -> list[Effect]:
        return self._fetcher.peer_unreachable(event.node, self._applied.revision, now)

    def _on_membership(self, event: MembershipChanged, _now: float) -> list[Effect]:
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
            self._requester.handle_leader_change()
        return self._request_if_due(now)

    def _on_tick(self, _event: Tick, now: float) -> list[Effect]:
        self._server.tick(now)
        effects = self._fetcher.tick(self._applied.revision, now)
        effects += self._confirmer.tick(now)
        return effects + self._request_if_due(now)

    def _on_contact(self, event: ContactChanged, now: float) -> list[Effect]:
        """Request the revision again when contact is restored: peers may lack acknowledged commands, too."""
        if event.connected and self._requester.confirmed_revision is not None:
            self._requester.restart()
        return self._request_if_due(now)

    def _request_if_due(self, now: float) -> list[Effect]:
        return self._requester.tick(self._leader, now)

    def _on_confirmed_revision(self, event: ConfirmedRevision, now: float) -> list[Effect]:
        return self._confirmer.handle_confirmation(
            event.correlation_id, event.index, self._replica_index, self._applied.revision, now
        )

    def _deliver_to_self(self, effects: list[Effect], now: float) -> list[Effect]:
        """Handle the messages that this node sends to itself (as the leader) without the network."""
        rest: list[Effect] = []
        for effect in effects:
            if isinstance(effect, Send) and effect.to == self._own:
                rest += self._on_message(MessageReceived(self._own, effect.message), now)
            else:
                rest.append(effect)
        return rest

    def _on_snapshot_provided(self, event: SnapshotProvided, now: float) -> list[Effect]:
        return self._server.handle_snapshot(event.revision, event.snapshot, now)

    def _on_message(self, event: MessageReceived, now: float) -> list[Effect]:
        handler = self._message_handlers.get(type(event.message))
        return handler(event.sender, event.message, now) if handler is not None else []

    def _on_push(self, sender: NodeId, push: PushCommands, now: float) -> list[Effect]:
        if push.commands or push.revision <= self._applied.revision:
            effects = self._relay(push)
        else:
            self._pending_announcement = push
            effects = []
        self._arrivals.observe_revision(push.revision, self._applied.revision, now)
        effects += self._record_arrival(DeliveryMethod.PUSH, self._applied.apply(push.commands), now)
        if push.revision > self._applied.revision:
            effects += self._fetcher.fetch_immediately(sender, push.revision, self._applied.revision, now)
        return effects

    def _relay(self, push: PushCommands) -> list[Effect]:
        return send_push(split_into_branches(push.relay_to, self._settings.fan_out), push)

    def _relay_pending_announcement(self) -> list[Effect]:
        """Forward an announcement once this node can serve the announced revision."""
        push = self._pending_announcement
        if push is None or push.revision > self._applied.revision:
            return []
        self._pending_announcement = None
        return self._relay(push)

    def _on_fetch(self, sender: NodeId, fetch: FetchState, now: float) -> list[Effect]:
        return self._server.handle_fetch(sender, fetch, self._applied.revision, now)

    def _on_chunk(self, sender: NodeId, chunk: StateChunk, now: float) -> list[Effect]:
        result = self._fetcher.receive_chunk(sender, chunk, now)
        effects = list(result.effects)
        if result.completed is None:
            return effects
        before = self._applied.revision
        effects += self._record_arrival(
            DeliveryMethod.TRANSFER, self._apply_transfer(sender, result.completed), now
        )
        if self._applied.revision == before:
            self._fetcher.back_off(sender, now)
            return effects
        effects += self._relay_pending_announcement()
        return effects + self._fetcher.fetch_next(self._applied.revision, now)

    def _apply_transfer(self, sender: NodeId, transfer: CompletedTransfer) -> list[Effect]:
        try:
            if transfer.kind is TransferKind.SNAPSHOT:
                return self._applied.replace(transfer.content)
            return self._applied.apply(decode_delta(transfer.content))
        except (msgspec.DecodeError, UnreadableSnapshotError) as error:
            fields = {"peer": sender, "kind": transfer.kind.value, "reason": str(error)}
            return [LogLine("transfer_unreadable", LogLevel.ERROR, fields)]

    def _on_no_newer_revision(self, sender: NodeId, reply: NoNewerRevision, now: float) -> list[Effect]:
        return self._fetcher.receive_no_newer(sender, reply, self._applied.revision, now)

    def _on_revision_request(self, sender: NodeId, request: RevisionRequest, now: float) -> list[Effect]:
        return self._confirmer.add_request(sender, request, now) if self._leading else []

    def _on_revision_confirmed(self, sender: NodeId, reply: RevisionConfirmed, now: float) -> list[Effect]:
        if self._requester.accept_reply(reply) and reply.revision > self._applied.revision:
            return self._fetcher.fetch_immediately(sender, reply.revision, self._applied.revision, now)
        return []

    def _record_arrival(self, method: DeliveryMethod, effects: list[Effect], now: float) -> list[Effect]:
        """Record the delivery method if ``effects`` advance the state; return ``effects`` unchanged."""
        if any(isinstance(effect, ApplyCommands | ReplaceState) for effect in effects):
            self._arrivals.record_arrival(method, self._applied.revision >= self._newest_observed, now)
        return effects

    def _push(self, commands: tuple[DeliveredCommand, ...]) -> list[Effect]:
        size_bytes = sum(len(command.data) for command in commands)
        pushed = commands if size_bytes <= self._settings.push_max_bytes else ()
        push = PushCommands(self._term, self._applied.revision, pushed)
        return send_push(branches_of_leader(self._members, self._settings), push)

    def _is_same_zone(self, node: NodeId) -> bool:
        return self._members.zone_of(node) == self._members.zone_of(self._own)
