"""One outgoing connection to a peer's address: bounded queue, reconnect with jitter, hello."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

import msgspec

from springmux.coordination.identifiers import Address
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.peer.frames import FrameConnection
from springmux.node.peer.handshake import HandshakeAuthenticator, HandshakeError
from springmux.node.peer.link import CONNECT_TIMEOUT_S, FIRST_CONNECT_TIMEOUT_S, PeerLink

ATTEMPT_TIMEOUT_S = 1.0
"""Connection and handshake together."""
SEND_TIMEOUT_S = 5.0
"""A peer that accepts nothing for so long is frozen or partitioned; a new connection finds out which."""
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 0.5
"""A peer that returns must be reachable again within about 0.5 s."""
IDLE_CLOSE_S = 60.0
MAX_QUEUED_MESSAGES = 512
MAX_QUEUED_BYTES = 32 << 20
"""Room for two of the largest messages (12 MiB) and the small ones beside them."""
URGENT_BYTES = 4096
"""Heartbeats, votes, probes and tokens are smaller; a full queue drops larger messages first."""
MAX_WRITE_BYTES = 256 << 10
"""Size of a write that joins queued messages (several socket buffers)."""


class OutgoingMessage(msgspec.Struct, frozen=True):
    """One encoded message and its type's name for metrics."""

    name: str
    data: bytes


class SendQueue:
    """Bounded queue: when full, the oldest message that is not urgent is dropped, else the oldest."""

    def __init__(self, on_drop: Callable[[], None]) -> None:
        self._messages: deque[OutgoingMessage] = deque()
        self._size_bytes = 0
        self._on_drop = on_drop

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: OutgoingMessage) -> None:
        """Append a message, dropping older ones if there is no room."""
        self._messages.append(message)
        self._size_bytes += len(message.data)
        while len(self._messages) > 1 and self._is_over_limit():
            self._drop_one()

    def pop(self) -> OutgoingMessage:
        """Remove and return the oldest message."""
        message = self._messages.popleft()
        self._size_bytes -= len(message.data)
        return message

    def clear(self) -> None:
        """Drop everything."""
        while self._messages:
            self.pop()
            self._on_drop()

    def _is_over_limit(self) -> bool:
        return len(self._messages) > MAX_QUEUED_MESSAGES or self._size_bytes > MAX_QUEUED_BYTES

    def _drop_one(self) -> None:
        older = range(len(self._messages) - 1)
        chosen = next((i for i in older if len(self._messages[i].data) > URGENT_BYTES), 0)
        self._size_bytes -= len(self._messages[chosen].data)
        del self._messages[chosen]
        self._on_drop()


class PeerChannel:
    """Sends to one address on one lane. Connects on demand and closes when idle.

    ``on_connected(node)`` and ``on_lost(node)`` name the node that answered at the address.
    """

    def __init__(
        self,
        address: Address,
        lane: str,
        authenticator: HandshakeAuthenticator,
        log: EventLog,
        metrics: NodeMetrics,
        randomness: random.Random,
        on_connected: Callable[[str], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._address = address
        self._lane = lane
        self._authenticator = authenticator
        self._log = log
        self._metrics = metrics
        self._random = randomness
        self._on_connected = on_connected
        self._on_lost = on_lost
        self._queue = SendQueue(lambda: metrics.count("peer_dropped_messages_total", "queue_full"))
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._replacing: asyncio.Task[None] | None = None
        self._replacement: PeerLink | None = None
        self._connection: FrameConnection | None = None
        """Set while messages may be sent: from the welcome to the connection's end."""
        self._flush_scheduled = False
        self._unsent_bytes = 0
        self._progress_at = 0.0
        """When data was last written to, or accepted by, the other side (event loop time)."""
        self.node = ""
        """Node that last completed a handshake at this address, empty before the first."""

    @property
    def active(self) -> bool:
        """Whether a connection is open or being established."""
        return self._task is not None and not self._task.done()

    def send(self, message: OutgoingMessage) -> None:
        """Queue a message; connect if there is no connection."""
        self._queue.put(message)
        if self._connection is not None:
            self._schedule_flush()
        elif not self.active:
            self._task = self._loop.create_task(self._run(), name=f"peer {self._address}")

    def check(self, now: float) -> None:
        """Check the connection; to be called several times a second.

        A connection without progress is aborted, an idle one closed, and one whose messages are not
        acknowledged replaced as soon as a second one is established.
        """
        connection = self._connection
        if connection is None:
            return
        unsent_bytes = connection.unsent_bytes
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes, self._progress_at = unsent_bytes, now
        elif unsent_bytes and now - self._progress_at >= SEND_TIMEOUT_S:
            connection.abort()
        elif not unsent_bytes and not self._queue and now - self._progress_at >= IDLE_CLOSE_S:
            self._connection = None  # messages queued from here on need a new connection
            connection.close()
        elif connection.unacknowledged and (self._replacing is None or self._replacing.done()):
            self._replacing = self._loop.create_task(self._replace(connection), name=f"peer {self._address}")

    async def close(self) -> None:
        """Close the connection; queued messages are lost."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._replacement is not None:
            self._replacement.end()

    async def _run(self) -> None:
        failures = 0
        while True:
            began_at = self._loop.time()
            connected = False
            try:
                link: PeerLink | None = await self._connect(connect_timeout_s(failures))
                failures, connected = 0, True
                while link is not None:
                    link = await self._serve(link)
                if not self._queue:
                    return
                continue  # something was queued while the idle connection was closing
            except HandshakeError as error:
                self._metrics.count("peer_refused_hellos_total", error.reason)
            except (TimeoutError, OSError) as error:
                if not connected and failures == 0:
                    self._log.write("peer_unreachable", address=self._address, error=type(error).__name__)
            self._on_lost(self.node)
            failures += 1
            # Messages queued during a failed attempt are stale; their senders repeat what matters.
            self._queue.clear()
            # The backoff is the time between the starts of attempts, so an attempt's own time counts.
            spent_s = 0.0 if connected else self._loop.time() - began_at
            await asyncio.sleep(self._backoff(failures) - spent_s)
            if not self._queue:
                return

    def _backoff(self, failures: int) -> float:
        longest = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2.0 ** min(failures, 8))
        return self._random.uniform(0.5, 1.0) * longest

    async def _connect(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> PeerLink:
        """Return a connection whose handshake is complete.

        :raises HandshakeError: if the other side is no peer.
        :raises OSError: if it can't be reached in time.
        """
        link = PeerLink(self._address)
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await link.connect(connect_timeout_s)
                await link.perform_handshake(self._authenticator, self._lane)
        except BaseException:
            link.end()
            raise
        return link

    async def _serve(self, link: PeerLink) -> PeerLink | None:
        """Send messages until the connection ends; return the one that replaces it, if any.

        :raises OSError: if it was neither replaced nor closed as idle.
        """
        self._metrics.set("peer_connections", self._metrics.value("peer_connections") + 1)
        self._connection = link.connection
        self._replacement = None
        self._unsent_bytes, self._progress_at = 0, self._loop.time()
        if self.node != link.node and self.node:
            self._on_lost(self.node)
        self.node = link.node
        try:
            self._on_connected(self.node)
            self._flush()
            await link.wait_lost(on_writable=self._flush)
            if self._replacement is None and self._connection is not None:
                raise ConnectionResetError("the peer closed the connection")
            return self._replacement
        finally:
            self._connection = None
            if self._replacing is not None:
                self._replacing.cancel()
            link.end()
            self._metrics.set("peer_connections", self._metrics.value("peer_connections") - 1)

    async def _replace(self, stalled: FrameConnection) -> None:
        """Replace a connection without acknowledgements if a second one can be established."""
        try:
            link = await self._connect()
        except (HandshakeError, TimeoutError, OSError):
            return
        if self._connection is stalled and stalled.unacknowledged:
            self._replacement = link
            stalled.abort()
        else:
            link.end()

    def _schedule_flush(self) -> None:
        """Write at the loop's next iteration, together with what else is queued until then."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        connection = self._connection
        if connection is None or not connection.open or not self._queue:
            return
        self._progress_at = self._loop.time()
        while self._queue and not connection.full:
            payloads: list[bytes] = []
            size_bytes = 0
            while self._queue and size_bytes < MAX_WRITE_BYTES:
                message = self._queue.pop()
                payloads.append(message.data)
                size_bytes += len(message.data)
                self._metrics.count("peer_sent_messages_total", message.name)
                self._metrics.count("peer_sent_bytes_total", message.name, amount=len(message.data))
            connection.send(payloads)


def connect_timeout_s(failures: int) -> float:
    """Return an attempt's connect timeout (seconds): doubled by each failure, up to a bound."""
    return min(CONNECT_TIMEOUT_S, FIRST_CONNECT_TIMEOUT_S * 2.0 ** min(failures, 8))
