"""Peer messages with unknown, newer or nonsensical values.

Guards against a peer message that crashes the agent, and so the process of every node that receives it.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from msgspec import inspect

from springmux.agent import wire
from springmux.agent.agent import NodeAgent
from springmux.agent.events import AgentSettings
from springmux.agent.readiness import UNREADABLE
from springmux.control.commands import PutTenant, encode_command
from springmux.control.delivery.messages import DeliveredCommand, PushCommands
from springmux.control.view import Tenant
from springmux.coordination.consensus.effects import Persist, Persisted
from springmux.coordination.consensus.types import HardState, RecoveredState
from springmux.coordination.identifiers import Address, NodeId, ReplicaId, Revision, Term
from springmux.coordination.state_machine import Event, LogLine, Tick
from springmux.node.peer.agent_codec import AgentCodec
from springmux.vocabulary.names import OrderId, TenantName

VALUES: dict[type[inspect.Type], tuple[Any, ...]] = {
    inspect.IntType: (0, 1, -1, 3, 1 << 31, (1 << 63) - 1, -(1 << 63), (1 << 64) - 1),
    inspect.FloatType: (0.0, 1.0, -1.0, 1e308, float("nan"), float("inf"), float("-inf")),
    inspect.StrType: ("", "n1", "n2", "text", "x" * 300, "\0", "r1", "127.0.0.1:1", "no address"),
    inspect.BytesType: (b"", b"{}", b"\xc1", b"x" * 300),
    inspect.BoolType: (False, True),
    inspect.NoneType: (None,),
    inspect.AnyType: (None, 1, "a", [1], {"a": 1}),
}
MESSAGE_TYPES = {message: inspect.type_info(message) for message in wire.ALL_MESSAGES}


def random_value(message_type: inspect.Type, randomness: random.Random, depth: int = 0) -> Any:
    """Return a random value of a type, often a nonsensical one."""
    if type(message_type) in VALUES:
        return randomness.choice(VALUES[type(message_type)])
    if isinstance(message_type, inspect.UnionType):
        return random_value(randomness.choice(message_type.types), randomness, depth)
    if isinstance(message_type, inspect.EnumType):
        return randomness.choice(list(message_type.cls))
    if isinstance(message_type, inspect.TupleType):
        return tuple(random_value(item, randomness, depth + 1) for item in message_type.item_types)
    if isinstance(message_type, inspect.StructType):
        return message_type.cls(
            **{field.name: random_value(field.type, randomness, depth + 1) for field in message_type.fields}
        )
    count = randomness.randrange(3) if depth < 6 else 0
    if isinstance(message_type, inspect.DictType):
        keys = [random_value(message_type.key_type, randomness, depth + 1) for _ in range(count)]
        return {key: random_value(message_type.value_type, randomness, depth + 1) for key in keys}
    assert isinstance(message_type, inspect.VarTupleType), message_type
    return tuple(random_value(message_type.item_type, randomness, depth + 1) for _ in range(count))


class Node:
    """A real agent with the real codec. ``log_names`` are the names of its log lines."""

    def __init__(self, seed: int) -> None:
        address = Address("127.0.0.1:1")
        settings = AgentSettings(NodeId("n1"), "z1", "", address, address, address, (Address("127.0.0.1:9"),))
        recovered = RecoveredState(
            ReplicaId("r1"), None, HardState(Term(0), None), snapshot=None, snapshot_data=b"", entries=()
        )
        self.agent = NodeAgent(settings, recovered if seed % 2 else None, random.Random(seed))
        self.codec = AgentCodec(self.agent)
        self.now = 100.0
        self.log_names: list[str] = []
        self.agent.start(self.now)

    def handle(self, event: Event) -> None:
        pending = [event]
        while pending:
            for effect in self.agent.handle(pending.pop(), self.now):
                if isinstance(effect, Persist):
                    pending.append(Persisted(effect.batch))
                elif isinstance(effect, LogLine):
                    self.log_names.append(effect.name)
        self.agent.next_deadline()

    def receive(self, data: bytes, sender: str = "n2") -> None:
        for event in self.codec.decode(NodeId(sender), data):
            self.handle(event)


@pytest.mark.parametrize("seed", range(60))
def test_random_values_in_messages_of_every_type_crash_no_agent(seed: int) -> None:
    randomness, node = random.Random(seed), Node(seed)
    for _ in range(60):
        node.now += randomness.choice([0.0, 0.01, 0.3, 2.0])
        if randomness.random() < 0.25:
            node.handle(Tick())
            continue
        message = random_value(MESSAGE_TYPES[randomness.choice(wire.ALL_MESSAGES)], randomness)
        term = randomness.choice([0, 1, 5, 1 << 62])
        data = wire.encode(Term(term), NodeId("n2"), Revision(randomness.choice([0, 1, 9])), message)
        node.receive(data, randomness.choice(["n2", "n3"]))
        node.agent.status()


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x91" * 5000, msgspec.msgpack.encode([1, "", 1, ["Newer", 1]])]
)
def test_the_codec_rejects_data_that_is_no_message_of_this_version(data: bytes) -> None:
    with pytest.raises((ValueError, RecursionError)):
        Node(0).receive(data)


def test_a_command_of_a_newer_version_is_not_applied_and_makes_the_node_not_ready() -> None:
    node = Node(0)
    newer = msgspec.msgpack.encode({"type": "NewerCommand"})
    tenant = PutTenant(order=OrderId("o"), issued_by="a", tenant=Tenant(TenantName("t"), 1.0, 1.0))
    commands = (
        DeliveredCommand(Revision(0), Revision(1), newer),
        DeliveredCommand(Revision(1), Revision(2), encode_command(tenant)),
    )
    node.receive(
        wire.encode(Term(1), NodeId("n2"), Revision(2), PushCommands(Term(1), Revision(2), commands))
    )
    assert node.log_names.count("control_state_unreadable") == 1
    assert (node.agent.ready, node.agent.not_ready_reason) == (False, UNREADABLE)
    assert node.agent.view.revision == 0
    assert not node.agent.view.tenants
