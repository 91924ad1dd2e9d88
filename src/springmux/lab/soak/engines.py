"""Stand-in engine of a soak: it responds with its service's name and counts each request's executions."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

import msgspec

from springmux.lab.soak.http_connection import read_message, request_once

SLOTS = 64
DRAIN_S = 2.0
"""Time after the acknowledgement of an engine's stop in which requests may still reach the engine."""
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
    """One engine of a service, from its start to its end, on a loopback port.

    :param on_run: called with the engine and the id of each request that begins to run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        endpoints: list[ControlEndpoint],
        source: random.Random,
        on_run: Callable[[StandInEngine, str], None],
    ) -> None:
        self.name = name
        self.draining = False
        self.reports = True
        """Whether the engine sends heartbeats now; late heartbeats are sent once this is true again."""
        self.ended = False
        self.stop_acknowledged_at: float | None = None
        """When a node first acknowledged that the engine drains or has left, in monotonic seconds."""
        self.runs: dict[str, int] = {}
        """Number of executions by request id."""
        self._service = service
        self._endpoints = endpoints
        self._random = source
        self._on_run = on_run
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._address = ""
        self._sequence = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"

    def end(self) -> None:
        """Stop listening and reset every open connection, as when the process ends or crashes."""
        self.ended = True
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._connections):
            writer.transport.abort()

    async def report(self) -> bool:
        """Send a heartbeat; return whether a node acknowledged it."""
        self._sequence += 1
        draining = self.draining
        body = msgspec.json.encode(
            {
                "service": self._service,
                "address": self._address,
                "version": "v1",
                "zone": "zone-1",
                "slots": SLOTS,
                "state": "draining" if draining else "ready",
                "sequence": self._sequence,
            }
        )
        acknowledged = await self._send("PUT", body)
        if acknowledged and draining:
            self._record_stop_acknowledged()
        return acknowledged

    async def leave(self) -> bool:
        """Send a DELETE; return whether a node acknowledged it."""
        acknowledged = await self._send("DELETE", b"")
        if acknowledged:
            self._record_stop_acknowledged()
        return acknowledged

    def _record_stop_acknowledged(self) -> None:
        if self.stop_acknowledged_at is None:
            self.stop_acknowledged_at = time.monotonic()

    async def _send(self, method: str, body: bytes) -> bool:
        """Send a report to one node after another, in random order, until one acknowledges it."""
        target = f"/v1/gateway/engines/{self.name}"
        for endpoint in self._random.sample(self._endpoints, len(self._endpoints)):
            response = await request_once(
                endpoint.host, endpoint.port, method, target, {}, body, REPORT_TIMEOUT_S
            )
            if response is not None and response.status == 200:
                return True
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await self._serve_one(reader, writer)
        finally:
            self._connections.discard(writer)

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_line, headers, _ = await read_message(reader)
        request_id = headers.get("x-request-id", "")
        if not request_line.startswith("GET /health"):
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self._on_run(self, request_id)
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
