"""Relayed changes: hops are acknowledged, and relays that don't answer are replaced."""

from __future__ import annotations

import random

import pytest

from springmux.agent.directory.change_relay import ChangeRelay
from springmux.agent.directory.entry import DirectoryEntry
from springmux.agent.directory.messages import DirectoryRelay, DirectoryRelayAck
from springmux.agent.directory.owner_nodes import OwnerNodes
from springmux.agent.directory.settings import DirectorySettings
from springmux.agent.directory.unresponsive_peers import UnresponsivePeers
from springmux.coordination.identifiers import Address, NodeId
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.state_machine import NEVER, Effect, Send
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId, ServiceName, VersionName
from tests.support.gossip_harness import record_of

SETTINGS = DirectorySettings()
ENTRY = DirectoryEntry(
    EngineRecord(
        EngineId("e"), ServiceName("text"), VersionName("v1"), Address("10.0.0.9:1"), 8, incarnation=1
    )
)


class RelayNetwork:
    """The relays of all nodes; messages arrive at once, and those to nodes that are gone are lost."""

    def __init__(self, nodes: int, zones: int, seed: int, gone: set[NodeId]) -> None:
        records = {record.node: record for record in (record_of(index, zones) for index in range(nodes))}
        self.gone = gone
        self.told: set[NodeId] = set()
        self.messages = 0
        self.now = 0.0
        self.relays: dict[NodeId, ChangeRelay] = {}
        for node in records:
            owners = OwnerNodes(node, SETTINGS)
            owners.update_view(MembershipView(node, records))
            unresponsive = UnresponsivePeers(SETTINGS.unresponsive_s)
            self.relays[node] = ChangeRelay(
                node, owners, unresponsive, random.Random(f"{seed} {node}"), SETTINGS
            )

    def send(self, source: NodeId, effects: list[Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            if effect.to in self.gone:
                continue
            self.messages += 1
            relay = self.relays[effect.to]
            if isinstance(effect.message, DirectoryRelayAck):
                relay.acknowledge(source, effect.message)
            else:
                assert isinstance(effect.message, DirectoryRelay)
                self.told.add(effect.to)
                self.send(effect.to, relay.forward(source, effect.message, self.now))

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while (due_at := min(relay.due_at for relay in self.relays.values())) <= end:
            self.now = due_at
            for node, relay in self.relays.items():
                if node not in self.gone:
                    self.send(node, relay.replace_expired(self.now))
            for node in self.gone:
                self.relays[node].replace_expired(self.now)
        self.now = end


def names(count: int) -> list[NodeId]:
    return [record_of(index, 1).node for index in range(count)]


@pytest.mark.parametrize(("nodes", "zones"), [(12, 4), (60, 4), (200, 7), (360, 10)])
@pytest.mark.parametrize("share", [0.3, 0.6, 0.9])
@pytest.mark.parametrize("seed", range(5))
def test_change_reaches_every_remaining_node_within_a_second_though_no_death_is_known(
    nodes: int, zones: int, share: float, seed: int
) -> None:
    gone = set(random.Random(seed).sample(names(nodes)[1:], round(share * nodes) - 1))
    network = RelayNetwork(nodes, zones, seed, gone)
    origin = names(nodes)[0]
    network.send(origin, network.relays[origin].send([ENTRY], network.now))
    network.run(1.0)
    assert network.told | gone | {origin} == set(names(nodes))


def test_acknowledged_relays_are_not_replaced() -> None:
    network = RelayNetwork(60, 4, 1, set())
    origin = names(60)[0]
    network.send(origin, network.relays[origin].send([ENTRY], network.now))
    messages = network.messages
    assert all(relay.due_at == NEVER for relay in network.relays.values())
    network.run(5.0)
    assert network.messages == messages


def test_relay_that_did_not_answer_is_told_but_relays_nothing_for_a_while() -> None:
    nodes = names(12)
    network = RelayNetwork(12, 1, 1, {nodes[5]})
    relay = network.relays[nodes[0]]
    network.send(nodes[0], relay.send([ENTRY], network.now))
    network.run(0.5)
    for _ in range(10):
        hops = [
            e.message for e in relay.send([ENTRY], network.now) if isinstance(e, Send) and e.to == nodes[5]
        ]
        assert [(hop.low, hop.high) for hop in hops if isinstance(hop, DirectoryRelay)] == [(0, 0)] * 2
