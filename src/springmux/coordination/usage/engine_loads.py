"""Engine loads of this node, to be reported, and those reported by the other nodes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from springmux.coordination.identifiers import NodeId
from springmux.coordination.usage.events import UsageSettings
from springmux.coordination.usage.messages import EngineLoad

Load = tuple[float, float]
"""Requests and prompt tokens. A plain tuple for speed, since the sums are computed for each request."""

IDLE: Load = (0.0, 0.0)


def rounded(engine: str, load: Load) -> EngineLoad:
    """Return a load as sent to peers. Rounded, since integers take a third of the bytes of floats."""
    requests, prompt_tokens = load
    return EngineLoad(engine, round(requests), round(prompt_tokens))


class EngineLoads:
    """This node's current loads, and the loads last reported by each other node or by a collector."""

    def __init__(self, settings: UsageSettings) -> None:
        self._settings = settings
        self._own: dict[str, Load] = {}
        self._reported: dict[str, tuple[Load, float]] = {}
        self._changed: dict[str, None] = {}
        self._received: dict[NodeId, dict[str, tuple[Load, float]]] = {}

    def set_own(self, engine: str, requests: float, prompt_tokens: float) -> None:
        """Set this node's current load at an engine."""
        load = (requests, prompt_tokens)
        if self._own.get(engine, IDLE) == load:
            return
        self._own[engine] = load
        self._changed[engine] = None

    def has_pending(self) -> bool:
        """Return whether any load remains to be reported, now or at its next refresh."""
        return bool(self._changed or self._reported)

    def take_due(self, now: float) -> tuple[EngineLoad, ...]:
        """Return the loads due now and mark them as reported.

        An idle engine is reported twice, in case one report is lost.
        """
        refresh_before = now - self._settings.engine_refresh_s
        due = dict(self._changed)
        due.update((engine, None) for engine, (_, at) in self._reported.items() if at <= refresh_before)
        self._changed.clear()
        for engine in due:
            load = self._own.get(engine, IDLE)
            last = self._reported.get(engine)
            if load == IDLE and last is not None and last[0] == IDLE:
                del self._reported[engine]
                self._own.pop(engine, None)
            else:
                self._reported[engine] = (load, now)
        return tuple(rounded(engine, self._own.get(engine, IDLE)) for engine in due)

    def apply_report(self, source: NodeId, loads: Iterable[EngineLoad], now: float) -> None:
        """Store the loads reported by another node."""
        known = self._received.setdefault(source, {})
        for load in loads:
            known[load.engine] = ((load.requests, load.prompt_tokens), now)

    def apply_totals(self, collector: NodeId, sums: Iterable[EngineLoad], now: float) -> None:
        """Store a collector's sums, less this node's reported loads, in place of all earlier loads."""
        self.retain((collector,))
        others: list[EngineLoad] = []
        for load in sums:
            reported = self._reported.get(load.engine)
            requests, prompt_tokens = IDLE if reported is None else reported[0]
            rest = max(0.0, load.requests - requests), max(0.0, load.prompt_tokens - prompt_tokens)
            others.append(EngineLoad(load.engine, *rest))
        self.apply_report(collector, others, now)

    def retain(self, sources: Iterable[NodeId]) -> None:
        """Drop the loads of all nodes except ``sources``."""
        retained = set(sources)
        for source in [source for source in self._received if source not in retained]:
            del self._received[source]

    def own(self) -> Mapping[str, Load]:
        """Return this node's current loads."""
        return self._own

    def others(self, now: float) -> dict[str, Load]:
        """Return the sums of the other nodes' loads by engine, without the expired ones."""
        oldest = now - self._settings.engine_expiry_s
        sums: dict[str, Load] = {}
        for known in self._received.values():
            for engine, (load, at) in list(known.items()):
                if at < oldest or load == IDLE:
                    del known[engine]
                    continue
                requests, prompt_tokens = sums.get(engine, IDLE)
                sums[engine] = (requests + load[0], prompt_tokens + load[1])
        return sums
