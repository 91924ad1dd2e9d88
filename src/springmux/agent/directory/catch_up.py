"""What a node does when it is (again) in contact: learn what it missed of the back ends, at once.

Until a peer that missed nothing itself says that both directories are the same, engines that drained
during the cut may still look ready here.
"""

from __future__ import annotations

import random

from springmux.agent.directory.messages import DirectoryDigest
from springmux.agent.directory.settings import DirectorySettings
from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import NEVER, Effect, Send


class CatchUp:
    """Asks a few known nodes every ``repair_period_s``, for at most ``catch_up_s``."""

    def __init__(self, settings: DirectorySettings, source: random.Random) -> None:
        self._settings = settings
        self._random = source
        self._peers: tuple[NodeId, ...] = ()
        self._until = -NEVER
        self.due_at = NEVER

    def running(self, now: float) -> bool:
        """Say whether the directory may still lack something."""
        return now < self._until

    def begin(self, peers: tuple[NodeId, ...], now: float) -> None:
        """Contact is there (again); a node without peers lacks nothing."""
        if not peers:
            return
        self._peers = peers
        self._until = now + self._settings.catch_up_s
        self.due_at = now

    def stop(self) -> None:
        """A peer has the same directory, or the contact is lost."""
        self._until = -NEVER
        self.due_at = NEVER

    def ask(self, root: int, now: float) -> list[Effect]:
        """Return the questions that are due."""
        if now < self.due_at:
            return []
        if not self.running(now):
            self.due_at = NEVER
            return []
        self.due_at = now + self._settings.repair_period_s
        asked = self._random.sample(self._peers, min(self._settings.catch_up_nodes, len(self._peers)))
        return [Send(node, DirectoryDigest(root, answer_wanted=True)) for node in asked]
