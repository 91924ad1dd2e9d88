"""Backpressure for the writers of a connection."""

from __future__ import annotations

import asyncio


class WriteGate:
    """Open while the socket accepts bytes; writers wait while it is closed."""

    def __init__(self) -> None:
        self._waiter: asyncio.Future[None] | None = None

    @property
    def closed(self) -> bool:
        """Whether writers wait."""
        return self._waiter is not None

    def close(self) -> None:
        """Make writers wait."""
        if self._waiter is None:
            self._waiter = asyncio.get_running_loop().create_future()

    def open(self) -> None:
        """Let writers continue."""
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def wait_open(self) -> None:
        """Wait until the gate is open."""
        if self._waiter is not None:
            # Shielded, because cancelling one writer must not end the wait of the others.
            await asyncio.shield(self._waiter)
