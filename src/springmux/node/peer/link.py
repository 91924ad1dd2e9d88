"""The connecting side of a peer connection: connect, handshake, wait for the end (coroutines)."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from springmux.coordination.identifiers import Address
from springmux.node.addresses import split_address
from springmux.node.peer.frames import FrameConnection
from springmux.node.peer.handshake import (
    Challenge,
    HandshakeAuthenticator,
    HandshakeError,
    Welcome,
    decode_handshake,
    encode_handshake,
)

FIRST_CONNECT_TIMEOUT_S = 0.15
"""Timeout of the first attempt: several round trips between regions.

The other machine may still be starting, as all machines do after a power failure, and packets that reach it
too early are lost.
"""
CONNECT_TIMEOUT_S = 0.5
"""Longest timeout of an attempt. Even the kernel of a busy machine responds within this time.

A packet without a response by then counts as lost. TCP itself retransmits only after 1 s (RFC 6298), so a new
attempt detects the end of a partition sooner.
"""


class PeerLink:
    """The connecting side of one connection. The creator must call :meth:`end`."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._frames: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._ended = False
        self._in_handshake = True
        self._on_writable: Callable[[], None] = lambda: None
        self.connection = FrameConnection(
            self._on_payload, self._on_lost, on_writable=lambda: self._on_writable()
        )
        self.node = ""
        """Name of the node at the other end; empty before the handshake is complete."""

    def end(self) -> None:
        """Close the connection if it is still open; unsent data is dropped."""
        if self.connection.unsent_bytes:
            self.connection.abort()
        else:
            self.connection.close()

    async def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Establish the connection.

        :raises OSError: if it fails, :class:`TimeoutError` included.
        """
        host, port = split_address(self._address)
        async with asyncio.timeout(timeout_s):
            await self._loop.create_connection(lambda: self.connection, host, port)

    async def perform_handshake(self, authenticator: HandshakeAuthenticator, lane: str) -> None:
        """Perform the connecting side's handshake.

        :raises HandshakeError: if the other side is no valid peer, or closed the connection.
        """
        challenge = decode_handshake(await self._receive())
        if not isinstance(challenge, Challenge):
            raise HandshakeError("malformed")
        hello = authenticator.hello(challenge, lane)
        self.connection.send((encode_handshake(hello),))
        welcome = decode_handshake(await self._receive())
        if not isinstance(welcome, Welcome):
            raise HandshakeError("malformed")
        authenticator.check_welcome(hello, welcome)
        self.node = welcome.node

    async def wait_lost(self, on_writable: Callable[[], None]) -> None:
        """Wait for the end of a connection whose handshake is over."""
        self._on_writable = on_writable
        self._in_handshake = False
        if self._frames:
            self.connection.abort()
        while not self._ended:
            self._changed.clear()
            await self._changed.wait()

    async def _receive(self) -> bytes:
        while not self._frames:
            if self._ended:
                raise HandshakeError("closed")
            self._changed.clear()
            await self._changed.wait()
        return self._frames.popleft()

    def _on_payload(self, payload: bytes) -> None:
        if not self._in_handshake:
            self.connection.abort()  # the accepting side sends nothing after the handshake
            return
        self._frames.append(payload)
        self._changed.set()

    def _on_lost(self, _: Exception | None) -> None:
        self._ended = True
        self._changed.set()
