"""Types that the HTTP server and client share with their users."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import msgspec

from springmux.node.http.header_block import Header as Header
from springmux.node.http.header_block import HeaderBlock


class RequestHead(msgspec.Struct, frozen=True):
    """A request line and its headers, including the hop-by-hop ones. ``target``: unchanged path and query."""

    method: bytes
    target: bytes
    headers: HeaderBlock | tuple[Header, ...]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header (name in lower case)."""
        if isinstance(self.headers, HeaderBlock):
            return self.headers.first(name)
        for known, value in self.headers:
            if known == name:
                return value
        return None


class ResponseHead(msgspec.Struct, frozen=True):
    """A response's status and headers. ``length``: from Content-Length; ``None`` if chunked or unframed."""

    status: int
    headers: tuple[Header, ...]
    length: int | None
    chunked: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header (name in lower case)."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class BodyTooLargeError(Exception):
    """A request's body is over the limit. It is discarded; the connection closes after the response."""


class ClientDisconnectedError(Exception):
    """The client closed or reset its connection, or the connection was aborted."""


class ServerExchange(Protocol):
    """One request on a client's connection, as its handler uses it. The handler sends one response."""

    head: RequestHead
    received_at: float
    """Event loop time, in seconds, at which the head was complete."""

    async def body(self) -> bytes:
        """Return the complete body.

        :raises BodyTooLargeError: the body is over the limit; respond 413.
        :raises ClientDisconnectedError: the client disconnected before the end of the body.
        """
        ...

    def try_hold(self, size_bytes: int) -> bool:
        """Count bytes of a response that are held until it ends; return whether there is room for them."""
        ...

    def respond(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a complete response with Content-Length."""
        ...

    def begin(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        """Begin a response whose body follows; chunked if ``length`` is ``None``."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of the body immediately, then wait while the client's socket is full.

        :raises ClientDisconnectedError: the client has disconnected.
        """
        ...

    def end(self) -> None:
        """End the body; resets the connection if the body is shorter than announced."""
        ...

    def abort(self) -> None:
        """Reset the connection, so that a truncated response can't look complete."""
        ...

    @property
    def begun(self) -> bool:
        """Whether any byte of a response was sent."""
        ...

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once if the client disconnects before the end of the response."""
        ...


Handler = Callable[[ServerExchange], Awaitable[None]]
"""Handles one request; an exception, or a return without a response, becomes a 500 or a reset."""


class ServerRefusal(enum.StrEnum):
    """Why the server itself refused or aborted a request, in place of its handler."""

    MALFORMED = "malformed"
    """Not HTTP: 400, or a reset if a response has begun."""
    TOO_SLOW = "too_slow"
    """The head or the body timed out: 408, or a reset if a response has begun."""
    HEADERS_TOO_LARGE = "headers_too_large"
    """The head is over the limit: 431."""
    TOO_MANY_CONNECTIONS = "too_many_connections"
    """A new connection over the limit: 503."""
    OVERLOADED = "overloaded"
    """The process holds as many bytes as it may: 503, or a reset if a response has begun."""
    HANDLER_FAILED = "handler_failed"
    """The handler raised an exception or returned without a response: 500, or a reset."""
    STOPPED = "stopped"
    """The server closed before the end of the response: a reset."""


RefusalListener = Callable[[ServerRefusal, RequestHead | None], None]
"""Called for each request that the server itself refuses or aborts, with its head if that was read."""


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of a listener; read for each request, so that a change applies to open connections too."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4096


class FailureKind(enum.StrEnum):
    """How an exchange with an engine failed."""

    CONNECT = "connect"
    """No connection was established: nothing was sent."""
    NOT_SENT = "not_sent"
    """The connection had ended before any byte of the request was written."""
    RESET = "reset"
    """The connection was reset or closed after a write: the request may have been executed."""
    UNRESPONSIVE = "silent"
    """The peer's machine acknowledged nothing (TCP user timeout): the request may have been executed."""
    MALFORMED = "malformed"
    """The received bytes are not a valid HTTP response."""
    TRUNCATED = "cut_short"
    """The response began, and ended by a reset or before its announced length."""


class ExchangeFailedError(Exception):
    """An exchange with an engine failed in the way that ``kind`` names."""

    def __init__(self, kind: FailureKind, reason: str = "") -> None:
        super().__init__(f"{kind}: {reason}")
        self.kind = kind


class EngineExchange(Protocol):
    """One request to one engine over one connection."""

    async def head(self) -> ResponseHead:
        """Return the response's head; responses that ``accept`` rejects are skipped completely.

        :raises ExchangeFailedError: see :class:`FailureKind`.
        """
        ...

    async def read(self) -> bytes:
        """Return the next bytes of the body as they arrive; empty at the end of a complete body.

        :raises ExchangeFailedError: ``TRUNCATED`` or ``MALFORMED``.
        """
        ...

    def release(self) -> None:
        """End the exchange; the connection is reused if the response is complete and allows it."""
        ...

    def abort(self) -> None:
        """Close the connection immediately, so that the engine drops the request."""
        ...


class EngineClient(Protocol):
    """Pool of connections to engines, by address."""

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        connect_timeout_s: float,
        accept: Callable[[ResponseHead], bool],
    ) -> EngineExchange:
        """Connect or reuse a connection, write the request, and return the exchange.

        :param accept: returns whether a response belongs to this request, by its echoed id. A response that
            does not is a late response to another request: it is discarded, and the next one is awaited.
        :raises ExchangeFailedError: ``CONNECT`` or ``NOT_SENT``; nothing was sent.
        """
        ...

    def close(self) -> None:
        """Close every connection."""
        ...
