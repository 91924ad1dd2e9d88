"""Loads of engines: the own ones to tell, and the sums that others told."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from springmux.coordination.identifiers import NodeId
from springmux.coordination.usage.events import UsageSettings
from springmux.coordination.usage.messages import EngineLoad

Load = tuple[float, float]
"""Requests and prompt tokens."""

IDLE: Load = (0.0, 0.0)


def rounded(engine: str, load: Load) -> EngineLoad:
    """Return a load as it is told: whole figures take a third of the bytes."""
    requests, prompt_tokens = load
    return EngineLoad(engine, round(requests), round(prompt_tokens))


class EngineLoads:
    """Own present loads and the last ones of each other node (or collector)."""

    def __init__(self, settings: UsageSettings) -> None:
        self._settings = settings
        self._own: dict[str, Load] = {}
        self._told: dict[str, tuple[Load, float]] = {}
        self._changed: dict[str, None] = {}
        self._heard: dict[NodeId, dict[str, tuple[Load, float]]] = {}

    def note(self, engine: str, requests: float, prompt_tokens: float) -> None:
        """Set the own present load of an engine."""
        load = (requests, prompt_tokens)
        if self._own.get(engine, IDLE) == load:
            return
        self._own[engine] = load
        self._changed[engine] = None

    def pending(self) -> bool:
        """Say whether there is something to tell, now or once it has to be told again."""
        return bool(self._changed or self._told)

    def take_due(self, now: float) -> tuple[EngineLoad, ...]:
        """Return the loads to tell now, and note them as told. An idle engine is told twice."""
        again = now - self._settings.engine_refresh_s
        due = dict(self._changed)
        due.update((engine, None) for engine, (_, at) in self._told.items() if at <= again)
        self._changed.clear()
        for engine in due:
            load = self._own.get(engine, IDLE)
            was_told = self._told.get(engine)
            if load == IDLE and was_told is not None and was_told[0] == IDLE:
                del self._told[engine]
                self._own.pop(engine, None)
            else:
                self._told[engine] = (load, now)
        return tuple(rounded(engine, self._own.get(engine, IDLE)) for engine in due)

    def hear(self, source: NodeId, loads: Iterable[EngineLoad], now: float) -> None:
        """Take another node's loads."""
        known = self._heard.setdefault(source, {})
        for load in loads:
            known[load.engine] = ((load.requests, load.prompt_tokens), now)

    def hear_sums(self, collector: NodeId, sums: Iterable[EngineLoad], now: float) -> None:
        """Take a collector's sums over all nodes, without the own part, in place of the last collector's."""
        self.keep((collector,))
        others: list[EngineLoad] = []
        for load in sums:
            told = self._told.get(load.engine)
            requests, prompt_tokens = IDLE if told is None else told[0]
            rest = max(0.0, load.requests - requests), max(0.0, load.prompt_tokens - prompt_tokens)
            others.append(EngineLoad(load.engine, *rest))
        self.hear(collector, others, now)

    def keep(self, sources: Iterable[NodeId]) -> None:
        """Forget the loads of all nodes but ``sources``."""
        kept = set(sources)
        for source in [source for source in self._heard if source not in kept]:
            del self._heard[source]

    def own(self) -> Mapping[str, Load]:
        """Return the own present loads."""
        return self._own

    def others(self, now: float) -> dict[str, Load]:
        """Return the sums of the others' loads that are not too old; drops those that are."""
        oldest = now - self._settings.engine_forget_s
        sums: dict[str, Load] = {}
        for known in self._heard.values():
            for engine, (load, at) in list(known.items()):
                if at < oldest or load == IDLE:
                    del known[engine]
                    continue
                requests, prompt_tokens = sums.get(engine, IDLE)
                sums[engine] = (requests + load[0], prompt_tokens + load[1])
        return sums
