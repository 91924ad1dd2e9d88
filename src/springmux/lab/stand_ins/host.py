"""Many stand-in back ends in one process, with a control interface for faults.

``springmux lab backends --settings FILE`` runs it. The control listener (loopback) accepts
``POST /control`` with one :class:`BackEndCommand` and serves ``GET /back-ends``. Every arrival, execution
and ending goes to a file (:mod:`springmux.lab.records`).
"""

from __future__ import annotations

import asyncio
import enum
import signal
import time
from pathlib import Path

import msgspec
from aiohttp import web

from springmux.lab.plan import BackEndPlan
from springmux.lab.records import LineWriter
from springmux.lab.stand_ins.announcer import EngineIdentity
from springmux.lab.stand_ins.call_service import CallService
from springmux.lab.stand_ins.model_engine import ModelEngine
from springmux.simulation.engine_model import VersionBehaviour


class HostedBackEnd(msgspec.Struct, frozen=True, kw_only=True):
    """One back end to run. ``plan.count`` is ignored."""

    engine: str
    address: str
    plan: BackEndPlan
    behaviour: VersionBehaviour = VersionBehaviour()


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one host process."""

    control_address: str
    admin_addresses: list[str]
    back_ends: list[HostedBackEnd]
    record_file: str
    seed: int = 1


class BackEndHostAddress(msgspec.Struct, frozen=True):
    """Control address and record file of one host process."""

    kind: str
    control_address: str
    record_file: str


class BackEndAction(enum.StrEnum):
    """An action on one back end."""

    CRASH = "crash"
    START = "start"
    HANG = "dark"
    RESUME = "light"
    DRAIN = "drain"
    LEAVE = "leave"
    SET_BEHAVIOUR = "behave"


class BackEndCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Apply ``action`` to ``engine``.

    ``back_end`` is for START, ``behaviour`` for SET_BEHAVIOUR, ``grace_s`` for LEAVE.
    """

    action: BackEndAction
    engine: str
    back_end: HostedBackEnd | None = None
    behaviour: VersionBehaviour | None = None
    grace_s: float = 5.0


class BackEndState(msgspec.Struct, frozen=True, kw_only=True):
    """State of one running back end, as ``GET /back-ends`` returns it."""

    engine: str
    service: str
    version: str
    running: int
    served: int


class BackEndHost:
    """Runs back ends and executes commands on them."""

    def __init__(self, settings: HostSettings) -> None:
        self._settings = settings
        self._records = LineWriter(Path(settings.record_file))
        self._back_ends: dict[str, ModelEngine | CallService] = {}
        self._started = 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        for back_end in self._settings.back_ends:
            await self._start(back_end)
        runner = await self._listen()
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopped.set)
        await stopped.wait()
        for running in list(self._back_ends.values()):
            await running.crash()
        await runner.cleanup()
        self._records.close()

    async def _listen(self) -> web.AppRunner:
        application = web.Application()
        application.router.add_post("/control", self._handle_command)
        application.router.add_get("/back-ends", self._list_back_ends)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        host, port = self._settings.control_address.rsplit(":", 1)
        await web.TCPSite(runner, host, int(port), reuse_address=True).start()
        return runner

    async def _start(self, back_end: HostedBackEnd) -> None:
        self._started += 1
        seed = self._settings.seed * 1000 + self._started
        plan = back_end.plan
        identity = EngineIdentity(
            engine=back_end.engine,
            service=plan.service,
            version=plan.version,
            address=back_end.address,
            capacity=plan.spec.slots,
            incarnation=time.time_ns() // 1_000_000,
        )
        addresses = self._settings.admin_addresses
        record_event = self._records.write
        started: ModelEngine | CallService
        if plan.kind == "model":
            started = ModelEngine(
                identity, plan.spec, back_end.behaviour, addresses, record_event, seed, plan.lateness_s
            )
        else:
            started = CallService(identity, back_end.behaviour, addresses, record_event, seed, plan.work_s)
        self._back_ends[back_end.engine] = started
        await started.start()

    async def _handle_command(self, http_request: web.Request) -> web.Response:
        command = msgspec.json.decode(await http_request.read(), type=BackEndCommand)
        if command.action is BackEndAction.START:
            assert command.back_end is not None
            await self._start(command.back_end)
            return web.Response(status=204)
        target = self._back_ends.get(command.engine)
        if target is None:
            return web.Response(status=404, text=f"no back end named {command.engine}")
        await self._execute(command, target)
        return web.Response(status=204)

    async def _execute(self, command: BackEndCommand, target: ModelEngine | CallService) -> None:
        if command.action is BackEndAction.CRASH:
            del self._back_ends[command.engine]
            await target.crash()
        elif command.action is BackEndAction.LEAVE:
            del self._back_ends[command.engine]
            await target.leave(command.grace_s)
        elif command.action is BackEndAction.DRAIN:
            if not await target.drain():
                raise web.HTTPServiceUnavailable(text="no node accepted the drain report")
        elif command.action is BackEndAction.SET_BEHAVIOUR and command.behaviour is not None:
            target.set_behaviour(command.behaviour)
        else:
            target.set_unresponsive(command.action is BackEndAction.HANG)

    async def _list_back_ends(self, _http_request: web.Request) -> web.Response:
        states = [
            BackEndState(
                engine=name,
                service=target.identity.service,
                version=target.identity.version,
                running=target.running,
                served=target.served,
            )
            for name, target in sorted(self._back_ends.items())
        ]
        return web.Response(body=msgspec.json.encode(states), content_type="application/json")


def load_host_settings(path: Path) -> HostSettings:
    """Read a host's settings file (JSON).

    :raises OSError: if it can't be read.
    :raises msgspec.DecodeError: if its content is not valid.
    """
    return msgspec.json.decode(path.read_bytes(), type=HostSettings)
