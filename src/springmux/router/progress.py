"""Result of an event of a request's attempts: the interface between the exchange and the flow."""

from __future__ import annotations

import msgspec

from springmux.coordination.state_machine import Effect
from springmux.router.effects import ResponseHead
from springmux.router.errors import RETRY_AFTER_S
from springmux.router.events import UpstreamCause
from springmux.vocabulary.errors import ErrorCode, Fate

CODE_OF_CAUSE = {
    UpstreamCause.REFUSED: ErrorCode.ENGINE_UNREACHABLE,
    UpstreamCause.CONNECT_TIMEOUT: ErrorCode.ENGINE_UNREACHABLE,
    UpstreamCause.RESET: ErrorCode.ENGINE_BROKE_OFF,
    UpstreamCause.PROTOCOL: ErrorCode.ENGINE_PROTOCOL,
}
"""Error code of a failed attempt that may have sent the request, by cause."""


class ExchangeFailure(msgspec.Struct, frozen=True):
    """The request has no complete response and gets no further attempt."""

    code: ErrorCode
    message: str
    fate: Fate
    retry_after_s: float | None = None


class Progress(msgspec.Struct):
    """Result of one event, filled by the exchange and applied by the flow in the order of the fields.

    ``effects``: sent to engines. ``head`` and ``data``: sent to the client. ``complete``: the response is
    complete.
    """

    effects: list[Effect] = []
    head: ResponseHead | None = None
    data: bytes = b""
    complete: bool = False
    failure: ExchangeFailure | None = None


def no_engine_failure() -> ExchangeFailure:
    """Return the failure of a request that reached no engine."""
    message = "no engine of the service could take the request"
    return ExchangeFailure(ErrorCode.NO_ENGINE, message, Fate.REFUSED, RETRY_AFTER_S)
