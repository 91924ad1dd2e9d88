"""Events of the whole node beside peer messages, ticks and the replica's storage events."""

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
    """An operator's command came in at this node. ``correlation_id`` names it in ``OrderAnswered``."""

    correlation_id: str
    command: AnyCommand


class EngineAnnounced(Event, frozen=True):
    """A back end said that it is there (first announce or again after a change)."""

    record: EngineRecord


class EngineHeartbeat(Event, frozen=True):
    """A back end's heartbeat. The record's status and version may differ from what is known."""

    record: EngineRecord
    load: EngineLoad


class EngineDraining(Event, frozen=True):
    """A back end takes no new requests; running ones finish. ``incarnation`` 0: not named."""

    engine: EngineId
    incarnation: int = 0


class EngineLeft(Event, frozen=True):
    """A back end is gone for good. ``incarnation`` as in :class:`EngineDraining`."""

    engine: EngineId
    incarnation: int = 0


class ClaimRequested(Event, frozen=True):
    """A request wants an at-most-once claim. ``correlation_id`` is unique to the attempt."""

    correlation_id: str
    claim_key: str


class ClaimSettled(Event, frozen=True):
    """A claimed request ended (see ``router.effects.SettleClaim``)."""

    correlation_id: str
    claim_key: str
    ran: bool
    answer: bytes = b""


class LeaderObserved(Event, frozen=True):
    """A peer's envelope named the leader of a term."""

    term: Term
    leader: NodeId


class CommandsPrepared(Event, frozen=True):
    """The large commands of ``PrepareCommands`` are parsed; applying them is quick now."""


class StopBegun(Event, frozen=True):
    """The node is stopping: hand over leadership and duties.

    It finishes requests until :class:`StopFinished`, so it still receives all updates.
    """


class StopFinished(Event, frozen=True):
    """The node's requests are finished and its process is about to end: say LEFT to the fleet."""


class ControllerRemovalRequested(Event, frozen=True):
    """An operator removes a replica from the control group."""

    correlation_id: str
    replica: str


class LeadershipTransferRequested(Event, frozen=True):
    """An operator moves leadership."""

    correlation_id: str
    target: str = ""


class AgentSettings(msgspec.Struct, frozen=True):
    """What the agent needs of the node's settings. ``seeds``: peer addresses of other processes."""

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
    """f: the control group keeps 2f + 1 voters, and is founded by as many, instead of by
    ``controllers_expected``."""
    first_start: bool = True
    """Whether this is the first start of the whole system. Else an empty replica only joins, never founds."""
    revocation_s: float | None = None
    """Within this time of the acknowledgement a key that was taken away is refused everywhere, by nodes out
    of contact too; ``None``: no such promise."""
    contact_s: float = 3.0
    """After this time without a disturbance a node counts as in contact with the fleet. So long a restarted
    node that remembers peers waits to hear from them before it proposes orders."""

    @property
    def voters(self) -> int:
        """Return how many replicas found the control group and vote in it."""
        tolerated = self.losses_tolerated
        return self.controllers_expected if tolerated is None else 2 * tolerated + 1
