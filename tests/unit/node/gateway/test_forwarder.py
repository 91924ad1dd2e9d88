"""Admission of requests by the forwarder, and what it forwards to engines and to clients.

Guards against requests that reach an engine without permission, and against responses from which a client
would wrongly conclude that its request was, or was not, executed.
"""

from __future__ import annotations

import asyncio

import pytest

from springmux.coordination.identifiers import Address, NodeId, ZoneName
from springmux.coordination.membership.view import MembershipView, NodeRecord
from springmux.coordination.usage.events import AccountLimit, AccountLimitsChanged, UsageMembersChanged
from springmux.node.http.types import FailureKind
from tests.unit.node.gateway.scripted_engines import (
    COMPLETE_RESPONSE,
    DECLINE,
    FOREVER,
    ID,
    SEAL,
    Pause,
    Script,
    now,
    play,
    response_head,
)
from tests.unit.node.gateway.stand_ins import SAFE, UNSAFE, Node, RecordingClient, route, tenant

ACME = tenant("acme", "k1", priority=1)


def test_without_a_configuration_a_request_gets_503_with_retry_after() -> None:
    """Given a node without a configuration, the client may retry later."""

    async def scenario() -> None:
        client = await Node(SAFE, configured=False).send_request()
        assert client.status == 503 and client.header(b"retry-after") == b"1.00"
        assert client.header(SEAL) is None

    play(scenario())


def test_an_unknown_path_gets_404() -> None:
    """Given a path outside all routes, no engine gets the request."""

    async def scenario() -> None:
        node = Node(SAFE)
        assert (await node.send_request(target=b"/texts/a")).status == 404
        assert node.sent == []

    play(scenario())


@pytest.mark.parametrize("headers", [(), ((b"x-api-key", b"k2"),)])
def test_a_missing_or_unknown_key_gets_401(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    """Given a configuration with tenants, a request needs a known key."""

    async def scenario() -> None:
        node = Node(SAFE, tenants=[ACME])
        client = await node.send_request(*headers)
        assert client.status == 401 and client.header(b"retry-after") is None
        assert node.sent == []

    play(scenario())


def test_a_public_route_needs_no_key_and_drops_the_tenant_that_a_client_states() -> None:
    """Given a public route, an unknown key is accepted; neither key nor stated tenant is forwarded."""

    async def scenario() -> None:
        node = Node(route(SAFE.kind, public=True), COMPLETE_RESPONSE, tenants=[ACME])
        client = await node.send_request((b"x-api-key", b"k2"), (b"x-tenant", b"acme"))
        assert client.status == 200
        assert node.sent[0].head.header(b"x-tenant") is None
        assert node.sent[0].head.header(b"x-api-key") is None

    play(scenario())


def test_a_body_over_the_limit_gets_413() -> None:
    """Given a body over the limit, no engine gets the request."""

    async def scenario() -> None:
        node = Node(SAFE)
        assert (await node.send_request(body=None)).status == 413
        assert node.sent == []

    play(scenario())


LIMITED = tenant("acme", "k1", counts_tokens=True, rate_per_s=10.0, burst=100.0)
ACME_HEADERS = ((b"x-api-key", b"k1"), (b"x-token-usage", b"60,40"))


async def _node_with_quota(*scripts: Script) -> Node:
    """Return the only node of a fleet, once the tenant's quota is available to it."""
    node = Node(UNSAFE, *scripts, tenants=[LIMITED])
    own, where = NodeId("n1"), Address("n1:1")
    alone = MembershipView(own, {own: NodeRecord(own, ZoneName("north"), where, where, where)})
    node.core.usage.handle(UsageMembersChanged(alone), now())
    node.core.usage.handle(AccountLimitsChanged({"acme": AccountLimit(10.0, 100.0)}), now())
    await asyncio.sleep(1.5)
    return node


def test_a_tenant_over_its_quota_gets_429_with_retry_after() -> None:
    """Given a bucket of 100 tokens, requests of 100 tokens each exceed the quota."""

    async def scenario() -> None:
        node = await _node_with_quota(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        clients = [await node.send_request(*ACME_HEADERS) for _ in range(4)]
        assert clients[0].status == 200 and clients[-1].status == 429
        assert float(clients[-1].header(b"retry-after") or b"0") > 0.0

    play(scenario())


def test_a_request_that_every_engine_declined_is_not_charged() -> None:
    """Given requests that every engine declined, the tenant's next request is still within its quota."""

    async def scenario() -> None:
        node = await _node_with_quota(*[DECLINE] * 9, COMPLETE_RESPONSE)
        statuses = [(await node.send_request(*ACME_HEADERS)).status for _ in range(3)]
        assert statuses == [503, 503, 503]
        assert (await node.send_request(*ACME_HEADERS)).status == 200

    play(scenario())


def test_an_engine_gets_the_request_with_the_gateways_headers() -> None:
    """Given a request, its line, body and metadata are forwarded; the gateway's headers are replaced."""

    async def scenario() -> None:
        node = Node(route(UNSAFE.kind, priority=2), COMPLETE_RESPONSE, tenants=[ACME])
        await node.send_request(
            (b"x-api-key", b"k1"),
            (b"x-tenant", b"other"),
            (b"x-target-engine", b"e9"),
            (b"x-priority", b"0"),
            (b"x-deadline-ms", b"1500"),
            (b"x-model", b"m"),
            (b"x-token-usage", b"10,20"),
            (b"x-prompt-prefix", b"ab:6,cd:4"),
            (b"connection", b"keep-alive, X-Own"),
            (b"x-own", b"1"),
            (b"keep-alive", b"timeout=5"),
            (b"te", b"trailers"),
            (b"transfer-encoding", b"chunked"),
            (b"accept", b"*/*"),
        )
        sent = node.sent[0]
        assert (sent.head.method, sent.head.target, sent.body) == (b"POST", b"/text/a?b=c", b"asked")
        assert sorted(sent.head.headers) == sorted(
            [
                (b"host", b"api"),
                ID,
                (b"x-model", b"m"),
                (b"x-token-usage", b"10,20"),
                (b"x-prompt-prefix", b"ab:6,cd:4"),
                (b"accept", b"*/*"),
                (b"x-deadline-ms", b"1500"),
                (b"x-target-engine", sent.address.partition(":")[0].encode()),
                (b"x-priority", b"5"),
                (b"x-tenant", b"acme"),
            ]
        )

    play(scenario())


def test_headers_named_by_a_second_connection_header_are_dropped() -> None:
    """Given two Connection headers, the headers named by the second are hop-by-hop, too."""

    async def scenario() -> None:
        node = Node(UNSAFE, COMPLETE_RESPONSE)
        await node.send_request((b"connection", b"keep-alive"), (b"connection", b"x-own"), (b"x-own", b"1"))
        assert node.sent[0].head.header(b"x-own") is None

    play(scenario())


def test_the_deadline_header_states_the_remaining_time() -> None:
    """Given 400 ms spent at a first engine, the second gets 400 ms less. The route's timeout is the limit."""

    async def scenario() -> None:
        node = Node(SAFE, (Pause(0.4), FailureKind.RESET), COMPLETE_RESPONSE)
        await node.send_request((b"x-deadline-ms", b"60000"))
        deadlines_ms = [int(sent.head.header(b"x-deadline-ms") or b"0") for sent in node.sent]
        assert deadlines_ms[0] == 5000 and 4590 <= deadlines_ms[1] <= 4600

    play(scenario())


def test_a_response_is_forwarded_with_its_seal_and_without_hop_by_hop_headers() -> None:
    """Given an engine's response, its status, body, seal and end-to-end headers are unchanged."""

    async def scenario() -> None:
        head = response_head(
            404,
            (b"connection", b"close, x-own"),
            (b"x-own", b"1"),
            (b"keep-alive", b"timeout=3"),
            (b"etag", b"e"),
        )
        client = await Node(UNSAFE, (head, b"not ", b"here")).send_request()
        assert (client.status, client.data, client.ended) == (404, b"not here", True)
        assert client.headers == (ID, (SEAL, b"s1"), (b"etag", b"e"))

    play(scenario())


def test_a_success_without_a_seal_is_not_forwarded() -> None:
    """Given a 200 without the engine's signature, the client gets 502."""

    async def scenario() -> None:
        client = await Node(UNSAFE, (response_head(200, seal=None), b"not ours")).send_request()
        assert client.status == 502 and client.header(SEAL) is None

    play(scenario())


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_that_implies_no_execution_is_not_forwarded_unless_the_engine_declined(status: int) -> None:
    """Given such a status, a client would repeat an unsafe request that the engine may have executed."""

    async def scenario() -> None:
        client = await Node(UNSAFE, (response_head(status, seal=None), b"busy")).send_request()
        assert client.status == 502

    play(scenario())


def test_a_deadline_after_sending_gets_504() -> None:
    """Given an engine that never responds, the client gets 504 within 0.2 s and the exchange is aborted."""

    async def scenario() -> None:
        node = Node(UNSAFE, (FOREVER,))
        client = await node.send_request((b"x-deadline-ms", b"700"))
        assert client.status == 504 and client.header(b"retry-after") is None
        assert 0.7 <= client.responded_at - client.received_at <= 0.9
        assert node.sent[0].exchange.aborted and node.in_flight == 0

    play(scenario())


def test_a_deadline_before_sending_gets_503_with_retry_after() -> None:
    """Given engines that accept no connection, nothing was sent, so the client may retry."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[(FailureKind.UNRESPONSIVE,)] * 4)
        client = await node.send_request((b"x-deadline-ms", b"700"))
        assert node.sent == []
        assert client.status == 503 and client.header(b"retry-after") is not None
        assert client.responded_at - client.received_at <= 0.9

    play(scenario())


def test_a_deadline_while_connecting_after_a_decline_gets_503_with_retry_after() -> None:
    """Given a decline and then a connection that is not established, nothing can have been executed."""

    async def scenario() -> None:
        node = Node(UNSAFE, (Pause(0.5), *DECLINE), (FailureKind.UNRESPONSIVE,))
        client = await node.send_request((b"x-deadline-ms", b"700"))
        assert client.status == 503 and client.header(b"retry-after") is not None

    play(scenario())


def test_a_request_whose_body_arrives_after_the_deadline_is_not_sent() -> None:
    """Given a body that took longer than the client's deadline, nothing is sent, and the client may retry."""

    async def scenario() -> None:
        node = Node(UNSAFE, (FOREVER,))
        client = RecordingClient([(b"x-deadline-ms", b"700")])
        client.received_at -= 1.0
        await node.forwarder.handle(client)
        assert node.sent == []
        assert client.status == 503 and client.header(b"retry-after") is not None

    play(scenario())
