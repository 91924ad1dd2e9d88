"""Streams: events as they come, one head, every event once, and an end only where the stream has one."""

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
CUT = FailureKind.TRUNCATED
QUICK: dict[str, float] = {"target_ms": 1000.0, "gap_target_ms": 100.0}


def _whole(client: RecordingClient, last: int) -> bool:
    return client.ended and not client.aborted and client.data == stream_events(1, last)


@pytest.mark.parametrize("served_route", [STREAM, RESUMABLE], ids=["stream", "resumable"])
def test_a_stream_is_passed_on_event_by_event(served_route: GatewayRoute) -> None:
    """Given events a second apart, the client has each when it comes, and then a proper end."""

    async def scenario() -> None:
        node = Node(
            served_route,
            (FIRST, stream_events(1, 1), Pause(1.0), stream_events(2, 2), Pause(1.0), stream_events(3, 3)),
        )
        client = RecordingClient()
        handled = asyncio.create_task(node.forwarder.handle(client))
        await asyncio.sleep(0.5)
        assert client.data == stream_events(1, 1) and client.header(SEAL) == b"s1"
        await asyncio.sleep(1.0)
        assert client.data == stream_events(1, 2)
        await handled
        assert _whole(client, 3)
        assert node.sent[0].exchange.released and node.in_flight == 0

    play(scenario())


def test_a_stream_cut_inside_an_event_goes_on_at_another_engine() -> None:
    """Given a cut inside event 3, another engine goes on after 2; the first head and seal stay."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 3)[:-4], CUT), (SECOND, stream_events(3, 5)))
        client = await node.ask()
        assert _whole(client, 5) and client.header(SEAL) == b"s1"
        assert node.sent[0].head.header(b"last-event-id") is None
        assert node.sent[1].head.header(b"last-event-id") == b"2"
        assert node.sent[0].address != node.sent[1].address and node.in_flight == 0

    play(scenario())


def test_a_stream_cut_twice_goes_on_at_a_third_engine() -> None:
    """Given two cuts, each event comes once."""

    async def scenario() -> None:
        node = Node(
            RESUMABLE,
            (FIRST, stream_events(1, 2), CUT),
            (SECOND, stream_events(3, 4), b"id: 5", CUT),
            (SECOND, stream_events(5, 6)),
        )
        assert _whole(await node.ask(), 6)
        assert node.sent[2].head.header(b"last-event-id") == b"4"

    play(scenario())


def test_the_clients_own_last_event_id_goes_on() -> None:
    """Given a client that continues after event 2, the engine is told so, and after a cut what came since."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(3, 4), CUT), (SECOND, stream_events(5, 5)))
        client = await node.ask((b"last-event-id", b"2"))
        assert client.data == stream_events(3, 5) and client.ended
        assert [sent.head.header(b"last-event-id") for sent in node.sent] == [b"2", b"4"]

    play(scenario())


def test_a_second_engine_that_begins_anew_repeats_nothing_to_the_client() -> None:
    """Given an engine that does not heed the id, the events that the client has are left out."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 2), CUT), (SECOND, stream_events(1, 4)))
        assert _whole(await node.ask(), 4)

    play(scenario())


def test_a_second_engine_that_skips_events_ends_the_stream_with_a_reset() -> None:
    """Given an engine that goes on after a gap, nothing of it reaches the client, nor a proper end."""

    async def scenario() -> None:
        node = Node(
            route(STREAM.kind, resumable=True, max_attempts=2),
            (FIRST, stream_events(1, 2), CUT),
            (SECOND, stream_events(4, 5)),
        )
        client = await node.ask()
        assert client.data == stream_events(1, 2) and client.aborted and not client.ended

    play(scenario())


def test_a_resumable_stream_without_ids_is_not_joined() -> None:
    """Given events without ids, what has come can't be left out, so nothing of a second run may follow."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, b"data: a\n\n", CUT), (SECOND, b"data: a\n\ndata: b\n\n"))
        client = await node.ask()
        assert client.data == b"data: a\n\n" and client.aborted

    play(scenario())


@pytest.mark.parametrize("failure", [(response_head(500, seal=b"s9"), b"no"), (FailureKind.RESET,), DECLINE])
def test_a_stream_that_nobody_goes_on_with_ends_with_a_reset(failure: Script) -> None:
    """Given a cut and then only failures, the client's connection is reset after its whole events."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 2), CUT), *[failure] * 4)
        client = await node.ask()
        assert client.data == stream_events(1, 2) and client.aborted and not client.ended

    play(scenario())


def test_a_cut_stream_that_may_not_be_resumed_ends_with_a_reset() -> None:
    """Given a plain stream, a cut ends it, and no second engine is asked."""

    async def scenario() -> None:
        node = Node(STREAM, (FIRST, stream_events(1, 2), CUT))
        client = await node.ask()
        assert client.data == stream_events(1, 2) and client.aborted and len(node.sent) == 1

    play(scenario())


@pytest.mark.parametrize("served_route", [STREAM, RESUMABLE], ids=["stream", "resumable"])
def test_an_end_inside_an_event_is_not_the_streams_end(served_route: GatewayRoute) -> None:
    """Given an unframed stream whose connection ends inside an event, the client sees no proper end."""

    async def scenario() -> None:
        node = Node(served_route, (FIRST, stream_events(1, 2)[:-4]), *[(FailureKind.CONNECT,)] * 3)
        client = await node.ask()
        assert client.aborted and not client.ended

    play(scenario())


def test_a_deadline_inside_a_stream_resets_it() -> None:
    """Given a stream that is not over by its deadline, the connection is reset and the engine stopped."""

    async def scenario() -> None:
        node = Node(STREAM, (FIRST, stream_events(1, 1), FOREVER))
        client = await node.ask((b"x-deadline-ms", b"900"))
        assert client.aborted and not client.ended
        assert client.responded_at - client.received_at <= 1.1
        assert node.sent[0].exchange.aborted and node.in_flight == 0

    play(scenario())


def test_a_client_that_leaves_its_stream_ends_the_engines_work() -> None:
    """Given a client that leaves inside its stream, the engine's exchange ends at once."""

    async def scenario() -> None:
        node = Node(RESUMABLE, (FIRST, stream_events(1, 1), FOREVER))
        client = RecordingClient()
        asyncio.get_running_loop().call_later(0.5, client.leave)
        await node.forwarder.handle(client)
        assert node.sent[0].exchange.aborted and node.in_flight == 0 and len(node.sent) == 1

    play(scenario())


def test_an_unresponsive_engine_is_given_up_after_the_timeout() -> None:
    """Given a resumable stream whose engine falls silent, another engine goes on after two pauses."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **QUICK)
        node = Node(served_route, (FIRST, stream_events(1, 2), FOREVER), (SECOND, stream_events(3, 4)))
        client = await node.ask()
        assert _whole(client, 4)
        assert node.sent[0].exchange.aborted and node.in_flight == 0
        assert client.responded_at - client.received_at < 1.0

    play(scenario())


def test_an_engine_that_is_dark_from_the_start_is_given_up_in_time() -> None:
    """Given no first event, another engine is asked before the target has passed."""

    async def scenario() -> None:
        node = Node(route(STREAM.kind, resumable=True, **QUICK), (FOREVER,), (SECOND, stream_events(1, 2)))
        client = await node.ask()
        assert _whole(client, 2) and client.header(SEAL) == b"s2"
        assert 0.6 <= client.responded_at - client.received_at < 1.0

    play(scenario())


def test_without_budget_a_silent_engine_is_not_given_up() -> None:
    """Given an empty retry budget, the request waits for its engine."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **QUICK)
        node = Node(served_route, (FIRST, stream_events(1, 2), Pause(2.0), stream_events(3, 3)))
        node.core.retry_budget.set_floor(0)
        assert _whole(await node.ask(), 3)

    play(scenario())


def test_a_busy_engine_is_not_given_up() -> None:
    """Given an engine that sends on another stream meanwhile, its silence on this one is borne longer."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **QUICK)
        beside: list[Step] = [
            step for number in range(1, 40) for step in (stream_events(number, number), Pause(0.02))
        ]
        node = Node(
            served_route,
            (FIRST, *beside),
            (FIRST, stream_events(1, 1), Pause(0.4), stream_events(2, 2)),
            versions=[OLD],
        )
        other, client = RecordingClient(), RecordingClient()
        await asyncio.gather(node.forwarder.handle(other), node.forwarder.handle(client))
        assert _whole(client, 2) and _whole(other, 39) and len(node.sent) == 2

    play(scenario())


def test_a_slow_client_is_not_its_engines_silence() -> None:
    """Given a client whose socket is full for longer than the patience, its engine is not given up."""

    async def scenario() -> None:
        served_route = route(STREAM.kind, resumable=True, **QUICK)
        node = Node(
            served_route, (FIRST, stream_events(1, 1), stream_events(2, 2)), (SECOND, stream_events(2, 2))
        )
        client = await node.ask(slow_s=0.5)
        assert _whole(client, 2) and len(node.sent) == 1

    play(scenario())


def test_blank_lines_between_events_go_on_unchanged() -> None:
    """Given more than one empty line between events, the body stays the engine's own."""

    async def scenario() -> None:
        body = b"id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n"
        client = await Node(RESUMABLE, (FIRST, body)).ask()
        assert client.data == body and client.ended

    play(scenario())
