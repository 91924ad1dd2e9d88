"""Base class of aiohttp's connections whose bodies and unread responses are counted."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp.web_protocol import RequestHandler

from springmux.node.http.sockets import limit_read_size
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.memory_budget import MemoryClass
from springmux.node.resources.process_resources import ProcessResources

MAX_READ_BYTES = 64 << 10
"""Most bytes that one read takes from the kernel; aiohttp buffers a few times as many of a body."""
BODY_COPIES = 2
"""How often a body is held at most: in its parts and as a whole."""


class LimitedProtocol(RequestHandler):
    """One connection. It yields while it waits for its client: idle, within a body, or unread."""

    memory_class = MemoryClass.CLIENT

    __slots__ = ("_connections", "_memory", "_reads_body", "_unread_bytes", "admitted")

    def __init__(
        self, manager: Any, resources: ProcessResources, connections: ConnectionLimit, **options: Any
    ) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        self.admitted = False
        """Whether the connection is one of those that its listener allows."""
        self._connections = connections
        self._memory = resources.memory.open(self, self.memory_class)
        self._reads_body = False
        self._unread_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; close it if it is one too many."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        limit_read_size(transport, MAX_READ_BYTES)
        self.admitted = self._connections.admit(self)
        if not self.admitted:
            self.refuse_overload("too many connections to this node")
            return
        self._connections.begin_wait(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release all that the connection held."""
        self._connections.remove(self)
        self._memory.end_wait()
        self._memory.release_all()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Count the response that the client does not read."""
        super().pause_writing()
        self.count_unread()

    def resume_writing(self) -> None:
        """Count the bytes that the client has read since."""
        super().resume_writing()
        self.count_unread()

    def refuse_overload(self, message: str) -> None:
        """Respond 503 where no response has begun, and close."""
        raise NotImplementedError

    def yield_place(self) -> None:
        """Close, because a new connection needs the place of this one."""
        self.force_close()

    def yield_memory(self) -> None:
        """End what the client left unfinished, because another connection needs the memory."""
        if self._reads_body:
            self.refuse_overload("this node has no room for the body now")
        elif self.count_unread() and self.transport is not None:
            self.transport.abort()

    def begin_request(self) -> None:
        """Record that a request's head is complete."""
        self._connections.end_wait(self)

    def end_request(self) -> None:
        """Record that a request has its response, which the client may not have read yet."""
        self._reads_body = False
        self._memory.release(self._memory.held_bytes - self._unread_bytes)
        if self.admitted:
            self._connections.begin_wait(self)

    def begin_body(self, announced_bytes: int) -> bool:
        """Count a body's announced bytes; return whether there is room for them."""
        self._reads_body = True
        self._memory.begin_wait()
        self._connections.begin_wait(self)
        return self._memory.try_hold(announced_bytes * BODY_COPIES)

    def receive_body(self, received_bytes: int, announced: bool) -> bool:
        """Count received bytes of a body, unless they were announced; return whether there is room."""
        self._memory.record_progress(received_bytes)
        return announced or self._memory.try_hold(received_bytes * BODY_COPIES)

    def end_body(self) -> None:
        """Record that a body is complete: the connection does not wait for its client any more."""
        self._reads_body = False
        self._memory.end_wait()
        self._connections.end_wait(self)

    def count_unread(self) -> int:
        """Count, and return, the bytes that the client has not read and the kernel has no room for."""
        unread_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        added_bytes = unread_bytes - self._unread_bytes
        everything_was_read = not self._unread_bytes
        self._unread_bytes = unread_bytes
        if added_bytes <= 0:
            self._memory.release(-added_bytes)
            return unread_bytes
        if everything_was_read:
            self._memory.begin_wait()
        if not self._memory.try_hold(added_bytes) and self.transport is not None:
            self.transport.abort()
        return unread_bytes
