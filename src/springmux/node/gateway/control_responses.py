"""Responses of the control listener, and submission of operators' commands."""

from __future__ import annotations

import msgspec

from springmux.agent.effects import OrderAnswered
from springmux.control.commands import AnyCommand, CommandResult, Outcome
from springmux.node.driver import AgentDriver
from springmux.node.http.types import Header
from springmux.node.metrics.table import EXPOSITION_TYPE
from springmux.node.order_wait import wait_for_order
from springmux.vocabulary.errors import ErrorCode, FieldError

JSON_HEADERS: tuple[Header, ...] = ((b"content-type", b"application/json"),)
TEXT_HEADERS: tuple[Header, ...] = ((b"content-type", b"text/plain; charset=utf-8"),)
METRICS_HEADERS: tuple[Header, ...] = ((b"content-type", EXPOSITION_TYPE.encode()),)
RETRY_AFTER_S = 0.3
"""Retry-After in seconds. An operator's client tries the next node first; by then a leader may be elected."""


class ControlResponse(msgspec.Struct, frozen=True):
    """A complete response of the control listener."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = JSON_HEADERS


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error response: a stable code, a readable message, and every invalid field."""

    code: str
    message: str
    errors: tuple[FieldError, ...] = ()


def error_response(
    status: int, code: str, message: str, errors: tuple[FieldError, ...] = ()
) -> ControlResponse:
    """Return an error response with an :class:`ErrorBody`."""
    return ControlResponse(status, msgspec.json.encode(ErrorBody(code, message, errors)))


def retry_later(code: str, message: str) -> ControlResponse:
    """Return a 503 response with a ``Retry-After`` header."""
    body = msgspec.json.encode(ErrorBody(code, message))
    return ControlResponse(503, body, (*JSON_HEADERS, (b"retry-after", b"%.1f" % RETRY_AFTER_S)))


async def submit_command(driver: AgentDriver, command: AnyCommand, timeout_s: float) -> OrderAnswered | None:
    """Submit a command and wait for its outcome. Returns ``None`` if it is unknown after ``timeout_s``."""
    return await wait_for_order(driver, lambda callback: driver.submit_order(command, callback), timeout_s)


def command_response(
    outcome: OrderAnswered | None,
    conflict_status: int,
    conflict: ErrorCode,
    invalid: ErrorCode = ErrorCode.INVALID_ORDER,
) -> ControlResponse:
    """Return the response to a command.

    200 if it was accepted, ``conflict_status`` with the code ``conflict`` if another one won, 404 if its
    object doesn't exist, 400 with the code ``invalid`` if it is invalid, and 503 if its outcome is unknown.
    """
    result: CommandResult | None = outcome.result if outcome is not None else None
    if result is None:
        return retry_later(
            ErrorCode.NO_QUORUM, "no leader decided the order in time; send it again unchanged"
        )
    return result_response(result, conflict_status, conflict, invalid)


def result_response(
    result: CommandResult,
    conflict_status: int,
    conflict: ErrorCode,
    invalid: ErrorCode = ErrorCode.INVALID_ORDER,
) -> ControlResponse:
    """Return the response to a decided command, as :func:`command_response` does."""
    if result.outcome is Outcome.ACCEPTED:
        return ControlResponse(200, b"{}")
    if result.outcome is Outcome.CONFLICT:
        return error_response(conflict_status, conflict, result.message or "another order won")
    if result.outcome is Outcome.NOT_FOUND:
        return error_response(404, ErrorCode.NOT_FOUND, result.message or "no such thing")
    return error_response(400, invalid, result.message or "the order is not valid", result.errors)
