"""Stand-ins of the users' side: an operator, a client, and engines that beat and serve."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import time
from collections.abc import Callable
from typing import Any

from kit2.fleet import Fleet, Node, Record

Address = tuple[str, int]


class Answer:
    """An answer; status 0 means that the connection ended without a whole one."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head; return its first line and its headers, in lower case."""
    block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = block.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks; raises IncompleteReadError if it isn't whole."""
    if headers.get("transfer-encoding", "") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(
    address: Address, method: str, path: str, body: bytes = b"", timeout_s: float = 10.0, **headers: str
) -> Answer:
    """Send one request on a connection of its own and return the answer."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            named = {"Host": "svc.example", "Content-Length": str(len(body)), "Connection": "close"} | headers
            lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in named.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            first, found = await read_head(reader)
            return Answer(int(first.split()[1]), found, await read_body(reader, found))
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, type(error).__name__.encode())
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders to the nodes that serve control, one after the other, as PROTOCOL.md says."""

    def __init__(self, fleet: Fleet, record: Record, nodes: list[Node] | None = None) -> None:
        self.fleet, self.record = fleet, record
        self.nodes = nodes or fleet.nodes
        self.version = 0

    async def order(
        self, method: str, path: str, body: Any, limit_s: float, **headers: str
    ) -> tuple[int, bytes]:
        """Send an order until it gets a clear answer; return 0 if none came within ``limit_s``."""
        data = json.dumps(body).encode() if body is not None else b""
        deadline, pause = time.monotonic() + limit_s, 0.05
        for node in itertools.cycle(random.sample(self.nodes, len(self.nodes))):
            if time.monotonic() >= deadline:
                return 0, b""
            left_s = max(0.05, min(1.0, deadline - time.monotonic()))
            answer = await call(node.control, method, path, data, left_s, **headers)
            if answer.status == 200 or answer.status in (400, 404, 409, 412, 413, 422):
                self.record.write(f"operator: {method} {path} at {node.name}: {answer.status}")
                return answer.status, answer.body
            self.record.write(f"operator: {method} {path} at {node.name}: no clear answer ({answer.status})")
            await asyncio.sleep(pause)
            pause = min(0.5, pause * 1.5)
        return 0, b""

    async def put(self, config: dict[str, Any], limit_s: float = 15.0) -> int:
        """Send a whole configuration on top of the present one."""
        status, _ = await self.order(
            "PUT", "/v1/gateway/configuration", config, limit_s, If_Match=str(self.version)
        )
        if status == 200:
            self.version = config["version"]
        return status

    async def read_back(self, limit_s: float) -> dict[str, Any] | None:
        """Ask for the newest configuration again and again; ``None`` if it doesn't come."""
        status, body = await self.order("GET", "/v1/gateway/configuration", None, limit_s)
        return json.loads(body) if status == 200 else None


def configuration(version: int, **more: Any) -> dict[str, Any]:
    """Return a small configuration: one unsafe route to one service."""
    route = {
        "name": "r-pay",
        "host": "svc.example",
        "path_prefix": "/pay/",
        "kind": "unsafe",
        "timeout_ms": 20000,
        "target_ms": 500,
        "priority": 0,
        "service": "pay",
        "max_attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    service = {
        "name": "pay",
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": version, "routes": [route], "services": [service], "limits": limits} | more


class Engine:
    """An engine that beats to one node after the other, and answers each request after some work."""

    def __init__(
        self,
        fleet: Fleet,
        record: Record,
        identity: str,
        address: Address,
        service: str = "pay",
        version: str = "v1",
        work_s: float = 0.02,
    ) -> None:
        self.fleet, self.record, self.identity, self.address = fleet, record, identity, address
        self.service, self.version, self.work_s = service, version, work_s
        self.state = "ready"
        self.home: Node | None = None
        self.log_runs = True
        self.runs: list[tuple[float, str]] = []
        self.bodies: dict[str, bytes] = {}
        self.sequence = 0
        self.acknowledged: list[tuple[float, str, str]] = []
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._open: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and begin to beat."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Stop at once, without a word."""
        self.end_beats()
        if self._server is not None:
            self._server.close()
        for task in self._open:
            task.cancel()

    def end_beats(self) -> None:
        """Send no more beats."""
        if self._beats is not None:
            self._beats.cancel()

    async def beat_once(self, nodes: list[Node] | None = None) -> bool:
        """Send one beat to the node that took the last one, or else to the first that acknowledges it."""
        order = nodes or random.sample(self.fleet.nodes, len(self.fleet.nodes))
        if self.home in order:
            order = [self.home, *(node for node in order if node is not self.home)]
        for node in order:
            self.sequence += 1
            state = self.state
            body = {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": "a",
                "version": self.version,
                "slots": 16,
                "state": state,
                "cold_left_ms": 0,
                "sequence": self.sequence,
            }
            path = f"/v1/gateway/engines/{self.identity}"
            answer = await call(node.control, "PUT", path, json.dumps(body).encode(), 1.0)
            if 200 <= answer.status < 300:
                self.acknowledged.append((time.monotonic(), state, node.name))
                self.home = node
                return True
        self.home = None
        return False

    async def _beat(self) -> None:
        while True:
            await self.beat_once()
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                self.bodies[headers.get("x-springmux-request-id", "")] = body
                await self._answer(first, headers, reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(task)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _answer(
        self,
        first: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        _method, path, _ = first.split()
        request = headers.get("x-springmux-request-id", "")
        if path == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nX-Springmux-Instance-Id: {self.identity}\r\n".encode())
            writer.write(b"Content-Length: 0\r\n\r\n")
            return
        if headers.get("x-springmux-target-instance", self.identity) != self.identity:
            writer.write(f"HTTP/1.1 421 No\r\nX-Springmux-Request-Id: {request}\r\n".encode())
            writer.write(b"X-Springmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self.runs.append((time.monotonic(), request))
        work = asyncio.create_task(self.answer(request, headers, writer))
        gone = asyncio.create_task(reader.read(1))  # an engine drops a request whose connection closes
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.record.write(f"engine {self.identity}: the connection of {request} closed; it stops")
            raise OSError
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        work.result()

    async def answer(self, request: str, _headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        """Work on a request, then send the whole answer."""
        if self.log_runs:
            self.record.write(f"engine {self.identity} ({self.version}): runs {request}")
        await asyncio.sleep(self.work_s)
        body = f"done {request}".encode()
        head = f"HTTP/1.1 200 OK\r\nX-Springmux-Request-Id: {request}\r\n"
        head += f"X-Springmux-Response-Seal: seal.{request}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        if self.log_runs:
            self.record.write(f"engine {self.identity}: {request} ends with 200")


async def until(condition: Callable[[], Any], limit_s: float) -> bool:
    """Wait until an awaitable condition holds."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


async def ready(node: Node) -> bool:
    """Return whether a node calls itself ready."""
    return (await call(node.ready, "GET", "/readyz", timeout_s=1.0)).status == 200
