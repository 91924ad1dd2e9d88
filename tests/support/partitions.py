"""Partitions and engines of hollow fleets, as several tests need them."""

from __future__ import annotations

from collections.abc import Collection

from springmux.agent.events import EngineAnnounced
from springmux.coordination.identifiers import Address, NodeId
from springmux.simulation.hollow_fleet import HollowFleet
from springmux.simulation.world.faults import CutPair
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId, ServiceName, VersionName


def partition(fleet: HollowFleet, some: Collection[str], others: Collection[str] | None = None) -> None:
    """Cut ``some`` nodes off from ``others``, by default from all others, in both directions."""
    if others is None:
        others = [place.node for place in fleet.places() if place.node not in some]
    pairs = [(one, other) for one in some for other in others]
    for source, target in pairs + [(other, one) for one, other in pairs]:
        fleet.world.apply(CutPair(at=fleet.world.now, source=NodeId(source), target=NodeId(target)))


def announce_engine(fleet: HollowFleet, node: str, engine: str) -> EngineId:
    """Announce an engine to a node."""
    name = EngineId(engine)
    record = EngineRecord(
        name, ServiceName("text"), VersionName("v1"), Address(f"{engine}:80"), 8, incarnation=1
    )
    fleet.world.deliver(NodeId(node), EngineAnnounced(record))
    return name
