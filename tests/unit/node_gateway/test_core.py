"""The core takes newer control states only."""

from __future__ import annotations

import random

import msgspec

from springmux.control.gateway_configuration import GatewayConfiguration
from springmux.control.view import EMPTY_VIEW
from springmux.coordination.identifiers import NodeId
from springmux.coordination.usage.part import UsagePart
from springmux.gateway.core import GatewayCore
from springmux.rollout.outcome import VersionChoice
from tests.unit.node_gateway.stand_ins import SAFE, Chooser


def test_an_older_control_state_is_ignored() -> None:
    """Given version 2 in force, a late state of version 1 changes nothing."""
    core = GatewayCore(
        "north", random.Random(1), Chooser(VersionChoice(())), UsagePart(NodeId("n1"), random.Random(2))
    )
    newer = msgspec.structs.replace(
        EMPTY_VIEW, revision=type(EMPTY_VIEW.revision)(2), gateway=GatewayConfiguration(2, (SAFE,))
    )
    older = msgspec.structs.replace(
        EMPTY_VIEW, revision=type(EMPTY_VIEW.revision)(1), gateway=GatewayConfiguration(1)
    )
    core.update_control(newer, 0.0)
    core.update_control(older, 1.0)
    assert core.table.configuration.version == 2
