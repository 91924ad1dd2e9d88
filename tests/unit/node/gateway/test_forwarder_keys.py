"""Admission of requests by a node that has no proof that its keys are current.

Guards against serving a revoked key, and against a 401 for a new key, while the node is out of contact.
"""

from __future__ import annotations

import pytest

from springmux.control.gateway_configuration import GatewayRouteKind
from springmux.gateway.core import GatewayCore
from springmux.gateway.refusals import RefusalReason
from tests.unit.node.gateway.scripted_engines import COMPLETE_RESPONSE, play
from tests.unit.node.gateway.stand_ins import SAFE, Node, route, tenant

KEY = (b"x-api-key", b"k1")
UNKNOWN_KEY = (b"x-api-key", b"k2")
PUBLIC = route(GatewayRouteKind.SAFE, public=True)


@pytest.fixture(autouse=True)
def _no_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove every core's proof that its keys are current."""
    monkeypatch.setattr(GatewayCore, "knows_keys", _only_without_keys)


def _only_without_keys(core: GatewayCore, now: float) -> bool:
    return not core.table.configuration.requires_key


def test_without_a_proof_a_keyed_request_gets_503_with_retry_after() -> None:
    """Given a valid key, the client may retry at another node, and no engine gets the request."""

    async def scenario() -> None:
        node = Node(SAFE, COMPLETE_RESPONSE, tenants=(tenant("a", "k1"),))
        client = await node.send_request(KEY)
        assert client.status == 503 and client.header(b"retry-after") == b"0.20"
        assert node.sent == []
        assert node.core.counters.refusals == {RefusalReason.KEYS_NOT_CURRENT: 1}

    play(scenario())


def test_without_a_proof_an_unknown_key_gets_503_and_not_401() -> None:
    """Given a key that this node doesn't know, the status isn't 401, because the key may be new."""

    async def scenario() -> None:
        node = Node(SAFE, COMPLETE_RESPONSE, tenants=(tenant("a", "k1"),))
        assert (await node.send_request(UNKNOWN_KEY)).status == 503

    play(scenario())


@pytest.mark.parametrize("headers", [(), (KEY,), (UNKNOWN_KEY,)])
def test_without_a_proof_a_public_route_is_served(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    """Given a public route, the key is irrelevant."""

    async def scenario() -> None:
        node = Node(PUBLIC, COMPLETE_RESPONSE, tenants=(tenant("a", "k1"),))
        assert (await node.send_request(*headers)).status == 200

    play(scenario())


def test_without_tenants_no_proof_is_needed() -> None:
    """Given a configuration without tenants, the lease on the keys is irrelevant."""

    async def scenario() -> None:
        node = Node(SAFE, COMPLETE_RESPONSE)
        assert (await node.send_request()).status == 200

    play(scenario())
