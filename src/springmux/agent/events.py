"""Events that the agent handles in addition to peer messages, ticks and the replica's storage events."""

from __future__ import annotations

import msgspec

from springmux.control.commands import AnyCommand
from springmux.coordination.identifiers import Address, NodeId, Term
from springmux.coordination.membership.events import PeerReachable, PeerUnreachable, SeedsChanged
from springmux.coordination.state_machine import Event
from springmux.vocabulary.engines import EngineLoad, EngineRecord
from springmux.vocabulary.names import EngineId

__all__ = [
    "AgentSettings",
    "ClaimRequested",
    "ClaimSettled",
    "CommandsPrepared",
    "ControllerRemovalRequested",
    "EngineAnnounced",
    "EngineDraining",
    "EngineHeartbeat",
    "EngineLeft",
    "LeaderObserved",
    "LeadershipTransferRequested",
    "OrderSubmitted",
    "PeerReachable",
    "PeerUnreachable",
    "SeedsChanged",
    "StopBegun",
    "StopFinished",
]


class OrderSubmitted(Event, frozen=True):
    """An operator submitted a command at this node. ``OrderAnswered`` carries the same ``correlation_id``."""

    correlation_id: str
    command: AnyCommand


class EngineAnnounced(Event, frozen=True):
    """A back end announced itself: at its start, or again after a change."""

    record: EngineRecord


class EngineHeartbeat(Event, frozen=True):
    """A back end sent a heartbeat. The record's status and version may differ from the known record."""

    record: EngineRecord
    load: EngineLoad


class EngineDraining(Event, frozen=True):
    """A back end accepts no new requests; running ones finish. ``incarnation`` is 0 if it wasn't stated."""

    engine: EngineId
    incarnation: int = 0


class EngineLeft(Event, frozen=True):
    """A back end left permanently. ``incarnation`` as in :class:`EngineDraining`."""

    engine: EngineId
    incarnation: int = 0


class ClaimRequested(Event, frozen=True):
    """A request needs an at-most-once claim. ``correlation_id`` is unique to the attempt."""

    correlation_id: str
    claim_key: str


class ClaimSettled(Event, frozen=True):
    """A claimed request ended; for the fields see :class:`springmux.router.effects.SettleClaim`."""

    correlation_id: str
    claim_key: str
    ran: bool
    answer: bytes = b""


class LeaderObserved(Event, frozen=True):
    """A peer's envelope named the leader of a term."""

    term: Term
    leader: NodeId


class CommandsPrepared(Event, frozen=True):
    """The large commands of ``PrepareCommands`` are parsed, so that they can be applied quickly."""


class StopBegun(Event, frozen=True):
    """The node is stopping and transfers leadership and its other duties.

    It finishes requests until :class:`StopFinished`, so it still needs all updates.
    """


class StopFinished(Event, frozen=True):
    """The node's requests are finished and its process is about to end; the fleet must learn that it left."""


class ControllerRemovalRequested(Event, frozen=True):
    """An operator requested the removal of a replica from the control group."""

    correlation_id: str
    replica: str


class LeadershipTransferRequested(Event, frozen=True):
    """An operator requested a leadership transfer, to any replica if ``target`` is empty."""

    correlation_id: str
    target: str = ""


class AgentSettings(msgspec.Struct, frozen=True):
    """The node settings that the agent uses. ``seeds``: peer addresses of nodes to contact first."""

    node: NodeId
    zone: str
    region: str
    peer_address: Address
    client_address: Address
    admin_address: Address
    seeds: tuple[Address, ...]
    controllers_expected: int = 3
    routes: bool = True
    losses_tolerated: int | None = None
    """Number f of replicas that may be lost: the control group is founded by 2f + 1 voters and keeps as many,
    instead of ``controllers_expected``."""
    first_start: bool = True
    """Whether this is the first start of the whole system. If not, an empty replica only joins a group."""
    revocation_s: float | None = None
    """Maximum time from the acknowledgement of a key's removal until every node rejects the key, including
    nodes out of contact; ``None`` if this isn't guaranteed."""
    contact_s: float = 3.0
    """After this time without a disturbance a node counts as in contact with the fleet. A restarted node that
    remembers peers waits this long for messages from them before it proposes orders."""

    @property
    def voters(self) -> int:
        """Return how many replicas found the control group and vote in it."""
        tolerated = self.losses_tolerated
        return self.controllers_expected if tolerated is None else 2 * tolerated + 1
