"""Lifecycle common to the processes of all kinds of nodes: their end, and a new run with a new replica."""

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
EXIT_WRONG_SETTINGS = 2
EXIT_CRASHED = 70
"""``EX_SOFTWARE`` of sysexits.h: an internal fault; a supervisor should start the process again."""
EXIT_KILLED = 130
RESTART_AS_NEW = -1
"""Not an exit code: the replica's folder is unusable, run again in this process with an empty one."""


class RunnableNode(Protocol):
    """One running node, from its start to its end."""

    async def start(self) -> None:
        """Open the listeners, then start the agent.

        :raises OSError: if an address can't be bound.
        """
        ...

    async def wait(self) -> int:
        """Wait for a stop or a crash, and stop. Returns the exit code, or :data:`RESTART_AS_NEW`."""
        ...

    async def close(self) -> None:
        """Close everything at once."""
        ...


async def wait_for_end(driver: AgentDriver, stop_requested: asyncio.Event) -> int:
    """Wait for a requested stop, a crash or an abandoned replica; return :func:`exit_code`."""
    stopping = asyncio.ensure_future(stop_requested.wait())
    given_up = asyncio.ensure_future(driver.replica_given_up.wait())
    awaited: set[asyncio.Future[Literal[True]] | asyncio.Future[BaseException]] = {
        stopping,
        given_up,
        driver.crashed,
    }
    await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    given_up.cancel()
    return exit_code(driver, stop_requested)


def exit_code(driver: AgentDriver, stop_requested: asyncio.Event) -> int:
    """Return the exit code of a node that ends now, or :data:`RESTART_AS_NEW`."""
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
    """Run node after node until one stops, all but the first with a new replica; return the exit code.

    ``first_start``: this is the first start of the whole system.
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
