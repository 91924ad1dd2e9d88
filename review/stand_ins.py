"""Stand-ins for the scripts of the review: a small fleet of real nodes, engines, an operator and clients.

Only the standard library is used. All addresses are loopback addresses, and all files are in a temporary
folder. The nodes are started with the command and the settings template of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.2
BOUNDS = {
    "budgetMinRetries": "58",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "strictRevoke": "false",
    "revokeMs": "5000",
    "contactMs": "3000",
    "configApplyMs": "2000",
    "canaryShare": "0.1",
    "canarySlack": "50",
    "rollbackMs": "5000",
    "graceS": "8",
}


class CaseError(Exception):
    """The case couldn't run."""


class Record:
    """Lines of what was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, line: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {line}\n")
        self._file.flush()


class Response:
    """A response: status 0 if the connection ended before a head arrived."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, complete: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def _read_chunks(reader: asyncio.StreamReader, on_chunk: Callable[[bytes], None]) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        on_chunk(data[:-2])


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Response:
    """Send one request on a new connection and return the response, complete or not."""
    parts: list[bytes] = []
    status, fields, complete = 0, {}, False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {headers.get('Host', 'control')}"]
            lines += [f"{name}: {value}" for name, value in headers.items() if name != "Host"]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            await writer.drain()
            first, fields = await _read_head(reader)
            status = int(first.split(" ")[1])
            if fields.get("transfer-encoding", "") == "chunked":
                await _read_chunks(reader, parts.append)
            else:
                parts.append(await reader.readexactly(int(fields.get("content-length", "0"))))
            complete = True
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        complete = False
    finally:
        if writer is not None:
            writer.close()
    return Response(status, fields, b"".join(parts), complete)


class Node:
    """One node: the program of the deploy file as a process of its own."""

    def __init__(self, name: str, ip: str, zone: str, disk: bool) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.disk = disk
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = Path()
        self.ports: dict[str, int] = {}

    async def call(
        self, method: str, path: str, body: bytes = b"", base: int | None = None, timeout_s: float = 1.0
    ) -> Response:
        """Send one call to the control address."""
        headers = {"Content-Type": "application/json"}
        if base is not None:
            headers["If-Match"] = str(base)
        return await request(self.control, method, path, headers, body, timeout_s)

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self.ports["front"]

    @property
    def ready(self) -> tuple[str, int]:
        """Address of the readiness check."""
        return self.ip, self.ports["ready"]

    @property
    def control(self) -> tuple[str, int]:
        """Address for engines and the operator."""
        return self.ip, self.ports["control"]


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free at all addresses."""
    found: list[int] = []
    for port in random.sample(range(20000, 32000), 400):
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CaseError("there are not enough free ports")


def fill_template(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of the settings template: plain values, and lists with commas."""

    def value(name: str) -> str:
        found: Any = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return str(found)

    def repeat(match: re.Match[str]) -> str:
        items = fields[match.group(1)]
        texts = [match.group(2).replace("{{.}}", item) for item in items]
        last = len(texts) - 1
        return "".join(text.replace("{{,}}", "" if n == last else ",") for n, text in enumerate(texts))

    filled = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", repeat, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match.group(1)), filled)


class Fleet:
    """A small deployment: three nodes with a disk, and more without one if wanted."""

    def __init__(self, record: Record, without_disk: int = 0) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        block = random.randrange(10, 250)
        count = 3 + without_disk
        self.nodes = [
            Node(f"node-{n + 1}", f"127.0.{block}.{n + 1}", ZONES[n % 3], n < 3) for n in range(count)
        ]
        ports = _free_ports([node.ip for node in self.nodes], 4)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["node"]
        self._command = role["run"].split(" ")
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        names = dict(zip(("front", "ready", "control"), ports, strict=False))
        seeds = [f"{node.ip}:{names['control']}" for node in self.nodes[:3]]
        for node in self.nodes:
            node.ports = names
            data = self.folder / node.name / "data"
            data.mkdir(parents=True)
            node.settings = self.folder / node.name / "boot.conf"
            self._write_settings(node, template, seeds, ports[3], data, first=True)
        self._rewrite = lambda node: self._write_settings(
            node, template, seeds, ports[3], self.folder / node.name / "data", first=False
        )

    def _write_settings(
        self, node: Node, template: str, seeds: list[str], peer_port: int, data: Path, first: bool
    ) -> None:
        fields = {
            "nodeName": node.name,
            "zone": node.zone,
            "region": "region",
            "ip": node.ip,
            "listen": {name: f"{node.ip}:{port}" for name, port in node.ports.items()},
            "internalPorts": [peer_port, peer_port],
            "seeds": seeds,
            "bootstrap": "true" if first else "false",
            "faultTolerance": {"machines": "1"},
            "bounds": BOUNDS,
            "dataDir": str(data) if node.disk else "",
        }
        node.settings.write_text(fill_template(template, fields), encoding="utf-8")

    def start(self, node: Node) -> None:
        """Start one node; only its first start is the first of the whole system."""
        if node.process is not None:
            self._rewrite(node)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "SPRINGMUX_BOOT": str(node.settings)}
        with (node.settings.parent / "log").open("ab") as log:
            node.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.record.write(f"{node.name} started")

    def start_all(self) -> None:
        """Start all nodes."""
        if not (ROOT / "target/deps/springmux").is_dir():
            raise CaseError("run the build of the deploy file first")
        for node in self.nodes:
            self.start(node)

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to one node."""
        assert node.process is not None
        node.process.send_signal(number)
        self.record.write(f"{node.name} gets {number.name}")

    async def configure(self, document: dict[str, Any], base: int) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        for attempt in range(120):
            node = self.nodes[attempt % 3]
            answer = await node.call("PUT", "/v1/gateway/configuration", body, base, timeout_s=2.0)
            if answer.status == 200:
                self.record.write(f"configuration {document['version']} acknowledged by {node.name}")
                return
            if 400 <= answer.status < 500:
                raise CaseError(f"the configuration was refused: {answer.status} {answer.body!r}")
            await asyncio.sleep(0.1)
        raise CaseError("the configuration was not acknowledged")

    async def wait_ready(self) -> None:
        """Wait until all nodes say that they are ready."""
        for node in self.nodes:
            for _ in range(200):
                if (await request(node.ready, "GET", "/readyz", {}, timeout_s=1.0)).status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CaseError(f"{node.name} is not ready")

    def close(self) -> None:
        """End all nodes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None:
                with contextlib.suppress(OSError):
                    node.process.kill()
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def new_engine_id() -> str:
    """Return the id of a new incarnation."""
    return f"i-{random.getrandbits(40):010x}"


class Engine:
    """A sound engine: it registers, answers with its seal, sheds when full, and keeps serving when it drains.

    ``ran``: the times and ids of the requests that it ran. ``acknowledged``: when a state was acknowledged.
    """

    def __init__(
        self, fleet: Fleet, service: str, zone: str, slots: int = 6, queue: int = 24, version: str = "v1"
    ) -> None:
        self.engine = new_engine_id()
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.version = version
        self.state = "ready"
        self._late_until = 0.0
        self.work_s: Callable[[], float] = lambda: 0.06
        self.ran: list[tuple[float, str]] = []
        self.shed = 0
        self.acknowledged: dict[str, float] = {}
        self._fleet = fleet
        self._record = fleet.record
        self._sequence = 0
        self._present = 0
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._address = ""

    async def start(self) -> None:
        """Listen, and register."""
        await self._listen()
        self._beats = asyncio.create_task(self._beat_forever())

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"

    async def beat(self) -> bool:
        """Send one heartbeat to one node after another, until one acknowledges it."""
        for node in random.sample(self._fleet.nodes, len(self._fleet.nodes)):
            self._sequence += 1
            state = self.state
            body = {
                "service": self.service,
                "address": self._address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "sequence": self._sequence,
            }
            answer = await node.call("PUT", f"/v1/gateway/engines/{self.engine}", json.dumps(body).encode())
            if 200 <= answer.status < 300:
                if state not in self.acknowledged:
                    self.acknowledged[state] = self._record.now()
                    self._record.write(f"{self.engine} ({self.service}): {state} acknowledged by {node.name}")
                return True
        return False

    async def drain(self) -> float:
        """Say ``draining`` until a node acknowledges it; return when it did."""
        self.state = "draining"
        while not await self.beat():
            await asyncio.sleep(0.1)
        return self.acknowledged["draining"]

    def delay_heartbeats(self, late_s: float) -> None:
        """Let the next heartbeat be late."""
        self._late_until = self._record.now() + HEARTBEAT_S + late_s
        self._record.write(f"{self.engine}: its next heartbeat is {late_s} s late")

    async def crash(self, for_s: float) -> None:
        """Crash, and start again as a new incarnation after ``for_s``."""
        await self.stop()
        self._record.write(f"{self.engine} crashed")
        self._beats = asyncio.create_task(self._restart(for_s))

    async def _restart(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.engine = new_engine_id()
        self._record.write(f"it is back as {self.engine}")
        await self._listen()
        await self._beat_forever()

    async def _beat_forever(self) -> None:
        while True:
            if self._record.now() >= self._late_until:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                await self._answer(first, headers, body, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(
        self, first: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers.get("x-springmux-request-id", "")
        wanted = headers.get("x-springmux-target-instance", self.engine)
        if wanted != self.engine:
            self._send(writer, "421 Misdirected Request", request_id, {"X-Springmux-Not-Executed": "1"}, b"")
            return
        if self._present >= self.slots + self.queue:
            self.shed += 1
            self._send(writer, "503 Service Unavailable", request_id, {"X-Springmux-Not-Executed": "1"}, b"")
            return
        self._present += 1
        try:
            async with self._slots:
                self.ran.append((self._record.now(), request_id))
                self._record.write(f"{self.engine} runs {request_id} ({first.split(' ')[1]})")
                await self.execute(request_id, headers, body, writer)
        finally:
            self._present -= 1

    async def execute(
        self, request_id: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request and answer it."""
        await asyncio.sleep(self.work_s())
        seal = f"{self.engine}.{len(body):x}"
        self._send(writer, "200 OK", request_id, {"X-Springmux-Response-Seal": seal}, b"done " * 160)
        await writer.drain()

    def _send(
        self, writer: asyncio.StreamWriter, status: str, request_id: str, extra: dict[str, str], body: bytes
    ) -> None:
        fields = {"X-Springmux-Request-Id": request_id, **extra, "Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields.items()), "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)

    async def stop(self) -> None:
        """End without a word: stop beating, close the listener and every connection."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()


async def every(period_s: float, until: float, send: Callable[[], Awaitable[None]], record: Record) -> None:
    """Start ``send`` at a steady rate until the given time, and wait for all of them."""
    tasks: list[asyncio.Task[None]] = []
    due = record.now()
    while due < until:
        await asyncio.sleep(max(0.0, due - record.now()))
        tasks.append(asyncio.ensure_future(send()))  # type: ignore[arg-type]
        due += period_s
    await asyncio.gather(*tasks)


KEY = "k7dz3zji9n73hh2w"
HOST = "shop.example"
PATH = "/ack/1"
DEADLINE_MS = 1500


def small_configuration(service: str) -> dict[str, Any]:
    """Return a configuration with one route for calls that run at most once, and one tenant."""
    route = {
        "name": "r-ack",
        "host": HOST,
        "path_prefix": "/ack/",
        "kind": "unsafe",
        "timeout_ms": DEADLINE_MS,
        "target_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
    }
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": service, "health_path": "/health", "max_connections": 110}],
        "limits": limits,
        "tenants": [{"name": "depot", "api_keys": [KEY], "priority": 1}],
    }


async def client_request(node: Node, record: Record) -> Response:
    """Send one call on a new connection to a node, as a client does, and record the answer."""
    request_id = f"{random.getrandbits(64):016x}"
    headers = {
        "Host": HOST,
        "X-Api-Key": KEY,
        "X-Springmux-Request-Id": request_id,
        "X-Springmux-Deadline-Ms": str(DEADLINE_MS),
    }
    answer = await request(node.front, "POST", PATH, headers, b"x" * 600, timeout_s=DEADLINE_MS / 1000)
    record.write(f"client: {request_id} at {node.name}: {answer.status or 'no answer'}")
    return answer


def run_case(
    folder: Path, play: Callable[[Fleet, Record, bool], Awaitable[bool]], trouble: bool, without_disk: int = 0
) -> int:
    """Play a case with a fleet of its own; return the exit code of its script."""
    record = Record(folder / "record.txt")
    fleet = Fleet(record, without_disk)
    try:
        broken = asyncio.run(play(fleet, record, trouble))  # type: ignore[arg-type]
    except (CaseError, OSError) as error:
        record.write(f"could not run: {error}")
        return 2
    finally:
        fleet.close()
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
