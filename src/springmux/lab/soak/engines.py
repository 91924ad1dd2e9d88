"""Stand-in engines of a soak: they answer with their service's name and remember every run."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from springmux.lab.soak.configurations import SERVICES
from springmux.lab.soak.wire import ask_once, read_message

ENGINES_EACH = 2
SLOTS = 64
REPORT_PERIOD_S = 1.0
REPORT_TIMEOUT_S = 1.0
MOST_WORK_S = 1.2
SHORT_WORK_S = 0.004
LONG_SHARE = 0.04
"""Requests that take long, so that a stop meets some that run."""
OK = "HTTP/1.1 200 OK\r\ncontent-length: {size}\r\nx-answer-seal: {seal}\r\nx-request-id: {request}\r\n\r\n"


class ControlPlace(msgspec.Struct, frozen=True):
    """Where a node takes engines' reports."""

    host: str
    port: int


class StandInEngine:
    """One engine of a service."""

    def __init__(self, service: str, number: int, source: random.Random) -> None:
        self.name = f"{service}-{number}"
        self._service = service
        self._random = source
        self._server: asyncio.Server | None = None
        self._address = ""
        self._sequence = 0
        self.runs: dict[str, int] = {}
        """How often each request id was run."""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"

    def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    async def report(self, places: list[ControlPlace]) -> None:
        """Tell one node after another until one takes it."""
        self._sequence += 1
        body = msgspec.json.encode(
            {
                "service": self._service,
                "address": self._address,
                "version": "v1",
                "zone": "zone-1",
                "slots": SLOTS,
                "state": "ready",
                "sequence": self._sequence,
            }
        )
        target = f"/v1/gateway/engines/{self.name}"
        for place in self._random.sample(places, len(places)):
            answer = await ask_once(place.host, place.port, "PUT", target, {}, body, REPORT_TIMEOUT_S)
            if answer is not None and answer.status == 200:
                return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self._serve_one(reader, writer)

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, headers, _ = await read_message(reader)
        request = headers.get("x-request-id", "")
        if not first.startswith("GET /health"):
            self.runs[request] = self.runs.get(request, 0) + 1
            await asyncio.sleep(self._work_s())
        body = self._service.encode()
        writer.write(OK.format(size=len(body), seal=self.name, request=request).encode() + body)
        await writer.drain()

    def _work_s(self) -> float:
        return self._random.uniform(0.3, MOST_WORK_S) if self._random.random() < LONG_SHARE else SHORT_WORK_S


class SoakEngines:
    """All engines and their reports."""

    def __init__(self, source: random.Random, places: list[ControlPlace]) -> None:
        self._places = places
        self.engines = [
            StandInEngine(service, number, random.Random(source.getrandbits(64)))
            for service in SERVICES
            for number in range(ENGINES_EACH)
        ]
        self._reporting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start all and report them from now on."""
        for engine in self.engines:
            await engine.start()
        self._reporting = asyncio.get_running_loop().create_task(self._report())

    async def stop(self) -> None:
        """Stop all."""
        if self._reporting is not None:
            self._reporting.cancel()
            await asyncio.gather(self._reporting, return_exceptions=True)
        for engine in self.engines:
            engine.stop()

    def runs(self, request: str) -> int:
        """Return how often engines ran a request."""
        return sum(engine.runs.get(request, 0) for engine in self.engines)

    async def _report(self) -> None:
        while True:
            await asyncio.gather(*(engine.report(self._places) for engine in self.engines))
            await asyncio.sleep(REPORT_PERIOD_S)
