"""Forwarding of streams, and their resumption at another engine.

Guards against lost or repeated events, a second head, and a regular end of an incomplete stream, which a
client would take for a complete response.
"""

from __future__ import annotations

import asyncio

import pytest

from springmux.control.gateway_configuration import GatewayRoute
from springmux.node.http.types import FailureKind
from tests.unit.node.gateway.scripted_engines import (
    DECLINE,
    FOREVER,
    SEAL,
    Pause,
    Script,
    Step,
    play,
    response_head,
    stream_events,
)
from tests.unit.node.gateway.stand_ins import OLD, RESUMABLE, STREAM, Node, RecordingClient, route

FIRST, SECOND = response_head(200, seal=b"s1"), response_head(200, seal=b"s2")
TRUNCATED = FailureKind.TRUNCATED
SHORT_TARGETS: dict[str, float] = {"target_ms": 1000.0, "gap_target_ms": 100.0}


def _is_complete(client: RecordingClient, last: int) -> bool:
    return client.ended and not client.aborted and client.data == stream_events(1, last)


@pytest.mark.parametrize("served_route", [STREAM, RESUMABLE], ids=["stream", "resumable"])
def test_a_stream_is_forwarded_event_by_event(served_route: GatewayRoute) -> None:
    """Given events a second apart, the client gets each as it arrives, and then a regular end."""

    async def scenario() -> None:
        node = Node(
            served_route,
            (FIRST, stream_events(1, 1), Pause(1.0), stream_events(2, 2), Pause(1.0), stream_events(3, 3)),
        )
        client = RecordingClient()
        handling = asyncio.create_task(node.forwarder.handle(client))
        await asyncio.sleep(0.5)
        assert client.data == stream_events(1, 1) and client.header(SEAL) == b"s1"
        await asyncio.sleep(1.0)
        assert client.data == stream_events(1, 2)
        await handling
        assert _is_complete(client, 3)
        assert node.sent[0].exchange.released and node.in_flight == 0

    play(scenario())


def test_a_stream_truncated_within_an_event_is_resumed_at_another_engine() -> None:
    """Given a truncation within event 3, another engine resumes after event 2; the first seal stays."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 3)[:-4], TRUNCATED), (SECOND, stream_events(3, 5)))
        client = await node.send_request()
        assert _is_complete(client, 5) and client.header(SEAL) == b"s1"
        assert node.sent[0].head.header(b"last-event-id") is None
        assert node.sent[1].head.header(b"last-event-id") == b"2"
        assert node.sent[0].address != node.sent[1].address and node.in_flight == 0

    play(scenario())


def test_a_stream_truncated_twice_is_resumed_at_a_third_engine() -> None:
    """Given two truncations, the client gets each event once."""

    async def scenario() -> None:
        node = Node(
            RESUMABLE,
            (FIRST, stream_events(1, 2), TRUNCATED),
            (SECOND, stream_events(3, 4), b"id: 5", TRUNCATED),
            (SECOND, stream_events(5, 6)),
        )
        assert _is_complete(await node.send_request(), 6)
        assert node.sent[2].head.header(b"last-event-id") == b"4"

    play(scenario())


def test_the_clients_own_last_event_id_is_forwarded() -> None:
    """Given a client that resumes after event 2, the second engine resumes after the events sent since."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(3, 4), TRUNCATED), (SECOND, stream_events(5, 5)))
        client = await node.send_request((b"last-event-id", b"2"))
        assert client.data == stream_events(3, 5) and client.ended
        assert [sent.head.header(b"last-event-id") for sent in node.sent] == [b"2", b"4"]

    play(scenario())


def test_events_that_a_second_engine_repeats_are_dropped() -> None:
    """Given an engine that ignores the last event id, the events that the client already has are dropped."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 2), TRUNCATED), (SECOND, stream_events(1, 4)))
        assert _is_complete(await node.send_request(), 4)

    play(scenario())


def test_a_gap_in_the_events_of_a_second_engine_resets_the_client() -> None:
    """Given an engine that resumes after a gap, the client gets none of its events and no regular end."""

    async def scenario() -> None:
        node = Node(
            route(STREAM.kind, resumable=True, max_attempts=2),
            (FIRST, stream_events(1, 2), TRUNCATED),
            (SECOND, stream_events(4, 5)),
        )
        client = await node.send_request()
        assert client.data == stream_events(1, 2) and client.aborted and not client.ended

    play(scenario())


def test_a_resumable_stream_without_event_ids_is_not_resumed() -> None:
    """Given events without ids, repetitions can't be detected, so no second engine's events are forwarded."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, b"data: a\n\n", TRUNCATED), (SECOND, b"data: a\n\ndata: b\n\n"))
        client = await node.send_request()
        assert client.data == b"data: a\n\n" and client.aborted

    play(scenario())


@pytest.mark.parametrize("failure", [(response_head(500, seal=b"s9"), b"no"), (FailureKind.RESET,), DECLINE])
def test_a_stream_that_no_engine_resumes_resets_the_client(failure: Script) -> None:
    """Given a truncation and then only failures, the client's connection is reset after the last event."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 2), TRUNCATED), *[failure] * 4)
        client = await node.send_request()
        assert client.data == stream_events(1, 2) and client.aborted and not client.ended

    play(scenario())


def test_a_truncated_stream_that_is_not_resumable_resets_the_client() -> None:
    """Given a stream without resumption, no second engine gets the request."""

    async def scenario() -> None:
        node = Node(STREAM, (FIRST, stream_events(1, 2), TRUNCATED))
        client = await node.send_request()
        assert client.data == stream_events(1, 2) and client.aborted and len(node.sent) == 1

    play(scenario())


@pytest.mark.parametrize("served_route", [STREAM, RESUMABLE], ids=["stream", "resumable"])
def test_a_connection_that_ends_within_an_event_resets_the_client(
    served_route: GatewayRoute,
) -> None:
    """Given a stream delimited by the connection's end, half an event is followed by no regular end."""

    async def scenario() -> None:
        node = Node(served_route, (FIRST, stream_events(1, 2)[:-4]), *[(FailureKind.CONNECT,)] * 3)
        client = await node.send_request()
        assert client.aborted and not client.ended

    play(scenario())


def test_a_deadline_within_a_stream_resets_the_client() -> None:
    """Given a stream that is incomplete at its deadline, the engine's exchange is aborted as well."""

    async def scenario() -> None:
        node = Node(STREAM, (FIRST, stream_events(1, 1), FOREVER))
        client = await node.send_request((b"x-deadline-ms", b"900"))
        assert client.aborted and not client.ended
        assert client.responded_at - client.received_at <= 1.1
        assert node.sent[0].exchange.aborted and node.in_flight == 0

    play(scenario())


def test_a_client_that_disconnects_within_a_stream_aborts_the_engines_exchange() -> None:
    """Given a client that disconnects, the exchange is aborted and no second engine gets the request."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 1), FOREVER))
        client = RecordingClient()
        asyncio.get_running_loop().call_later(0.5, client.disconnect)
        await node.forwarder.handle(client)
        assert node.sent[0].exchange.aborted and node.in_flight == 0 and len(node.sent) == 1

    play(scenario())


def test_a_stream_of_an_engine_that_becomes_unresponsive_is_resumed_elsewhere() -> None:
    """Given a stream without further events, another engine resumes it after twice the gap target."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **SHORT_TARGETS)
        node = Node(served_route, (FIRST, stream_events(1, 2), FOREVER), (SECOND, stream_events(3, 4)))
        client = await node.send_request()
        assert _is_complete(client, 4)
        assert node.sent[0].exchange.aborted and node.in_flight == 0
        assert client.responded_at - client.received_at < 1.0

    play(scenario())


def test_an_engine_without_a_first_event_is_abandoned_before_the_target() -> None:
    """Given no first event, another engine gets the request before the latency target has passed."""

    async def scenario() -> None:
        node = Node(
            route(STREAM.kind, resumable=True, **SHORT_TARGETS), (FOREVER,), (SECOND, stream_events(1, 2))
        )
        client = await node.send_request()
        assert _is_complete(client, 2) and client.header(SEAL) == b"s2"
        assert 0.6 <= client.responded_at - client.received_at < 1.0

    play(scenario())


def test_without_retry_budget_a_silent_engine_is_not_abandoned() -> None:
    """Given an empty retry budget, the request keeps waiting for its engine."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **SHORT_TARGETS)
        node = Node(served_route, (FIRST, stream_events(1, 2), Pause(2.0), stream_events(3, 3)))
        node.core.retry_budget.set_floor(0)
        assert _is_complete(await node.send_request(), 3)

    play(scenario())


def test_an_engine_that_sends_on_another_stream_is_not_abandoned() -> None:
    """Given an engine that sends on another stream meanwhile, the longer timeout of a busy engine applies."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **SHORT_TARGETS)
        steady_steps: list[Step] = [
            step for number in range(1, 40) for step in (stream_events(number, number), Pause(0.02))
        ]
        node = Node(
            served_route,
            (FIRST, *steady_steps),
            (FIRST, stream_events(1, 1), Pause(0.4), stream_events(2, 2)),
            versions=[OLD],
        )
        other, client = RecordingClient(), RecordingClient()
        await asyncio.gather(node.forwarder.handle(other), node.forwarder.handle(client))
        assert _is_complete(client, 2) and _is_complete(other, 39) and len(node.sent) == 2

    play(scenario())


def test_a_slow_client_does_not_count_as_a_silent_engine() -> None:
    """Given a client whose socket is full for longer than the timeout, its engine is not abandoned."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **SHORT_TARGETS)
        node = Node(
            served_route, (FIRST, stream_events(1, 1), stream_events(2, 2)), (SECOND, stream_events(2, 2))
        )
        client = await node.send_request(slow_s=0.5)
        assert _is_complete(client, 2) and len(node.sent) == 1

    play(scenario())


def test_blank_lines_between_events_are_forwarded_unchanged() -> None:
    """Given several blank lines between events, the body is forwarded as it is."""

    async def scenario() -> None:
        body = b"id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n"
        client = await Node(RESUMABLE, (FIRST, body)).send_request()
        assert client.data == body and client.ended

    play(scenario())
