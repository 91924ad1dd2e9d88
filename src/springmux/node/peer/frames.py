"""Frames of a peer connection over TCP: the payload's length in 4 bytes (big-endian), then the payload.

The first frames of a connection carry the handshake (:mod:`springmux.node.peer.handshake`).
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
"""Limit for unauthenticated peers, to bound their memory use. A hello holds a few names and digests."""
USER_TIMEOUT_MS = 3000
"""A peer that acknowledges no data for this time has lost power or is partitioned."""
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
UNACKNOWLEDGED_RETRANSMITS = 2
"""Number of retransmissions that rules out a single lost packet. The second follows after about 0.6 s."""


class _SocketOption(NamedTuple):
    level: int
    option: int | None
    """``None`` if the operating system does not have the option."""
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
"""``struct linger`` with a timeout of 0: closing the socket drops unsent data and sends RST."""


class FrameTooLargeError(SpringmuxError):
    """The header of a received frame states a size over the limit. Both are in bytes."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"frame of {size_bytes} bytes exceeds the limit of {limit_bytes}")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


def frame_header(size_bytes: int) -> bytes:
    """Return the frame header of a payload of ``size_bytes``."""
    return size_bytes.to_bytes(HEADER_BYTES, "big")


class FrameReader:
    """Splits a stream of bytes into payloads. ``limit_bytes`` may be changed between two frames."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._begin = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    @property
    def announced_bytes(self) -> int:
        """Size of the next frame, of which only a part was fed; 0 if its header is incomplete."""
        begin = self._begin + HEADER_BYTES
        if begin > len(self._buffer):
            return 0
        return HEADER_BYTES + int.from_bytes(self._buffer[self._begin : begin], "big")

    def next_payload(self) -> bytes | None:
        """Return the next complete payload, or ``None`` if more bytes are needed.

        :raises FrameTooLargeError: as soon as the header states a size over the limit.
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
        """Drop consumed bytes. Done once per chunk, because the remaining bytes have to be moved."""
        if self._begin:
            del self._buffer[: self._begin]
            self._begin = 0


class FrameConnection(asyncio.Protocol):
    """One TCP connection that carries frames. The callbacks are called on the event loop.

    :param on_payload: called with each received payload, but not after :meth:`close` or :meth:`abort`.
    :param on_lost: called once when the connection has ended, whichever side ended it.
    :param on_connected: called when the connection is established.
    :param on_writable: called when the transport accepts frames again after writing was paused.
    :param on_partial: called after each read with the size of the frame of which only a part was received, or
        0 if there is none, and with the number of bytes read. Returns whether the frame's other bytes may be
        received, too. If not, the connection is reset.
    """

    def __init__(
        self,
        on_payload: Callable[[bytes], None],
        on_lost: Callable[[Exception | None], None],
        on_connected: Callable[[], None] = lambda: None,
        on_writable: Callable[[], None] = lambda: None,
        on_partial: Callable[[int, int], bool] = lambda _announced, _read: True,
    ) -> None:
        self._on_payload = on_payload
        self._on_lost = on_lost
        self._on_connected = on_connected
        self._on_writable = on_writable
        self._on_partial = on_partial
        self._reader = FrameReader(MAX_HANDSHAKE_BYTES)
        self._transport: asyncio.Transport | None = None
        self.writing_paused = False
        """Whether the transport's write buffer is full, so that no frames should be sent."""

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def remote_host(self) -> str:
        """IP address of the other side; empty if it is not known."""
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(name[0]) if name else ""

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the transport's write buffer that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def unacknowledged(self) -> bool:
        """Whether the kernel retransmits without acknowledgement (``tcpi_retransmits``, ``linux/tcp.h``).

        Such a connection recovers late after a partition, because each retransmission doubles the interval.
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
        """Raise the frame size limit to that of messages, once the handshake is complete."""
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
        """Close the connection after the written data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection immediately. Unacknowledged data is dropped."""
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
        self._on_connected()

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        self._reader.feed(data)
        try:
            while self.open and (payload := self._reader.next_payload()) is not None:
                self._on_payload(payload)
        except FrameTooLargeError:
            self.abort()
            return
        if self.open and not self._on_partial(self._reader.announced_bytes, len(data)):
            self.abort()

    def pause_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self.writing_paused = False
        self._on_writable()

    def connection_lost(self, error: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self._on_lost(error)


def _set_options(connected: socket.socket) -> None:
    for level, option, value in _SOCKET_OPTIONS:
        if option is not None:
            # Without an option the timeouts of PeerChannel still apply.
            with contextlib.suppress(OSError):
                connected.setsockopt(level, option, value)
