"""Waiting for the answer of an operator's order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from springmux.agent.effects import OrderAnswered
from springmux.node.driver import AgentDriver, OrderCallback


async def answer_of(
    driver: AgentDriver, submit: Callable[[OrderCallback], str], timeout_s: float
) -> OrderAnswered | None:
    """Submit an order and wait for its answer; ``None`` if none came in time: its fate is unknown here.

    :param submit: gives the order to ``driver`` with the callback, and returns its correlation_id.
    """
    answer: asyncio.Future[OrderAnswered] = asyncio.get_running_loop().create_future()

    def take(answered: OrderAnswered) -> None:
        if not answer.done():
            answer.set_result(answered)

    correlation_id = submit(take)
    try:
        async with asyncio.timeout(timeout_s):
            return await answer
    except TimeoutError:
        return None
    finally:
        driver.forget_order(correlation_id)
