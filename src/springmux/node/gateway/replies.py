"""Answers of the control listener and the waiting for operators' orders."""

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
COME_BACK_S = 0.3
"""An operator's client asks the next node at once; this one may have a leader again by then."""


class Reply(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = JSON_HEADERS


class ErrorReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a refusal: a stable code, a sentence, and every wrong field."""

    code: str
    message: str
    errors: tuple[FieldError, ...] = ()


def json_reply(status: int, code: str, message: str, errors: tuple[FieldError, ...] = ()) -> Reply:
    """Return a typed refusal."""
    return Reply(status, msgspec.json.encode(ErrorReply(code, message, errors)))


def come_back(code: str, message: str) -> Reply:
    """Return a refusal that names a time to come back."""
    body = msgspec.json.encode(ErrorReply(code, message))
    return Reply(503, body, (*JSON_HEADERS, (b"retry-after", b"%.1f" % COME_BACK_S)))


async def submit(driver: AgentDriver, command: AnyCommand, timeout_s: float) -> OrderAnswered | None:
    """Submit an order and wait for its answer; ``None`` if none came in time: its fate is unknown here."""
    return await wait_for_order(driver, lambda callback: driver.submit_order(command, callback), timeout_s)


def order_reply(
    answered: OrderAnswered | None,
    conflict_status: int,
    conflict: ErrorCode,
    invalid: ErrorCode = ErrorCode.INVALID_ORDER,
) -> Reply:
    """Return an order's answer: 200, ``conflict_status`` if it lost, 400 if it is invalid, else 503."""
    result: CommandResult | None = answered.result if answered is not None else None
    if result is None:
        return come_back(ErrorCode.NO_QUORUM, "no leader decided the order in time; send it again unchanged")
    if result.outcome is Outcome.ACCEPTED:
        return Reply(200, b"{}")
    if result.outcome is Outcome.CONFLICT:
        return json_reply(conflict_status, conflict, result.message or "another order won")
    if result.outcome is Outcome.NOT_FOUND:
        return json_reply(404, ErrorCode.NOT_FOUND, result.message or "no such thing")
    return json_reply(400, invalid, result.message or "the order is not valid", result.errors)
