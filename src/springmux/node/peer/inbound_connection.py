"""The accepting side of a peer connection: handshake, then messages until the connection ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from springmux.coordination.identifiers import NodeId
from springmux.coordination.state_machine import LogLevel
from springmux.node.logs import EventLog
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.peer.frames import FrameConnection
from springmux.node.peer.handshake import (
    Challenge,
    HandshakeAuthenticator,
    HandshakeError,
    Hello,
    decode_handshake,
    encode_handshake,
)
from springmux.node.resources.connection_limit import ConnectionLimit
from springmux.node.resources.memory_budget import MemoryBudget, MemoryClass

HELLO_TIMEOUT_S = 3.0
MESSAGE_COPIES = 2
"""How often a large message is held: as received, and as its payload."""
PARTITION_CHECK_PERIOD_S = 0.1
"""Period at which a handshake checks whether the injected partition that delays it is over.

After a real partition, TCP retransmission would continue the handshake.
"""


class InboundConnection:
    """Authenticates a connecting peer and delivers its messages. A protocol violation ends the connection.

    :param on_message: called with this object, the sender's name and the bytes of one message.
    :param on_end: called with this object when the connection has ended.
    """

    def __init__(
        self,
        authenticator: HandshakeAuthenticator,
        on_message: Callable[[InboundConnection, NodeId, bytes], None],
        on_end: Callable[[InboundConnection], None],
        log: EventLog,
        metrics: NodeMetrics,
        partitioned: Callable[[], bool],
        memory: MemoryBudget,
        connections: ConnectionLimit,
    ) -> None:
        self._authenticator = authenticator
        self._on_message = on_message
        self._on_end = on_end
        self._log = log
        self._metrics = metrics
        self._partitioned = partitioned
        self._loop = asyncio.get_running_loop()
        self._challenge: Challenge | None = None
        self._sender: NodeId | None = None
        self._hello_timer: asyncio.TimerHandle | None = None
        self._challenge_timer: asyncio.TimerHandle | None = None
        self._rejected = False
        self._memory = memory.open(self, MemoryClass.FLEET)
        self._connections = connections
        self.connection = FrameConnection(
            self._on_payload, self._on_lost, on_connected=self._on_connected, on_partial=self._on_partial
        )
        self.undecodable_logged = False
        """Whether an undecodable message of this connection has been logged."""

    def close(self) -> None:
        """Reset the connection."""
        self._rejected = True
        self.connection.abort()

    def yield_memory(self) -> None:
        """Reset the connection, whose peer did not finish a message: another one needs the memory."""
        self._metrics.count("peer_dropped_messages_total", "overloaded")
        self.close()

    def yield_place(self) -> None:
        """Reset the connection, which has been idle for longest, because there is a new one."""
        self._metrics.count("peer_refused_connections_total")
        self.close()

    def _on_connected(self) -> None:
        if not self._connections.admit(self):
            self.yield_place()
            return
        self._connections.begin_wait(self)
        self._hello_timer = self._loop.call_later(HELLO_TIMEOUT_S, self._hello_timed_out)
        self._send_challenge()

    def _send_challenge(self) -> None:
        if self._partitioned():
            # Send nothing, as a broken network would: the other side ends the attempt by its own timeout.
            self._challenge_timer = self._loop.call_later(PARTITION_CHECK_PERIOD_S, self._send_challenge)
            return
        self._challenge = self._authenticator.challenge()
        self.connection.send((encode_handshake(self._challenge),))

    def _hello_timed_out(self) -> None:
        self._rejected = True
        self._metrics.count("peer_refused_hellos_total", "timeout")
        self.connection.abort()

    def _on_partial(self, announced_bytes: int, read_bytes: int) -> bool:
        """Count a message's bytes before they arrive; return whether there is room for them."""
        memory = self._memory
        if not announced_bytes:
            if memory.waits:
                memory.end_wait()
                memory.release_all()
            return True
        if not memory.waits:
            memory.begin_wait()
        memory.record_progress(read_bytes)
        added_bytes = MESSAGE_COPIES * announced_bytes - memory.held_bytes
        if added_bytes <= 0:
            memory.release(-added_bytes)
        elif not memory.try_hold(added_bytes):
            self._metrics.count("peer_dropped_messages_total", "overloaded")
            return False
        return True

    def _on_payload(self, payload: bytes) -> None:
        if self._sender is not None:
            self._connections.begin_wait(self)
        if self._sender is None:
            self._finish_handshake(payload)
        elif self._partitioned():
            self._metrics.count("peer_dropped_messages_total", "injected_cut")
        else:
            self._on_message(self, self._sender, payload)

    def _finish_handshake(self, payload: bytes) -> None:
        try:
            hello = decode_handshake(payload)
            if not isinstance(hello, Hello) or self._challenge is None:
                raise HandshakeError("malformed")
            welcome = self._authenticator.welcome(self._challenge, hello)
        except HandshakeError as error:
            self._reject(error.reason)
            self.connection.close()
            return
        self._cancel_timers()
        self._sender = NodeId(hello.node)
        self.connection.finish_handshake()
        self.connection.send((encode_handshake(welcome),))

    def _reject(self, reason: str) -> None:
        self._rejected = True
        self._metrics.count("peer_refused_hellos_total", reason)
        address = self.connection.remote_host
        self._log.write("peer_refused", LogLevel.WARNING, reason=reason, address=address)

    def _cancel_timers(self) -> None:
        for timer in (self._hello_timer, self._challenge_timer):
            if timer is not None:
                timer.cancel()

    def _on_lost(self, _: Exception | None) -> None:
        self._cancel_timers()
        self._memory.end_wait()
        self._memory.release_all()
        self._connections.remove(self)
        if self._sender is None and self._challenge is not None and not self._rejected:
            self._reject("closed")
        self._on_end(self)
