"""Crowds at the client and admin listeners of a node of the chat-completions interface.

Guards against clients that end a process by its memory or descriptors, or that shut out ordinary callers.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from springmux.lab.soak.http_connection import read_message, request_once
from tests.crowds.crowd import crowd
from tests.crowds.processes import (
    HOST,
    RESERVED_DESCRIPTORS,
    SystemProcess,
    chat_process,
    send_until_accepted,
)
from tests.crowds.requests import CONNECTIONS, END, MAX_DESCRIPTORS
from tests.unit.node.support import KEY, STREAM, chat_request, chunk, engine_head, stream_events

BODIES = 32
BODY_BYTES = 8 << 20
"""Default limits of both listeners."""
HEADS = 600
MANY_LINES = b"a:\r\n" * 95
LONG_LINE = b"x-long: " + b"v" * 15_000 + b"\r\n"
PIPELINES = 8
PIPELINED_REQUESTS = 60_000
PIPELINED_DOCUMENTS = 4000
ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 10.0
STREAMS = 400
STREAM_EVENTS, EVENT_TEXT = 500, "x" * 2000
"""A stream of over 1 MB, more than a connection's write buffer holds."""
HEARTBEAT_PERIOD_S = 1.0
CONFIGURATION = {
    "limits": {"max_in_flight": 4000, "per_key_share": 1.0, "per_tenant_share": 1.0},
    "services": {"text": {"stable": "v1"}},
    "routes": {
        "chat": {
            "kind": "prompt",
            "service": "text",
            "class": "interactive",
            "max_body_bytes": BODY_BYTES,
        }
    },
}
LISTENERS = ("front", "control")
PATHS = {"front": b"/v1/chat/completions", "control": b"/v1/engines/heartbeat"}


class ChatNode:
    """A configured node without engines: an ordinary caller asks it for its models."""

    def __init__(self, system: SystemProcess) -> None:
        self.system = system
        self.ports = system.ports

    async def check_ordinary_caller(
        self, method: str = "GET", path: str = "/v1/models", body: bytes = b""
    ) -> None:
        """Assert that the process keeps its limits and that an ordinary request is answered."""
        headers = {"host": "x", "authorization": f"Bearer {KEY}", "content-type": "application/json"}
        response = None
        for _ in range(ATTEMPTS):
            response = await request_once(
                HOST, self.ports.front, method, path, headers, body, ATTEMPT_TIMEOUT_S
            )
            if response is not None and (response.status == 200 or response.status == 400):
                break
        self.system.check_limits()
        assert response is not None, self.system.log()[-2000:]
        # 400: the body was read whole, and is no JSON.
        assert response.status == (400 if body else 200), response

    async def check_limits_served(self) -> None:
        """Check a request with a body at the limit."""
        await self.check_ordinary_caller("POST", "/v1/chat/completions", b"x" * BODY_BYTES)

    async def check_stream(self) -> None:
        """Assert that an ordinary caller gets a whole stream."""
        async with asyncio.timeout(ATTEMPTS * ATTEMPT_TIMEOUT_S):
            while not (await self._read_stream()).endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n"):
                pass
        self.system.check_limits()

    async def _read_stream(self) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, self.ports.front)
        try:
            writer.write(chat_request(extra="Connection: close\r\n"))
            return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    def check_descriptors(self) -> None:
        assert self.system.open_descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS

    def port(self, listener: str) -> int:
        return int(getattr(self.ports, listener))


async def announce(system: SystemProcess, address: str) -> None:
    """Announce an engine, and send its heartbeats until cancelled."""
    engine = {
        "engine": "e1",
        "service": "text",
        "version": "v1",
        "address": address,
        "capacity": 4000,
        "incarnation": 1,
    }
    headers = {"content-type": "application/json", "host": "x"}
    target, sequence = "/v1/engines/announce", 0
    while True:
        await send_until_accepted(system.ports.control, "POST", target, json.dumps(engine).encode(), headers)
        target, sequence = "/v1/engines/heartbeat", sequence + 1
        engine = {**engine, "sequence": sequence, "status": "ready", "running": 0, "queued": 0}
        await asyncio.sleep(HEARTBEAT_PERIOD_S)


async def stream_to_each(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to every request with a long stream, as an engine does."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            _, headers, _ = await read_message(reader)
            request_id = headers["x-request-id"]
            writer.write(engine_head(request_id, extra=STREAM))
            for event in stream_events(request_id, STREAM_EVENTS, EVENT_TEXT):
                writer.write(chunk(event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
    writer.close()


@asynccontextmanager
async def engine_of(system: SystemProcess) -> AsyncIterator[None]:
    """Run an engine of the node's service."""
    server = await asyncio.start_server(stream_to_each, HOST, 0, backlog=STREAMS)
    host, port = server.sockets[0].getsockname()[:2]
    heartbeats = asyncio.create_task(announce(system, f"{host}:{port}"))
    try:
        yield
    finally:
        heartbeats.cancel()
        server.close()


@asynccontextmanager
async def running_chat_node(folder: Path, max_descriptors: int | None = None) -> AsyncIterator[ChatNode]:
    async with chat_process(folder, max_descriptors) as system:
        admin = system.ports.control
        json_type = {"content-type": "application/json", "host": "x"}
        orders = {
            "/v1/configuration?version=1": CONFIGURATION,
            "/v1/tenants/t1": {"tokens_per_s": 1e6, "burst_tokens": 1e6},
            "/v1/keys/k1": {"tenant": "t1", "digest": hashlib.sha256(KEY.encode()).hexdigest()},
        }
        for target, order in orders.items():
            await send_until_accepted(admin, "PUT", target, json.dumps(order).encode(), json_type)
        node = ChatNode(system)
        key = {"host": "x", "authorization": f"Bearer {KEY}"}
        await send_until_accepted(system.ports.front, "GET", "/v1/models", b"", key)
        await node.check_ordinary_caller()
        yield node


def head(listener: str, lines: bytes) -> bytes:
    key = b"authorization: Bearer %b\r\n" % KEY.encode()
    return b"POST %b HTTP/1.1\r\nhost: x\r\n%b%b" % (PATHS[listener], key, lines)


@pytest.mark.parametrize("framing", ["announced", "large chunks", "small chunks"])
@pytest.mark.parametrize("listener", LISTENERS)
async def test_bodies_stop_short_of_their_end(listener: str, framing: str, tmp_path: Path) -> None:
    chunk_bytes = 64 << 10 if framing == "large chunks" else 512
    lines = b"transfer-encoding: chunked\r\n"
    body = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes) * (BODY_BYTES // chunk_bytes)
    if framing == "announced":
        lines, body = b"content-length: %d\r\n" % BODY_BYTES, b"x" * BODY_BYTES
    async with running_chat_node(tmp_path) as node:
        async with crowd(node.system, node.port(listener), BODIES, [head(listener, lines) + END, body[:-1]]):
            await node.check_ordinary_caller()
        await node.check_limits_served()


@pytest.mark.parametrize("lines", [MANY_LINES, LONG_LINE], ids=["many lines", "a long line"])
@pytest.mark.parametrize("listener", LISTENERS)
async def test_heads_stop_before_their_end(listener: str, lines: bytes, tmp_path: Path) -> None:
    async with running_chat_node(tmp_path) as node:
        async with crowd(node.system, node.port(listener), HEADS, [head(listener, lines)]):
            await node.check_ordinary_caller()
        await node.check_limits_served()


@pytest.mark.parametrize("listener", LISTENERS)
async def test_pipelined_checks_whose_responses_nobody_reads(listener: str, tmp_path: Path) -> None:
    behind = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n" * PIPELINED_REQUESTS
    async with running_chat_node(tmp_path) as node:
        async with crowd(node.system, node.port(listener), PIPELINES, [behind]):
            await node.check_ordinary_caller()
        await node.check_limits_served()


async def test_streams_that_nobody_reads(tmp_path: Path) -> None:
    async with running_chat_node(tmp_path) as node, engine_of(node.system):
        await node.check_stream()
        async with crowd(node.system, node.ports.front, STREAMS, [chat_request()]):
            await node.check_ordinary_caller()
            await node.check_stream()
        await node.check_limits_served()


async def test_pipelined_reads_of_the_metrics_that_nobody_reads(tmp_path: Path) -> None:
    requests = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n" * PIPELINED_DOCUMENTS
    async with running_chat_node(tmp_path) as node:
        async with crowd(node.system, node.ports.control, PIPELINES, [requests]):
            await node.check_ordinary_caller()
        await node.check_limits_served()


@pytest.mark.parametrize("listener", LISTENERS)
async def test_more_connections_than_descriptors(listener: str, tmp_path: Path) -> None:
    async with running_chat_node(tmp_path, MAX_DESCRIPTORS) as node:
        sent = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"
        async with crowd(node.system, node.port(listener), CONNECTIONS, [sent]):
            node.check_descriptors()
            await node.check_ordinary_caller()
        await node.check_limits_served()
