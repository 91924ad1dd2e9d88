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
"""A peer that takes nothing for so long is frozen or cut off; a new connection finds out which."""
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 0.5
"""A peer that comes back must hear its fleet again within about 0.5 s."""
IDLE_CLOSE_S = 60.0
MAX_QUEUED_MESSAGES = 512
MAX_QUEUED_BYTES = 32 << 20
"""Room for two of the largest messages (12 MiB) and the small ones beside them."""
URGENT_BYTES = 4096
"""Heartbeats, votes, probes and tokens are smaller; when a queue is full, larger messages go first."""
WRITE_BYTES = 256 << 10
"""Messages that wait together go out in writes of about this size (some socket buffers' worth)."""


class Outgoing(msgspec.Struct, frozen=True):
    """One encoded message and its type's name for metrics."""

    name: str
    data: bytes


class SendQueue:
    """Bounded queue: when full, the oldest message that is not urgent is dropped, else the oldest."""

    def __init__(self, on_drop: Callable[[], None]) -> None:
        self._messages: deque[Outgoing] = deque()
        self._size_bytes = 0
        self._on_drop = on_drop

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: Outgoing) -> None:
        """Append a message, dropping older ones if there is no room."""
        self._messages.append(message)
        self._size_bytes += len(message.data)
        while len(self._messages) > 1 and self._over():
            self._drop_one()

    def pop(self) -> Outgoing:
        """Take the oldest message."""
        message = self._messages.popleft()
        self._size_bytes -= len(message.data)
        return message

    def clear(self) -> None:
        """Drop everything."""
        while self._messages:
            self.pop()
            self._on_drop()

    def _over(self) -> bool:
        return len(self._messages) > MAX_QUEUED_MESSAGES or self._size_bytes > MAX_QUEUED_BYTES

    def _drop_one(self) -> None:
        older = range(len(self._messages) - 1)
        chosen = next((i for i in older if len(self._messages[i].data) > URGENT_BYTES), 0)
        self._size_bytes -= len(self._messages[chosen].data)
        del self._messages[chosen]
        self._on_drop()


class PeerChannel:
    """Sends to one address on one lane. Connects on demand and closes when idle.

    ``on_connected(node)`` and ``on_lost(node)`` tell which node answered at the address.
    """

    def __init__(
        self,
        address: Address,
        lane: str,
        keeper: HandshakeAuthenticator,
        log: EventLog,
        metrics: NodeMetrics,
        randomness: random.Random,
        on_connected: Callable[[str], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._address = address
        self._lane = lane
        self._keeper = keeper
        self._log = log
        self._metrics = metrics
        self._random = randomness
        self._on_connected = on_connected
        self._on_lost = on_lost
        self._queue = SendQueue(lambda: metrics.count("peer_dropped_messages_total", "queue_full"))
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._rival: asyncio.Task[None] | None = None
        self._replacement: PeerLink | None = None
        self._connection: FrameConnection | None = None
        """Set while messages may go out: from the welcome to the connection's end."""
        self._flush_planned = False
        self._unsent_bytes = 0
        self._moved_at = 0.0
        """When something was last queued for, or taken by, the other side."""
        self.node = ""
        """Node that answered last at this address, empty before the first answer."""

    @property
    def active(self) -> bool:
        """Whether a connection is held or being made."""
        return self._task is not None and not self._task.done()

    def send(self, message: Outgoing) -> None:
        """Queue a message; the connection is made if there is none."""
        self._queue.put(message)
        if self._connection is not None:
            self._plan_flush()
        elif not self.active:
            self._task = self._loop.create_task(self._run(), name=f"peer {self._address}")

    def look(self, now: float) -> None:
        """Look after the connection: to be called some times a second.

        One that takes nothing for long is ended, an idle one closed, and one whose messages nobody
        acknowledges replaced as soon as a second one gets through.
        """
        connection = self._connection
        if connection is None:
            return
        unsent_bytes = connection.unsent_bytes
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes, self._moved_at = unsent_bytes, now
        elif unsent_bytes and now - self._moved_at >= SEND_TIMEOUT_S:
            connection.abort()
        elif not unsent_bytes and not self._queue and now - self._moved_at >= IDLE_CLOSE_S:
            self._connection = None  # what is queued from here on goes over a new connection
            connection.close()
        elif connection.unanswered and (self._rival is None or self._rival.done()):
            self._rival = self._loop.create_task(self._replace(connection), name=f"peer {self._address}")

    async def close(self) -> None:
        """End the connection; what is queued is lost."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._replacement is not None:
            self._replacement.end()

    async def _run(self) -> None:
        failures = 0
        while True:
            began_at = self._loop.time()
            greeted = False
            try:
                link: PeerLink | None = await self._reach(connect_timeout_s(failures))
                failures, greeted = 0, True
                while link is not None:
                    link = await self._hold(link)
                if not self._queue:
                    return
                continue  # something was queued while the idle connection was closing
            except HandshakeError as error:
                self._metrics.count("peer_refused_hellos_total", error.reason)
            except (TimeoutError, OSError) as error:
                if not greeted and failures == 0:
                    self._log.write("peer_unreachable", address=self._address, error=type(error).__name__)
            self._on_lost(self.node)
            failures += 1
            # What waited through a failed connection is stale; its senders repeat what matters.
            self._queue.clear()
            # An attempt that waited has spent its time already: attempts begin at the backoff's distance.
            spent_s = 0.0 if greeted else self._loop.time() - began_at
            await asyncio.sleep(self._backoff(failures) - spent_s)
            if not self._queue:
                return

    def _backoff(self, failures: int) -> float:
        longest = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2.0 ** min(failures, 8))
        return self._random.uniform(0.5, 1.0) * longest

    async def _reach(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> PeerLink:
        """Return a connection whose handshake is over.

        :raises HandshakeError: if the other side is no peer.
        :raises OSError: if it can't be reached in time.
        """
        link = PeerLink(self._address)
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await link.connect(connect_timeout_s)
                await link.greet(self._keeper, self._lane)
        except BaseException:
            link.end()
            raise
        return link

    async def _hold(self, link: PeerLink) -> PeerLink | None:
        """Let messages go out until the connection ends. Returns the one that replaces it, if there is one.

        :raises OSError: if it was neither replaced nor closed for being idle.
        """
        self._metrics.set("peer_connections", self._metrics.value("peer_connections") + 1)
        self._connection = link.connection
        self._replacement = None
        self._unsent_bytes, self._moved_at = 0, self._loop.time()
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
            if self._rival is not None:
                self._rival.cancel()
            link.end()
            self._metrics.set("peer_connections", self._metrics.value("peer_connections") - 1)

    async def _replace(self, unanswered: FrameConnection) -> None:
        """Try whether a second connection gets through where the first one does not."""
        try:
            link = await self._reach()
        except (HandshakeError, TimeoutError, OSError):
            return
        if self._connection is unanswered and unanswered.unanswered:
            self._replacement = link
            unanswered.abort()
        else:
            link.end()

    def _plan_flush(self) -> None:
        """Write after this turn of the loop, together with what else is queued in it."""
        if not self._flush_planned:
            self._flush_planned = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_planned = False
        connection = self._connection
        if connection is None or not connection.open or not self._queue:
            return
        self._moved_at = self._loop.time()
        while self._queue and not connection.full:
            payloads: list[bytes] = []
            size_bytes = 0
            while self._queue and size_bytes < WRITE_BYTES:
                message = self._queue.pop()
                payloads.append(message.data)
                size_bytes += len(message.data)
                self._metrics.count("peer_sent_messages_total", message.name)
                self._metrics.count("peer_sent_bytes_total", message.name, amount=len(message.data))
            connection.send(payloads)


def connect_timeout_s(failures: int) -> float:
    """Return how long an attempt may take to connect (seconds): doubled by each failure, up to a bound."""
    return min(CONNECT_TIMEOUT_S, FIRST_CONNECT_TIMEOUT_S * 2.0 ** min(failures, 8))
