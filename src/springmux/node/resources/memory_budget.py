"""The bytes that all connections of a process may make it hold, and which one yields when they run out.

Bytes are counted before they are held. A connection that waits for its client (an unfinished head or body,
a response that the client does not read) yields to others; a complete request never yields, since an engine
may be working on it. A part of the budget is reserved for connections that hold little, so that large bodies
never shut out ordinary requests.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

BUDGET_SHARE = 0.25
"""Share of the process's memory. The rest is for the program, its state, sockets and unread bytes."""
SMALL_BYTES = 16 << 10
STALLED_AFTER_S = 0.25
"""A client that has made no progress for this time yields to any other."""
PROGRESS_BYTES = 4096
"""Fewer bytes are no progress, so that a client can't keep its place by sending single bytes."""


class MemoryClass(enum.Enum):
    """Whose bytes they are. The value is the share of the budget up to which large holders may fill it."""

    CLIENT = 0.5
    """Clients and readiness checks."""
    FLEET = 0.85
    """Operators, engines and peers: clients can't keep a node from learning a configuration."""


class MemoryHolder(Protocol):
    """A connection whose bytes are counted."""

    def yield_memory(self) -> None:
        """End what the client left unfinished, and release its bytes, without waiting."""
        ...


class MemoryAccount:
    """The counted bytes of one connection."""

    __slots__ = (
        "_budget",
        "_unmarked_bytes",
        "held_bytes",
        "holder",
        "large_limit_bytes",
        "marked_at",
        "waits",
    )

    def __init__(self, budget: MemoryBudget, holder: MemoryHolder, large_limit_bytes: int) -> None:
        self.holder = holder
        self.large_limit_bytes = large_limit_bytes
        """Bytes of the budget that it may fill once it holds more than ``SMALL_BYTES``."""
        self.held_bytes = 0
        self.marked_at = 0.0
        """When the client last made progress (event loop time)."""
        self.waits = False
        """Whether the connection waits for its client."""
        self._budget = budget
        self._unmarked_bytes = 0

    def try_hold(self, size_bytes: int, reserved: bool = True) -> bool:
        """Count more bytes, and return whether there is room for them. Other connections may yield.

        :param reserved: whether the bytes may use the part of the budget that is reserved for small holders.
        """
        return self._budget.try_hold(self, size_bytes, reserved)

    def release(self, size_bytes: int) -> None:
        """Count fewer bytes."""
        self._budget.release(self, size_bytes)

    def release_all(self) -> None:
        """Count no bytes any more."""
        self._budget.release(self, self.held_bytes)

    def begin_wait(self) -> None:
        """Record that the connection waits for its client from now on."""
        self.waits = True
        self._unmarked_bytes = 0
        self._budget.mark(self)

    def end_wait(self) -> None:
        """Record that the connection does not wait for its client any more."""
        self.waits = False
        self._budget.forget(self)

    def record_progress(self, size_bytes: int) -> None:
        """Record bytes that the client sent or read while the connection waits for it."""
        self._unmarked_bytes += size_bytes
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self._budget.mark(self)


class MemoryBudget:
    """The counted bytes of a process.

    :param capacity_bytes: most bytes that may be counted, except for a connection that alone holds any.
    :param clock: returns the event loop's time.
    """

    def __init__(self, capacity_bytes: int, clock: Callable[[], float]) -> None:
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.yielded = 0
        """Number of connections that have yielded."""
        self._clock = clock
        # The accounts that wait for their clients and hold bytes; the one marked longest ago is first.
        self._waiting: dict[MemoryAccount, None] = {}

    def open(self, holder: MemoryHolder, memory_class: MemoryClass) -> MemoryAccount:
        """Return the account of a new connection."""
        return MemoryAccount(self, holder, int(self.capacity_bytes * memory_class.value))

    def try_hold(self, account: MemoryAccount, size_bytes: int, reserved: bool = True) -> bool:
        """See :meth:`MemoryAccount.try_hold`."""
        small = reserved and account.held_bytes + size_bytes <= SMALL_BYTES
        while not self._fits(account, size_bytes, small):
            other = self._next_to_yield(account, small)
            if other is None:
                return False
            self.yielded += 1
            other.end_wait()
            other.holder.yield_memory()
            other.release_all()
        self.held_bytes += size_bytes
        account.held_bytes += size_bytes
        if account.waits and account not in self._waiting:
            self._waiting[account] = None
        return True

    def release(self, account: MemoryAccount, size_bytes: int) -> None:
        """See :meth:`MemoryAccount.release`."""
        released_bytes = min(size_bytes, account.held_bytes)
        account.held_bytes -= released_bytes
        self.held_bytes -= released_bytes
        if not account.held_bytes:
            self._waiting.pop(account, None)

    def mark(self, account: MemoryAccount) -> None:
        """Record progress of a waiting account's client."""
        account.marked_at = self._clock()
        if account.held_bytes:
            self._waiting.pop(account, None)
            self._waiting[account] = None

    def forget(self, account: MemoryAccount) -> None:
        """Record that an account waits for its client no more."""
        self._waiting.pop(account, None)

    def _fits(self, account: MemoryAccount, size_bytes: int, small: bool) -> bool:
        after_bytes = self.held_bytes + size_bytes
        if small:
            return after_bytes <= self.capacity_bytes
        # A connection that alone holds any bytes is served, whatever the limits of the configuration are.
        return after_bytes <= account.large_limit_bytes or self.held_bytes == account.held_bytes

    def _next_to_yield(self, account: MemoryAccount, small: bool) -> MemoryAccount | None:
        """Return the account that yields to ``account``: one that stalls, or a large one to a small one."""
        others = (other for other in self._waiting if other is not account)
        oldest = next(others, None)
        if oldest is None or self._clock() - oldest.marked_at >= STALLED_AFTER_S:
            return oldest
        if not small:
            return None
        large = (other for other in self._waiting if other.held_bytes > SMALL_BYTES)
        return next((other for other in large if other is not account), None)


def budget_bytes(memory_mb: float) -> int:
    """Return the capacity of the budget of a process with ``memory_mb`` megabytes of memory."""
    return int(memory_mb * 1e6 * BUDGET_SHARE)
