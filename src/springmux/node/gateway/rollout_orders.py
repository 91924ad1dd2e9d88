"""Identity of a rollout order, which has no id of its own: an equal order is the same one, or a new one.

A caller sends an order again for a limited time only, and gets its first result. An equal order after
that time is a new one. Its id follows from its content and from the decision that it comes after, so that
all nodes that accept it give it the same id, and copies of it that arrive late are recognized for good.
"""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

import msgspec
import xxhash

from springmux.agent.agent import NodeAgent
from springmux.control.commands import CONTENT_ORDER_PREFIX, CommandResult
from springmux.control.state import ControlState
from springmux.coordination.identifiers import Revision
from springmux.rollout.plan import RolloutPhase
from springmux.vocabulary.names import OrderId, RolloutId, ServiceName

CALL_IN_FLIGHT_S = 2.0
"""Time for which the last call of a caller may be under way. The caller waits for a second; a node that was
suspended for longer than its evidence of contact counts (1.5 s) takes no order that waited meanwhile."""


class RolloutBody(msgspec.Struct, frozen=True):
    """Body of a command to move a service's traffic to the engines of a version within ``by_s`` seconds."""

    service: str
    candidate: str
    by_s: Annotated[float, msgspec.Meta(gt=0)]


class Repetition(enum.Enum):
    """Whether an order that equals a decided one is the same order."""

    SENT_AGAIN = "sent again"
    NEW = "new"
    UNDECIDABLE = "undecidable"


class DecidedRollout(NamedTuple):
    """A decided order that equals the requested one."""

    rollout: RolloutId
    result: CommandResult


def order_id(rollout: RolloutId) -> OrderId:
    """Return the id of the order that starts ``rollout``."""
    return OrderId(f"{CONTENT_ORDER_PREFIX}{rollout}")


def rollout_id(requested: RolloutBody, after: Revision) -> RolloutId:
    """Return the id of a rollout.

    :param after: revision at which the last equal order was decided, or 0 if there is none.
    """
    content = msgspec.json.encode(requested)
    return RolloutId(xxhash.xxh3_128_hexdigest(content + b"/%d" % after if after else content))


def last_equal_order(control: ControlState, requested: RolloutBody) -> DecidedRollout | None:
    """Return the last decided order that equals the requested one, or ``None`` without any."""
    last: DecidedRollout | None = None
    while True:
        rollout = rollout_id(requested, last.result.revision if last is not None else Revision(0))
        result = control.result_of_order(order_id(rollout))
        if result is None:
            return last
        last = DecidedRollout(rollout, result)


def classify_repetition(
    agent: NodeAgent, service: ServiceName, last: DecidedRollout, resend_s: float, now: float
) -> Repetition:
    """Return whether an order that equals ``last`` is the same one.

    :param resend_s: time in seconds within which callers send an order again.
    """
    record = agent.view.rollouts.get(service)
    if record is not None and record.rollout == last.rollout and record.phase is not RolloutPhase.ABORTED:
        return Repetition.SENT_AGAIN  # What is ordered is under way or done, whichever of the two it is.
    age = agent.decision_age(order_id(last.rollout), now)
    if age.at_least_s > resend_s + CALL_IN_FLIGHT_S:
        return Repetition.NEW
    return Repetition.SENT_AGAIN if age.is_exact and age.at_least_s <= resend_s else Repetition.UNDECIDABLE
