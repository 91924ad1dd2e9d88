"""Tests that a transfer continues at another peer when its peer disconnects or stops sending.

The continued transfer must leave time for the change to be in force within two seconds.
"""

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
IN_FORCE_WITHIN_S = 2.0
RESERVED_FOR_REST_S = 0.5


def new_fetcher(*ahead: str) -> StateFetcher:
    """Return a fetcher that learned at time 0 that the peers ``ahead`` have a newer state."""
    fetcher = StateFetcher(random.Random(3), SETTINGS, lambda node: False)
    for name in ahead:
        fetcher.observe_revision(NodeId(name), NEWER, OWN, 0.0)
    return fetcher


def fetch_requests(effects: list[Effect]) -> list[tuple[NodeId, FetchState]]:
    return [
        (effect.to, effect.message)
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, FetchState)
    ]


def start_transfer(fetcher: StateFetcher, now: float = 0.2) -> tuple[NodeId, FetchState]:
    ((peer, fetch),) = fetch_requests(fetcher.tick(OWN, now))
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


def first_request_after(fetcher: StateFetcher, start: float) -> tuple[float, NodeId, FetchState]:
    now = start
    while True:
        now += 0.01
        requests = fetch_requests(fetcher.tick(OWN, now))
        if requests:
            return now, *requests[0]


def test_a_lost_connection_moves_the_transfer_to_another_peer_immediately() -> None:
    fetcher = new_fetcher("a", "b")
    peer, fetch = start_transfer(fetcher)
    fetcher.receive_chunk(peer, chunk(fetch, 0, 4096), 0.3)

    ((other, next_fetch),) = fetch_requests(fetcher.peer_unreachable(peer, OWN, 0.31))

    assert other != peer
    assert (next_fetch.target, next_fetch.offset) == (NEWER, 4096)


def test_a_lost_connection_to_another_peer_changes_nothing() -> None:
    fetcher = new_fetcher("a", "b")
    peer, _ = start_transfer(fetcher)
    other = NodeId("b") if peer == "a" else NodeId("a")
    assert fetcher.peer_unreachable(other, OWN, 0.3) == []


def test_a_peer_that_sends_nothing_is_abandoned_in_time() -> None:
    fetcher = new_fetcher("a", "b")
    peer, _ = start_transfer(fetcher)
    at, other, _ = first_request_after(fetcher, 0.2)
    while other == peer:
        at, other, _ = first_request_after(fetcher, at)
    assert at - 0.2 <= IN_FORCE_WITHIN_S - RESERVED_FOR_REST_S


def test_the_only_peer_ahead_gets_another_request() -> None:
    fetcher = new_fetcher("a")
    peer, _ = start_transfer(fetcher)
    _, next_peer, _ = first_request_after(fetcher, 0.2)
    assert next_peer == peer


@pytest.mark.parametrize("received", [4096, 4096 + 65536, 4096 + 3 * 65536])
def test_a_peer_that_stalls_in_mid_transfer_is_abandoned_in_time_to_fetch_the_rest(received: int) -> None:
    fetcher = new_fetcher("a", "b")
    peer, fetch = start_transfer(fetcher)
    fetcher.receive_chunk(peer, chunk(fetch, 0, received), 0.3)

    at, other, next_fetch = first_request_after(fetcher, 0.3)

    assert other != peer
    assert next_fetch.offset == received
    assert at - 0.3 <= IN_FORCE_WITHIN_S - RESERVED_FOR_REST_S
