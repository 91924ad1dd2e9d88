"""Engines of a soak, replaced all the time, with drains, late heartbeats and crashes that overlap."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any

from springmux.lab.soak.configurations import SERVICES
from springmux.lab.soak.engines import DRAIN_S, ControlEndpoint, StandInEngine

ENGINES_PER_SERVICE = 2
REPORT_PERIOD_S = 1.0
REPLACEMENT_PAUSE_S = (1.0, 4.0)
"""Range of the time between the end of an engine's replacement and the next one of its service."""
LINGER_S = (1.0, 6.0)
"""Range of the time for which a stopping engine serves on after requests may no longer reach it."""
SILENCE_S = (3.5, 6.0)
"""Range of the time by which a stopping engine's heartbeats are late, long enough for it to be lost."""
SILENT_SHARE = 0.7
LEAVE_FIRST_SHARE = 0.4
"""Share of stopping engines that send a DELETE without a drain."""
CRASH_SHARE = 0.6
"""Share of stops during which the service's other engine crashes."""
CRASH_AFTER_S = (2.5, 5.0)
"""Range of the time from the acknowledgement of a stop to the crash of the other engine."""
DOWN_S = (0.2, 1.2)
"""Range of the time from a crash to the start of the next engine."""
ACKNOWLEDGED_WITHIN_S = 6.0
"""Time after which an engine stops without an acknowledgement."""
RETRY_S = 0.1


class SoakEngines:
    """All engines of a soak, and the tasks that report and replace them."""

    def __init__(
        self,
        source: random.Random,
        endpoints: list[ControlEndpoint],
        on_run: Callable[[StandInEngine, str], None],
        count: Callable[[str], None],
    ) -> None:
        """:param count: counts an event of the soak."""
        self._random = source
        self._endpoints = endpoints
        self._on_run = on_run
        self._count = count
        self._numbers = itertools.count()
        self._current: dict[str, list[StandInEngine]] = {service: [] for service in SERVICES}
        self._tasks: set[asyncio.Task[None]] = set()
        self._replacements: list[asyncio.Task[None]] = []
        self._last_replacement = asyncio.Event()
        self.engines: list[StandInEngine] = []
        """All engines, those that ended included."""

    async def start(self) -> None:
        """Start the first engines, and report them periodically from then on."""
        for service in SERVICES:
            for _ in range(ENGINES_PER_SERVICE):
                await self._add(service)

    def begin_replacements(self) -> None:
        """Replace engines from now on."""
        self._replacements = [self._start_task(self._replace_engines(service)) for service in SERVICES]

    async def end_replacements(self) -> None:
        """Finish the replacements under way and begin no others; every service then has all its engines."""
        self._last_replacement.set()
        await asyncio.gather(*self._replacements)
        await asyncio.sleep(REPORT_PERIOD_S)

    async def stop(self) -> None:
        """Stop the reports and all engines."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for engine in self.engines:
            engine.end()

    def runs(self, request_id: str) -> int:
        """Return how many times the engines together ran a request."""
        return sum(engine.runs.get(request_id, 0) for engine in self.engines)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        return task

    async def _add(self, service: str) -> None:
        name = f"{service}-{next(self._numbers)}"
        source = random.Random(self._random.getrandbits(64))
        engine = StandInEngine(name, service, self._endpoints, source, self._on_run)
        await engine.start()
        self.engines.append(engine)
        self._current[service].append(engine)
        self._start_task(self._report_forever(engine))

    async def _report_forever(self, engine: StandInEngine) -> None:
        while not engine.ended:
            if engine.reports:
                await engine.report()
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _replace_engines(self, service: str) -> None:
        while not self._last_replacement.is_set():
            await asyncio.sleep(self._random.uniform(*REPLACEMENT_PAUSE_S))
            engine = self._current[service].pop(0)
            replaced_first = self._random.random() < 0.5
            if replaced_first:
                await self._add(service)
            await self._stop_engine(engine, service)
            if not replaced_first:
                await self._add(service)

    async def _stop_engine(self, engine: StandInEngine, service: str) -> None:
        """Let an engine drain or leave, serve on, and end; meanwhile the other one may crash."""
        leaves_first = self._random.random() < LEAVE_FIRST_SHARE
        engine.draining = not leaves_first
        engine.reports = not leaves_first
        acknowledged = await self._until_acknowledged(engine.leave if leaves_first else engine.report)
        self._count("engine left" if leaves_first else "engine drained")
        if not acknowledged:
            self._count("engine stopped without an acknowledgement")
        crash = self._start_task(self._crash_other(service)) if self._random.random() < CRASH_SHARE else None
        serves_s = DRAIN_S + self._random.uniform(*LINGER_S)
        if not leaves_first and self._random.random() < SILENT_SHARE:
            self._start_task(self._silence(engine))
        await asyncio.sleep(serves_s)
        if not leaves_first:
            await self._until_acknowledged(engine.leave)
        engine.end()
        if crash is not None:
            await crash

    async def _until_acknowledged(self, report: Callable[[], Coroutine[Any, Any, bool]]) -> bool:
        loop = asyncio.get_running_loop()
        until = loop.time() + ACKNOWLEDGED_WITHIN_S
        while not await report():
            if loop.time() >= until:
                return False
            await asyncio.sleep(RETRY_S)
        return True

    async def _silence(self, engine: StandInEngine) -> None:
        self._count("engine's heartbeats late")
        engine.reports = False
        await asyncio.sleep(self._random.uniform(*SILENCE_S))
        engine.reports = True

    async def _crash_other(self, service: str) -> None:
        """Crash all engines of a service but the one that stops, and start new ones a moment later."""
        await asyncio.sleep(self._random.uniform(*CRASH_AFTER_S))
        crashed, self._current[service] = self._current[service], []
        for engine in crashed:
            engine.end()
            self._count("engine crashed")
        await asyncio.sleep(self._random.uniform(*DOWN_S))
        for _ in crashed:
            await self._add(service)
