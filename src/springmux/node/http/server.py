"""HTTP/1.1 server (RFC 9110, RFC 9112) over asyncio's protocols."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from springmux.node.http.connection_owner import OwnedConnection
from springmux.node.http.framing import describe_exception
from springmux.node.http.server_connection import ServerConnection
from springmux.node.http.server_exchange import HttpServerExchange
from springmux.node.http.sockets import accept_gradually
from springmux.node.http.types import (
    BodyTooLargeError,
    ClientDisconnectedError,
    Handler,
    RefusalListener,
    RequestHead,
    ServerLimits,
    ServerRefusal,
)
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.memory_budget import MemoryClass
from springmux.node.resources.process_resources import ProcessResources

_log = logging.getLogger(__name__)

_BACKLOG = 1024
# Rejected connections that are kept open until their clients have read the response.
_MAX_REJECTED = 32
# Event loop iterations from accepting a socket to reading its first bytes (asyncio of Python 3.11).
_ITERATIONS_TO_READ = 4


class HttpServer:
    """Serves the requests of clients, each in its own task.

    :param limits: called for each request, so that a change applies to open connections too.
    :param on_refused: called for every request that the server itself refuses or aborts.
    :param memory_class: whose bytes the listener's connections hold.
    :param resources: what the listeners of the process share; the defaults if ``None``. Needs a running loop.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        on_refused: RefusalListener = lambda _refusal, _head: None,
        resources: ProcessResources | None = None,
        memory_class: MemoryClass = MemoryClass.CLIENT,
    ) -> None:
        self.stopping = False
        self.memory_class = memory_class
        self.resources = resources or ProcessResources()
        self.connections = ConnectionLimit(
            lambda: self._limits().max_connections, asyncio.get_running_loop().time
        )
        self._handler = handler
        self._limits = limits
        self._on_refused = on_refused
        self._listener: asyncio.Server | None = None
        self._connections: set[OwnedConnection] = set()
        self._rejected_connections: set[OwnedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_requests = 0
        self._idle: asyncio.Event = asyncio.Event()
        self._idle.set()

    @property
    def open_requests(self) -> int:
        """Requests whose head was read and whose response has not ended."""
        return self._open_requests

    async def listen(self, host: str, port: int) -> int:
        """Listen, and return the port, which the kernel chooses if ``port`` is 0.

        :raises OSError: the address can't be bound.
        """
        self._listener = await accept_gradually(lambda: ServerConnection(self), host, port, _BACKLOG)
        return int(self._listener.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Accept no new connections; later responses have the header ``Connection: close``."""
        self.stopping = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def finish(self, grace_s: float) -> None:
        """Close idle connections, wait at most ``grace_s`` for requests in flight, then reset the rest."""
        self.stop_accepting()
        # Reads the bytes that wait in the kernel first, so that fewer requests fail on a closed connection.
        for _ in range(_ITERATIONS_TO_READ):
            await asyncio.sleep(0)
        for connection in tuple(self._connections):
            connection.close_if_idle()
        try:
            async with asyncio.timeout(grace_s):
                await self._idle.wait()
        except TimeoutError:
            _log.warning("http_finish_cut open_requests=%d", self._open_requests)
        self.close()

    def close(self) -> None:
        """Reset every connection and cancel every handler."""
        self.stop_accepting()
        for connection in (*self._connections, *self._rejected_connections):
            connection.abort()
        for task in tuple(self._tasks):
            task.cancel()

    # Called by the connections.

    def limits_now(self) -> ServerLimits:
        """Return the current limits."""
        return self._limits()

    def connection_opened(self, connection: OwnedConnection) -> bool:
        """Register a new connection; return ``False`` if there are too many."""
        self._idle.clear()
        if not self.connections.admit(connection):
            if len(self._rejected_connections) >= _MAX_REJECTED:
                self._rejected_connections.pop().abort()
            self._rejected_connections.add(connection)
            return False
        self._connections.add(connection)
        return True

    def request_refused(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        """Report a refused or aborted request."""
        self._on_refused(refusal, head)

    def connection_closed(self, connection: OwnedConnection) -> None:
        """Unregister a connection."""
        self.connections.remove(connection)
        self._connections.discard(connection)
        self._rejected_connections.discard(connection)
        self._update_idle()

    def request_started(self, exchange: HttpServerExchange) -> None:
        """Start the handler of a new request."""
        self._open_requests += 1
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._task_done)

    def request_ended(self) -> None:
        """Record that a request got its response or its client disconnected."""
        self._open_requests -= 1

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._connections and not self._rejected_connections and not self._tasks:
            self._idle.set()

    async def _serve(self, exchange: HttpServerExchange) -> None:
        try:
            await self._handler(exchange)
        except ClientDisconnectedError:
            exchange.abort()
        except BodyTooLargeError:
            exchange.fail(413)
        except asyncio.CancelledError:
            exchange.abort()
            raise
        except Exception as error:  # noqa: BLE001 - whatever a handler raises, its client must not wait forever
            _log.error("http_handler_failed error=%s", describe_exception(error))
            self._fail(exchange)
        else:
            # A handler that returned without ending its response has failed too.
            self._fail(exchange)

    def _fail(self, exchange: HttpServerExchange) -> None:
        if exchange.fail(500):
            self._on_refused(ServerRefusal.HANDLER_FAILED, exchange.head)
