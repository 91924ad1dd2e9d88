"""A connection to an engine. It serves one exchange at a time; unsolicited bytes from the engine end it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from springmux.node.http.sockets import (
    detect_unresponsive_peer,
    has_pending_input,
    limit_read_size,
    limit_receive_buffer,
    send_without_delay,
)

# Most bytes that one read takes from the kernel, so that little is held of a response that its client
# does not read.
_MAX_READ_BYTES = 32 * 1024


class ConnectionExchange(Protocol):
    """Interface of the exchange that a connection is serving."""

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the engine."""
        ...

    def eof_received(self) -> None:
        """Handle the engine's EOF."""
        ...

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection; ``error`` is ``None`` after a regular close."""
        ...


class EngineConnection(asyncio.Protocol):
    """One connection to an engine, idle in the pool while ``exchange`` is ``None``.

    :param on_lost: called once when the connection has ended.
    """

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
        """Store the transport and set its socket options."""
        self._transport = cast(asyncio.Transport, transport)
        send_without_delay(self._transport)
        detect_unresponsive_peer(self._transport)
        limit_read_size(self._transport, _MAX_READ_BYTES)
        limit_receive_buffer(self._transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the exchange, or abort the connection if there is none: the bytes are unsolicited."""
        if self.exchange is None:
            self.abort()
        else:
            self.exchange.data_received(data)

    def eof_received(self) -> bool:
        """Report the engine's EOF to the exchange; the transport closes."""
        if self.exchange is not None:
            self.exchange.eof_received()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the exchange and to ``on_lost``."""
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
        """Return whether an idle connection can serve a request: open, not expired, without pending input."""
        not_expired = asyncio.get_running_loop().time() < self.idle_until
        return not_expired and not self.closing and not has_pending_input(self._transport)

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
        """End the current exchange; the connection closes after ``idle_timeout_s`` unless it is reused."""
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
        """Close immediately, without sending what is still buffered."""
        self.stop_idle_timer()
        self._transport.abort()
