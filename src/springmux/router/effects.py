"""Effects that a request's flow returns to the listener and the upstream client."""

from __future__ import annotations

from springmux.coordination.state_machine import Effect
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.errors import ApiError

Headers = tuple[tuple[str, str], ...]


class RequestClaim(Effect, frozen=True):
    """Request the at-most-once claim ``claim_key``; its result arrives as ``ClaimDecided``."""

    claim_key: str


class SettleClaim(Effect, frozen=True):
    """End the claim.

    ``ran``: the request may have been executed. ``answer``: encoded response for a resent request.
    """

    claim_key: str
    ran: bool
    answer: bytes = b""


class Dispatch(Effect, frozen=True):
    """Send the request to an engine. ``fresh``: use a new connection, not a pooled one."""

    attempt: int
    engine: EngineRecord
    path: str
    headers: Headers
    body: bytes
    connect_timeout_s: float
    fresh: bool


class CloseUpstream(Effect, frozen=True):
    """Close the attempt. ``reusable``: its response ended properly, so the connection may be pooled."""

    attempt: int
    reusable: bool


class ResponseHead(Effect, frozen=True):
    """Begin the response to the client. ``length`` is ``None`` for a stream (chunked)."""

    status: int
    headers: Headers
    length: int | None


class ResponseData(Effect, frozen=True):
    """Write bytes of the response to the client immediately."""

    data: bytes


class ResponseEnd(Effect, frozen=True):
    """The response is complete."""


class ResponseError(Effect, frozen=True):
    """Respond with a typed error; nothing was written to the client before."""

    error: ApiError


class ResponseAborted(Effect, frozen=True):
    """Abort a response: close the client's connection without a proper end."""


class FlowDone(Effect, frozen=True):
    """The flow has ended; the driver discards it."""
