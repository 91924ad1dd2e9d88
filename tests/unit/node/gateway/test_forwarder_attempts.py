"""Retries of requests at other engines, and the responses if no retry is allowed.

Guards against a request that is executed twice although its route forbids that, and against a response that
denies an execution that may have happened.
"""

from __future__ import annotations

import asyncio

import pytest

from springmux.control.gateway_configuration import GatewayRoute
from springmux.node.gateway.response_watchdog import CHECK_INTERVAL_S
from springmux.node.http.types import FailureKind
from springmux.rollout.outcome import VersionChoice
from tests.unit.node.gateway.scripted_engines import (
    COMPLETE_RESPONSE,
    DECLINE,
    FOREVER,
    SEAL,
    Pause,
    Script,
    Step,
    play,
    response_head,
)
from tests.unit.node.gateway.stand_ins import NEW, OLD, SAFE, STREAM, UNSAFE, Node, RecordingClient, route

MISDIRECTED = (response_head(421, seal=None), b"")
RESET = (FailureKind.RESET,)
FAILURE = (response_head(500, seal=b"s9"), b"broken")


@pytest.mark.parametrize("decline", [DECLINE, MISDIRECTED, (response_head(429, (b"x-not-executed", b"1")),)])
def test_a_declined_request_is_sent_to_another_engine(decline: Script) -> None:
    """Given an engine that states that it did not execute the request, even an unsafe request is retried."""

    async def scenario() -> None:
        node = Node(UNSAFE, decline, COMPLETE_RESPONSE)
        client = await node.send_request()
        assert (client.status, client.data) == (200, b"whole")
        assert len({sent.address for sent in node.sent}) == 2
        assert node.sent[0].exchange.released and node.in_flight == 0

    play(scenario())


def test_a_request_that_every_engine_declines_gets_503_with_retry_after() -> None:
    """Given only declines, the response implies that the request was not executed."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[DECLINE] * 3)
        client = await node.send_request()
        assert client.status == 503 and client.header(b"retry-after") is not None
        assert client.header(SEAL) is None and client.header(b"x-not-executed") is None

    play(scenario())


def test_a_decline_with_a_truncated_body_still_counts_as_a_decline() -> None:
    """Given the head of a decline and then a reset, the request is still known not to have been executed."""

    async def scenario() -> None:
        node = Node(UNSAFE, (DECLINE[0], FailureKind.TRUNCATED), COMPLETE_RESPONSE)
        assert (await node.send_request()).status == 200

    play(scenario())


def test_a_decline_whose_body_never_ends_does_not_delay_the_request() -> None:
    """Given the head of a decline and then silence, the retry starts well before the deadline."""

    async def scenario() -> None:
        node = Node(UNSAFE, (DECLINE[0], FOREVER), COMPLETE_RESPONSE)
        client = await node.send_request()
        assert client.status == 200 and client.responded_at - client.received_at < 1.0

    play(scenario())


AFTER_SENDING = [FailureKind.RESET, FailureKind.UNRESPONSIVE, FailureKind.MALFORMED, FailureKind.TRUNCATED]


@pytest.mark.parametrize("served_route", [UNSAFE, STREAM], ids=["unsafe", "stream"])
@pytest.mark.parametrize("kind", AFTER_SENDING)
def test_an_unsafe_request_that_may_have_been_executed_is_not_retried(
    served_route: GatewayRoute, kind: FailureKind
) -> None:
    """Given a failure after sending, the client gets 502, which does not imply that nothing was executed."""

    async def scenario() -> None:
        script: Script = (
            (Pause(0.1), kind) if kind is not FailureKind.TRUNCATED else (response_head(200), kind)
        )
        node = Node(served_route, script)
        client = await node.send_request()
        assert client.status == 502
        assert client.header(b"retry-after") is None and client.header(SEAL) is None
        assert len(node.sent) == 1 and node.sent[0].exchange.aborted and node.in_flight == 0

    play(scenario())


@pytest.mark.parametrize("kind", [FailureKind.CONNECT, FailureKind.NOT_SENT])
def test_an_unsafe_request_that_was_not_sent_is_retried_at_another_engine(kind: FailureKind) -> None:
    """Given two engines to which nothing could be sent, a third one serves the request."""

    async def scenario() -> None:
        node = Node(UNSAFE, (kind,), (kind,), COMPLETE_RESPONSE)
        assert (await node.send_request()).status == 200
        assert len(set(node.client.attempted_addresses)) == 3 and len(node.sent) == 1 and node.in_flight == 0

    play(scenario())


def test_a_request_that_reaches_no_engine_gets_503_with_retry_after() -> None:
    """Given four engines that can't be reached, each is attempted once."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[(FailureKind.CONNECT,)] * 4)
        client = await node.send_request()
        assert client.status == 503 and client.header(b"retry-after") is not None
        assert sorted(node.client.attempted_addresses) == ["e0:80", "e1:80", "e2:80", "e3:80"]

    play(scenario())


@pytest.mark.parametrize("failure", [RESET, (response_head(200), b"ha", FailureKind.TRUNCATED), FAILURE])
def test_a_safe_request_is_retried_after_a_failure(failure: Script) -> None:
    """Given a failure of the first engine, the client gets only the second engine's response."""

    async def scenario() -> None:
        node = Node(SAFE, failure, COMPLETE_RESPONSE)
        client = await node.send_request()
        assert (client.status, client.data, client.ended) == (200, b"whole", True)
        assert len({sent.address for sent in node.sent}) == 2

    play(scenario())


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_a_request_is_sent_to_at_most_max_attempts_engines(max_attempts: int) -> None:
    """Given engines that all reset, the limit of the route applies."""

    async def scenario() -> None:
        node = Node(route(SAFE.kind, max_attempts=max_attempts), *[RESET] * max_attempts)
        assert (await node.send_request()).status == 502
        assert len(node.sent) == max_attempts

    play(scenario())


def test_without_retry_budget_no_request_is_retried() -> None:
    """Given an empty retry budget, the first failure ends the request; a decline still gets 503."""

    async def scenario() -> None:
        for failure, status in ((RESET, 502), (DECLINE, 503)):
            node = Node(SAFE, failure)
            node.core.retry_budget.set_floor(0)
            assert (await node.send_request()).status == status

    play(scenario())


def test_an_engines_error_response_is_forwarded_with_its_seal() -> None:
    """Given a 500, it is forwarded: immediately on an unsafe route, after the last attempt on a safe one."""

    async def scenario() -> None:
        for served_route, scripts in ((UNSAFE, [FAILURE]), (SAFE, [FAILURE] * 3)):
            node = Node(served_route, *scripts)
            client = await node.send_request()
            assert (client.status, client.data, client.header(SEAL)) == (500, b"broken", b"s9")
            assert node.client.scripts == []

    play(scenario())


def test_a_truncated_large_response_resets_the_client_without_a_retry() -> None:
    """Given a response that was partly sent to the client, that of another engine would be useless."""

    async def scenario() -> None:
        node = Node(SAFE, (response_head(200), b"x" * 1_100_000, FailureKind.TRUNCATED), COMPLETE_RESPONSE)
        client = await node.send_request()
        assert client.aborted and not client.ended
        assert len(node.sent) == 1

    play(scenario())


@pytest.mark.parametrize("piece_bytes", [100, 600_000], ids=["small", "large"])
def test_a_response_that_keeps_arriving_does_not_time_out(piece_bytes: int) -> None:
    """Given a response that takes longer than the timeout but arrives piece by piece, it is forwarded."""

    async def scenario() -> None:
        piece = b"x" * piece_bytes
        pieces: list[Step] = [part for _ in range(10) for part in (Pause(0.1), piece)]
        node = Node(route(SAFE.kind, target_ms=500.0), (response_head(200), *pieces), COMPLETE_RESPONSE)
        client = await node.send_request()
        assert client.ended and not client.aborted and client.data == piece * 10
        assert len(node.sent) == 1

    play(scenario())


def test_a_connection_timeout_does_not_count_as_an_attempt() -> None:
    """Given a timeout shorter than a connection attempt, the engine that was not reached costs no attempt."""

    async def scenario() -> None:
        node = Node(
            route(SAFE.kind, max_attempts=2, target_ms=300.0),
            (FailureKind.UNRESPONSIVE,),
            RESET,
            COMPLETE_RESPONSE,
        )
        assert (await node.send_request()).status == 200
        assert len(set(node.client.attempted_addresses)) == 3

    play(scenario())


def test_a_client_that_disconnects_aborts_the_engines_exchange() -> None:
    """Given a client that disconnects while its engine works, no other engine gets the request."""

    async def scenario() -> None:
        node = Node(SAFE, (FOREVER,))
        client = RecordingClient()
        handling = asyncio.create_task(node.forwarder.handle(client))
        await asyncio.sleep(0.3)
        assert node.in_flight == 1
        client.disconnect()
        await handling
        exchange = node.sent[0].exchange
        assert exchange.aborted and exchange.ended_at == pytest.approx(client.received_at + 0.3)
        assert node.in_flight == 0 and len(node.sent) == 1 and not client.begun

    play(scenario())


def test_a_client_that_disconnects_at_the_attempts_timeout_causes_no_retry() -> None:
    """Given both in one iteration of the loop (the watchdog's second check), there is no second attempt."""

    async def scenario() -> None:
        node = Node(route(SAFE.kind, target_ms=500.0), (FOREVER,), COMPLETE_RESPONSE)
        client = RecordingClient()
        asyncio.get_running_loop().call_later(0.3 + CHECK_INTERVAL_S, client.disconnect)
        await node.forwarder.handle(client)
        assert len(node.sent) == 1 and node.in_flight == 0

    play(scenario())


CANDIDATE_FIRST = VersionChoice((NEW, OLD), candidate=True)


def test_a_retry_after_a_candidate_goes_to_the_released_version() -> None:
    """Given a candidate's credit and a reset, the retry goes to the released version; the credit is spent."""

    async def scenario() -> None:
        node = Node(SAFE, RESET, COMPLETE_RESPONSE, versions=(OLD, NEW, NEW), choice=CANDIDATE_FIRST)
        assert (await node.send_request()).status == 200
        assert [sent.address == "e0:80" for sent in node.sent] == [False, True]
        assert node.chooser.returned_credits == []

    play(scenario())


def test_a_candidates_credit_is_returned_once_if_nothing_was_sent() -> None:
    """Given a candidate whose only engine can't be reached, the released version serves the request."""

    async def scenario() -> None:
        node = Node(
            UNSAFE, (FailureKind.CONNECT,), COMPLETE_RESPONSE, versions=(OLD, NEW), choice=CANDIDATE_FIRST
        )
        assert (await node.send_request()).status == 200
        assert node.client.attempted_addresses == ["e1:80", "e0:80"]
        assert node.chooser.returned_credits == [NEW]

    play(scenario())


def test_a_candidates_credit_is_returned_if_the_client_disconnects_while_connecting() -> None:
    """Given a client that disconnects while the connection to the candidate is being established."""

    async def scenario() -> None:
        node = Node(UNSAFE, (FailureKind.UNRESPONSIVE,), versions=(OLD, NEW), choice=CANDIDATE_FIRST)
        client = RecordingClient()
        asyncio.get_running_loop().call_later(0.1, client.disconnect)
        await node.forwarder.handle(client)
        assert node.chooser.returned_credits == [NEW] and node.in_flight == 0

    play(scenario())
