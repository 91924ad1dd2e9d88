"""One run of the soak: start a fleet, execute the plan under load, check the final state, stop the fleet."""

from __future__ import annotations

import asyncio
import json
import random
import time
from http import HTTPStatus
from pathlib import Path

import msgspec

from springmux.lab.soak.clients import SoakClient
from springmux.lab.soak.configurations import HOST, PROBE_REQUEST_ID
from springmux.lab.soak.consistency_checker import IN_FORCE_S, ConsistencyChecker
from springmux.lab.soak.engine_pool import SoakEngines
from springmux.lab.soak.findings import Finding, Findings, Rule
from springmux.lab.soak.fleet import DISTURBANCE_EFFECT_S, FRONT_PORT, SoakFleet
from springmux.lab.soak.history import ConfigurationHistory
from springmux.lab.soak.http_connection import request_once
from springmux.lab.soak.misbehaving_clients import MisbehavingClient
from springmux.lab.soak.operators import SoakOperators, read_configuration
from springmux.lab.soak.plan import SoakSize, Step, make_first_steps, make_plan

FIRST_CONFIGURATION_S = 60.0
"""Time for many processes on a busy machine to start and for the controllers to form their group."""
FINAL_CHECK_TIMEOUT_S = 10.0
POLL_S = 0.2


class SoakReport(msgspec.Struct, frozen=True):
    """Findings and counts of one run."""

    seed: int
    findings: tuple[Finding, ...]
    counts: dict[str, int]


class SoakRun:
    """One run of the soak. All its processes are ended at the end of the run, also when the run fails."""

    def __init__(self, seed: int, size: SoakSize, folder: Path) -> None:
        source = random.Random(f"soak run {seed}")
        self._seed = seed
        self._size = size
        self._findings = Findings()
        self._history = ConfigurationHistory()
        self._fleet = SoakFleet(size, folder, self._findings, random.Random(source.getrandbits(64)))
        endpoints = self._fleet.control_endpoints()
        self._checker = ConsistencyChecker(self._history, self._fleet, self._findings)
        self._engines = SoakEngines(
            random.Random(source.getrandbits(64)),
            endpoints,
            lambda engine, request_id: self._checker.check_run(engine, request_id, time.monotonic()),
            self._findings.count,
        )
        self._operators = SoakOperators(
            endpoints,
            self._history,
            self._findings,
            random.Random(source.getrandbits(64)),
            size.change_period_s,
        )
        self._clients = [
            SoakClient(
                f"{node.name}-{number}",
                node,
                self._history,
                self._checker,
                self._engines,
                random.Random(source.getrandbits(64)),
            )
            for node in self._fleet.nodes
            for number in range(size.connections)
        ]
        # Drawn apart, so that the other events of a seed don't depend on these clients.
        drawn_apart = random.Random(f"misbehaving clients {seed}")
        self._misbehaving = [
            MisbehavingClient(
                self._fleet.nodes,
                self._newest_key,
                random.Random(drawn_apart.getrandbits(64)),
                self._findings.count,
            )
            for _ in range(size.misbehaving)
        ]

    async def run(self) -> SoakReport:
        """Run the soak and return its report."""
        self._fleet.start_all()
        await self._engines.start()
        try:
            await self._run_phases()
        finally:
            self._fleet.kill_all()
            await self._engines.stop()
        counts = dict(sorted(self._findings.counts.items()))
        return SoakReport(self._seed, tuple(self._findings.found), counts)

    async def _run_phases(self) -> None:
        first_steps = asyncio.create_task(self._execute(make_first_steps(self._seed, self._size)))
        serving = await self._start_serving()
        await first_steps
        if not serving:
            self._findings.add(Rule.ACKNOWLEDGED, "the first configuration was not taken")
            return
        loop = asyncio.get_running_loop()
        clients = [loop.create_task(client.run()) for client in self._clients]
        clients += [loop.create_task(client.run()) for client in self._misbehaving]
        changes = loop.create_task(self._operators.run())
        self._engines.begin_replacements()
        await self._execute_plan()
        self._operators.stop_requested.set()
        await changes
        await self._engines.end_replacements()
        await asyncio.sleep(IN_FORCE_S + DISTURBANCE_EFFECT_S)
        await self._check_final_configurations()
        await _stop_clients(clients)
        await self._fleet.stop_all()
        self._check_executions()

    async def _start_serving(self) -> bool:
        """Submit the first configuration; return whether every node applies it in time."""
        if not await self._operators.begin():
            return False
        until = time.monotonic() + FIRST_CONFIGURATION_S
        while time.monotonic() < until:
            statuses = await asyncio.gather(*(self._probe(node.host) for node in self._fleet.nodes))
            if set(statuses) == {HTTPStatus.OK}:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _execute_plan(self) -> None:
        began_at = time.monotonic()
        await self._execute(make_plan(self._seed, self._size))
        await asyncio.sleep(max(0.0, began_at + self._size.seconds - time.monotonic()))

    async def _execute(self, steps: tuple[Step, ...]) -> None:
        """Execute steps at their times from now on; return when all have ended."""
        began_at = time.monotonic()
        running: set[asyncio.Task[None]] = set()
        for step in steps:
            await asyncio.sleep(max(0.0, began_at + step.at_s - time.monotonic()))
            task = asyncio.get_running_loop().create_task(self._fleet.execute(step))
            running.add(task)
            task.add_done_callback(running.discard)
            self._findings.count(f"step {step.kind.value}")
        await asyncio.gather(*running)

    async def _check_final_configurations(self) -> None:
        """Check that every node applies and reports the newest acknowledged version."""
        newest = self._history.newest_acknowledged_number(time.monotonic())
        for node, endpoint in zip(self._fleet.nodes, self._fleet.control_endpoints(), strict=True):
            until = time.monotonic() + FINAL_CHECK_TIMEOUT_S
            response = await read_configuration(endpoint)
            while (response is None or response.status != HTTPStatus.OK) and time.monotonic() < until:
                await asyncio.sleep(POLL_S)
                response = await read_configuration(endpoint)
            number = None
            if response is not None and response.status == HTTPStatus.OK:
                number = json.loads(response.body)["version"]
            served = await self._probe(node.host)
            if number != newest or served != HTTPStatus.OK:
                what = f"{node.name} shows version {number} and answers {served}; {newest} was acknowledged"
                self._findings.add(Rule.ACKNOWLEDGED, what)

    async def _probe(self, host: str) -> int:
        """Request the newest acknowledged route of a node; return the status, 0 without a response."""
        newest = self._history.newest_acknowledged(time.monotonic())
        assert newest is not None
        headers = {"host": HOST, "x-api-key": self._newest_key(), "x-request-id": PROBE_REQUEST_ID}
        path = newest.numbered_path()
        response = await request_once(host, FRONT_PORT, "POST", path, headers, b"", FINAL_CHECK_TIMEOUT_S)
        return response.status if response is not None else 0

    def _newest_key(self) -> str:
        newest = self._history.newest_acknowledged(time.monotonic())
        assert newest is not None
        return newest.keys[-1]

    def _check_executions(self) -> None:
        for request_id in self._checker.refused:
            if self._engines.runs(request_id):
                self._findings.add(Rule.ONCE, f"{request_id} was refused, and run")
        for engine in self._engines.engines:
            for request_id, runs in engine.runs.items():
                if request_id != PROBE_REQUEST_ID and self._engines.runs(request_id) > 1:
                    self._findings.add(Rule.ONCE, f"{request_id} was run {runs} times at {engine.name}")


async def _stop_clients(clients: list[asyncio.Task[None]]) -> None:
    """Cancel the clients; raise the exception of a client that had failed."""
    for client in clients:
        client.cancel()
    for ended in await asyncio.gather(*clients, return_exceptions=True):
        if not isinstance(ended, asyncio.CancelledError) and isinstance(ended, BaseException):
            raise ended


async def soak(seed: int, size: SoakSize, folder: Path) -> SoakReport:
    """Run the soak of one seed; settings, data and logs go to ``folder``, which must exist."""
    return await SoakRun(seed, size, folder).run()
