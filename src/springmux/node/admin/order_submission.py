"""Submission of operators' orders to the agent, and HTTP responses for their results."""

from __future__ import annotations

import re
import uuid
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from springmux.agent.effects import OrderAnswered
from springmux.control.commands import AnyCommand, CommandResult, Outcome
from springmux.node.admin.errors import invalid_field_error
from springmux.node.admin.json_bodies import json_response
from springmux.node.client.error_responses import error_headers
from springmux.node.driver import AgentDriver, OrderCallback
from springmux.node.metrics.registry import NodeMetrics
from springmux.node.order_wait import wait_for_order
from springmux.vocabulary.errors import ApiError, ApiResponseError, ErrorCode, Fate
from springmux.vocabulary.names import OrderId

ORDER_HEADER = "X-Order-Id"
OPERATOR_HEADER = "X-Operator"
_PRINTABLE_TEXT = re.compile(r"^[\x21-\x7e]{1,200}$")


class AcceptedBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to an accepted order."""

    order: str
    outcome: str
    revision: int
    version: int = 0
    message: str = ""


class ConflictBody(msgspec.Struct, frozen=True):
    """Response to an order that lost a conflict: the typed error, and what is in force instead."""

    error: ApiError
    winner: dict[str, Any] | None


def order_id(request: web.Request) -> OrderId:
    """Return the order id that the client sent, or a new one.

    :raises ApiResponseError: the order id is not 1 to 200 printable characters.
    """
    value = request.headers.get(ORDER_HEADER)
    if value is None:
        return OrderId(str(uuid.uuid4()))
    if not _PRINTABLE_TEXT.match(value):
        raise invalid_field_error(ORDER_HEADER, "must be 1 to 200 printable characters without spaces")
    return OrderId(value)


def operator_name(request: web.Request) -> str:
    """Return the operator's name, which the history shows.

    :raises ApiResponseError: the name is not 1 to 200 printable characters.
    """
    value = request.headers.get(OPERATOR_HEADER, "operator")
    if not _PRINTABLE_TEXT.match(value):
        raise invalid_field_error(OPERATOR_HEADER, "must be 1 to 200 printable characters without spaces")
    return value


class OrderSubmitter:
    """Submits orders and waits for their results.

    :param timeout_s: an order without a result after this time gets an error with an unknown fate.
    """

    def __init__(self, driver: AgentDriver, metrics: NodeMetrics, timeout_s: float, node: str) -> None:
        self._node = node
        self._driver = driver
        self._metrics = metrics
        self._timeout_s = timeout_s

    async def submit(self, command: AnyCommand, conflict: ErrorCode) -> web.Response:
        """Submit a command and return the response; ``conflict`` is the error code if another order won."""
        reply = await self._wait(lambda callback: self._driver.submit_order(command, callback))
        return self._response(reply, conflict)

    async def transfer(self, target: str) -> web.Response:
        """Transfer leadership to ``target``, or to any replica if it is empty."""
        reply = await self._wait(lambda callback: self._driver.submit_transfer(target, callback))
        return self._response(reply, ErrorCode.INVALID_ORDER)

    async def remove(self, replica: str) -> web.Response:
        """Remove a replica from the control group."""
        reply = await self._wait(lambda callback: self._driver.submit_removal(replica, callback))
        return self._response(reply, ErrorCode.INVALID_ORDER)

    async def _wait(self, submit: Callable[[OrderCallback], str]) -> OrderAnswered | None:
        return await wait_for_order(self._driver, submit, self._timeout_s)

    def _timed_out(self) -> ApiError:
        return ApiError(
            code=ErrorCode.DEADLINE_EXCEEDED,
            message=f"no answer within {self._timeout_s} s; resend it under the same {ORDER_HEADER}",
            status=504,
            fate=Fate.UNKNOWN,
            retry_after_s=1.0,
        )

    def _response(self, reply: OrderAnswered | None, conflict: ErrorCode) -> web.Response:
        result = reply.result if reply is not None else None
        if result is None:
            error = (reply.error if reply is not None else None) or self._timed_out()
            self._metrics.count("orders_total", error.code)
            raise ApiResponseError(error)
        self._metrics.count("orders_total", result.outcome)
        if result.outcome is Outcome.ACCEPTED:
            return _accepted(result)
        if result.outcome is Outcome.CONFLICT:
            return self._conflict(result, conflict)
        raise ApiResponseError(_rejection(result))

    def _conflict(self, result: CommandResult, code: ErrorCode) -> web.Response:
        text = result.message or "another order won"
        error = ApiError(code=code, message=text, status=409, node=self._node)
        body = msgspec.json.encode(ConflictBody(error=error, winner=result.winner))
        return web.Response(status=409, body=body, headers=error_headers(error))


def _rejection(result: CommandResult) -> ApiError:
    if result.outcome is Outcome.NOT_FOUND:
        return ApiError(code=ErrorCode.NOT_FOUND, message=result.message or "no such thing", status=404)
    return ApiError(
        code=ErrorCode.INVALID_ORDER,
        message=result.message or "the order is not valid",
        status=422,
        errors=result.errors,
    )


def _accepted(result: CommandResult) -> web.Response:
    body = AcceptedBody(
        order=result.order,
        outcome=result.outcome,
        revision=result.revision,
        version=result.version,
        message=result.message,
    )
    return json_response(body)
