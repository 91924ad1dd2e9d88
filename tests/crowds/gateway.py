"""A configured gateway process with its engine, and the ordinary caller whose requests must be served."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from springmux.lab.soak.http_connection import request_once
from tests.crowds.engine import HELD_PATH, LARGE_PATH, ORDINARY_PATH, SERVICE, HoldingEngine
from tests.crowds.processes import (
    HOST,
    RESERVED_DESCRIPTORS,
    SystemProcess,
    gateway_process,
    send_until_accepted,
)

SITE = "crowd.example"
HEAD_BYTES = 16_384
BODY_BYTES = 4 << 20
"""Limits of the configuration, as in the users' deployments."""
CLIENT_TIMEOUT_MS = 60_000
"""Longer than a test takes, so that no verdict depends on when the process gives a slow client up."""
ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 10.0
"""An ordinary caller retries on a new connection, as the users' clients do."""


class Gateway:
    """A gateway process and the engine behind it."""

    def __init__(self, system: SystemProcess, engine: HoldingEngine) -> None:
        self.system = system
        self.ports = system.ports
        self._engine = engine
        self._requests = 0

    async def check_ordinary_caller(self, body_bytes: int = 100) -> None:
        """Assert that the process keeps its limits and that an ordinary request is served."""
        served = await self._served(body_bytes)
        self.system.check_limits()
        assert served, f"an ordinary request was not served; {self.system.log()[-2000:]}"
        assert self._engine.received_bytes[-1] == body_bytes

    async def first_bytes(self, request: bytes) -> bytes:
        """Send bytes over a new connection to the front listener, and return the first that come back."""
        reader, writer = await asyncio.open_connection(HOST, self.ports.front)
        try:
            writer.write(request)
            async with asyncio.timeout(CLIENT_TIMEOUT_MS / 1000):
                return await reader.read(1000)
        finally:
            writer.transport.abort()

    async def grow_configuration(self, document_bytes: int) -> None:
        """Add services until the document has ``document_bytes``, and check that it is taken."""
        names = [f"service-{number}-{'x' * 180}" for number in range(document_bytes // 200)]
        change = {"version": 2, "upsert": {"services": [{"name": name} for name in names]}}
        target = "/v1/gateway/configuration"
        body = json.dumps(change).encode()
        await send_until_accepted(self.ports.control, "PATCH", target, body, {"if-match": "1"})
        response = await send_until_accepted(self.ports.control, "GET", target, b"")
        assert len(response.body) >= document_bytes

    def check_descriptors(self, max_descriptors: int) -> None:
        """Assert that the process leaves the descriptors that its machine reserves."""
        assert self.system.open_descriptors <= max_descriptors - RESERVED_DESCRIPTORS

    async def _served(self, body_bytes: int) -> bool:
        for _ in range(ATTEMPTS):
            self._requests += 1
            headers = {"host": SITE, "x-request-id": f"ordinary-{self._requests}"}
            path = ORDINARY_PATH.decode()
            response = await request_once(
                HOST, self.ports.front, "POST", path, headers, b"x" * body_bytes, ATTEMPT_TIMEOUT_S
            )
            if response is not None and response.status == 200:
                return True
        return False


@asynccontextmanager
async def running_gateway(folder: Path, max_descriptors: int | None = None) -> AsyncIterator[Gateway]:
    """Run a gateway that has served an ordinary request and one at the limits."""
    engine = HoldingEngine()
    await engine.start()
    try:
        async with gateway_process(folder, max_descriptors) as system:
            await send_until_accepted(
                system.ports.control, "PUT", "/v1/gateway/configuration", _configuration(), {"if-match": "0"}
            )
            await engine.register(system)
            gateway = Gateway(system, engine)
            await gateway.check_ordinary_caller()
            yield gateway
    finally:
        engine.end()


def request_head(path: bytes, method: bytes = b"POST", lines: bytes = b"") -> bytes:
    """Return a request's head up to its empty line, which is missing."""
    return b"%b %b HTTP/1.1\r\nhost: %b\r\n%b" % (method, path, SITE.encode(), lines)


def _configuration() -> bytes:
    paths = (HELD_PATH, LARGE_PATH, ORDINARY_PATH)
    routes = [
        {
            "name": path.decode().strip("/"),
            "host": SITE,
            "path_prefix": path.decode(),
            "kind": "unsafe",
            "service": SERVICE,
            "timeout_ms": CLIENT_TIMEOUT_MS,
        }
        for path in paths
    ]
    limits = {
        "max_header_bytes": HEAD_BYTES,
        "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": CLIENT_TIMEOUT_MS,
        "idle_timeout_ms": CLIENT_TIMEOUT_MS,
    }
    services = [{"name": SERVICE, "max_connections": 4000}]
    document = {"version": 1, "routes": routes, "services": services, "limits": limits}
    return json.dumps(document).encode()
