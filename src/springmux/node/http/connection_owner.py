"""What a client's connection needs of the server that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from springmux.node.http.types import RequestHead, ServerLimits, ServerRefusal

if TYPE_CHECKING:
    from springmux.node.http.server_connection import ServerConnection
    from springmux.node.http.server_exchange import HttpServerExchange


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    stopping: bool

    def limits_now(self) -> ServerLimits:
        """Return the bounds in force."""
        ...

    def connected(self, connection: ServerConnection) -> bool:
        """Take in a new connection; ``False`` if there are too many."""
        ...

    def refused(self, refusal: ServerRefusal, head: RequestHead | None) -> None:
        """Note that a request was refused or cut. ``head``: the request's, if it was read."""
        ...

    def disconnected(self, connection: ServerConnection) -> None:
        """Forget a connection."""
        ...

    def opened(self, exchange: HttpServerExchange) -> None:
        """Have a new request handled."""
        ...

    def closed(self) -> None:
        """Note that a request was answered or its client left."""
        ...
