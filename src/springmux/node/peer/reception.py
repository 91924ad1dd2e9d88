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
CUT_LOOK_S = 0.1
"""How soon a connection made during an injected cut goes on after it, as TCP would by repeating."""


class PeerReception:
    """Checks who connected and hands on what it sends. Ends connections that break the rules.

    :param receive: gets the reception, the sender's name and one message's bytes.
    :param ended: gets the reception once its connection is over.
    """

    def __init__(
        self,
        keeper: HandshakeAuthenticator,
        receive: Callable[[PeerReception, NodeId, bytes], None],
        ended: Callable[[PeerReception], None],
        log: EventLog,
        metrics: NodeMetrics,
        cut: Callable[[], bool],
    ) -> None:
        self._keeper = keeper
        self._receive = receive
        self._ended = ended
        self._log = log
        self._metrics = metrics
        self._cut = cut
        self._loop = asyncio.get_running_loop()
        self._challenge: Challenge | None = None
        self._sender: NodeId | None = None
        self._limit: asyncio.TimerHandle | None = None
        self._beginning: asyncio.TimerHandle | None = None
        self._refused = False
        self.connection = FrameConnection(self._received, self._lost, made=self._made)
        self.reported = False
        """Whether a message of this connection that can't be read was logged."""

    def close(self) -> None:
        """End the connection."""
        self._refused = True
        self.connection.abort()

    def _made(self) -> None:
        self._limit = self._loop.call_later(HELLO_TIMEOUT_S, self._hello_missing)
        self._begin()

    def _begin(self) -> None:
        if self._cut():
            # Silence, as over a broken network: the other side's own limit ends the attempt.
            self._beginning = self._loop.call_later(CUT_LOOK_S, self._begin)
            return
        self._challenge = self._keeper.challenge()
        self.connection.send((encode_handshake(self._challenge),))

    def _hello_missing(self) -> None:
        self._refused = True
        self._metrics.count("peer_refused_hellos_total", "timeout")
        self.connection.abort()

    def _received(self, payload: bytes) -> None:
        if self._sender is None:
            self._greet(payload)
        elif self._cut():
            self._metrics.count("peer_dropped_messages_total", "injected_cut")
        else:
            self._receive(self, self._sender, payload)

    def _greet(self, payload: bytes) -> None:
        try:
            hello = decode_handshake(payload)
            if not isinstance(hello, Hello) or self._challenge is None:
                raise HandshakeError("malformed")
            welcome = self._keeper.welcome(self._challenge, hello)
        except HandshakeError as error:
            self._refuse(error.reason)
            self.connection.close()
            return
        self._cancel_timers()
        self._sender = NodeId(hello.node)
        self.connection.greeted()
        self.connection.send((encode_handshake(welcome),))

    def _refuse(self, reason: str) -> None:
        self._refused = True
        self._metrics.count("peer_refused_hellos_total", reason)
        address = self.connection.remote_host
        self._log.write("peer_refused", LogLevel.WARNING, reason=reason, address=address)

    def _cancel_timers(self) -> None:
        for timer in (self._limit, self._beginning):
            if timer is not None:
                timer.cancel()

    def _lost(self, _: Exception | None) -> None:
        self._cancel_timers()
        if self._sender is None and self._challenge is not None and not self._refused:
            self._refuse("closed")
        self._ended(self)
