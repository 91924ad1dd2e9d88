"""What a client's connection makes the process hold, and whether it waits for its client."""

from __future__ import annotations

from springmux.node.http.connection_owner import ConnectionOwner, OwnedConnection
from springmux.node.http.request_body import MemoryExhaustedError
from springmux.node.resources.memory_budget import MemoryAccount

# How often a head is held at most: as received, as sent to an engine, and as the metadata of its prompt.
_HEAD_COPIES = 4
# Held of an engine's response while the client does not read: buffers of its connection, and the kernel's.
_RELAYED_BYTES = 64 * 1024


class ClientUsage:
    """Counts one connection's bytes in the process's budget, and its waiting in its listener's limit."""

    def __init__(self, connection: OwnedConnection, owner: ConnectionOwner) -> None:
        self.memory: MemoryAccount = owner.resources.memory.open(connection, owner.memory_class)
        self._connection = connection
        self._limit = owner.connections
        self._unread_bytes = 0

    def begin_wait(self) -> None:
        """Record that the connection waits for its client, to send or to read."""
        self.memory.begin_wait()
        self._limit.begin_wait(self._connection)

    def end_wait(self) -> None:
        """Record that the connection does not wait for its client any more."""
        self.memory.end_wait()
        self._limit.end_wait(self._connection)

    def hold_partial_head(self, size_bytes: int, first: bool) -> None:
        """Count a part of a head, whose end the connection waits for.

        :param first: whether the head begins with this part: its client has not stalled while it was idle.
        :raises MemoryExhaustedError: there is no room for it.
        """
        if first:
            self.begin_wait()
        if not self.memory.try_hold(size_bytes * _HEAD_COPIES):
            raise MemoryExhaustedError
        self.memory.record_progress(size_bytes)

    def hold_head(self, size_bytes: int) -> None:
        """Count a complete head, less its parts that were counted before.

        :raises MemoryExhaustedError: there is no room for it.
        """
        if not self.memory.try_hold(max(0, size_bytes * _HEAD_COPIES - self.memory.held_bytes)):
            raise MemoryExhaustedError

    def count_unread(self, buffered_bytes: int, relaying: bool) -> bool:
        """Count the bytes that the client has not read and the kernel has no room for.

        :param buffered_bytes: bytes in the transport's buffer.
        :param relaying: whether more of the response may arrive from an engine.
        :returns: whether there is room for them.
        """
        unread_bytes = buffered_bytes + (_RELAYED_BYTES if relaying else 0)
        added_bytes = unread_bytes - self._unread_bytes
        self._unread_bytes = unread_bytes
        if added_bytes <= 0:
            self.memory.release(-added_bytes)
            return True
        return self.memory.try_hold(added_bytes)

    def all_read(self) -> None:
        """Record that the client has read everything."""
        self.memory.release(self._unread_bytes)
        self._unread_bytes = 0

    def release_request(self, pipelined_bytes: int) -> None:
        """Count only what outlasts a request: its unread response, and the bytes of the next request."""
        self.memory.release(self.memory.held_bytes - self._unread_bytes - pipelined_bytes)

    def release_all(self) -> None:
        """Count nothing any more: the connection has ended, or what it held is dropped."""
        self.end_wait()
        self.memory.release_all()
