"""A lean HTTP/1.1 server (RFC 9110, RFC 9112) over asyncio's protocols."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from springmux.node.http.connection_owner import OwnedConnection
from springmux.node.http.framing import describe_exception
from springmux.node.http.server_connection import ServerConnection
from springmux.node.http.server_exchange import HttpServerExchange
from springmux.node.http.types import (
    BodyTooLargeError,
    ClientDisconnectedError,
    Handler,
    RefusalListener,
    RequestHead,
    ServerLimits,
    ServerRefusal,
)

_log = logging.getLogger(__name__)

_BACKLOG = 1024
# Rounds of the loop from an accepted socket to its first bytes (asyncio of Python 3.11).
_ROUNDS_TO_READ = 4


class HttpServer:
    """Serves requests of clients, each in a task of its own.

    :param limits: asked anew for each request, so that a change holds on open connections too.
    :param on_refused: told of every request that the server itself refuses or cuts.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        on_refused: RefusalListener = lambda refusal, head: None,
    ) -> None:
        self.stopping = False
        self._handler = handler
        self._limits = limits
        self._on_refused = on_refused
        self._listener: asyncio.Server | None = None
        self._connections: set[OwnedConnection] = set()
        self._refused: set[OwnedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_requests = 0
        self._quiet: asyncio.Event = asyncio.Event()
        self._quiet.set()

    @property
    def open_requests(self) -> int:
        """Requests whose head was read and whose answer hasn't ended."""
        return self._open_requests

    async def listen(self, host: str, port: int) -> int:
        """Listen and return the port (useful with port 0).

        :raises OSError: if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=_BACKLOG, reuse_address=True
        )
        return int(self._listener.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Take no new connections; answers from now on say ``Connection: close``."""
        self.stopping = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def finish(self, grace_s: float) -> None:
        """Close idle connections, answer what was read for at most ``grace_s``, then close the rest."""
        self.stop_accepting()
        # What already waits in the kernel is read first, so that fewer requests meet a closed connection.
        for _ in range(_ROUNDS_TO_READ):
            await asyncio.sleep(0)
        for connection in tuple(self._connections):
            connection.close_if_idle()
        try:
            async with asyncio.timeout(grace_s):
                await self._quiet.wait()
        except TimeoutError:
            _log.warning("http_finish_cut open_requests=%d", self._open_requests)
        self.close()

    def close(self) -> None:
        """Reset every connection and cancel every handler."""
        self.stop_accepting()
        for connection in (*self._connections, *self._refused):
            connection.cut()
        for task in tuple(self._tasks):
            task.cancel()

    # What the connections use.

    def limits_now(self) -> ServerLimits:
        """Return the bounds in force."""
        return self._limits()

    def connected(self, connection: OwnedConnection) -> bool:
        """Take in a new connection; ``False`` if there are too many."""
        self._quiet.clear()
        if len(self._connections) >= self._limits().max_connections:
            self._refused.add(connection)
            return False
        self._connections.add(connection)
        return True

    def refused(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        """Tell the listener of a refusal."""
        self._on_refused(refusal, head)

    def disconnected(self, connection: OwnedConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)
        self._refused.discard(connection)
        self._note_quiet()

    def opened(self, exchange: HttpServerExchange) -> None:
        """Have a new request handled."""
        self._open_requests += 1
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        self._quiet.clear()
        task.add_done_callback(self._task_done)

    def closed(self) -> None:
        """Note that a request was answered or its client left."""
        self._open_requests -= 1

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._note_quiet()

    def _note_quiet(self) -> None:
        if not self._connections and not self._refused and not self._tasks:
            self._quiet.set()

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
        except Exception as error:
            _log.error("http_handler_failed error=%s", describe_exception(error))
            self._fail(exchange)
        else:
            # A handler that returns without an end has a fault too.
            self._fail(exchange)

    def _fail(self, exchange: HttpServerExchange) -> None:
        if exchange.fail(500):
            self._on_refused(ServerRefusal.HANDLER_FAILED, exchange.head)
