"""One outgoing connection to a peer's address: bounded queue, handshake, reconnect with jitter."""

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
"""Limit on establishing the connection and completing the handshake together."""
SEND_TIMEOUT_S = 5.0
"""A peer that accepts no data for this time is frozen or partitioned; reconnecting shows which."""
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 0.5
"""Longest backoff: a peer that returns must be reachable again within about 0.5 s."""
IDLE_CLOSE_S = 60.0
MAX_QUEUED_MESSAGES = 512
MAX_QUEUED_BYTES = 32 << 20
"""Room for two of the largest messages (12 MiB each) and the small messages queued with them."""
URGENT_BYTES = 4096
"""A full queue drops larger messages first. Heartbeats, votes, probes and tokens are smaller than this."""
MAX_WRITE_BYTES = 256 << 10
"""One write joins queued messages until it has at least this size (several socket buffers)."""


class OutgoingMessage(msgspec.Struct, frozen=True):
    """One encoded message, and the name of its type for metrics."""

    name: str
    data: bytes


class SendQueue:
    """Bounded queue. When full, it drops the oldest message over ``URGENT_BYTES``, or else the oldest."""

    def __init__(self, on_drop: Callable[[], None]) -> None:
        self._messages: deque[OutgoingMessage] = deque()
        self._size_bytes = 0
        self._on_drop = on_drop

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: OutgoingMessage) -> None:
        """Append a message, dropping older ones while the queue is over its limits."""
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
        """Drop all messages."""
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
    """Sends the messages of one lane to one address. Connects on demand and closes the connection when idle.

    ``on_connected(node)`` and ``on_lost(node)`` receive the name from the peer's last handshake.
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
        """Set while messages may be sent: from the completed handshake to the end of the connection."""
        self._flush_scheduled = False
        self._unsent_bytes = 0
        self._progress_at = 0.0
        """Time at which data was last written, or accepted by the kernel (event loop time)."""
        self.node = ""
        """Node that last completed a handshake at this address; empty before the first handshake."""

    @property
    def active(self) -> bool:
        """Whether a connection is open or being established."""
        return self._task is not None and not self._task.done()

    def send(self, message: OutgoingMessage) -> None:
        """Queue a message, and connect if there is no connection."""
        self._queue.put(message)
        if self._connection is not None:
            self._schedule_flush()
        elif not self.active:
            self._task = self._loop.create_task(self._run(), name=f"peer {self._address}")

    def check(self, now: float) -> None:
        """Check the connection at ``now`` (event loop time). Must be called several times a second.

        A connection without progress is aborted, and an idle one is closed. A connection whose data is not
        acknowledged is replaced as soon as a second connection is established.
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
            self._connection = None  # messages that are queued from now on need a new connection
            connection.close()
        elif connection.unacknowledged and (self._replacing is None or self._replacing.done()):
            self._replacing = self._loop.create_task(self._replace(connection), name=f"peer {self._address}")

    async def close(self) -> None:
        """Close the connection. Queued messages are lost."""
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
                continue  # a message was queued while the idle connection was closing
            except HandshakeError as error:
                self._metrics.count("peer_refused_hellos_total", error.reason)
            except (TimeoutError, OSError) as error:
                if not connected and failures == 0:
                    self._log.write("peer_unreachable", address=self._address, error=type(error).__name__)
            self._on_lost(self.node)
            failures += 1
            # Messages queued during a failed attempt are stale; their senders repeat those that still matter.
            self._queue.clear()
            # The backoff separates the starts of two attempts, so an attempt's duration is part of it.
            elapsed_s = 0.0 if connected else self._loop.time() - began_at
            await asyncio.sleep(self._backoff(failures) - elapsed_s)
            if not self._queue:
                return

    def _backoff(self, failures: int) -> float:
        max_backoff_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2.0 ** min(failures, 8))
        return self._random.uniform(0.5, 1.0) * max_backoff_s

    async def _connect(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> PeerLink:
        """Return a connection whose handshake is complete.

        :raises HandshakeError: if the handshake fails.
        :raises OSError: if the address can't be reached in time.
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
        """Send messages until the connection ends, and return the connection that replaces it, if any.

        :raises OSError: if the connection ended without being replaced or closed as idle.
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
        """Replace a connection whose data is not acknowledged if a second connection can be established."""
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
        """Schedule a write at the loop's next iteration, which joins the messages queued until then."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        connection = self._connection
        if connection is None or not connection.open or not self._queue:
            return
        self._progress_at = self._loop.time()
        while self._queue and not connection.writing_paused:
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
    """Return the connect timeout of an attempt in seconds. Each failure doubles it, up to a limit."""
    return min(CONNECT_TIMEOUT_S, FIRST_CONNECT_TIMEOUT_S * 2.0 ** min(failures, 8))
