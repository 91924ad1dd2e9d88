"""An operator in virtual time: one gateway change after another, each sent until it is acknowledged."""

from __future__ import annotations

import json

from springmux.agent.effects import OrderAnswered
from springmux.control.commands import ApplyGateway, Outcome, gateway_order_id
from springmux.coordination.identifiers import NodeId
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet

IN_FORCE_S = 2.0
"""From a change's acknowledgement to its being in force at every node (docs/notes/delivery.md)."""


def document(version: int) -> bytes:
    """Return a whole gateway configuration."""
    route = {"name": "pages", "host": "www.example", "path_prefix": "/", "service": "pages"}
    whole = {"version": version, "routes": [route], "services": [{"name": "pages"}], "tenants": []}
    return json.dumps(whole).encode()


def change(base_version: int) -> ApplyGateway:
    """Return the change to the version that follows ``base_version``."""
    data = document(base_version + 1)
    order = gateway_order_id(base_version, data, False)
    return ApplyGateway(order=order, base_version=base_version, document=data)


class ChangingOperator(FleetObserver):
    """Makes one change after another, each sent until it is acknowledged."""

    def __init__(self, fleet: HollowFleet, present: int = 0) -> None:
        self.acknowledged: list[tuple[float, int]] = []
        self._fleet = fleet
        self.present = present
        fleet.observers.append(self)

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        """Take an answer; only the first acknowledgement of a version counts."""
        if answer.result is None or answer.result.outcome is not Outcome.ACCEPTED:
            return
        version = answer.result.version
        if version is not None and version > self.present:
            self.present = version
            self.acknowledged.append((now, version))

    def press(self, *through: NodeId) -> None:
        """Send the present change to nodes, by default to all that run; it is decided once."""
        for node in through or self._fleet.agents():
            self._fleet.submit(node, change(self.present))

    def due(self, now: float) -> int:
        """Return the newest version that must be in force everywhere at ``now``."""
        return max((version for at, version in self.acknowledged if at <= now - IN_FORCE_S), default=0)
