"""A transfer whose peer is gone or silent goes on at another one in time for the change to be in force."""

from __future__ import annotations

import random

import pytest

from springmux.control.delivery.fetching import StateFetcher
from springmux.control.delivery.messages import FetchState, StateChunk, TransferKind
from springmux.control.delivery.serving import transfer_checksum
from springmux.control.delivery.settings import DeliverySettings
from springmux.coordination.identifiers import NodeId, Revision
from springmux.coordination.state_machine import Effect, Send

OWN = Revision(5)
NEWER = Revision(6)
SETTINGS = DeliverySettings()
CONTENT = bytes(random.Random(1).randbytes(1_000_000))
IN_FORCE_S = 2.0
LEFT_FOR_THE_REST_S = 0.5


def fetcher(*ahead: str) -> StateFetcher:
    """Return a fetcher that knows of newer states at peers and has asked one of them at time 0."""
    made = StateFetcher(random.Random(3), SETTINGS, lambda node: False)
    for name in ahead:
        made.observe_revision(NodeId(name), NEWER, OWN, 0.0)
    return made


def asked(effects: list[Effect]) -> list[tuple[NodeId, FetchState]]:
    return [
        (effect.to, effect.message)
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, FetchState)
    ]


def begun(made: StateFetcher, now: float = 0.2) -> tuple[NodeId, FetchState]:
    ((peer, fetch),) = asked(made.tick(OWN, now))
    return peer, fetch


def chunk(fetch: FetchState, offset: int, size_bytes: int) -> StateChunk:
    window_end = SETTINGS.window_chunks * SETTINGS.chunk_bytes
    return StateChunk(
        request=fetch.request,
        kind=TransferKind.SNAPSHOT,
        target=NEWER,
        checksum=transfer_checksum(CONTENT),
        total_bytes=len(CONTENT),
        offset=offset,
        data=CONTENT[offset : offset + size_bytes],
        window_end=window_end,
    )


def first_asked_after(made: StateFetcher, start: float) -> tuple[float, NodeId, FetchState]:
    now = start
    while True:
        now += 0.01
        found = asked(made.tick(OWN, now))
        if found:
            return now, *found[0]


def test_a_lost_connection_moves_the_transfer_to_another_peer_at_once() -> None:
    made = fetcher("a", "b")
    peer, fetch = begun(made)
    made.receive_chunk(peer, chunk(fetch, 0, 4096), 0.3)

    ((other, again),) = asked(made.peer_unreachable(peer, OWN, 0.31))

    assert other != peer
    assert (again.target, again.offset) == (NEWER, 4096)


def test_a_lost_connection_to_another_peer_changes_nothing() -> None:
    made = fetcher("a", "b")
    peer, _ = begun(made)
    other = NodeId("b") if peer == "a" else NodeId("a")
    assert made.peer_unreachable(other, OWN, 0.3) == []


def test_a_peer_that_sends_nothing_is_left_in_time() -> None:
    made = fetcher("a", "b")
    peer, _ = begun(made)
    at, other, _ = first_asked_after(made, 0.2)
    while other == peer:
        at, other, _ = first_asked_after(made, at)
    assert at - 0.2 <= IN_FORCE_S - LEFT_FOR_THE_REST_S


def test_the_only_peer_ahead_is_asked_again() -> None:
    made = fetcher("a")
    peer, _ = begun(made)
    _, again, _ = first_asked_after(made, 0.2)
    assert again == peer


@pytest.mark.parametrize("received", [4096, 4096 + 65536, 4096 + 3 * 65536])
def test_a_peer_that_falls_silent_in_the_middle_leaves_time_to_fetch_the_rest(received: int) -> None:
    made = fetcher("a", "b")
    peer, fetch = begun(made)
    made.receive_chunk(peer, chunk(fetch, 0, received), 0.3)

    at, other, again = first_asked_after(made, 0.3)

    assert other != peer
    assert again.offset == received
    assert at - 0.3 <= IN_FORCE_S - LEFT_FOR_THE_REST_S
