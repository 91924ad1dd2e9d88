"""What happened in a run, as the checkers read it: typed lists in the order of virtual time."""

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
    """A node sent a request to an engine. ``revision``: of the control state in force there then."""

    at: float
    node: NodeId
    request: RequestId
    attempt: int
    engine: EngineId
    service: ServiceName
    version: VersionName
    revision: Revision


class Unreached(msgspec.Struct, frozen=True):
    """A dispatch of which no byte reached an engine: its connection was refused."""

    request: RequestId
    attempt: int


class Executed(msgspec.Struct, frozen=True):
    """A page or sale service carried out an action."""

    at: float
    service: ServiceName
    action: str
    request: RequestId
    engine: EngineId


class BadAnswer(msgspec.Struct, frozen=True):
    """A node met an answer that departs from a good one (failed, broken, silent, or slow)."""

    at: float
    service: ServiceName
    version: VersionName
    request: RequestId


class CallerSaw(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one sending of one request. ``fault``: a broken promise that the caller saw itself.

    ``tokens``: prompt and answer as the engine counted them, 0 without a whole answer.
    """

    sent_at: float
    ended_at: float
    node: NodeId
    request: RequestId
    route: RouteName
    tenant: TenantName
    action: str
    prompt: bool
    whole: bool = False
    code: ErrorCode | None = None
    fate: Fate | None = None
    answer_action: str = ""
    fault: str = ""
    tokens: int = 0
    wanted_tokens: int = 0


class Ordered(msgspec.Struct, frozen=True):
    """An operator sent an order."""

    at: float
    node: NodeId
    correlation_id: str
    command: AnyCommand


class OrderSeen(msgspec.Struct, frozen=True):
    """A node answered an order. ``lost``: the answer never reached the operator."""

    at: float
    node: NodeId
    correlation_id: str
    order: OrderId
    result: CommandResult | None
    error: ApiError | None
    lost: bool


class StateSeen(msgspec.Struct, frozen=True):
    """A newer control state came in force. ``digest``: of the whole state."""

    at: float
    node: NodeId
    boot: int
    revision: Revision
    digest: int
    configuration_version: int


class RolloutSeen(msgspec.Struct, frozen=True):
    """A rollout's committed phase at a node changed."""

    at: float
    node: NodeId
    rollout: RolloutId
    service: ServiceName
    phase: RolloutPhase


class StopTold(msgspec.Struct, frozen=True):
    """An engine told a node that it drains or leaves."""

    at: float
    node: NodeId
    engine: EngineId


class StopWithdrawn(msgspec.Struct, frozen=True):
    """An engine announced itself again."""

    at: float
    engine: EngineId


class Sampled(msgspec.Struct, frozen=True):
    """One running, unfrozen node at one moment. The log's indexes are known of leading nodes, else 0."""

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


class FaultSeen(msgspec.Struct, frozen=True):
    """A fault began."""

    at: float
    fault: AnyFault


class History(msgspec.Struct):
    """Everything recorded."""

    dispatched: list[Dispatched] = []
    unreached: list[Unreached] = []
    executed: list[Executed] = []
    bad_answers: list[BadAnswer] = []
    calls: list[CallerSaw] = []
    ordered: list[Ordered] = []
    orders: list[OrderSeen] = []
    states: list[StateSeen] = []
    rollouts: list[RolloutSeen] = []
    stops: list[StopTold] = []
    stops_withdrawn: list[StopWithdrawn] = []
    samples: list[Sampled] = []
    faults: list[FaultSeen] = []
