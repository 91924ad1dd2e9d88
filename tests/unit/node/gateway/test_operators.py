"""The command line against one complete gateway node on loopback."""

from __future__ import annotations

import asyncio
import io
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
from click.testing import Result

from springmux.gateway.dialect import OWN_HEADERS
from springmux.node.gateway.gateway_node import GatewayNode
from springmux.node.gateway.settings import GatewaySettings
from springmux.node.http.client import PooledEngineClient
from springmux.node.http.types import RequestHead
from springmux.node.logs import EventLog
from springmux.node.storage.opening import open_storage
from tests.unit.cli.support import run
from tests.unit.node.support import TEST_TIMEOUT_S, free_address

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "pages", "host": "www.example", "path_prefix": "/", "service": "pages"}],
    "services": [{"name": "pages"}],
}


class RunningNode:
    """The only node of a fleet, with a client of its control listener."""

    def __init__(self, process: GatewayNode, settings: GatewaySettings) -> None:
        self.process = process
        self._control = settings.control_address

    async def command(self, *words: str) -> Result:
        """Run ``springmux gateway WORDS``."""
        return await asyncio.to_thread(run, "gateway", *words, "--control", self._control)

    async def status(self) -> dict[str, Any]:
        result = await self.command("status", "--json")
        assert result.exit_code == 0, result.output
        status: dict[str, Any] = json.loads(result.stdout)
        return status

    async def send_request(
        self, method: bytes, path: bytes, body: bytes = b""
    ) -> tuple[int, bytes | None, bytes]:
        """Send a request to the control listener; return status, content type and body."""
        client = PooledEngineClient()
        head = RequestHead(method, path, ((b"host", b"control"),))
        exchange = await client.send(self._control, head, body, 1.0, lambda _: True)
        response = await exchange.head()
        parts = []
        while data := await exchange.read():
            parts.append(data)
        client.close()
        return response.status, response.header(b"content-type"), b"".join(parts)


@asynccontextmanager
async def running_node(folder: Path, **more: Any) -> AsyncIterator[RunningNode]:
    settings = GatewaySettings(
        node="n1",
        zone="z1",
        host="127.0.0.1",
        front_address=free_address(),
        ready_address=free_address(),
        control_address=free_address(),
        peer_port=int(free_address().rpartition(":")[2]),
        first_start=True,
        losses_tolerated=0,
        data_folder=str(folder),
    )
    settings = msgspec.structs.replace(settings, **more)
    log = EventLog("n1", output=io.StringIO())
    opened = open_storage(folder, log)
    process = GatewayNode(settings, OWN_HEADERS, opened, log, asyncio.Event())
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await process.start()
        try:
            yield RunningNode(process, settings)
        finally:
            await process.close()


async def test_an_operator_inspects_and_configures_a_node(tmp_path: Path) -> None:
    """Given a node at its first start: status, first configuration, version conflict, engines, a rollout."""
    file = tmp_path / "gateway.json"
    file.write_text(json.dumps(CONFIGURATION))
    async with running_node(tmp_path / "data") as node:
        while (before := await node.status())["role"] != "leader":
            pass
        assert (before["ready"], before["configuration_version"]) == (False, 0)
        assert before["reason"] == "no configuration of the gateway is known yet"
        assert before["leader"] == "n1"

        put = await node.command("put", str(file), "--builds-on", "0")
        assert put.exit_code == 0, put.output
        while not (after := await node.status())["ready"]:
            pass
        assert (after["configuration_version"], after["reason"]) == (1, "")
        shown = await node.command("configuration")
        assert json.loads(shown.stdout) == CONFIGURATION

        file.write_text(json.dumps({**CONFIGURATION, "version": 2}))
        conflict = await node.command("put", str(file), "--builds-on", "0")
        assert conflict.exit_code == 4
        assert "the present one is 1" in conflict.stderr

        for number, version in enumerate(("p1", "p1", "p2")):
            heartbeat = json.dumps(
                {"service": "pages", "address": "127.0.0.1:9", "version": version}
            ).encode()
            assert (await node.send_request(b"PUT", b"/v1/gateway/engines/e%d" % number, heartbeat))[0] == 200
        engines = {
            (each["version"], each["state"]): each["engines"] for each in (await node.status())["engines"]
        }
        assert engines == {("p1", "ready"): 2, ("p2", "ready"): 1}

        missing = await node.command("rollout", "pages")
        assert missing.exit_code == 1
        promoted = await node.command("promote", "pages", "--candidate", "p2", "--by-s", "60")
        assert promoted.exit_code == 0, promoted.output
        running = await node.command("rollout", "pages")
        assert running.stdout == "pages: running, candidate p2\n"
        page = await node.command("status")
        assert ["pages", "p2", "running"] in [line.split() for line in page.stdout.splitlines()]


async def test_the_control_listener_states_its_content_types(tmp_path: Path) -> None:
    """Given the paths of health, metrics and status, each response has the right content type."""
    async with running_node(tmp_path / "data") as node:
        assert await node.send_request(b"GET", b"/healthz") == (200, b"text/plain; charset=utf-8", b"ok\n")
        status, kind, body = await node.send_request(b"GET", b"/metrics")
        assert (status, kind) == (200, b"text/plain; version=0.0.4; charset=utf-8")
        assert b"springmux_ready" in body
        assert (await node.send_request(b"GET", b"/v1/gateway/status"))[1] == b"application/json"
        assert (await node.send_request(b"GET", b"/readyz"))[1] == b"application/json"
