"""A connection to an engine: it serves one exchange at a time, and ends at any unsolicited byte."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from springmux.node.http.sockets import detect_unresponsive_peer, has_pending_input, send_without_delay


class ConnectionExchange(Protocol):
    """The exchange that a connection serves at present."""

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the engine."""
        ...

    def eof_received(self) -> None:
        """Handle the end of the engine's side."""
        ...

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection; ``error`` is ``None`` after a proper close."""
        ...


class EngineConnection(asyncio.Protocol):
    """One connection to an engine."""

    def __init__(self, address: str, on_lost: Callable[[EngineConnection], None]) -> None:
        self.address = address
        self.exchange: ConnectionExchange | None = None
        self.fresh = True
        self.idle_until = 0.0
        self.lost = False
        self._on_lost = on_lost
        self._transport: asyncio.Transport
        self._idle_timer: asyncio.TimerHandle | None = None
        self._reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport up."""
        self._transport = cast(asyncio.Transport, transport)
        send_without_delay(self._transport)
        detect_unresponsive_peer(self._transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the exchange; without one they are unsolicited, and the connection ends."""
        if self.exchange is None:
            self.abort()
        else:
            self.exchange.data_received(data)

    def eof_received(self) -> bool:
        """Report that the engine ended its side; the transport closes."""
        if self.exchange is not None:
            self.exchange.eof_received()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.stop_idle_timer()
        self.lost = True
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.connection_lost(exc)
        self._on_lost(self)

    @property
    def closing(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size()

    def reusable(self) -> bool:
        """Return whether an idle connection can serve a request: open, in time, and without pending input."""
        in_time = asyncio.get_running_loop().time() < self.idle_until
        return in_time and not self.closing and not has_pending_input(self._transport)

    def write(self, data: bytes) -> bool:
        """Write a request; return ``False`` if the kernel refused its first byte, so nothing was sent."""
        self._transport.write(data)
        return not self._transport.is_closing()

    def set_reading(self, enabled: bool) -> None:
        """Pause or resume reading."""
        if enabled == self._reading or self.closing:
            return
        self._reading = enabled
        if enabled:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def set_idle(self, idle_timeout_s: float) -> None:
        """Wait for the next exchange, and close after ``idle_timeout_s``."""
        loop = asyncio.get_running_loop()
        self.exchange = None
        self.fresh = False
        self.idle_until = loop.time() + idle_timeout_s
        self.set_reading(True)
        self._idle_timer = loop.call_later(idle_timeout_s, self.abort)

    def stop_idle_timer(self) -> None:
        """Cancel the idle timeout."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def abort(self) -> None:
        """Close at once."""
        self.stop_idle_timer()
        self._transport.abort()
