"""Frames of the peers' channel over TCP: a length of 4 bytes (big-endian), then the payload.

The first frames of a connection are the handshake (:mod:`springmux.node.peer.handshake`).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

from springmux.vocabulary.errors import SpringmuxError

HEADER_BYTES = 4
MAX_MESSAGE_BYTES = 64 << 20
MAX_HANDSHAKE_BYTES = 4096
"""A hello holds a few names and digests. An unauthenticated peer may use no more memory."""
USER_TIMEOUT_MS = 3000
"""A peer that acknowledges nothing for so long has lost power or is partitioned."""
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
UNACKNOWLEDGED_RETRANSMITS = 2
"""Retransmissions that rule out a single lost packet; the second follows after about 0.6 s."""


class _SocketOption(NamedTuple):
    level: int
    option: int | None
    """``None`` where the operating system has no such option."""
    value: int


_SOCKET_OPTIONS = (
    _SocketOption(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    _SocketOption(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    _SocketOption(socket.IPPROTO_TCP, getattr(socket, "TCP_USER_TIMEOUT", None), USER_TIMEOUT_MS),
    _SocketOption(socket.IPPROTO_TCP, getattr(socket, "TCP_KEEPIDLE", None), KEEP_ALIVE_IDLE_S),
    _SocketOption(socket.IPPROTO_TCP, getattr(socket, "TCP_KEEPINTVL", None), KEEP_ALIVE_INTERVAL_S),
    _SocketOption(socket.IPPROTO_TCP, getattr(socket, "TCP_KEEPCNT", None), KEEP_ALIVE_COUNT),
)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``struct linger`` with a time of 0: closing drops unsent data and sends RST."""


class FrameTooLargeError(SpringmuxError):
    """The other side announced a frame over the limit, both in bytes."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"frame of {size_bytes} bytes, the limit is {limit_bytes}")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


def frame_header(size_bytes: int) -> bytes:
    """Return the header of a payload of that size."""
    return size_bytes.to_bytes(HEADER_BYTES, "big")


class FrameReader:
    """Split a stream of bytes into payloads. ``limit_bytes`` may change between two frames."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._begin = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next(self) -> bytes | None:
        """Return the next complete payload, or ``None`` until more bytes are fed.

        :raises FrameTooLargeError: as soon as the header is read.
        """
        begin = self._begin + HEADER_BYTES
        if begin > len(self._buffer):
            self._drop_consumed()
            return None
        size_bytes = int.from_bytes(self._buffer[self._begin : begin], "big")
        if size_bytes > self.limit_bytes:
            raise FrameTooLargeError(size_bytes, self.limit_bytes)
        end = begin + size_bytes
        if end > len(self._buffer):
            self._drop_consumed()
            return None
        self._begin = end
        with memoryview(self._buffer) as view:
            return bytes(view[begin:end])

    def _drop_consumed(self) -> None:
        """Drop consumed bytes; once a chunk, because moving the rest costs its length."""
        if self._begin:
            del self._buffer[: self._begin]
            self._begin = 0


class FrameConnection(asyncio.Protocol):
    """One TCP connection that carries frames. The callbacks are called on the event loop.

    :param made: the connection is established.
    :param received: one payload; not called after :meth:`close` or :meth:`abort`.
    :param lost: the connection ended, whoever ended it; called once.
    :param writable: the transport accepts frames again after it was full.
    """

    def __init__(
        self,
        received: Callable[[bytes], None],
        lost: Callable[[Exception | None], None],
        made: Callable[[], None] = lambda: None,
        writable: Callable[[], None] = lambda: None,
    ) -> None:
        self._received = received
        self._lost = lost
        self._made = made
        self._writable = writable
        self._reader = FrameReader(MAX_HANDSHAKE_BYTES)
        self._transport: asyncio.Transport | None = None
        self.full = False
        """Whether the transport accepts no more frames for now."""

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def remote_host(self) -> str:
        """Host of the other side, empty if it is no longer known."""
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(name[0]) if name else ""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the transport holds and the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def unacknowledged(self) -> bool:
        """Whether the kernel retransmits without acknowledgement (``tcpi_retransmits``, ``linux/tcp.h``).

        A partitioned connection recovers late after the partition, because the interval doubles.
        """
        option = getattr(socket, "TCP_INFO", None)
        if option is None or self._transport is None or not self.open:
            return False
        connected = self._transport.get_extra_info("socket")
        try:
            retransmits: int = connected.getsockopt(socket.IPPROTO_TCP, option, 3)[2]
        except OSError:
            return False
        return retransmits >= UNACKNOWLEDGED_RETRANSMITS

    def finish_handshake(self) -> None:
        """Accept frames of the size of messages: the handshake is complete."""
        self._reader.limit_bytes = MAX_MESSAGE_BYTES

    def send(self, payloads: Sequence[bytes]) -> None:
        """Send payloads in one write."""
        if self._transport is None or not self.open:
            return
        buffers: list[bytes] = []
        for payload in payloads:
            buffers.append(frame_header(len(payload)))
            buffers.append(payload)
        self._transport.write(b"".join(buffers))

    def close(self) -> None:
        """Close the connection after sending what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection at once; unacknowledged data is dropped."""
        if self._transport is None:
            return
        with contextlib.suppress(OSError):
            connected = self._transport.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _set_options(transport.get_extra_info("socket"))
        self._made()

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        self._reader.feed(data)
        try:
            while self.open and (payload := self._reader.next()) is not None:
                self._received(payload)
        except FrameTooLargeError:
            self.abort()

    def pause_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self.full = True

    def resume_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self.full = False
        self._writable()

    def connection_lost(self, error: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self._lost(error)


def _set_options(connected: socket.socket) -> None:
    for level, option, value in _SOCKET_OPTIONS:
        if option is not None:
            # Systems without an option still have the channel's own limits.
            with contextlib.suppress(OSError):
                connected.setsockopt(level, option, value)
