"""Fast anti-entropy after a node has established contact with the fleet, to fetch missed changes.

Until a peer with a complete directory confirms that both directories are equal, engines that
started draining during the partition may still appear ready at this node.
"""

from __future__ import annotations

import random

from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER


class CatchUp:
    """Chooses a few known nodes for digests every ``repair_period_s``, for at most ``catch_up_s``."""

    def __init__(self, settings: DirectorySettings, generator: random.Random) -> None:
        self._settings = settings
        self._random = generator
        self._peers: tuple[NodeId, ...] = ()
        self._until = -NEVER
        self.due_at = NEVER

    def running(self, now: float) -> bool:
        """Return whether the directory may still be incomplete."""
        return now < self._until

    def begin(self, peers: tuple[NodeId, ...], now: float) -> None:
        """Start after contact was established. Without peers there is nothing to fetch, so nothing starts."""
        if not peers:
            return
        self._peers = peers
        self._until = now + self._settings.catch_up_s
        self.due_at = now

    def stop(self) -> None:
        """Stop because a peer confirmed an equal directory or contact was lost."""
        self._until = -NEVER
        self.due_at = NEVER

    def receivers(self, now: float) -> list[NodeId]:
        """Return the peers to which a digest is due."""
        if now < self.due_at:
            return []
        if not self.running(now):
            self.due_at = NEVER
            return []
        self.due_at = now + self._settings.repair_period_s
        return self._random.sample(self._peers, min(self._settings.catch_up_nodes, len(self._peers)))
