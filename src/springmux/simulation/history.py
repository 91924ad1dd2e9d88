"""Recorded history of a run, as the checkers read it: typed records in the order of virtual time in seconds.

The encoded field names are part of a run's transcript digest.
"""

from __future__ import annotations

import msgspec

from springmux.control.commands import AnyCommand, CommandResult
from springmux.coordination.identifiers import NodeId, Revision, Term
from springmux.rollout.plan import RolloutPhase
from springmux.simulation.world.faults import AnyFault
from springmux.vocabulary.errors import ApiError, ErrorCode, Fate
from springmux.vocabulary.names import (
    EngineId,
    OrderId,
    RequestId,
    RolloutId,
    RouteName,
    ServiceName,
    TenantName,
    VersionName,
)


class Dispatched(msgspec.Struct, frozen=True):
    """A node sent a request to an engine. ``revision``: the node's control state at that time."""

    at: float
    node: NodeId
    request: RequestId
    attempt: int
    engine: EngineId
    service: ServiceName
    version: VersionName
    revision: Revision


class Unreached(msgspec.Struct, frozen=True):
    """A dispatch of which no byte reached an engine, because its connection was refused."""

    request: RequestId
    attempt: int


class Executed(msgspec.Struct, frozen=True):
    """A service executed the action of a call."""

    at: float
    service: ServiceName
    action: str
    request: RequestId
    engine: EngineId


class BadResponse(msgspec.Struct, frozen=True):
    """A node received a response worse than a good version's: failed, malformed, missing or slow."""

    at: float
    service: ServiceName
    version: VersionName
    request: RequestId


class ClientAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one attempt of a client to get a request served.

    ``complete``: the client received the complete response. ``fault``: a violated guarantee that the client
    itself detected, empty for none. ``tokens``: prompt and response tokens as the engine counted them, 0
    without a complete response. ``response_action``: the action that the response names.
    """

    sent_at: float
    ended_at: float
    node: NodeId
    request: RequestId
    route: RouteName
    tenant: TenantName
    action: str
    prompt: bool
    complete: bool = msgspec.field(default=False, name="whole")
    code: ErrorCode | None = None
    fate: Fate | None = None
    response_action: str = msgspec.field(default="", name="answer_action")
    fault: str = ""
    tokens: int = 0
    requested_tokens: int = msgspec.field(default=0, name="wanted_tokens")


class OrderSent(msgspec.Struct, frozen=True):
    """An operator sent an order."""

    at: float
    node: NodeId
    correlation_id: str
    command: AnyCommand


class OrderReply(msgspec.Struct, frozen=True):
    """A node replied to an order. ``lost``: the reply never reached the operator."""

    at: float
    node: NodeId
    correlation_id: str
    order: OrderId
    result: CommandResult | None
    error: ApiError | None
    lost: bool


class StateApplied(msgspec.Struct, frozen=True):
    """A node applied a newer control state. ``digest``: of the complete state."""

    at: float
    node: NodeId
    boot: int
    revision: Revision
    digest: int
    configuration_version: int


class RolloutPhaseChanged(msgspec.Struct, frozen=True):
    """A node applied a new committed phase of a rollout."""

    at: float
    node: NodeId
    rollout: RolloutId
    service: ServiceName
    phase: RolloutPhase


class StopReported(msgspec.Struct, frozen=True):
    """An engine reported to a node that it drains or leaves."""

    at: float
    node: NodeId
    engine: EngineId


class StopWithdrawn(msgspec.Struct, frozen=True):
    """An engine that had stopped announced itself again."""

    at: float
    engine: EngineId


class NodeSample(msgspec.Struct, frozen=True):
    """Status of one running, unfrozen node at one moment. The log indexes are 0 except on the leader."""

    at: float
    node: NodeId
    boot: int
    ready: bool
    reason: str
    revision: Revision
    term: Term
    leading: bool
    commit_index: int = 0
    last_index: int = 0


class FaultStarted(msgspec.Struct, frozen=True):
    """A fault started."""

    at: float
    fault: AnyFault


class History(msgspec.Struct):
    """All records of a run."""

    dispatched: list[Dispatched] = []
    unreached: list[Unreached] = []
    executed: list[Executed] = []
    bad_responses: list[BadResponse] = msgspec.field(default_factory=list, name="bad_answers")
    calls: list[ClientAttempt] = []
    ordered: list[OrderSent] = []
    orders: list[OrderReply] = []
    states: list[StateApplied] = []
    rollouts: list[RolloutPhaseChanged] = []
    stops: list[StopReported] = []
    stops_withdrawn: list[StopWithdrawn] = []
    samples: list[NodeSample] = []
    faults: list[FaultStarted] = []
