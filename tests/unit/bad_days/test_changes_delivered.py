"""Changes over a lossy network while nodes are cut off and restarted: everywhere within two seconds."""

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
CUT, RESTARTED = NodeId("n05"), NodeId("n07")


def late_nodes() -> int:
    """Return how often a node that is reachable lacked a change two seconds after its acknowledgement."""
    fleet = Fleet(NODES)
    fleet.loss = LOSS
    fleet.run(1.0)
    late = 0
    for number in range(CHANGES):
        if number % 4 == 1:
            fleet.down.add(CUT)
        if number % 4 == 2:
            fleet.down.discard(CUT)
            fleet.start(RESTARTED)
        fleet.commit(encode_command(put_tenant(f"o{number}", f"t{number}")))
        fleet.run(BOUND_S)
        late += len(fleet.behind())
    return late


def test_changes_are_everywhere_within_two_seconds() -> None:
    assert late_nodes() == 0


def test_the_checker_sees_nodes_that_do_not_heed_what_others_have(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StateDelivery, "_on_peer_revision", lambda part, event, now: [])
    assert late_nodes() > 0
