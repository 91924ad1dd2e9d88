"""What a request's flow asks of the listener and of the upstream client."""

from __future__ import annotations

from springmux.coordination.state_machine import Effect
from springmux.vocabulary.engines import EngineRecord
from springmux.vocabulary.errors import ApiError

Headers = tuple[tuple[str, str], ...]


class RequestClaim(Effect, frozen=True):
    """Take the at-most-once claim ``claim_key``, then give ``ClaimDecided``."""

    claim_key: str


class SettleClaim(Effect, frozen=True):
    """The claimed request ended. ``answer``: what a resend gets (opaque); ``ran=False``: it never ran."""

    claim_key: str
    ran: bool
    answer: bytes = b""


class Dispatch(Effect, frozen=True):
    """Send the request to an engine. ``fresh``: use a new connection, never a kept one."""

    attempt: int
    engine: EngineRecord
    path: str
    headers: Headers
    body: bytes
    connect_timeout_s: float
    fresh: bool


class CloseUpstream(Effect, frozen=True):
    """Leave the exchange. ``reusable``: its answer ended properly, the connection may be kept."""

    attempt: int
    reusable: bool


class ResponseHead(Effect, frozen=True):
    """Begin the answer to the caller. ``length`` is ``None`` for a stream (chunked)."""

    status: int
    headers: Headers
    length: int | None


class ResponseData(Effect, frozen=True):
    """Write bytes of the answer to the caller at once."""

    data: bytes


class ResponseEnd(Effect, frozen=True):
    """The answer is whole."""


class ResponseError(Effect, frozen=True):
    """Answer with a typed error; nothing was written to the caller before."""

    error: ApiError


class ResponseAborted(Effect, frozen=True):
    """Break off an answer that was begun: close the caller's connection without a proper end."""


class FlowDone(Effect, frozen=True):
    """The flow is over; the driver drops it."""
