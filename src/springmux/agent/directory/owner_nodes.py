"""Assignment of engines to owner nodes, which monitor their heartbeats."""

from __future__ import annotations

from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.rendezvous import spread_holders
from springmux.vocabulary.names import EngineId


class OwnerNodes:
    """Chooses owners in different zones by rendezvous hashing over the nodes that aren't leaving.

    Owners are computed on first use and cached until the nodes change.
    """

    def __init__(self, own: NodeId, settings: DirectorySettings) -> None:
        self._own = own
        self._settings = settings
        self._zones: dict[NodeId, ZoneName] = {own: ZoneName("")}
        self._candidates: dict[NodeId, ZoneName] = self._zones
        self._cache: dict[EngineId, tuple[NodeId, ...]] = {}
        self._own_zone = ZoneName("")

    @property
    def zones(self) -> dict[NodeId, ZoneName]:
        """Return the zone of each present node."""
        return self._zones

    @property
    def own_zone(self) -> ZoneName:
        """Return this node's zone, also after it has left: it is no longer present but still relays."""
        return self._own_zone

    def update_view(self, view: MembershipView) -> None:
        """Update the present nodes. Nodes that are leaving become owners only if all nodes are leaving."""
        zones = {record.node: record.zone for record in view.present()}
        candidates = {record.node: record.zone for record in view.not_leaving()} or zones
        if (zones, candidates) != (self._zones, self._candidates):
            self._zones = zones
            self._candidates = candidates
            self._own_zone = zones.get(self._own, self._own_zone)
            self._cache.clear()

    def owners_of(self, engine: EngineId) -> tuple[NodeId, ...]:
        """Return the owner nodes of ``engine``."""
        owners = self._cache.get(engine)
        if owners is None:
            zones = self._candidates
            found = spread_holders(engine, zones, self._settings.owners_per_engine, lambda node: zones[node])
            owners = self._cache[engine] = tuple(found)
        return owners

    def forget(self, engine: EngineId) -> None:
        """Drop the cached owners of a removed engine."""
        self._cache.pop(engine, None)

    def required_votes(self) -> int:
        """Return how many owners must vote that an engine is unresponsive before it is marked lost."""
        return min(2, len(self._candidates))
