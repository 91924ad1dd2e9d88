"""Changes reach every node within two seconds over a lossy network while nodes are isolated or restarted."""

from __future__ import annotations

import pytest

from springmux.control.commands import encode_command
from springmux.control.delivery.state_delivery import StateDelivery
from springmux.coordination.identifiers import NodeId
from tests.unit.control.delivery.support import Fleet
from tests.unit.control.support import put_tenant

NODES, CHANGES = 12, 12
LOSS = 0.1
BOUND_S = 2.0
ISOLATED, RESTARTED = NodeId("n05"), NodeId("n07")


def late_deliveries() -> int:
    """Return how often a reachable node lacked a change two seconds after its acknowledgement."""
    fleet = Fleet(NODES)
    fleet.loss = LOSS
    fleet.run(1.0)
    late = 0
    for number in range(CHANGES):
        if number % 4 == 1:
            fleet.down.add(ISOLATED)
        if number % 4 == 2:
            fleet.down.discard(ISOLATED)
            fleet.start(RESTARTED)
        fleet.commit(encode_command(put_tenant(f"o{number}", f"t{number}")))
        fleet.run(BOUND_S)
        late += len(fleet.behind())
    return late


def test_changes_reach_every_node_within_two_seconds() -> None:
    assert late_deliveries() == 0


def test_checker_detects_nodes_that_ignore_the_revisions_of_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StateDelivery, "_on_peer_revision", lambda part, event, now: [])
    assert late_deliveries() > 0
