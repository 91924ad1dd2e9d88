"""An operator in virtual time that sends gateway changes one after another until each is acknowledged."""

from __future__ import annotations

import json

from springmux.agent.effects import OrderAnswered
from springmux.control.commands import ApplyGateway, Outcome, gateway_order_id
from springmux.coordination.identifiers import NodeId
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet

IN_FORCE_S = 2.0
"""Seconds from a change's acknowledgement to its being in force at every node (docs/notes/delivery.md)."""


def document(version: int) -> bytes:
    """Return a complete gateway configuration of the given version."""
    route = {"name": "pages", "host": "www.example", "path_prefix": "/", "service": "pages"}
    configuration = {"version": version, "routes": [route], "services": [{"name": "pages"}], "tenants": []}
    return json.dumps(configuration).encode()


def change(base_version: int) -> ApplyGateway:
    """Return the change to the version that follows ``base_version``."""
    data = document(base_version + 1)
    order = gateway_order_id(base_version, data, False)
    return ApplyGateway(order=order, base_version=base_version, document=data)


class ChangingOperator(FleetObserver):
    """Sends one change after another; ``version`` is the newest acknowledged one.

    ``acknowledged``: time and version of each first acknowledgement.
    """

    def __init__(self, fleet: HollowFleet, version: int = 0) -> None:
        self.acknowledged: list[tuple[float, int]] = []
        self._fleet = fleet
        self.version = version
        fleet.observers.append(self)

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        """Record the first acknowledgement of each version."""
        if answer.result is None or answer.result.outcome is not Outcome.ACCEPTED:
            return
        version = answer.result.version
        if version is not None and version > self.version:
            self.version = version
            self.acknowledged.append((now, version))

    def submit(self, *nodes: NodeId) -> None:
        """Send the change that follows ``version`` to nodes, by default to all running ones.

        The change is decided only once.
        """
        for node in nodes or self._fleet.agents():
            self._fleet.submit(node, change(self.version))

    def due(self, now: float) -> int:
        """Return the newest version that must be in force everywhere at ``now``."""
        return max((version for at, version in self.acknowledged if at <= now - IN_FORCE_S), default=0)
