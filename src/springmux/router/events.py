"""Events of one request, handled by :class:`springmux.router.flow.RequestFlow`."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from springmux.coordination.claims.decision import ClaimDecision
from springmux.coordination.state_machine import Event
from springmux.vocabulary.names import RequestId


class ClientRequest(msgspec.Struct, frozen=True):
    """A client's complete request as read by the listener, with header names in lower case."""

    request_id: RequestId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class RequestBegun(Event, frozen=True):
    """The complete request was read."""


class ClaimDecided(Event, frozen=True):
    """The claim requested by ``RequestClaim`` was decided."""

    decision: ClaimDecision


class UpstreamHead(Event, frozen=True):
    """The engine responded with a status line and headers (names in lower case)."""

    attempt: int
    status: int
    headers: Mapping[str, str]


class UpstreamData(Event, frozen=True):
    """Bytes of the engine's response body arrived."""

    attempt: int
    data: bytes


class UpstreamEnd(Event, frozen=True):
    """The response ended properly (length reached, or last chunk)."""

    attempt: int


class UpstreamCause(enum.StrEnum):
    """Why an attempt failed."""

    REFUSED = "refused"
    """Connection refused or address unreachable."""
    CONNECT_TIMEOUT = "connect_timeout"
    RESET = "reset"
    """Connection closed or reset before the end of the response."""
    PROTOCOL = "protocol"
    """Not HTTP, or a body of another length than announced."""


class UpstreamFailed(Event, frozen=True):
    """The attempt failed. ``sent``: a byte of the request may have reached the engine."""

    attempt: int
    cause: UpstreamCause
    sent: bool


UpstreamEvent = UpstreamHead | UpstreamData | UpstreamEnd | UpstreamFailed
"""Events of an attempt."""


class ClientDisconnected(Event, frozen=True):
    """The client closed its connection."""


class ClientBlocked(Event, frozen=True):
    """The client's socket is full; reading from the engine pauses until ``ClientReady``."""


class ClientReady(Event, frozen=True):
    """The client's socket is writable, and reading from the engine resumes."""


class KeyRevoked(Event, frozen=True):
    """The client's key was revoked while the request is in flight."""


class StopRequested(Event, frozen=True):
    """The node's shutdown grace period has passed; the request must end now with an error."""
