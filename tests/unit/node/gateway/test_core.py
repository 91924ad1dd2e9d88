"""The gateway core ignores outdated control states, and keeps its share of the fleet's retry budget."""

from __future__ import annotations

import random

import msgspec
import pytest

from springmux.control.gateway_configuration import GatewayConfiguration
from springmux.control.view import EMPTY_VIEW
from springmux.coordination.identifiers import NodeId
from springmux.coordination.usage.usage_exchange import UsageExchange
from springmux.gateway.core import GatewayCore, RetryBounds
from springmux.rollout.outcome import VersionChoice
from tests.unit.node.gateway.stand_ins import SAFE, Chooser


def _core() -> GatewayCore:
    return GatewayCore(
        "north", random.Random(1), Chooser(VersionChoice(())), UsageExchange(NodeId("n1"), random.Random(2))
    )


def test_an_older_control_state_is_ignored() -> None:
    """Given active version 2, a late control state with version 1 changes nothing."""
    core = _core()
    newer = msgspec.structs.replace(
        EMPTY_VIEW, revision=type(EMPTY_VIEW.revision)(2), gateway=GatewayConfiguration(2, (SAFE,))
    )
    older = msgspec.structs.replace(
        EMPTY_VIEW, revision=type(EMPTY_VIEW.revision)(1), gateway=GatewayConfiguration(1)
    )
    core.update_control(newer, 0.0)
    core.update_control(older, 1.0)
    assert core.table.configuration.version == 2


@pytest.mark.parametrize(
    ("least", "nodes", "floor"),
    [(220, 90, 2), (440, 200, 2), (39.28, 23, 1), (64, 12, 4), (0, 12, 1), (0.5, 3, 1)],
)
def test_the_nodes_retry_shares_together_stay_within_the_fleets_limit(
    least: float, nodes: int, floor: int
) -> None:
    """Given the fleet's limit and its number of nodes, each node may send ``floor`` retries."""
    core = _core()
    core.set_retry_bounds(RetryBounds(share=0.0, minimum=least))
    core.update_fleet(nodes)
    sent = sum(core.retry_budget.try_acquire(1.0) for _ in range(100))
    assert sent == floor
