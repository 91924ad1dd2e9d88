"""Choice of version and engine for the attempts of one request.

The version filter chooses once per request. If it chooses the candidate, it spends an exposure credit, which
covers one sent attempt: an unused credit is returned, and a retry after a sent attempt goes to the next
version. Otherwise, a version other than the preferred one is used only if the preferred one has no ready
engine.
"""

from __future__ import annotations

import msgspec

from springmux.rollout.outcome import VersionChoice
from springmux.router.choice import ChoiceConstraints, EngineChoice
from springmux.router.core import RouterCore
from springmux.router.engine_table import EnginePool
from springmux.router.prefix_index import PromptPrefix
from springmux.vocabulary.names import EngineId, ServiceName, VersionName


class AttemptTarget(msgspec.Struct, frozen=True):
    """Version and engine of an attempt.

    ``pool``: all ready engines of the version. ``candidate``: the attempt uses the exposure credit.
    """

    version: VersionName
    choice: EngineChoice
    pool: EnginePool
    candidate: bool


class Selection:
    """Versions and engines that remain for the attempts of one request."""

    __slots__ = (
        "_core",
        "_credit",
        "_engines_limit",
        "_excluded",
        "_prefix",
        "_prompt_tokens",
        "_repeatable",
        "_service",
        "_version_index",
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
        chosen: VersionChoice = core.version_chooser.choose(service, version_key, now)
        self._versions = chosen.versions
        self._credit = chosen.candidate
        self._engines_limit = chosen.engines_limit
        self._version_index = 0

    def next_target(self, now: float) -> AttemptTarget | None:
        """Return the target of the next attempt, or ``None`` if no engine remains.

        The version filter checks again that each version is still allowed.
        """
        while self._version_index < len(self._versions):
            version = self._versions[self._version_index]
            allowed = self._core.version_chooser.recheck(self._service, version, now)
            pool = self._core.engine_table.pool(self._service, version)
            choice = self._choose(version, pool, now) if allowed else None
            if choice is not None:
                return AttemptTarget(version, choice, pool, self._credit)
            if allowed and pool.slots and not self._credit:
                return None
            self._skip_version(now)
        return None

    def exclude(self, target: AttemptTarget, sent: bool) -> None:
        """Exclude the engine of a failed attempt; ``sent``: bytes may have reached it."""
        self._excluded.add(target.choice.slot.record.engine)
        if sent and target.candidate:
            self._credit = False
            self._version_index = min(self._version_index + 1, len(self._versions))

    def use_credit(self) -> None:
        """Mark the exposure credit as used by a sent attempt."""
        self._credit = False

    def return_unused_credit(self, now: float) -> None:
        """Return the exposure credit to the version filter unless a sent attempt used it."""
        if self._credit:
            self._credit = False
            self._core.version_chooser.return_credit(self._service, self._versions[0], now)

    def _skip_version(self, now: float) -> None:
        self.return_unused_credit(now)
        self._version_index += 1

    def _choose(self, version: VersionName, pool: EnginePool, now: float) -> EngineChoice | None:
        chooser = self._core.engine_chooser
        constraints = ChoiceConstraints(self._prefix, self._prompt_tokens, self._excluded, self._repeatable)
        if self._credit and self._engines_limit:
            subset = self._core.engine_table.subset(self._service, version, self._engines_limit)
            choice = chooser.choose(subset, constraints, now)
            if choice is not None or subset is pool:
                return choice
        return chooser.choose(pool, constraints, now)
