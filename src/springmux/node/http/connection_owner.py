"""Interfaces between a client's connection and the server that owns the connection."""

from __future__ import annotations

from typing import Protocol

from springmux.node.http.server_exchange import HttpServerExchange
from springmux.node.http.types import RequestHead, ServerLimits, ServerRefusal
from springmux.node.resources.connection_limit import ConnectionLimit, LimitedConnection
from springmux.node.resources.memory_budget import MemoryClass, MemoryHolder
from springmux.node.resources.process_resources import ProcessResources


class OwnedConnection(LimitedConnection, MemoryHolder, Protocol):
    """A client's connection, as its server uses it."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight."""
        ...

    def abort(self) -> None:
        """Reset the connection, even with a request in flight."""
        ...


class ConnectionOwner(Protocol):
    """The server, as its connections use it."""

    stopping: bool
    resources: ProcessResources
    connections: ConnectionLimit
    memory_class: MemoryClass

    def limits_now(self) -> ServerLimits:
        """Return the current limits."""
        ...

    def connection_opened(self, connection: OwnedConnection) -> bool:
        """Register a new connection; return ``False`` if there are too many."""
        ...

    def request_refused(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        """Report that a request was refused or aborted; ``head`` is ``None`` if its head was not read."""
        ...

    def connection_closed(self, connection: OwnedConnection) -> None:
        """Unregister a connection."""
        ...

    def request_started(self, exchange: HttpServerExchange) -> None:
        """Start the handler of a new request."""
        ...

    def request_ended(self) -> None:
        """Record that a request got its response or its client disconnected."""
        ...
