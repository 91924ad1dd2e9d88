"""A client whose body comes too slowly has an end half a second after its route's timeout."""

from __future__ import annotations

import asyncio

from springmux.control.gateway_configuration import GatewayRouteKind
from tests.unit.node.gateway.scripted_engines import play
from tests.unit.node.gateway.stand_ins import Node, RecordingClient, route

TIMEOUT_S = 2.0
COMES_AFTER_S = 4.0


class SlowSender(RecordingClient):
    """Sends the end of its body late."""

    async def body(self) -> bytes:
        await asyncio.sleep(COMES_AFTER_S)
        return await super().body()


def test_a_body_that_comes_after_the_routes_timeout_is_answered_at_that_timeout() -> None:
    """Given a route of two seconds and a body that takes four, a final answer after 2.5 s at the latest."""

    async def story() -> None:
        node = Node(route(GatewayRouteKind.UNSAFE, timeout_ms=TIMEOUT_S * 1000))
        caller = SlowSender()
        await node.forwarder.handle(caller)
        assert caller.ended and node.sent == []
        assert caller.responded_at - caller.received_at <= TIMEOUT_S + 0.5

    play(story())
