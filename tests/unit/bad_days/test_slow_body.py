"""A request with a slow body gets a response within half a second after its route's timeout."""

from __future__ import annotations

import asyncio

from springmux.control.gateway_configuration import GatewayRouteKind
from tests.unit.node.gateway.scripted_engines import play
from tests.unit.node.gateway.stand_ins import Node, RecordingClient, route

TIMEOUT_S = 2.0
BODY_DELAY_S = 4.0


class SlowSender(RecordingClient):
    """A client that sends the end of its body late."""

    async def body(self) -> bytes:
        await asyncio.sleep(BODY_DELAY_S)
        return await super().body()


def test_a_request_whose_body_arrives_after_the_timeout_gets_a_response_at_the_timeout() -> None:
    """With a timeout of 2 s and a body that takes 4 s, the response ends after 2.5 s at the latest."""

    async def scenario() -> None:
        node = Node(route(GatewayRouteKind.UNSAFE, timeout_ms=TIMEOUT_S * 1000))
        client = SlowSender()
        await node.forwarder.handle(client)
        assert client.ended and node.sent == []
        assert client.responded_at - client.received_at <= TIMEOUT_S + 0.5

    play(scenario())
