"""What a client is told before any engine is asked, and what the engine and the client are passed."""

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

KEYED = tenant("acme", "k1", priority=1)


def test_without_a_configuration_the_client_is_told_to_come_back() -> None:
    """Given a node that knows no configuration, 503 with a time."""

    async def scenario() -> None:
        client = await Node(SAFE, configured=False).ask()
        assert client.status == 503 and client.header(b"retry-after") == b"1.00"
        assert client.header(SEAL) is None

    play(scenario())


def test_an_unknown_path_is_404() -> None:
    """Given a path that no route begins, 404 without an engine asked."""

    async def scenario() -> None:
        node = Node(SAFE)
        assert (await node.ask(target=b"/texts/a")).status == 404
        assert node.sent == []

    play(scenario())


@pytest.mark.parametrize("headers", [(), ((b"x-api-key", b"k2"),)])
def test_a_route_that_needs_a_key_is_401_without_one(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    """Given tenants, no key or an unknown one is 401."""

    async def scenario() -> None:
        node = Node(SAFE, tenants=[KEYED])
        client = await node.ask(*headers)
        assert client.status == 401 and client.header(b"retry-after") is None
        assert node.sent == []

    play(scenario())


def test_a_public_route_needs_no_key_and_passes_no_tenant_of_the_clients_own() -> None:
    """Given a public route, an unknown key serves, and neither it nor a claimed tenant goes on."""

    async def scenario() -> None:
        node = Node(route(SAFE.kind, public=True), COMPLETE_RESPONSE, tenants=[KEYED])
        client = await node.ask((b"x-api-key", b"k2"), (b"x-tenant", b"acme"))
        assert client.status == 200
        assert node.sent[0].head.header(b"x-tenant") is None
        assert node.sent[0].head.header(b"x-api-key") is None

    play(scenario())


def test_a_body_over_the_limit_is_413() -> None:
    """Given a body over the limit, 413 and nothing sent."""

    async def scenario() -> None:
        node = Node(SAFE)
        assert (await node.ask(body=None)).status == 413
        assert node.sent == []

    play(scenario())


LIMITED = tenant("acme", "k1", counts_tokens=True, rate_per_s=10.0, burst=100.0)
OF_ACME = ((b"x-api-key", b"k1"), (b"x-token-usage", b"60,40"))


async def _limited(*scripts: Script) -> Node:
    """Return the only node of a fleet, after its start."""
    node = Node(UNSAFE, *scripts, tenants=[LIMITED])
    own, where = NodeId("n1"), Address("n1:1")
    alone = MembershipView(own, {own: NodeRecord(own, ZoneName("north"), where, where, where)})
    node.core.usage.handle(UsageMembersChanged(alone), now())
    node.core.usage.handle(AccountLimitsChanged({"acme": AccountLimit(10.0, 100.0)}), now())
    await asyncio.sleep(1.5)
    return node


def test_over_its_quota_a_tenant_is_told_when_to_come_back() -> None:
    """Given a bucket of 100 tokens, requests of 100 end with 429 and a time."""

    async def scenario() -> None:
        node = await _limited(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        answers = [await node.ask(*OF_ACME) for _ in range(4)]
        assert answers[0].status == 200 and answers[-1].status == 429
        assert float(answers[-1].header(b"retry-after") or b"0") > 0.0

    play(scenario())


def test_a_request_that_no_engine_ran_uses_no_quota() -> None:
    """Given requests that every engine declined, the tenant's next one is still within its quota."""

    async def scenario() -> None:
        node = await _limited(*[DECLINE] * 9, COMPLETE_RESPONSE)
        refused = [(await node.ask(*OF_ACME)).status for _ in range(3)]
        assert refused == [503, 503, 503]
        assert (await node.ask(*OF_ACME)).status == 200

    play(scenario())


def test_what_an_engine_gets() -> None:
    """Given a request, its line, body and stated facts go on; what concerns the gateway is set anew."""

    async def scenario() -> None:
        node = Node(route(UNSAFE.kind, priority=2), COMPLETE_RESPONSE, tenants=[KEYED])
        await node.ask(
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


def test_headers_named_by_a_second_connection_line_are_dropped_too() -> None:
    """Given two Connection lines, those that the second names concern this connection only as well."""

    async def scenario() -> None:
        node = Node(UNSAFE, COMPLETE_RESPONSE)
        await node.ask((b"connection", b"keep-alive"), (b"connection", b"x-own"), (b"x-own", b"1"))
        assert node.sent[0].head.header(b"x-own") is None

    play(scenario())


def test_an_engine_is_told_the_time_that_is_left() -> None:
    """Given 400 ms used by a first engine, the second is told 400 ms less; the route bounds all."""

    async def scenario() -> None:
        node = Node(SAFE, (Pause(0.4), FailureKind.RESET), COMPLETE_RESPONSE)
        await node.ask((b"x-deadline-ms", b"60000"))
        told = [int(sent.head.header(b"x-deadline-ms") or b"0") for sent in node.sent]
        assert told[0] == 5000 and 4590 <= told[1] <= 4600

    play(scenario())


def test_an_answer_goes_back_with_its_seal_and_without_the_connections_headers() -> None:
    """Given an engine's answer, status, body, seal and other headers are its own."""

    async def scenario() -> None:
        head = response_head(
            404,
            (b"connection", b"close, x-own"),
            (b"x-own", b"1"),
            (b"keep-alive", b"timeout=3"),
            (b"etag", b"e"),
        )
        client = await Node(UNSAFE, (head, b"not ", b"here")).ask()
        assert (client.status, client.data, client.ended) == (404, b"not here", True)
        assert client.headers == (ID, (SEAL, b"s1"), (b"etag", b"e"))

    play(scenario())


def test_a_success_without_a_seal_is_not_the_engines_answer() -> None:
    """Given a 200 without the engine's signature, the client gets no success."""

    async def scenario() -> None:
        client = await Node(UNSAFE, (response_head(200, seal=None), b"not ours")).ask()
        assert client.status == 502 and client.header(SEAL) is None

    play(scenario())


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_promise_that_an_engine_did_not_make_is_not_passed_on(status: int) -> None:
    """Given such a status without the engine's word that it did not run, an unsafe client must not repeat."""

    async def scenario() -> None:
        client = await Node(UNSAFE, (response_head(status, seal=None), b"busy")).ask()
        assert client.status == 502

    play(scenario())


def test_a_deadline_after_sending_is_504_at_once() -> None:
    """Given an engine that never answers, 504 within 0.2 s after the deadline, and its exchange ends."""

    async def scenario() -> None:
        node = Node(UNSAFE, (FOREVER,))
        client = await node.ask((b"x-deadline-ms", b"700"))
        assert client.status == 504 and client.header(b"retry-after") is None
        assert 0.7 <= client.responded_at - client.received_at <= 0.9
        assert node.sent[0].exchange.aborted and node.in_flight == 0

    play(scenario())


def test_a_deadline_before_sending_is_503_with_a_time() -> None:
    """Given engines whose connections don't come up, nothing was sent: the client may come back."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[(FailureKind.UNRESPONSIVE,)] * 4)
        client = await node.ask((b"x-deadline-ms", b"700"))
        assert node.sent == []
        assert client.status == 503 and client.header(b"retry-after") is not None
        assert client.responded_at - client.received_at <= 0.9

    play(scenario())


def test_a_deadline_while_connecting_after_a_decline_is_503_with_a_time() -> None:
    """Given a decline and then a connection that does not come up, the request has surely not run."""

    async def scenario() -> None:
        node = Node(UNSAFE, (Pause(0.5), *DECLINE), (FailureKind.UNRESPONSIVE,))
        client = await node.ask((b"x-deadline-ms", b"700"))
        assert client.status == 503 and client.header(b"retry-after") is not None

    play(scenario())


def test_a_request_whose_time_is_over_before_its_body_came_is_sent_to_nobody() -> None:
    """Given a body that took longer than the client waits, nothing is sent, and the client may come back."""

    async def scenario() -> None:
        node = Node(UNSAFE, (FOREVER,))
        client = RecordingClient([(b"x-deadline-ms", b"700")])
        client.received_at -= 1.0
        await node.forwarder.handle(client)
        assert node.sent == []
        assert client.status == 503 and client.header(b"retry-after") is not None

    play(scenario())
