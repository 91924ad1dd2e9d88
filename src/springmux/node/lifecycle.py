"""Process lifecycle of all kinds of nodes: why a node ends, and its restart with a new replica."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Literal, Protocol

from springmux.coordination.state_machine import LogLevel
from springmux.node.driver import AgentDriver
from springmux.node.logs import EventLog
from springmux.node.storage.opening import OpenedStorage, open_storage, set_aside_replica
from springmux.storage.disk import Disk, FolderLockedError
from springmux.storage.real_disk import RealDisk

EXIT_STOPPED = 0
EXIT_CANNOT_START = 1
EXIT_INVALID_SETTINGS = 2
EXIT_CRASHED = 70
"""Internal fault (``EX_SOFTWARE`` of sysexits.h); a supervisor should restart the process."""
EXIT_KILLED = 130
RESTART_AS_NEW = -1
"""Not an exit code: the replica's folder is unusable, so the process runs a new node with an empty one."""


class RunnableNode(Protocol):
    """Interface to one node that :func:`run_nodes` starts and waits for."""

    async def start(self) -> None:
        """Open the listeners, then start the agent.

        :raises OSError: if an address can't be bound.
        """
        ...

    async def wait(self) -> int:
        """Wait for a stop request or a crash, then stop. Return the exit code or :data:`RESTART_AS_NEW`."""
        ...

    async def close(self) -> None:
        """Close listeners, connections and storage without waiting for running requests."""
        ...


async def wait_for_end(driver: AgentDriver, stop_requested: asyncio.Event) -> int:
    """Wait for a stop request, a crash or an abandoned replica, and return :func:`exit_code`."""
    stopping = asyncio.ensure_future(stop_requested.wait())
    abandoned = asyncio.ensure_future(driver.replica_abandoned.wait())
    awaited: set[asyncio.Future[Literal[True]] | asyncio.Future[BaseException]] = {
        stopping,
        abandoned,
        driver.crashed,
    }
    await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    abandoned.cancel()
    return exit_code(driver, stop_requested)


def exit_code(driver: AgentDriver, stop_requested: asyncio.Event) -> int:
    """Return the exit code of a node that is ending, or :data:`RESTART_AS_NEW`."""
    if driver.crashed.done():
        return EXIT_CRASHED
    return EXIT_STOPPED if stop_requested.is_set() else RESTART_AS_NEW


async def run_nodes(
    data_folder: Path | None,
    make_node: Callable[[OpenedStorage], RunnableNode],
    log: EventLog,
    make_disk: Callable[[Path], Disk] = RealDisk,
    first_start: bool = False,
) -> int:
    """Run one node after another until one is stopped, and return the exit code.

    Each node after the first starts with a new replica.

    :param first_start: whether this is the first start of the whole fleet.
    """
    code = RESTART_AS_NEW
    try:
        while code == RESTART_AS_NEW:
            opened = OpenedStorage(store=None, recovered=None)
            if data_folder is not None:
                opened = await asyncio.to_thread(open_storage, data_folder, log, make_disk, first_start)
            code = await _run_once(make_node(opened), log)
            if code == RESTART_AS_NEW and data_folder is not None:
                await asyncio.to_thread(set_aside_replica, data_folder, log, make_disk)
    except FolderLockedError as error:
        log.write("data_folder_locked", LogLevel.ERROR, reason=str(error), action="stop the other process")
        return EXIT_CANNOT_START
    return code


async def _run_once(node: RunnableNode, log: EventLog) -> int:
    try:
        await node.start()
    except OSError as error:
        log.write("cannot_listen", LogLevel.ERROR, reason=str(error), action="free the address or change it")
        await node.close()
        return EXIT_CANNOT_START
    return await node.wait()
