"""Choice of version and engine for the attempts of one forwarded request.

Unlike in :mod:`springmux.router.selection`, any version may serve while there is no rollout, so a retry
consults the version filter again in case a rollout has begun since.
"""

from __future__ import annotations

from springmux.gateway.placement import Placement
from springmux.gateway.prompt_metadata import PromptMetadata
from springmux.rollout.outcome import VersionChooser
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName


class VersionSelection:
    """Versions and engines that remain for one request.

    A credit for the candidate version allows one sent attempt. An unused credit is returned; a retry after
    a sent attempt goes to the stable version.
    """

    __slots__ = (
        "_chooser",
        "_credit",
        "_engines_limit",
        "_prefix_key",
        "_repeatable",
        "_route",
        "_versions",
        "excluded",
        "service",
    )

    def __init__(
        self,
        chooser: VersionChooser,
        service: ServiceName,
        route: RouteName,
        prefix_key: int,
        now: float,
        repeatable: bool = False,
    ) -> None:
        """Consult the version filter.

        :param repeatable: whether the request may be the trial of an ejected engine.
        """
        choice = chooser.choose(service, prefix_key, now, route)
        self.service = service
        self.excluded: set[EngineId] = set()
        self._chooser = chooser
        self._prefix_key = prefix_key
        self._route = route
        self._repeatable = repeatable
        self._versions = choice.versions
        self._credit = choice.candidate
        self._engines_limit = choice.engines_limit

    def next_engine(self, placement: Placement, prompt: PromptMetadata, now: float) -> EngineRecord | None:
        """Return the engine of the next attempt, rechecked against the version filter, or ``None``."""
        if not self._versions and self.excluded:
            self._choose_versions_again(now)
        if not self._versions:
            return self._choose(placement, (), prompt, now)
        for version in self._versions:
            is_candidate = self._credit and version == self._versions[0]
            if self._chooser.recheck(self.service, version, now):
                limit = self._engines_limit if is_candidate else 0
                found = self._choose(placement, (version,), prompt, now, limit)
                if found is not None:
                    return found
            if is_candidate:
                self.return_credit(now)
                self._versions = self._versions[1:]
                return self.next_engine(placement, prompt, now)
        return None

    def _choose(
        self,
        placement: Placement,
        versions: tuple[VersionName, ...],
        prompt: PromptMetadata,
        now: float,
        engines_limit: int = 0,
    ) -> EngineRecord | None:
        return placement.choose(
            self.service, versions, prompt, self.excluded, now, engines_limit, self._repeatable
        )

    def _choose_versions_again(self, now: float) -> None:
        """Apply a rollout that began after the first attempt; a retry goes to the stable version."""
        choice = self._chooser.choose(self.service, self._prefix_key, now, self._route)
        self._versions = choice.versions[1:] if choice.candidate else choice.versions
        if choice.candidate:
            self._chooser.return_credit(self.service, choice.versions[0], now)

    def record_sent(self, record: EngineRecord) -> None:
        """Record that an attempt was sent to an engine, which uses up the credit."""
        self.excluded.add(record.engine)
        if self._credit:
            self._credit = False
            self._versions = self._versions[1:] or self._versions

    def record_not_sent(self, record: EngineRecord) -> None:
        """Record that nothing was sent to an engine, which is excluded from now on."""
        self.excluded.add(record.engine)

    def return_credit(self, now: float) -> None:
        """Return an unused credit to the version filter."""
        if self._credit:
            self._credit = False
            self._chooser.return_credit(self.service, self._versions[0], now)
