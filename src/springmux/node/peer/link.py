"""A connection to a peer as a coroutine sees it: made, greeted, held, lost."""

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
"""Several round trips between regions. The machine that is asked may just be starting, as all do after a loss
of power: what reached it too early was lost."""
CONNECT_TIMEOUT_S = 0.5
"""The other side's kernel answers, also of a busy machine. An answer that is later than this was lost, and
TCP itself asks again only after 1 s (RFC 6298): a new attempt finds the end of a cut sooner."""


class PeerLink:
    """The connecting side of one connection. Whoever makes it calls :meth:`end` in the end."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._frames: deque[bytes] = deque()
        self._woken = asyncio.Event()
        self._over = False
        self._greeting = True
        self._on_writable: Callable[[], None] = lambda: None
        self.connection = FrameConnection(self._received, self._lost, writable=lambda: self._on_writable())
        self.node = ""
        """Node at the other end, known after the handshake."""

    def end(self) -> None:
        """End the connection if it has not ended yet; what is unsent is dropped."""
        if self.connection.unsent_bytes:
            self.connection.abort()
        else:
            self.connection.close()

    async def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Make the connection.

        :raises OSError: if it can't be made, :class:`TimeoutError` among them.
        """
        host, port = split_address(self._address)
        async with asyncio.timeout(timeout_s):
            await self._loop.create_connection(lambda: self.connection, host, port)

    async def greet(self, keeper: HandshakeAuthenticator, lane: str) -> None:
        """Carry out the connecting side's handshake.

        :raises HandshakeError: if the other side is no peer, or ended the connection.
        """
        challenge = decode_handshake(await self._receive())
        if not isinstance(challenge, Challenge):
            raise HandshakeError("malformed")
        hello = keeper.hello(challenge, lane)
        self.connection.send((encode_handshake(hello),))
        welcome = decode_handshake(await self._receive())
        if not isinstance(welcome, Welcome):
            raise HandshakeError("malformed")
        keeper.check_welcome(hello, welcome)
        self.node = welcome.node

    async def wait_lost(self, on_writable: Callable[[], None]) -> None:
        """Wait for the end of a connection whose handshake is over."""
        self._on_writable = on_writable
        self._greeting = False
        if self._frames:
            self.connection.abort()
        while not self._over:
            self._woken.clear()
            await self._woken.wait()

    async def _receive(self) -> bytes:
        while not self._frames:
            if self._over:
                raise HandshakeError("closed")
            self._woken.clear()
            await self._woken.wait()
        return self._frames.popleft()

    def _received(self, payload: bytes) -> None:
        if not self._greeting:
            self.connection.abort()  # the accepting side has nothing more to say
            return
        self._frames.append(payload)
        self._woken.set()

    def _lost(self, _: Exception | None) -> None:
        self._over = True
        self._woken.set()
