"""Wait for the result of an operator's order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from springmux.agent.effects import OrderAnswered
from springmux.node.driver import AgentDriver, OrderCallback


async def wait_for_order(
    driver: AgentDriver, submit: Callable[[OrderCallback], str], timeout_s: float
) -> OrderAnswered | None:
    """Submit an order and wait for its result.

    Returns ``None`` if no result arrives in time; whether the order takes effect is then unknown.

    :param submit: submits the order to ``driver`` with the callback, and returns its correlation id.
    """
    result: asyncio.Future[OrderAnswered] = asyncio.get_running_loop().create_future()

    def set_result(answered: OrderAnswered) -> None:
        if not result.done():
            result.set_result(answered)

    correlation_id = submit(set_result)
    try:
        async with asyncio.timeout(timeout_s):
            return await result
    except TimeoutError:
        return None
    finally:
        driver.forget_order(correlation_id)
