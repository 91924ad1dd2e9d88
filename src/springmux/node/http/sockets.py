"""Socket options of the server's and the client's connections."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import struct
from collections.abc import Callable
from typing import cast

# A machine that lost power sends nothing; these values detect it within two seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 1500

# The kernel doubles it. At 3 ms to a client this is over 20 MB a second for one connection.
_RECEIVE_BUFFER_BYTES = 64 * 1024
_ACCEPTED_AT_ONCE = 16

# Errors that Linux reports for an unresponsive machine; the last three if ARP or a router detects it first.
UNRESPONSIVE_PEER_ERRNOS = frozenset(
    (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EHOSTDOWN)
)


def _socket_of(transport: asyncio.Transport) -> socket.socket | None:
    return cast("socket.socket | None", transport.get_extra_info("socket"))


def send_without_delay(transport: asyncio.Transport) -> None:
    """Set TCP_NODELAY, so that the kernel sends small writes immediately."""
    sock = _socket_of(transport)
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def limit_read_size(transport: asyncio.Transport, max_bytes: int) -> None:
    """Take at most ``max_bytes`` from the kernel at once (an attribute of asyncio's socket transports)."""
    if hasattr(transport, "max_size"):
        transport.max_size = max_bytes


def limit_receive_buffer(transport: asyncio.Transport) -> None:
    """Let the kernel hold few unread bytes of the connection."""
    sock = _socket_of(transport)
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket for :func:`accept_gradually`. Its connections hold few unread bytes.

    :raises OSError: the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


async def accept_gradually(
    protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, backlog: int
) -> asyncio.Server:
    """Listen, and accept few connections in one iteration of the event loop.

    A listener's limit closes one connection for a new one, and its descriptor is free only in the next
    iteration. asyncio accepts as many at once as the kernel queues, so the two are set apart here.

    :param backlog: connections that the kernel queues.
    :raises OSError: the address can't be bound.
    """
    listener = listening_socket(host, port)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(protocol_factory, sock=listener, backlog=_ACCEPTED_AT_ONCE)
    listener.listen(backlog)
    return server


def detect_unresponsive_peer(transport: asyncio.Transport) -> None:
    """Let the kernel end the connection (ETIMEDOUT) if the peer's machine acknowledges nothing."""
    sock = _socket_of(transport)
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def reset(transport: asyncio.Transport) -> None:
    """Reset the connection, and discard what the kernel has not sent yet."""
    sock = _socket_of(transport)
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def has_pending_input(transport: asyncio.Transport) -> bool:
    """Return whether the kernel has bytes, an EOF or an error that the loop has not read yet."""
    sock = _socket_of(transport)
    if sock is None or sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
