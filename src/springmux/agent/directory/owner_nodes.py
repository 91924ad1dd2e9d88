"""Home nodes: who watches an engine's heartbeats, and the votes by which they find it lost."""

from __future__ import annotations

from springmux.agent.directory.messages import EngineIncarnation
from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView
from springmux.coordination.rendezvous import spread_holders
from springmux.vocabulary.names import EngineId


class OwnerNodes:
    """Homes of engines by rendezvous hash over the nodes that stay, spread over zones; looked up lazily."""

    def __init__(self, own: NodeId, settings: DirectorySettings) -> None:
        self._own = own
        self._settings = settings
        self._zones: dict[NodeId, ZoneName] = {own: ZoneName("")}
        self._candidates: dict[NodeId, ZoneName] = self._zones
        self._cache: dict[EngineId, tuple[NodeId, ...]] = {}
        self._own_zone = ZoneName("")

    @property
    def zones(self) -> dict[NodeId, ZoneName]:
        """Return the present nodes with their zones."""
        return self._zones

    @property
    def own_zone(self) -> ZoneName:
        """Return the own zone; a node that has left isn't present any more but still relays."""
        return self._own_zone

    def set_view(self, view: MembershipView) -> None:
        """Take the present nodes. Only those that stay become homes, unless none does."""
        zones = {record.node: record.zone for record in view.present()}
        candidates = {record.node: record.zone for record in view.staying()} or zones
        if (zones, candidates) != (self._zones, self._candidates):
            self._zones = zones
            self._candidates = candidates
            self._own_zone = zones.get(self._own, self._own_zone)
            self._cache.clear()

    def of(self, engine: EngineId) -> tuple[NodeId, ...]:
        """Return the homes of ``engine``."""
        homes = self._cache.get(engine)
        if homes is None:
            zones = self._candidates
            found = spread_holders(engine, zones, self._settings.homes, lambda node: zones[node])
            homes = self._cache[engine] = tuple(found)
        return homes

    def forget(self, engine: EngineId) -> None:
        """Drop what is remembered of an engine that is gone."""
        self._cache.pop(engine, None)

    def needed_votes(self) -> int:
        """Return how many homes must find an engine silent."""
        return min(2, len(self._candidates))


class Watch:
    """What one home heard of its engines, and who voted that they are silent."""

    def __init__(self, settings: DirectorySettings) -> None:
        self._settings = settings
        self._heard_at: dict[EngineId, float] = {}
        self._votes: dict[EngineIncarnation, dict[NodeId, float]] = {}

    def __contains__(self, engine: EngineId) -> bool:
        return engine in self._heard_at

    def heard(self, life: EngineIncarnation, now: float) -> None:
        """Note a heartbeat."""
        self._heard_at[life.engine] = now
        self._votes.pop(life, None)

    def heard_within(self, engine: EngineId, within_s: float, now: float) -> bool:
        """Tell whether ``engine`` was heard in the last ``within_s`` seconds.

        Homes answer a vote only where this is well under the time limit: otherwise two homes could
        keep a dead engine alive by resetting each other's time in turn.
        """
        heard_at = self._heard_at.get(engine)
        return heard_at is not None and now - heard_at < within_s

    def grant_grace(self, now: float) -> None:
        """Give every engine its whole time again: this node couldn't have heard it."""
        self._heard_at = dict.fromkeys(self._heard_at, now)
        self._votes.clear()

    def forget(self, engine: EngineId) -> None:
        """Stop to watch ``engine``."""
        self._heard_at.pop(engine, None)
        for life in [life for life in self._votes if life.engine == engine]:
            del self._votes[life]

    def silent(self, now: float) -> list[EngineId]:
        """Return the engines that were silent for too long."""
        latest = now - self._settings.silence_s
        return [engine for engine, heard_at in self._heard_at.items() if heard_at <= latest]

    def vote(self, voter: NodeId, life: EngineIncarnation, now: float) -> int:
        """Count a vote; return how many homes hold it at ``now``."""
        votes = self._votes.setdefault(life, {})
        votes[voter] = now
        return sum(1 for voted_at in votes.values() if now - voted_at <= self._settings.vote_valid_s)
