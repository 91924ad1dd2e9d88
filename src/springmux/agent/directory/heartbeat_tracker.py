"""Heartbeat timeouts of the engines that a node owns, and the votes to mark them lost."""

from __future__ import annotations

from springmux.agent.directory.messages import EngineIncarnation
from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId
from springmux.vocabulary.names import EngineId


class HeartbeatTracker:
    """Last heartbeat of each engine owned by this node, and the owners' timeout votes."""

    def __init__(self, settings: DirectorySettings) -> None:
        self._settings = settings
        self._last_heartbeat_at: dict[EngineId, float] = {}
        self._votes: dict[EngineIncarnation, dict[NodeId, float]] = {}

    def __contains__(self, engine: EngineId) -> bool:
        return engine in self._last_heartbeat_at

    def record(self, incarnation_id: EngineIncarnation, now: float) -> None:
        """Record a heartbeat; it discards all votes against this incarnation."""
        self._last_heartbeat_at[incarnation_id.engine] = now
        self._votes.pop(incarnation_id, None)

    def received_within(self, engine: EngineId, within_s: float, now: float) -> bool:
        """Return whether ``engine`` sent a heartbeat in the last ``within_s`` seconds.

        An owner objects to a vote only if the last heartbeat is much more recent than the timeout: otherwise
        two owners could keep a dead engine alive by resetting each other's timer in turn.
        """
        last_heartbeat_at = self._last_heartbeat_at.get(engine)
        return last_heartbeat_at is not None and now - last_heartbeat_at < within_s

    def restart_timeouts(self, now: float) -> None:
        """Restart every engine's timeout after a period in which this node couldn't receive heartbeats."""
        self._last_heartbeat_at = dict.fromkeys(self._last_heartbeat_at, now)
        self._votes.clear()

    def forget(self, engine: EngineId) -> None:
        """Stop tracking ``engine``."""
        self._last_heartbeat_at.pop(engine, None)
        for voted in [each for each in self._votes if each.engine == engine]:
            del self._votes[voted]

    def unresponsive(self, now: float) -> list[EngineId]:
        """Return the engines whose last heartbeat is older than the timeout."""
        latest = now - self._settings.heartbeat_timeout_s
        return [
            engine
            for engine, last_heartbeat_at in self._last_heartbeat_at.items()
            if last_heartbeat_at <= latest
        ]

    def add_vote(self, voter: NodeId, incarnation_id: EngineIncarnation, now: float) -> int:
        """Add a vote; return how many owners have a vote that is still valid at ``now``."""
        votes = self._votes.setdefault(incarnation_id, {})
        votes[voter] = now
        return sum(1 for voted_at in votes.values() if now - voted_at <= self._settings.vote_valid_s)
