"""HTTP/1.1 client with a connection pool per engine (RFC 9110, RFC 9112)."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

from springmux.node.http.client_connection import EngineConnection
from springmux.node.http.client_exchange import HttpEngineExchange
from springmux.node.http.framing import encode_request
from springmux.node.http.types import ExchangeFailedError, FailureKind, RequestHead, ResponseHead

_DEFAULT_IDLE_TIMEOUT_S = 10.0
# An idle connection closes this long before the engine's own timeout, so that no request is sent on a
# connection that the engine is closing.
_IDLE_MARGIN_S = 0.5
_MIN_KEEP_ALIVE_TIMEOUT_S = 1
_KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,\s])timeout\s*=\s*\"?(\d{1,9})", re.IGNORECASE)


class PooledEngineClient:
    """Implements :class:`~springmux.node.http.types.EngineClient` with a pool of idle connections.

    :param max_idle_per_address: number of idle connections kept per engine; the oldest is closed first.
    """

    def __init__(self, max_idle_per_address: int = 16) -> None:
        self._max_idle = max_idle_per_address
        self._idle: dict[str, list[EngineConnection]] = {}
        self._connections: set[EngineConnection] = set()
        self._closed = False

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        connect_timeout_s: float,
        accept: Callable[[ResponseHead], bool],
    ) -> HttpEngineExchange:
        """Connect or reuse a connection, write the request, and return the exchange.

        :param address: ``host:port``; an IPv6 host in brackets.
        :raises ExchangeFailedError: ``CONNECT`` or ``NOT_SENT``; nothing was sent.
        """
        request = encode_request(head, body)
        # The framing of a late response to HEAD is unknown, so a HEAD request uses a connection of its own.
        connection = None if head.method == b"HEAD" else self._take_idle(address)
        while True:
            if connection is None:
                connection = await self._connect(address, connect_timeout_s)
            # There is no await from here to the return, so a cancellation can't leak the connection.
            exchange = HttpEngineExchange(connection, head.method, accept, self._return_idle)
            connection.exchange = exchange
            if connection.write(request):
                return exchange
            connection.exchange = None
            connection.abort()
            if connection.fresh:
                raise ExchangeFailedError(FailureKind.NOT_SENT, "the connection ended before the request")
            connection = self._take_idle(address)

    def close(self) -> None:
        """Close every connection; exchanges in flight fail, and later requests too."""
        self._closed = True
        self._idle.clear()
        for connection in tuple(self._connections):
            connection.abort()

    def _take_idle(self, address: str) -> EngineConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            connection.stop_idle_timer()
            if connection.reusable():
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str, timeout_s: float) -> EngineConnection:
        if self._closed:
            raise ExchangeFailedError(FailureKind.CONNECT, "the client is closed")
        loop = asyncio.get_running_loop()
        connection = EngineConnection(address, self._connection_lost)
        try:
            host, port = _split_address(address)
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: connection, host, port)
        except TimeoutError:
            raise ExchangeFailedError(FailureKind.CONNECT, "the connection attempt timed out") from None
        except (OSError, ValueError) as error:
            raise ExchangeFailedError(FailureKind.CONNECT, str(error)) from None
        if self._closed:
            connection.abort()
            raise ExchangeFailedError(FailureKind.CONNECT, "the client is closed")
        if not connection.lost:
            self._connections.add(connection)
        return connection

    def _return_idle(self, connection: EngineConnection, response: ResponseHead) -> None:
        idle_timeout_s = _idle_timeout_s(response)
        if idle_timeout_s is None or self._closed or self._max_idle < 1:
            connection.exchange = None
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, [])
        idle.append(connection)
        connection.set_idle(idle_timeout_s)
        if len(idle) > self._max_idle:
            idle.pop(0).abort()

    def _connection_lost(self, connection: EngineConnection) -> None:
        self._connections.discard(connection)
        idle = self._idle.get(connection.address)
        if idle is None:
            return
        if connection in idle:
            idle.remove(connection)
        if not idle:
            del self._idle[connection.address]


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("the address is not host:port")
    return host.removeprefix("[").removesuffix("]"), int(port)


def _idle_timeout_s(response: ResponseHead) -> float | None:
    """Return how long the connection may stay idle by the ``Keep-Alive`` header; ``None``: close it now."""
    match = _KEEP_ALIVE_TIMEOUT.search(response.header(b"keep-alive") or b"")
    if match is None:
        return _DEFAULT_IDLE_TIMEOUT_S
    timeout_s = int(match.group(1))
    if timeout_s <= _MIN_KEEP_ALIVE_TIMEOUT_S:
        return None
    return timeout_s - _IDLE_MARGIN_S
