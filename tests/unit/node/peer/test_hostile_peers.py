"""No peer message ends a node, whatever its values: unknown, newer, absurd."""

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
SHAPES = {message: inspect.type_info(message) for message in wire.ALL_MESSAGES}


def absurd(shape: inspect.Type, source: random.Random, depth: int = 0) -> Any:
    """Return some value of a shape, often an absurd one."""
    if type(shape) in VALUES:
        return source.choice(VALUES[type(shape)])
    if isinstance(shape, inspect.UnionType):
        return absurd(source.choice(shape.types), source, depth)
    if isinstance(shape, inspect.EnumType):
        return source.choice(list(shape.cls))
    if isinstance(shape, inspect.TupleType):
        return tuple(absurd(item, source, depth + 1) for item in shape.item_types)
    if isinstance(shape, inspect.StructType):
        return shape.cls(**{field.name: absurd(field.type, source, depth + 1) for field in shape.fields})
    count = source.randrange(3) if depth < 6 else 0
    if isinstance(shape, inspect.DictType):
        keys = [absurd(shape.key_type, source, depth + 1) for _ in range(count)]
        return {key: absurd(shape.value_type, source, depth + 1) for key in keys}
    assert isinstance(shape, inspect.VarTupleType), shape
    return tuple(absurd(shape.item_type, source, depth + 1) for _ in range(count))


class Node:
    """A real agent behind the real codec; ``notes`` are the names that it logged."""

    def __init__(self, seed: int) -> None:
        address = Address("127.0.0.1:1")
        settings = AgentSettings(NodeId("n1"), "z1", "", address, address, address, (Address("127.0.0.1:9"),))
        recovered = RecoveredState(
            ReplicaId("r1"), None, HardState(Term(0), None), snapshot=None, snapshot_data=b"", entries=()
        )
        self.agent = NodeAgent(settings, recovered if seed % 2 else None, random.Random(seed))
        self.codec = AgentCodec(self.agent)
        self.now = 100.0
        self.notes: list[str] = []
        self.agent.start(self.now)

    def take(self, event: Event) -> None:
        waiting = [event]
        while waiting:
            for effect in self.agent.handle(waiting.pop(), self.now):
                if isinstance(effect, Persist):
                    waiting.append(Persisted(effect.batch))
                elif isinstance(effect, LogLine):
                    self.notes.append(effect.name)
        self.agent.next_deadline()

    def receive(self, data: bytes, sender: str = "n2") -> None:
        for event in self.codec.decode(NodeId(sender), data):
            self.take(event)


@pytest.mark.parametrize("seed", range(60))
def test_absurd_messages_of_every_type_change_no_nodes_life(seed: int) -> None:
    source, node = random.Random(seed), Node(seed)
    for _ in range(60):
        node.now += source.choice([0.0, 0.01, 0.3, 2.0])
        if source.random() < 0.25:
            node.take(Tick())
            continue
        message = absurd(SHAPES[source.choice(wire.ALL_MESSAGES)], source)
        term = source.choice([0, 1, 5, 1 << 62])
        data = wire.encode(Term(term), NodeId("n2"), Revision(source.choice([0, 1, 9])), message)
        node.receive(data, source.choice(["n2", "n3"]))
        node.agent.status()


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x91" * 5000, msgspec.msgpack.encode([1, "", 1, ["Newer", 1]])]
)
def test_what_is_no_message_of_this_version_is_refused_by_the_codec(data: bytes) -> None:
    with pytest.raises((ValueError, RecursionError)):
        Node(0).receive(data)


def test_a_newer_programs_command_makes_the_node_not_ready_and_is_applied_by_nobody() -> None:
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
    assert node.notes.count("control_state_unreadable") == 1
    assert (node.agent.ready, node.agent.not_ready_reason) == (False, UNREADABLE)
    assert node.agent.view.revision == 0
    assert not node.agent.view.tenants
