"""When a request goes to another engine, and what its client gets where it may not."""

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
def test_a_decline_goes_to_another_engine(decline: Script) -> None:
    """Given an engine that says that it did not run the request, even an unsafe one goes on."""

    async def scenario() -> None:
        node = Node(UNSAFE, decline, COMPLETE_RESPONSE)
        client = await node.ask()
        assert (client.status, client.data) == (200, b"whole")
        assert len({sent.address for sent in node.sent}) == 2
        assert node.sent[0].exchange.released and node.in_flight == 0

    play(scenario())


def test_declined_by_all_is_503_with_a_time() -> None:
    """Given nothing but declines, the client is told that the request has not run."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[DECLINE] * 3)
        client = await node.ask()
        assert client.status == 503 and client.header(b"retry-after") is not None
        assert client.header(SEAL) is None and client.header(b"x-not-executed") is None

    play(scenario())


def test_a_decline_that_breaks_off_is_still_a_decline() -> None:
    """Given the head of a decline and then a reset, the engine's word stands."""

    async def scenario() -> None:
        node = Node(UNSAFE, (DECLINE[0], FailureKind.TRUNCATED), COMPLETE_RESPONSE)
        assert (await node.ask()).status == 200

    play(scenario())


def test_a_decline_whose_body_never_ends_does_not_hold_the_request() -> None:
    """Given the head of a decline and then silence, another engine is asked well before the deadline."""

    async def scenario() -> None:
        node = Node(UNSAFE, (DECLINE[0], FOREVER), COMPLETE_RESPONSE)
        client = await node.ask()
        assert client.status == 200 and client.responded_at - client.received_at < 1.0

    play(scenario())


AFTER_SENDING = [FailureKind.RESET, FailureKind.UNRESPONSIVE, FailureKind.MALFORMED, FailureKind.TRUNCATED]


@pytest.mark.parametrize("served_route", [UNSAFE, STREAM], ids=["unsafe", "stream"])
@pytest.mark.parametrize("kind", AFTER_SENDING)
def test_an_unsafe_request_that_may_have_run_is_sent_once(
    served_route: GatewayRoute, kind: FailureKind
) -> None:
    """Given a failure after sending, 502 without a promise and without a second engine."""

    async def scenario() -> None:
        script: Script = (
            (Pause(0.1), kind) if kind is not FailureKind.TRUNCATED else (response_head(200), kind)
        )
        node = Node(served_route, script)
        client = await node.ask()
        assert client.status == 502
        assert client.header(b"retry-after") is None and client.header(SEAL) is None
        assert len(node.sent) == 1 and node.sent[0].exchange.aborted and node.in_flight == 0

    play(scenario())


@pytest.mark.parametrize("kind", [FailureKind.CONNECT, FailureKind.NOT_SENT])
def test_without_a_connection_an_unsafe_request_goes_to_another_engine(kind: FailureKind) -> None:
    """Given two engines that nothing could be sent to, a third one runs the request."""

    async def scenario() -> None:
        node = Node(UNSAFE, (kind,), (kind,), COMPLETE_RESPONSE)
        assert (await node.ask()).status == 200
        assert len(set(node.client.attempted_addresses)) == 3 and len(node.sent) == 1 and node.in_flight == 0

    play(scenario())


def test_without_any_connection_the_client_may_come_back() -> None:
    """Given four engines that can't be reached, 503 with a time, and each was tried once."""

    async def scenario() -> None:
        node = Node(UNSAFE, *[(FailureKind.CONNECT,)] * 4)
        client = await node.ask()
        assert client.status == 503 and client.header(b"retry-after") is not None
        assert sorted(node.client.attempted_addresses) == ["e0:80", "e1:80", "e2:80", "e3:80"]

    play(scenario())


@pytest.mark.parametrize("failure", [RESET, (response_head(200), b"ha", FailureKind.TRUNCATED), FAILURE])
def test_a_safe_request_goes_to_a_second_engine(failure: Script) -> None:
    """Given a failure of the first engine, the client gets the second one's answer alone."""

    async def scenario() -> None:
        node = Node(SAFE, failure, COMPLETE_RESPONSE)
        client = await node.ask()
        assert (client.status, client.data, client.ended) == (200, b"whole", True)
        assert len({sent.address for sent in node.sent}) == 2

    play(scenario())


@pytest.mark.parametrize("most", [1, 2, 3])
def test_no_more_engines_run_a_request_than_its_route_allows(most: int) -> None:
    """Given engines that all reset, as many as ``max_attempts`` get it."""

    async def scenario() -> None:
        node = Node(route(SAFE.kind, max_attempts=most), *[RESET] * most)
        assert (await node.ask()).status == 502
        assert len(node.sent) == most

    play(scenario())


def test_without_budget_nothing_is_repeated() -> None:
    """Given an empty retry budget, the first failure ends the request, and a decline is told as it is."""

    async def scenario() -> None:
        for failure, status in ((RESET, 502), (DECLINE, 503)):
            node = Node(SAFE, failure)
            node.core.retry_budget.set_floor(0)
            assert (await node.ask()).status == status

    play(scenario())


def test_an_engines_own_failure_goes_back_with_its_seal() -> None:
    """Given a 500 on an unsafe route, it is passed on; on a safe one after the last engine."""

    async def scenario() -> None:
        for served_route, scripts in ((UNSAFE, [FAILURE]), (SAFE, [FAILURE] * 3)):
            node = Node(served_route, *scripts)
            client = await node.ask()
            assert (client.status, client.data, client.header(SEAL)) == (500, b"broken", b"s9")
            assert node.client.scripts == []

    play(scenario())


def test_a_large_answer_that_breaks_off_ends_with_a_reset_and_no_second_run() -> None:
    """Given an answer of which the client has a part, another engine's run would be in vain."""

    async def scenario() -> None:
        node = Node(SAFE, (response_head(200), b"x" * 1_100_000, FailureKind.TRUNCATED), COMPLETE_RESPONSE)
        client = await node.ask()
        assert client.aborted and not client.ended
        assert len(node.sent) == 1

    play(scenario())


@pytest.mark.parametrize("piece_bytes", [100, 600_000], ids=["small", "large"])
def test_an_answer_that_comes_is_not_given_up(piece_bytes: int) -> None:
    """Given an answer that takes longer than the patience but comes piece by piece, it is passed on."""

    async def scenario() -> None:
        piece = b"x" * piece_bytes
        pieces: list[Step] = [part for _ in range(10) for part in (Pause(0.1), piece)]
        node = Node(route(SAFE.kind, target_ms=500.0), (response_head(200), *pieces), COMPLETE_RESPONSE)
        client = await node.ask()
        assert client.ended and not client.aborted and client.data == piece * 10
        assert len(node.sent) == 1

    play(scenario())


def test_a_slow_connection_is_not_a_run() -> None:
    """Given a patience shorter than a connection attempt, the engine that nothing reached costs no run."""

    async def scenario() -> None:
        node = Node(
            route(SAFE.kind, max_attempts=2, target_ms=300.0),
            (FailureKind.UNRESPONSIVE,),
            RESET,
            COMPLETE_RESPONSE,
        )
        assert (await node.ask()).status == 200
        assert len(set(node.client.attempted_addresses)) == 3

    play(scenario())


def test_a_client_that_leaves_ends_the_engines_work_at_once() -> None:
    """Given a client that leaves while its engine works, the exchange ends then, and nobody is asked anew."""

    async def scenario() -> None:
        node = Node(SAFE, (FOREVER,))
        client = RecordingClient()
        handled = asyncio.create_task(node.forwarder.handle(client))
        await asyncio.sleep(0.3)
        assert node.in_flight == 1
        client.leave()
        await handled
        exchange = node.sent[0].exchange
        assert exchange.aborted and exchange.ended_at == pytest.approx(client.received_at + 0.3)
        assert node.in_flight == 0 and len(node.sent) == 1 and not client.begun

    play(scenario())


def test_a_client_that_leaves_as_the_timeout_ends_is_not_served_anew() -> None:
    """Given both in one round of the loop (the watch's second look), no second engine gets the request."""

    async def scenario() -> None:
        node = Node(route(SAFE.kind, target_ms=500.0), (FOREVER,), COMPLETE_RESPONSE)
        client = RecordingClient()
        asyncio.get_running_loop().call_later(0.3 + CHECK_INTERVAL_S, client.leave)
        await node.forwarder.handle(client)
        assert len(node.sent) == 1 and node.in_flight == 0

    play(scenario())


CANDIDATE_FIRST = VersionChoice((NEW, OLD), candidate=True)


def test_a_retry_after_a_candidate_goes_to_the_released_version() -> None:
    """Given a candidate's credit and a reset, the second engine runs the release; the credit is spent."""

    async def scenario() -> None:
        node = Node(SAFE, RESET, COMPLETE_RESPONSE, versions=(OLD, NEW, NEW), choice=CANDIDATE_FIRST)
        assert (await node.ask()).status == 200
        assert [sent.address == "e0:80" for sent in node.sent] == [False, True]
        assert node.chooser.given_back == []

    play(scenario())


def test_a_credit_that_no_engine_got_is_given_back_once() -> None:
    """Given a candidate whose only engine can't be reached, the release serves and the credit returns."""

    async def scenario() -> None:
        node = Node(
            UNSAFE, (FailureKind.CONNECT,), COMPLETE_RESPONSE, versions=(OLD, NEW), choice=CANDIDATE_FIRST
        )
        assert (await node.ask()).status == 200
        assert node.client.attempted_addresses == ["e1:80", "e0:80"]
        assert node.chooser.given_back == [NEW]

    play(scenario())


def test_a_credit_returns_when_the_client_leaves_before_anything_was_sent() -> None:
    """Given a client that leaves while the candidate's connection comes up, the credit returns."""

    async def scenario() -> None:
        node = Node(UNSAFE, (FailureKind.UNRESPONSIVE,), versions=(OLD, NEW), choice=CANDIDATE_FIRST)
        client = RecordingClient()
        asyncio.get_running_loop().call_later(0.1, client.leave)
        await node.forwarder.handle(client)
        assert node.chooser.given_back == [NEW] and node.in_flight == 0

    play(scenario())
