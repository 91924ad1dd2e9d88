"""The connections that a listener may keep open, and which one closes when there is a new one too many."""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Protocol

import msgspec

IDLE_AFTER_S = 1.0
"""A connection that has waited for its client for this time closes for a new one."""
RESERVED_DESCRIPTORS = 200
"""Descriptors for files, the event loop, and what libraries open."""
MIN_SOCKETS = 100
FRONT_SHARE = 0.32
"""As many again are left for connections to engines."""
CONTROL_SHARE = 0.06
READY_SHARE = 0.02
PEERS_SHARE = 0.18
"""A peer uses two connections at most, and as few as possible are left for those to peers."""


class LimitedConnection(Protocol):
    """A connection that a listener has accepted."""

    def yield_place(self) -> None:
        """Close the connection, which waits for its client, without waiting."""
        ...


class ConnectionLimit:
    """The open connections of one listener.

    At the limit, a new connection takes the place of the one that has waited longest for its client. It is
    rejected if none has waited for ``IDLE_AFTER_S``.

    :param limit: returns the number of connections allowed now.
    :param clock: returns the event loop's time.
    """

    def __init__(self, limit: Callable[[], int], clock: Callable[[], float]) -> None:
        self._limit = limit
        self._clock = clock
        self._open: set[LimitedConnection] = set()
        # Waiting connections and when they began to wait; the one that has waited longest is first.
        self._waiting: dict[LimitedConnection, float] = {}

    def __len__(self) -> int:
        return len(self._open)

    def admit(self, connection: LimitedConnection) -> bool:
        """Count a new connection, or return ``False`` if it must be rejected."""
        if len(self._open) >= self._limit() and not self._make_room():
            return False
        self._open.add(connection)
        return True

    def remove(self, connection: LimitedConnection) -> None:
        """Record that a connection has closed. Does nothing if it was not admitted."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)

    def begin_wait(self, connection: LimitedConnection) -> None:
        """Record that an open connection waits for its client from now on."""
        if connection in self._open:
            self._waiting.pop(connection, None)
            self._waiting[connection] = self._clock()

    def end_wait(self, connection: LimitedConnection) -> None:
        """Record that a connection does not wait for its client any more."""
        self._waiting.pop(connection, None)

    def _make_room(self) -> bool:
        longest, since = next(iter(self._waiting.items()), (None, 0.0))
        if longest is None or self._clock() - since < IDLE_AFTER_S:
            return False
        self.remove(longest)
        longest.yield_place()
        return True


class ConnectionShares(msgspec.Struct, frozen=True):
    """Most connections of each listener of a process. Each request at ``front`` may need one to an engine."""

    front: int
    control: int
    ready: int
    peers: int


def connection_shares(max_descriptors: int) -> ConnectionShares:
    """Divide the descriptors that the process may open among its listeners.

    :param max_descriptors: the setting; a lower limit of the process (``RLIMIT_NOFILE``) applies instead.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable = min(max_descriptors, soft_limit) if soft_limit != resource.RLIM_INFINITY else max_descriptors
    sockets = max(MIN_SOCKETS, usable - RESERVED_DESCRIPTORS)
    return ConnectionShares(
        front=int(sockets * FRONT_SHARE),
        control=int(sockets * CONTROL_SHARE),
        ready=int(sockets * READY_SHARE),
        peers=int(sockets * PEERS_SHARE),
    )
