"""What can happen to one request: the events of :class:`springmux.router.flow.RequestFlow`."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from springmux.coordination.claims.decision import ClaimDecision
from springmux.coordination.state_machine import Event
from springmux.vocabulary.names import RequestId


class ClientRequest(msgspec.Struct, frozen=True):
    """A caller's whole request as the listener read it. Header names are lower case."""

    request_id: RequestId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class RequestBegun(Event, frozen=True):
    """The request was read whole; the flow decides what to do with it."""


class ClaimDecided(Event, frozen=True):
    """The claim asked for by ``RequestClaim`` was decided."""

    decision: ClaimDecision


class UpstreamHead(Event, frozen=True):
    """The engine answered with a status line and headers (names in lower case)."""

    attempt: int
    status: int
    headers: Mapping[str, str]


class UpstreamData(Event, frozen=True):
    """Bytes of the engine's answer body arrived."""

    attempt: int
    data: bytes


class UpstreamEnd(Event, frozen=True):
    """The HTTP library saw the answer's proper end (length reached, or last chunk)."""

    attempt: int


class UpstreamCause(enum.StrEnum):
    """Why an exchange with an engine failed."""

    REFUSED = "refused"
    """Connection refused or unreachable: the engine's process is gone."""
    CONNECT_TIMEOUT = "connect_timeout"
    RESET = "reset"
    """Connection closed or reset before the answer's end."""
    PROTOCOL = "protocol"
    """Not HTTP, or a body of another length than announced."""


class UpstreamFailed(Event, frozen=True):
    """The exchange failed. ``sent``: a byte of the request may have reached the engine."""

    attempt: int
    cause: UpstreamCause
    sent: bool


UpstreamEvent = UpstreamHead | UpstreamData | UpstreamEnd | UpstreamFailed
"""Everything that an exchange with an engine can bring."""


class ClientDisconnected(Event, frozen=True):
    """The caller closed its connection."""


class ClientBlocked(Event, frozen=True):
    """The caller's socket is full: nothing more is read from the engine until ``ClientReady``."""


class ClientReady(Event, frozen=True):
    """The caller's socket takes more again, and the engine's bytes are read again."""


class KeyRevoked(Event, frozen=True):
    """The caller's key was revoked while the request runs."""


class StopRequested(Event, frozen=True):
    """The node's stopping time limit has passed; end now with an error."""
