"""Messages to nodes without a known address are all counted, and logged at a limited rate."""

from __future__ import annotations

import io
import json

from springmux.coordination.identifiers import NodeId
from springmux.node.logs import EventLog
from springmux.node.peer.unknown_peers import LINE_PERIOD_S, MAX_NODES, UnknownPeerLog

UNKNOWN_NODE = NodeId("unknown")


def lines(output: io.StringIO) -> list[tuple[str, str, int]]:
    found = [json.loads(line) for line in output.getvalue().splitlines()]
    return [(line["event"], line["peer"], line["dropped"]) for line in found]


def test_the_first_message_is_logged_immediately_and_later_ones_once_per_period() -> None:
    output = io.StringIO()
    log = UnknownPeerLog(EventLog("own", output=output))
    for number in range(10):
        log.dropped(UNKNOWN_NODE, "MemberAck", number * 0.1)
    assert lines(output) == [("peer_address_unknown", UNKNOWN_NODE, 1)]
    log.dropped(UNKNOWN_NODE, "MemberAck", LINE_PERIOD_S)
    assert lines(output)[1:] == [("peer_address_unknown", UNKNOWN_NODE, 10)]


def test_nodes_are_logged_separately_up_to_a_limit() -> None:
    output = io.StringIO()
    log = UnknownPeerLog(EventLog("own", output=output))
    for number in range(2 * MAX_NODES):
        log.dropped(NodeId(f"unknown-{number}"), "MemberAck", 0.0)
    assert len(lines(output)) == MAX_NODES
