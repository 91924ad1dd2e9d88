"""Load clients of an experiment: they choose ready nodes by zone, retry and record every attempt."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus

import aiohttp

from springmux.lab.load.request_sender import RequestSender
from springmux.lab.load.target_node import TargetNode
from springmux.lab.load.traffic import PlannedRequest
from springmux.lab.records import CallRecord

READINESS_PERIOD_S = 1.0
"""The platform checks readiness each second."""
READINESS_TIMEOUT_S = 0.8
"""Within the period, so that checks don't pile up on a frozen node."""
MAX_SENDS = 4
"""Attempts of a refused or unknown request, each at another node."""
MAX_BACKOFF_S = 1.0
"""Upper bound of the wait that Retry-After asks for, so that a run of a few minutes sees the retry."""


class ClientPool:
    """Sends planned requests at their times, to ready nodes, with retries at other nodes.

    :param keys: the API key of each tenant.
    :param keep: receives each record.
    :param began_at_s: monotonic time from which records and planned requests count.
    """

    def __init__(
        self,
        targets: list[TargetNode],
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
        self._sender: RequestSender | None = None
        self._prober: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the session and begin to check readiness."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self._sender = RequestSender(self._session, self._keys, self._began_at_s)
        self._prober = asyncio.create_task(self._probe_forever())

    async def run(self, requests: Iterable[PlannedRequest]) -> None:
        """Send each request at its time (ascending); wait until all are finished."""
        for request in requests:
            delay_s = self._began_at_s + request.at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self.submit(request)
        await self.drain()

    def submit(self, request: PlannedRequest) -> None:
        """Send one request now, without waiting for its response."""
        task = asyncio.create_task(self._send_with_retries(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait for every request in flight."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """Stop the readiness checks and close the connections."""
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

    async def _probe(self, target: TargetNode) -> None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{target.admin_address}/readyz", timeout=timeout
            ) as response:
                self._ready[target.node] = response.status == HTTPStatus.OK
        except (aiohttp.ClientError, TimeoutError):
            self._ready[target.node] = False

    def _pick(self, zone: str, avoided: set[str]) -> TargetNode:
        fresh = [target for target in self._targets if target.node not in avoided] or self._targets
        ready = [target for target in fresh if self._ready[target.node]] or fresh
        near = [target for target in ready if target.zone == zone] or ready
        return self._random.choice(near)

    async def _send_with_retries(self, request: PlannedRequest) -> None:
        assert self._sender is not None
        tried: set[str] = set()
        for attempt in range(MAX_SENDS):
            target = self._pick(request.zone, tried)
            tried.add(target.node)
            outcome = await self._sender.send(request, target, attempt)
            self._keep(outcome.record)
            if not _may_retry(outcome.record):
                return
            await asyncio.sleep(min(outcome.retry_after_s, MAX_BACKOFF_S))


def _may_retry(record: CallRecord) -> bool:
    """Return whether the client may send the request again, at another node."""
    if record.complete or record.fault or record.status == HTTPStatus.UNAUTHORIZED:
        return False
    if record.kind == "prompt" and record.chunks:
        return False
    return record.fate in ("refused", "unknown")
