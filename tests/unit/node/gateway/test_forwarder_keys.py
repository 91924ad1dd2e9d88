"""Which requests a node lets through while it can't tell whether its keys are current."""

from __future__ import annotations

import pytest

from springmux.control.gateway_configuration import GatewayRouteKind
from springmux.gateway.core import GatewayCore
from springmux.gateway.refusals import RefusalReason
from tests.unit.node.gateway.scripted_engines import WHOLE, play
from tests.unit.node.gateway.stand_ins import SAFE, Node, route, tenant

KEY = (b"x-api-key", b"k1")
UNHEARD_OF = (b"x-api-key", b"k2")
PUBLIC = route(GatewayRouteKind.SAFE, public=True)


@pytest.fixture(autouse=True)
def _no_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have every core be without a proof that its keys are current."""
    monkeypatch.setattr(GatewayCore, "knows_keys", _only_without_keys)


def _only_without_keys(core: GatewayCore, now: float) -> bool:
    return not core.table.configuration.requires_key


def test_a_keyed_request_is_refused_with_a_time_and_runs_nowhere() -> None:
    """Given a valid key and no proof, the client may come back, elsewhere, and no engine is asked."""

    async def story() -> None:
        node = Node(SAFE, WHOLE, tenants=(tenant("a", "k1"),))
        client = await node.ask(KEY)
        assert client.status == 503 and client.header(b"retry-after") == b"0.20"
        assert node.sent == []
        assert node.core.counters.refusals == {RefusalReason.KEYS_NOT_CURRENT: 1}

    play(story())


def test_a_key_that_may_be_new_is_not_called_unknown() -> None:
    """Given a key that this node doesn't know and no proof, it doesn't say 401."""

    async def story() -> None:
        node = Node(SAFE, WHOLE, tenants=(tenant("a", "k1"),))
        assert (await node.ask(UNHEARD_OF)).status == 503

    play(story())


@pytest.mark.parametrize("headers", [(), (KEY,), (UNHEARD_OF,)])
def test_a_public_route_is_served(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    """Given a public route, no key matters."""

    async def story() -> None:
        node = Node(PUBLIC, WHOLE, tenants=(tenant("a", "k1"),))
        assert (await node.ask(*headers)).status == 200

    play(story())


def test_without_tenants_no_key_is_asked_for() -> None:
    """Given a configuration without tenants, the lease doesn't matter."""

    async def story() -> None:
        node = Node(SAFE, WHOLE)
        assert (await node.ask()).status == 200

    play(story())
