"""Types that the HTTP server and client share with their users."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import msgspec

Header = tuple[bytes, bytes]
"""Name in lower case, and value, as they were on the wire."""


class RequestHead(msgspec.Struct, frozen=True):
    """A request line and its headers. ``target``: path and query, unchanged. Hop-by-hop headers included."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header (name in lower case)."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class ResponseHead(msgspec.Struct, frozen=True):
    """An answer's status and headers. ``length``: from Content-Length; ``None`` if chunked or unframed."""

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
    """A client's body is over the limit. Nothing of it is kept; the connection ends after the answer."""


class ClientDisconnectedError(Exception):
    """The client closed or reset its connection, or the connection was aborted."""


class ServerExchange(Protocol):
    """One request on a client's connection, for its handler. Answered once."""

    head: RequestHead
    received_at: float
    """Monotonic time at which the head was whole."""

    async def body(self) -> bytes:
        """Return the whole body.

        :raises BodyTooLargeError: if it is over the limit; answer 413.
        :raises ClientDisconnectedError: if the client left before its end.
        """
        ...

    def respond(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a whole answer with Content-Length."""
        ...

    def begin(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        """Begin an answer whose body follows; chunked where ``length`` is ``None``."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of the body at once; waits while the client's socket is full.

        :raises ClientDisconnectedError: if the client left.
        """
        ...

    def end(self) -> None:
        """End the body properly."""
        ...

    def abort(self) -> None:
        """Reset the connection, so that an unfinished answer can't look complete."""
        ...

    @property
    def begun(self) -> bool:
        """Whether any byte of an answer was sent."""
        ...

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once if the client leaves before the answer's end."""
        ...


Handler = Callable[[ServerExchange], Awaitable[None]]


class ServerRefusal(enum.StrEnum):
    """Why the server itself refused or cut a request, so that its handler didn't answer it."""

    MALFORMED = "malformed"
    """Not HTTP: 400, or a reset if an answer has begun."""
    TOO_SLOW = "too_slow"
    """The head or the body came too slowly: 408, or a reset if an answer has begun."""
    HEADERS_TOO_LARGE = "headers_too_large"
    """The head is over the limit: 431."""
    TOO_MANY_CONNECTIONS = "too_many_connections"
    """A new connection over the limit: 503."""
    HANDLER_FAILED = "handler_failed"
    """The handler raised an exception or returned without an answer: 500, or a reset."""
    STOPPED = "stopped"
    """The server closed before the answer's end: a reset."""


RefusalListener = Callable[[ServerRefusal, RequestHead | None], None]
"""Gets each refusal of the server, with the request's head if it was read."""


class ServerLimits(msgspec.Struct, frozen=True):
    """Bounds of a listener; read anew for each request, so that a change holds on open connections too."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4096


class FailureKind(enum.StrEnum):
    """How an exchange with an engine failed."""

    CONNECT = "connect"
    """No connection came about: nothing was sent."""
    NOT_SENT = "not_sent"
    """A kept connection had ended before anything of the request was written."""
    RESET = "reset"
    """The connection was reset or closed after something was written: the request may have run."""
    SILENT = "silent"
    """The peer's machine took no bytes (TCP user timeout): the request may have run."""
    MALFORMED = "malformed"
    """What came is not an HTTP answer."""
    CUT_SHORT = "cut_short"
    """The answer began and ended before its announced end, or by a reset."""


class ExchangeFailedError(Exception):
    """An exchange with an engine failed; ``kind`` says how."""

    def __init__(self, kind: FailureKind, reason: str = "") -> None:
        super().__init__(f"{kind}: {reason}")
        self.kind = kind


class EngineExchange(Protocol):
    """One request to one engine over one connection."""

    async def head(self) -> ResponseHead:
        """Return the answer's head; answers that ``accept`` refuses are skipped whole.

        :raises ExchangeFailedError: see :class:`FailureKind`.
        """
        ...

    async def read(self) -> bytes:
        """Return the next bytes of the body as they come; empty at its proper end.

        :raises ExchangeFailedError: ``CUT_SHORT`` or ``MALFORMED``.
        """
        ...

    def release(self) -> None:
        """Leave a finished exchange: the connection is kept if the answer ended properly and allows it."""
        ...

    def abort(self) -> None:
        """Close the connection at once; the engine drops the request."""
        ...


class EngineClient(Protocol):
    """Connections to engines, kept for reuse by address."""

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        connect_timeout_s: float,
        accept: Callable[[ResponseHead], bool],
    ) -> EngineExchange:
        """Connect or reuse a connection, write the request, and return the exchange.

        :param accept: says whether an answer belongs to this request (by its echoed id). One that doesn't is
            a late answer of somebody else: it is read and dropped, and the next one is waited for.
        :raises ExchangeFailedError: ``CONNECT`` or ``NOT_SENT``; nothing was sent.
        """
        ...

    def close(self) -> None:
        """Close every connection."""
        ...
