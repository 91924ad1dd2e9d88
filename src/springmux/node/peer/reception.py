"""One accepted peer connection: challenge, hello, welcome, then messages until it ends."""

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

HELLO_TIMEOUT_S = 3.0
PARTITION_CHECK_S = 0.1
"""How soon a handshake delayed by an injected partition continues after it, as by TCP's retransmission."""


class PeerReception:
    """Authenticate a connecting peer and pass on its messages. Close connections that violate the protocol.

    :param receive: gets the reception, the sender's name and one message's bytes.
    :param ended: gets the reception once its connection is over.
    """

    def __init__(
        self,
        authenticator: HandshakeAuthenticator,
        receive: Callable[[PeerReception, NodeId, bytes], None],
        ended: Callable[[PeerReception], None],
        log: EventLog,
        metrics: NodeMetrics,
        partitioned: Callable[[], bool],
    ) -> None:
        self._authenticator = authenticator
        self._receive = receive
        self._ended = ended
        self._log = log
        self._metrics = metrics
        self._partitioned = partitioned
        self._loop = asyncio.get_running_loop()
        self._challenge: Challenge | None = None
        self._sender: NodeId | None = None
        self._hello_timer: asyncio.TimerHandle | None = None
        self._begin_timer: asyncio.TimerHandle | None = None
        self._rejected = False
        self.connection = FrameConnection(self._received, self._lost, made=self._made)
        self.reported = False
        """Whether an undecodable message of this connection was logged."""

    def close(self) -> None:
        """End the connection."""
        self._rejected = True
        self.connection.abort()

    def _made(self) -> None:
        self._hello_timer = self._loop.call_later(HELLO_TIMEOUT_S, self._hello_timed_out)
        self._begin()

    def _begin(self) -> None:
        if self._partitioned():
            # Send nothing, as over a broken network: the other side's own timeout ends the attempt.
            self._begin_timer = self._loop.call_later(PARTITION_CHECK_S, self._begin)
            return
        self._challenge = self._authenticator.challenge()
        self.connection.send((encode_handshake(self._challenge),))

    def _hello_timed_out(self) -> None:
        self._rejected = True
        self._metrics.count("peer_refused_hellos_total", "timeout")
        self.connection.abort()

    def _received(self, payload: bytes) -> None:
        if self._sender is None:
            self._finish_handshake(payload)
        elif self._partitioned():
            self._metrics.count("peer_dropped_messages_total", "injected_cut")
        else:
            self._receive(self, self._sender, payload)

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
        for timer in (self._hello_timer, self._begin_timer):
            if timer is not None:
                timer.cancel()

    def _lost(self, _: Exception | None) -> None:
        self._cancel_timers()
        if self._sender is None and self._challenge is not None and not self._rejected:
            self._reject("closed")
        self._ended(self)
