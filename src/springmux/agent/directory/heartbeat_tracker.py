"""Heartbeat timeouts of the engines that a node owns, and the votes that decide them."""

from __future__ import annotations

from springmux.agent.directory.messages import EngineIncarnation
from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId
from springmux.vocabulary.names import EngineId


class HeartbeatTracker:
    """Last heartbeat of each engine owned by this node, and the owners' timeout votes."""

    def __init__(self, settings: DirectorySettings) -> None:
        self._settings = settings
        self._heard_at: dict[EngineId, float] = {}
        self._votes: dict[EngineIncarnation, dict[NodeId, float]] = {}

    def __contains__(self, engine: EngineId) -> bool:
        return engine in self._heard_at

    def record(self, incarnation_id: EngineIncarnation, now: float) -> None:
        """Record a heartbeat."""
        self._heard_at[incarnation_id.engine] = now
        self._votes.pop(incarnation_id, None)

    def heard_within(self, engine: EngineId, within_s: float, now: float) -> bool:
        """Return whether ``engine`` sent a heartbeat in the last ``within_s`` seconds.

        Owners reply to a vote only where this is well under the timeout: otherwise two owners could
        keep a dead engine alive by resetting each other's timer in turn.
        """
        heard_at = self._heard_at.get(engine)
        return heard_at is not None and now - heard_at < within_s

    def grant_grace(self, now: float) -> None:
        """Restart every engine's timeout, after a time in which this node couldn't receive heartbeats."""
        self._heard_at = dict.fromkeys(self._heard_at, now)
        self._votes.clear()

    def forget(self, engine: EngineId) -> None:
        """Stop tracking ``engine``."""
        self._heard_at.pop(engine, None)
        for voted in [each for each in self._votes if each.engine == engine]:
            del self._votes[voted]

    def unresponsive(self, now: float) -> list[EngineId]:
        """Return the engines whose last heartbeat is older than the timeout."""
        latest = now - self._settings.heartbeat_timeout_s
        return [engine for engine, heard_at in self._heard_at.items() if heard_at <= latest]

    def add_vote(self, voter: NodeId, incarnation_id: EngineIncarnation, now: float) -> int:
        """Add a vote; return how many owners' votes are valid at ``now``."""
        votes = self._votes.setdefault(incarnation_id, {})
        votes[voter] = now
        return sum(1 for voted_at in votes.values() if now - voted_at <= self._settings.vote_valid_s)
