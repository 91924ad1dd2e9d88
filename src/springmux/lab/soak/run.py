"""One run of the soak: start a fleet, let everything happen at once, look at what is left, stop the fleet."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path

import msgspec

from springmux.lab.soak.callers import SoakCaller
from springmux.lab.soak.configurations import HOST
from springmux.lab.soak.engines import SoakEngines
from springmux.lab.soak.findings import Finding, Findings, Rule
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.judge import IN_FORCE_S, Judge
from springmux.lab.soak.nodes import CONTACT_S, FRONT_PORT, SoakNodes
from springmux.lab.soak.operators import SoakOperators, newest_shown
from springmux.lab.soak.plan import SoakSize, make_plan
from springmux.lab.soak.wire import ask_once

FIRST_CONFIGURATION_S = 60.0
"""As long as many processes on a busy machine take to start and found their group."""
READ_BACK_S = 10.0
LOOK_S = 0.2
PROBE = "probe"
"""Id of the run's own requests, which may run often."""


class SoakReport(msgspec.Struct, frozen=True):
    """What a run found."""

    seed: int
    findings: tuple[Finding, ...]
    counts: dict[str, int]


class SoakRun:
    """Everything of one run. Its processes end with it, also when it fails."""

    def __init__(self, seed: int, size: SoakSize, folder: Path) -> None:
        source = random.Random(f"soak run {seed}")
        self._seed = seed
        self._size = size
        self._findings = Findings()
        self._history = ConfigurationHistory()
        self._nodes = SoakNodes(size, folder, self._findings, random.Random(source.getrandbits(64)))
        places = self._nodes.control_places()
        self._engines = SoakEngines(random.Random(source.getrandbits(64)), places)
        self._operators = SoakOperators(
            places, self._history, self._findings, random.Random(source.getrandbits(64)), size.change_period_s
        )
        self._judge = Judge(self._history, self._nodes, self._findings)
        self._callers = [
            SoakCaller(
                f"{node.name}-{number}",
                node,
                self._history,
                self._judge,
                self._engines,
                random.Random(source.getrandbits(64)),
            )
            for node in self._nodes.nodes
            for number in range(size.connections)
        ]

    async def run(self) -> SoakReport:
        """Run and return what was found."""
        self._nodes.start_all()
        await self._engines.start()
        try:
            await self._play()
        finally:
            self._nodes.kill_all()
            await self._engines.stop()
        counts = dict(sorted(self._findings.counts.items()))
        return SoakReport(self._seed, tuple(self._findings.found), counts)

    async def _play(self) -> None:
        if not await self._begun():
            self._findings.add(Rule.ACKNOWLEDGED, "the first configuration was not taken")
            return
        loop = asyncio.get_running_loop()
        callers = [loop.create_task(caller.run()) for caller in self._callers]
        changes = loop.create_task(self._operators.run())
        await self._disturb()
        self._operators.enough.set()
        await changes
        await asyncio.sleep(IN_FORCE_S + CONTACT_S)
        await self._read_back()
        await _end_callers(callers)
        await self._nodes.end()
        self._check_runs()

    async def _begun(self) -> bool:
        """Give the first configuration, and wait until every node serves by it."""
        if not await self._operators.begin():
            return False
        until = time.monotonic() + FIRST_CONFIGURATION_S
        while time.monotonic() < until:
            statuses = await asyncio.gather(*(self._probe(node.host) for node in self._nodes.nodes))
            if set(statuses) == {200}:
                return True
            await asyncio.sleep(LOOK_S)
        return False

    async def _disturb(self) -> None:
        began_at = time.monotonic()
        running: set[asyncio.Task[None]] = set()
        for step in make_plan(self._seed, self._size):
            await asyncio.sleep(max(0.0, began_at + step.at_s - time.monotonic()))
            task = asyncio.get_running_loop().create_task(self._nodes.carry_out(step))
            running.add(task)
            task.add_done_callback(running.discard)
            self._findings.count(f"step {step.kind.value}")
        await asyncio.sleep(max(0.0, began_at + self._size.seconds - time.monotonic()))
        await asyncio.gather(*running)

    async def _read_back(self) -> None:
        """Every node must serve by the newest acknowledged version and show it."""
        newest = self._history.newest_acknowledged(time.monotonic())
        for node, place in zip(self._nodes.nodes, self._nodes.control_places(), strict=True):
            until = time.monotonic() + READ_BACK_S
            shown = await newest_shown(place)
            while (shown is None or shown.status != 200) and time.monotonic() < until:
                await asyncio.sleep(LOOK_S)
                shown = await newest_shown(place)
            number = json.loads(shown.body)["version"] if shown is not None and shown.status == 200 else None
            served = await self._probe(node.host)
            if number != newest or served != 200:
                what = f"{node.name} shows version {number} and answers {served}; {newest} was acknowledged"
                self._findings.add(Rule.ACKNOWLEDGED, what)

    async def _probe(self, host: str) -> int:
        """Ask a node on the newest acknowledged route; return the status, 0 without an answer."""
        newest = self._history.newest(time.monotonic())
        assert newest is not None
        headers = {"host": HOST, "x-api-key": newest.keys[-1], "x-request-id": PROBE}
        path = newest.numbered_path()
        answer = await ask_once(host, FRONT_PORT, "POST", path, headers, b"", READ_BACK_S)
        return answer.status if answer is not None else 0

    def _check_runs(self) -> None:
        for request in self._judge.refused:
            if self._engines.runs(request):
                self._findings.add(Rule.ONCE, f"{request} was refused, and run")
        for engine in self._engines.engines:
            for request, runs in engine.runs.items():
                if request != PROBE and self._engines.runs(request) > 1:
                    self._findings.add(Rule.ONCE, f"{request} was run {runs} times at {engine.name}")


async def _end_callers(callers: list[asyncio.Task[None]]) -> None:
    """Cancel the callers; one that had ended by a fault of its own raises it."""
    for caller in callers:
        caller.cancel()
    for ended in await asyncio.gather(*callers, return_exceptions=True):
        if not isinstance(ended, asyncio.CancelledError) and isinstance(ended, BaseException):
            raise ended


async def soak(seed: int, size: SoakSize, folder: Path) -> SoakReport:
    """Run the soak of one seed; settings, data and logs are in ``folder``, which exists."""
    return await SoakRun(seed, size, folder).run()
