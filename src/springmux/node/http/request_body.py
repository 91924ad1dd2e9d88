"""The body of one request while it arrives: its bytes, its limit, and the memory that it is counted with."""

from __future__ import annotations

from springmux.node.http.bodies import BodyDecoder
from springmux.node.resources.memory_budget import MemoryAccount

COPIES = 2
"""How often a body is held at most: as received, and as written to an engine that reads slowly."""


class MemoryExhaustedError(Exception):
    """There is no room for more bytes of this request; it has not been executed."""


class RequestBody:
    """Collects a body's bytes. An announced length is counted at once, other bodies as they arrive.

    :param announced_bytes: value of Content-Length, if any.
    """

    def __init__(
        self, decoder: BodyDecoder, announced_bytes: int | None, max_bytes: int, memory: MemoryAccount
    ) -> None:
        self.too_large = announced_bytes is not None and announced_bytes > max_bytes
        self._decoder = decoder
        self._counted = announced_bytes is not None
        self._max_bytes = max_bytes
        self._memory = memory
        self._received = bytearray()
        self._whole: bytes | None = None
        self._undecoded_bytes = 0
        self._failed = False
        if announced_bytes and not self.too_large:
            self._hold(announced_bytes)

    @property
    def complete(self) -> bool:
        """Whether the body was read to its end, and every byte of it was kept."""
        return self._decoder.done and not self._failed

    @property
    def rest(self) -> bytes:
        """The received bytes after the body's end, once it is complete."""
        return self._decoder.rest

    @property
    def undecoded_bytes(self) -> int:
        """Received bytes that the next call of :meth:`feed` will decode."""
        return self._decoder.undecoded_bytes

    def feed(self, data: bytes) -> None:
        """Consume bytes of the request. After an error the body never becomes complete.

        :raises MalformedMessageError: the body's framing is not valid.
        :raises MemoryExhaustedError: there is no room for them.
        """
        self._failed = True
        self._consume(data)
        self._failed = False

    def _consume(self, data: bytes) -> None:
        part = self._decoder.feed(data)
        self._count_undecoded()
        if self.too_large or not part:
            return
        if len(self._received) + len(part) > self._max_bytes:
            self.too_large = True
            self._received = bytearray()
            return
        if not self._counted:
            self._hold(len(part))
        self._received += part

    def whole(self) -> bytes:
        """Return the complete body."""
        if self._whole is None:
            self._whole = bytes(self._received)
            self._received = bytearray()
        return self._whole

    def _count_undecoded(self) -> None:
        added_bytes = self._decoder.undecoded_bytes - self._undecoded_bytes
        self._undecoded_bytes += added_bytes
        if added_bytes < 0:
            self._memory.release(-added_bytes)
        elif not self._memory.try_hold(added_bytes):
            raise MemoryExhaustedError

    def _hold(self, size_bytes: int) -> None:
        if not self._memory.try_hold(size_bytes * COPIES):
            raise MemoryExhaustedError
