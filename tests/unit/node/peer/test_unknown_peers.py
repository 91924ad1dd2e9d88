"""Messages to nodes without a known address: each is counted, few are logged."""

from __future__ import annotations

import io
import json

from springmux.coordination.identifiers import NodeId
from springmux.node.logs import EventLog
from springmux.node.peer.unknown_peers import LINE_PERIOD_S, MAX_NODES, UnknownPeerLog

STRANGER = NodeId("stranger")


def lines(output: io.StringIO) -> list[tuple[str, str, int]]:
    found = [json.loads(line) for line in output.getvalue().splitlines()]
    return [(line["event"], line["peer"], line["dropped"]) for line in found]


def test_the_first_message_is_told_at_once_and_later_ones_together() -> None:
    output = io.StringIO()
    log = UnknownPeerLog(EventLog("own", output=output))
    for number in range(10):
        log.dropped(STRANGER, "MemberAck", number * 0.1)
    assert lines(output) == [("peer_address_unknown", STRANGER, 1)]
    log.dropped(STRANGER, "MemberAck", LINE_PERIOD_S)
    assert lines(output)[1:] == [("peer_address_unknown", STRANGER, 10)]


def test_each_node_has_lines_of_its_own_up_to_a_bound() -> None:
    output = io.StringIO()
    log = UnknownPeerLog(EventLog("own", output=output))
    for number in range(2 * MAX_NODES):
        log.dropped(NodeId(f"stranger-{number}"), "MemberAck", 0.0)
    assert len(lines(output)) == MAX_NODES
