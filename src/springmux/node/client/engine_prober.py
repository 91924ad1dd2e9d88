"""Probes of engines whose streams were reset, which distinguish a dead engine from a faulty version."""

from __future__ import annotations

import asyncio
from typing import Protocol

from springmux.node.addresses import split_address
from springmux.vocabulary.engines import EngineRecord

PROBE_DELAY_S = 0.05
"""Delay before a probe. A process that ends closes its sockets one after another; after this delay its
listening socket is closed too."""

PROBE_TIMEOUT_S = 0.5
"""An engine that accepts no connection within this time counts as dead."""


class ProbedRouter(Protocol):
    """Interface to :class:`springmux.router.router.Router`."""

    def engine_probed(self, record: EngineRecord, alive: bool, now: float) -> None:
        """Handle a probe's result: whether the engine accepted a connection at event loop time ``now``."""


class EngineProber:
    """Runs probes as tasks. The router requests at most one at a time for each engine."""

    def __init__(self, router: ProbedRouter) -> None:
        self._router = router
        self._tasks: set[asyncio.Task[None]] = set()

    def probe(self, record: EngineRecord) -> None:
        """Start a probe and return; its result is passed to the router."""
        task = asyncio.get_running_loop().create_task(self._probe(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel the running probes."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, record: EngineRecord) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        alive = await _accepts_connections(record.address)
        self._router.engine_probed(record, alive, asyncio.get_running_loop().time())


async def _accepts_connections(address: str) -> bool:
    host, port = split_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
