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
"""Period of the readiness checks; the platform also checks each second."""
READINESS_TIMEOUT_S = 0.8
"""Shorter than the period, so that checks of a frozen node don't accumulate."""
MAX_ATTEMPTS = 4
"""Attempts of a request that is refused or whose outcome is unknown, each at another node."""
MAX_BACKOFF_S = 1.0
"""Upper bound of the delay from Retry-After, so that the retry falls within a run of a few minutes."""


class ClientPool:
    """Sends planned requests at their times, to ready nodes, with retries at other nodes.

    :param keys: the API key of each tenant.
    :param record_call: receives the record of each attempt.
    :param began_at_s: monotonic time of the run's beginning, from which records and planned requests count.
    """

    def __init__(
        self,
        targets: list[TargetNode],
        keys: dict[str, str],
        seed: int,
        record_call: Callable[[CallRecord], None],
        began_at_s: float,
    ) -> None:
        self._record_call = record_call
        self._began_at_s = began_at_s
        self._targets = targets
        self._keys = keys
        self._random = random.Random(seed)
        self._ready = {target.node: True for target in targets}
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None
        self._sender: RequestSender | None = None
        self._readiness_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the session and start the readiness checks."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self._sender = RequestSender(self._session, self._keys, self._began_at_s)
        self._readiness_task = asyncio.create_task(self._check_readiness_forever())

    async def run(self, requests: Iterable[PlannedRequest]) -> None:
        """Send each request at its planned time (in ascending order); wait until all have finished."""
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
        if self._readiness_task is not None:
            self._readiness_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._readiness_task
        if self._session is not None:
            await self._session.close()

    async def _check_readiness_forever(self) -> None:
        while True:
            await asyncio.gather(*(self._check_readiness(target) for target in self._targets))
            await asyncio.sleep(READINESS_PERIOD_S)

    async def _check_readiness(self, target: TargetNode) -> None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{target.admin_address}/readyz", timeout=timeout
            ) as response:
                self._ready[target.node] = response.status == HTTPStatus.OK
        except (aiohttp.ClientError, TimeoutError):
            self._ready[target.node] = False

    def _choose_target(self, zone: str, excluded: set[str]) -> TargetNode:
        untried = [target for target in self._targets if target.node not in excluded] or self._targets
        ready = [target for target in untried if self._ready[target.node]] or untried
        same_zone = [target for target in ready if target.zone == zone] or ready
        return self._random.choice(same_zone)

    async def _send_with_retries(self, request: PlannedRequest) -> None:
        assert self._sender is not None
        tried_nodes: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            target = self._choose_target(request.zone, tried_nodes)
            tried_nodes.add(target.node)
            outcome = await self._sender.send(request, target, attempt)
            self._record_call(outcome.record)
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
