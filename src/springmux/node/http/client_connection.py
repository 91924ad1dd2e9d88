"""A connection to an engine: it serves one exchange at a time and ends at any byte that nobody asked for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from springmux.node.http.sockets import has_news, notice_silent_peer, send_without_delay


class ConnectionUser(Protocol):
    """An exchange that a connection serves."""

    def data_came(self, data: bytes) -> None:
        """Take bytes of the engine."""
        ...

    def end_came(self) -> None:
        """The engine ended its side properly."""
        ...

    def connection_ended(self, error: Exception | None) -> None:
        """The connection is over."""
        ...


class EngineConnection(asyncio.Protocol):
    """One connection to an engine."""

    def __init__(self, address: str, on_lost: Callable[[EngineConnection], None]) -> None:
        self.address = address
        self.user: ConnectionUser | None = None
        self.fresh = True
        self.kept_until = 0.0
        self.lost = False
        self._on_lost = on_lost
        self._transport: asyncio.Transport
        self._timer: asyncio.TimerHandle | None = None
        self._reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the transport."""
        self._transport = cast(asyncio.Transport, transport)
        send_without_delay(self._transport)
        notice_silent_peer(self._transport)

    def data_received(self, data: bytes) -> None:
        """Hand bytes to the exchange; without one they are nobody's, and the connection ends."""
        if self.user is None:
            self.abort()
        else:
            self.user.data_came(data)

    def eof_received(self) -> bool:
        """The engine ended its side; the transport closes."""
        if self.user is not None:
            self.user.end_came()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.stop_timer()
        self.lost = True
        user, self.user = self.user, None
        if user is not None:
            user.connection_ended(exc)
        self._on_lost(self)

    @property
    def closing(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that the kernel hasn't taken yet."""
        return self._transport.get_write_buffer_size()

    def usable(self) -> bool:
        """Return whether a kept connection can take a request: open, in time, nothing came on it."""
        in_time = asyncio.get_running_loop().time() < self.kept_until
        return in_time and not self.closing and not has_news(self._transport)

    def write(self, data: bytes) -> bool:
        """Write a request; ``False`` if the kernel refused its first byte, so that nothing of it was sent."""
        self._transport.write(data)
        return not self._transport.is_closing()

    def read_on(self, wanted: bool) -> None:
        """Stop or resume reading."""
        if wanted == self._reading or self.closing:
            return
        self._reading = wanted
        if wanted:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def keep(self, life_s: float) -> None:
        """Wait idle for the next exchange, and end after ``life_s``."""
        loop = asyncio.get_running_loop()
        self.user = None
        self.fresh = False
        self.kept_until = loop.time() + life_s
        self.read_on(True)
        self._timer = loop.call_later(life_s, self.abort)

    def stop_timer(self) -> None:
        """End the idle time."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self) -> None:
        """Close at once."""
        self.stop_timer()
        self._transport.abort()
