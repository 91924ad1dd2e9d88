"""Stand-in engines of a soak: they respond with their service's name and count each request's executions."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from springmux.lab.soak.configurations import SERVICES
from springmux.lab.soak.http_connection import read_message, request_once

ENGINES_PER_SERVICE = 2
SLOTS = 64
REPORT_PERIOD_S = 1.0
REPORT_TIMEOUT_S = 1.0
LONGEST_WORK_S = 1.2
SHORT_WORK_S = 0.004
LONG_WORK_SHARE = 0.04
"""Share of long requests, so that a stop finds some in flight."""
OK = "HTTP/1.1 200 OK\r\ncontent-length: {size}\r\nx-answer-seal: {seal}\r\nx-request-id: {request}\r\n\r\n"


class ControlEndpoint(msgspec.Struct, frozen=True):
    """Address of a node's control listener, for reports and configuration."""

    host: str
    port: int


class StandInEngine:
    """One engine of a service, on a loopback port."""

    def __init__(self, service: str, number: int, source: random.Random) -> None:
        self.name = f"{service}-{number}"
        self._service = service
        self._random = source
        self._server: asyncio.Server | None = None
        self._address = ""
        self._sequence = 0
        self.runs: dict[str, int] = {}
        """Number of executions by request id."""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def report(self, endpoints: list[ControlEndpoint]) -> None:
        """Report to one node after another, in random order, until one accepts."""
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
        for endpoint in self._random.sample(endpoints, len(endpoints)):
            response = await request_once(
                endpoint.host, endpoint.port, "PUT", target, {}, body, REPORT_TIMEOUT_S
            )
            if response is not None and response.status == 200:
                return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self._serve_one(reader, writer)

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_line, headers, _ = await read_message(reader)
        request_id = headers.get("x-request-id", "")
        if not request_line.startswith("GET /health"):
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            await asyncio.sleep(self._work_s())
        body = self._service.encode()
        writer.write(OK.format(size=len(body), seal=self.name, request=request_id).encode() + body)
        await writer.drain()

    def _work_s(self) -> float:
        return (
            self._random.uniform(0.3, LONGEST_WORK_S)
            if self._random.random() < LONG_WORK_SHARE
            else SHORT_WORK_S
        )


class SoakEngines:
    """All engines of a soak, and the task that reports them to the nodes."""

    def __init__(self, source: random.Random, endpoints: list[ControlEndpoint]) -> None:
        self._endpoints = endpoints
        self.engines = [
            StandInEngine(service, number, random.Random(source.getrandbits(64)))
            for service in SERVICES
            for number in range(ENGINES_PER_SERVICE)
        ]
        self._report_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start all engines and report them periodically from then on."""
        for engine in self.engines:
            await engine.start()
        self._report_task = asyncio.get_running_loop().create_task(self._report_forever())

    async def stop(self) -> None:
        """Stop the reports and all engines."""
        if self._report_task is not None:
            self._report_task.cancel()
            await asyncio.gather(self._report_task, return_exceptions=True)
        for engine in self.engines:
            engine.stop()

    def runs(self, request_id: str) -> int:
        """Return how many times the engines together ran a request."""
        return sum(engine.runs.get(request_id, 0) for engine in self.engines)

    async def _report_forever(self) -> None:
        while True:
            await asyncio.gather(*(engine.report(self._endpoints) for engine in self.engines))
            await asyncio.sleep(REPORT_PERIOD_S)
