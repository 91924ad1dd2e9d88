"""Callers of the brief: send requests to ready nodes by zone, check every piece, record every answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import aiohttp
import msgspec

from springmux.lab.load.stream_checker import StreamChecker
from springmux.lab.load.traffic import PlannedRequest, Surge, TrafficSource
from springmux.lab.plan import load_experiment
from springmux.lab.records import CallRecord, LineWriter

READINESS_PERIOD_S = 1.0
"""The platform checks readiness each second."""

READINESS_TIMEOUT_S = 0.8
"""Within the period, so that checks don't pile up on a frozen node."""

CONNECT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.2
"""Before another sending, where the answer doesn't say how long."""

MAX_SENDS = 4
"""A caller tries a refused or unknown request at most this often, at other nodes."""

MAX_BACKOFF_S = 1.0
"""A caller honours Retry-After up to this, so that a run of a few minutes sees the resend."""


class CallerTarget(msgspec.Struct, frozen=True, kw_only=True):
    """One node as callers see it."""

    node: str
    zone: str
    client_address: str
    admin_address: str


class CallerPool:
    """Sends planned requests at their times and keeps the records.

    :param keys: the key of each tenant.
    :param keep: takes each record.
    :param began_at_s: monotonic time from which records and planned requests count.
    """

    def __init__(
        self,
        targets: list[CallerTarget],
        keys: dict[str, str],
        seed: int,
        keep: Callable[[CallRecord], None],
        began_at_s: float,
    ) -> None:
        self._keep = keep
        self._began_at_s = began_at_s
        self._targets = targets
        self._keys = keys
        self._random = random.Random(seed)
        self._ready = {target.node: True for target in targets}
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None
        self._prober: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open connections and begin to check readiness."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self._prober = asyncio.create_task(self._probe_forever())

    async def run(self, requests: Iterable[PlannedRequest]) -> None:
        """Send each request at its time (they come in order of it), wait until all are answered."""
        for request in requests:
            delay_s = self._began_at_s + request.at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self.submit(request)
        await self.drain()

    def submit(self, request: PlannedRequest) -> None:
        """Send one request now, without waiting for its answer."""
        task = asyncio.create_task(self._call(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait for every request under way."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """Close everything."""
        if self._prober is not None:
            self._prober.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._prober
        if self._session is not None:
            await self._session.close()

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.gather(*(self._probe(target) for target in self._targets))
            await asyncio.sleep(READINESS_PERIOD_S)

    async def _probe(self, target: CallerTarget) -> None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{target.admin_address}/readyz", timeout=timeout
            ) as response:
                self._ready[target.node] = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            self._ready[target.node] = False

    def _pick(self, zone: str, avoided: set[str]) -> CallerTarget:
        fresh = [target for target in self._targets if target.node not in avoided] or self._targets
        ready = [target for target in fresh if self._ready[target.node]] or fresh
        near = [target for target in ready if target.zone == zone] or ready
        return self._random.choice(near)

    async def _call(self, request: PlannedRequest) -> None:
        tried: set[str] = set()
        for sending in range(MAX_SENDS):
            target = self._pick(request.zone, tried)
            tried.add(target.node)
            record, retry_after_s = await self._send(request, target, sending)
            self._keep(record)
            again = record.fate in ("refused", "unknown") and record.status != 401
            if record.whole or not again or record.fault:
                return
            if record.kind == "prompt" and record.pieces:
                return
            await asyncio.sleep(min(retry_after_s, MAX_BACKOFF_S))

    async def _send(
        self, request: PlannedRequest, target: CallerTarget, sending: int
    ) -> tuple[CallRecord, float]:
        assert self._session is not None
        traffic = request.traffic
        record = CallRecord(
            route=traffic.route,
            kind=traffic.kind,
            tenant=request.tenant,
            zone=request.zone,
            node=target.node,
            at_s=time.monotonic() - self._began_at_s,
            sending=sending,
            action=request.action,
            asked_tokens=request.tokens,
        )
        prompt = traffic.kind == "prompt"
        path = "/v1/chat/completions" if prompt else f"/v1/calls/{traffic.route}"
        headers = {
            "Authorization": f"Bearer {self._keys[request.tenant]}",
            "Content-Type": "application/json",
        }
        if not prompt:
            headers["Idempotency-Key"] = request.action
        retry_after_s = RETRY_PAUSE_S
        timeout = aiohttp.ClientTimeout(total=traffic.give_up_s, connect=CONNECT_TIMEOUT_S)
        url = f"http://{target.client_address}{path}"
        try:
            async with self._session.post(
                url, data=request.body, headers=headers, timeout=timeout
            ) as response:
                self._read_head(record, response)
                retry_after_s = float(response.headers.get("Retry-After", retry_after_s))
                if response.status != 200:
                    await self._read_error(record, response)
                elif prompt:
                    await self._read_stream(record, response, request)
                else:
                    await self._read_call(record, response, request)
        except aiohttp.ClientConnectorError:
            record.code, record.fate = "caller_no_connection", "refused"
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            record.code, record.fate = f"caller_{type(error).__name__}", "unknown"
            record.whole = False
        record.ended_s = time.monotonic() - self._began_at_s
        return record, retry_after_s

    def _read_head(self, record: CallRecord, response: aiohttp.ClientResponse) -> None:
        record.status = response.status
        record.engine = response.headers.get("X-Engine", "")
        record.version = response.headers.get("X-Engine-Version", "")
        record.request = response.headers.get("X-Request-Id", "")

    async def _read_error(self, record: CallRecord, response: aiohttp.ClientResponse) -> None:
        try:
            error = msgspec.json.decode(await response.read())["error"]
            record.code, record.fate, record.told = error["code"], error["fate"], True
            record.engine = record.engine or error.get("engine", "")
            record.version = record.version or error.get("version", "")
        except (msgspec.DecodeError, KeyError, TypeError):
            record.fault = "error answer without the typed shape"

    async def _read_stream(
        self, record: CallRecord, response: aiohttp.ClientResponse, request: PlannedRequest
    ) -> None:
        checker = StreamChecker(request.answer_tokens, record.request)
        last_at = 0.0
        try:
            async for data in response.content.iter_any():
                now = time.monotonic() - self._began_at_s
                if checker.feed(data) and record.first_piece_s is None:
                    record.first_piece_s = now - record.at_s
                last_at = now
        except aiohttp.ClientPayloadError:
            # After its error event a stream is cut, so the body's end is missing; without one it is a loss.
            if not checker.error:
                raise
        finally:
            checker.close()
            record.pieces = checker.pieces
            record.tokens = checker.tokens
            record.fault = checker.fault
        record.whole = checker.complete() and not checker.fault
        if record.whole and record.pieces > 1 and record.first_piece_s is not None:
            record.mean_gap_s = (last_at - record.at_s - record.first_piece_s) / (record.pieces - 1)
        if not checker.complete():
            record.code = str(checker.error.get("code", "caller_stream_ended"))
            record.fate = str(checker.error.get("fate", "failed"))
            record.told = bool(checker.error)

    async def _read_call(
        self, record: CallRecord, response: aiohttp.ClientResponse, request: PlannedRequest
    ) -> None:
        answer = await response.json(loads=msgspec.json.decode, content_type=None)
        record.whole = True
        if answer.get("done") is not True or answer.get("action") != request.action:
            record.fault = "call answer is not its action's"


class CallersSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What one callers' process does. ``surges`` come on top of the experiment's traffic."""

    experiment: str
    targets: list[CallerTarget]
    keys: dict[str, str]
    seed: int
    seconds: float
    began_at_s: float
    record_file: str
    surges: list[Surge] = []


def load_callers_settings(path: Path) -> CallersSettings:
    """Read a callers' settings file (JSON).

    :raises OSError: if it can't be read.
    :raises msgspec.DecodeError: if it is not one.
    """
    return msgspec.json.decode(path.read_bytes(), type=CallersSettings)


async def run_callers(settings: CallersSettings) -> None:
    """Send the experiment's traffic, wait for every answer, write every record."""
    source = TrafficSource(load_experiment(settings.experiment), settings.seed)
    requests = source.all_requests(settings.seconds, settings.surges)
    with contextlib.closing(LineWriter(Path(settings.record_file))) as writer:
        pool = CallerPool(settings.targets, settings.keys, settings.seed, writer.write, settings.began_at_s)
        await pool.start()
        try:
            await pool.run(requests)
        finally:
            await pool.stop()
