"""Choice of version and engine for the attempts of one request.

The version filter is consulted once per request. A credit for the candidate pays for one sent attempt: an
unused credit is given back, and a retry after a sent attempt goes to the next version. Another version than
the preferred one is used only where the preferred one has no ready engine.
"""

from __future__ import annotations

import msgspec

from springmux.rollout.outcome import VersionChoice
from springmux.router.choice import ChoiceNeeds, EngineChoice
from springmux.router.core import RouterCore
from springmux.router.engine_table import EnginePool
from springmux.router.prefix_index import PromptPrefix
from springmux.vocabulary.names import EngineId, ServiceName, VersionName


class Selected(msgspec.Struct, frozen=True):
    """Where an attempt goes. ``pool``: all ready engines of the version; ``candidate``: uses the credit."""

    version: VersionName
    choice: EngineChoice
    pool: EnginePool
    candidate: bool


class Selection:
    """Versions and engines left for one request."""

    __slots__ = (
        "_core",
        "_credit",
        "_engines_limit",
        "_excluded",
        "_index",
        "_prefix",
        "_prompt_tokens",
        "_repeatable",
        "_service",
        "_versions",
    )

    def __init__(
        self,
        core: RouterCore,
        service: ServiceName,
        prefix: PromptPrefix | None,
        version_key: int,
        prompt_tokens: int,
        repeatable: bool,
        now: float,
    ) -> None:
        self._core = core
        self._service = service
        self._prefix = prefix
        self._prompt_tokens = prompt_tokens
        self._repeatable = repeatable
        self._excluded: set[EngineId] = set()
        chosen: VersionChoice = core.chooser.choose(service, version_key, now)
        self._versions = chosen.versions
        self._credit = chosen.candidate
        self._engines_limit = chosen.engines_limit
        self._index = 0

    def next(self, now: float) -> Selected | None:
        """Return the target of the next attempt, rechecked against the version filter, or ``None``."""
        while self._index < len(self._versions):
            version = self._versions[self._index]
            allowed = self._core.chooser.recheck(self._service, version, now)
            pool = self._core.table.pool(self._service, version)
            choice = self._choose(version, pool, now) if allowed else None
            if choice is not None:
                return Selected(version, choice, pool, self._credit)
            if allowed and pool.slots and not self._credit:
                return None
            self._skip_version(now)
        return None

    def exclude(self, selected: Selected, sent: bool) -> None:
        """Exclude the engine of a failed attempt; ``sent``: bytes may have reached it."""
        self._excluded.add(selected.choice.slot.record.engine)
        if sent and selected.candidate:
            self._credit = False
            self._index = min(self._index + 1, len(self._versions))

    def spent(self) -> None:
        """Record that the open attempt used up the credit."""
        self._credit = False

    def give_back(self, now: float) -> None:
        """Give back a credit that no sent attempt used."""
        if self._credit:
            self._credit = False
            self._core.chooser.give_back(self._service, self._versions[0], now)

    def _skip_version(self, now: float) -> None:
        self.give_back(now)
        self._index += 1

    def _choose(self, version: VersionName, pool: EnginePool, now: float) -> EngineChoice | None:
        chooser = self._core.engine_chooser
        needs = ChoiceNeeds(self._prefix, self._prompt_tokens, self._excluded, self._repeatable)
        if self._credit and self._engines_limit:
            subset = self._core.table.subset(self._service, version, self._engines_limit)
            choice = chooser.choose(subset, needs, now)
            if choice is not None or subset is pool:
                return choice
        return chooser.choose(pool, needs, now)
