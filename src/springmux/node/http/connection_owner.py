"""What a client's connection needs of the server that owns it."""

from __future__ import annotations

from typing import Protocol

from springmux.node.http.server_exchange import HttpServerExchange
from springmux.node.http.types import RequestHead, ServerLimits, ServerRefusal


class OwnedConnection(Protocol):
    """What the server does to a client's connection."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight."""
        ...

    def cut(self) -> None:
        """Reset the connection, whatever is in flight."""
        ...


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    stopping: bool

    def limits_now(self) -> ServerLimits:
        """Return the bounds in force."""
        ...

    def connected(self, connection: OwnedConnection) -> bool:
        """Take in a new connection; ``False`` if there are too many."""
        ...

    def refused(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        """Note that a request was refused or cut. ``head``: the request's, if it was read."""
        ...

    def disconnected(self, connection: OwnedConnection) -> None:
        """Forget a connection."""
        ...

    def opened(self, exchange: HttpServerExchange) -> None:
        """Have a new request handled."""
        ...

    def closed(self) -> None:
        """Note that a request was answered or its client left."""
        ...
