"""Which connection closes for a new one, and how descriptors are shared among the listeners."""

from __future__ import annotations

import pytest

from springmux.node.resources.connection_limit import (
    IDLE_AFTER_S,
    RESERVED_DESCRIPTORS,
    ConnectionLimit,
    connection_shares,
)


class Connection:
    def __init__(self) -> None:
        self.closed = False

    def yield_place(self) -> None:
        self.closed = True


class Scene:
    def __init__(self, limit: int) -> None:
        self.now = 100.0
        self.connections = ConnectionLimit(lambda: limit, lambda: self.now)

    def open(self, waits: bool = True) -> Connection:
        connection = Connection()
        assert self.connections.admit(connection)
        if waits:
            self.connections.begin_wait(connection)
        return connection


def test_the_connection_that_waits_longest_closes_for_a_new_one() -> None:
    scene = Scene(limit=2)
    first, second = scene.open(), scene.open()
    scene.now += IDLE_AFTER_S
    scene.connections.begin_wait(first)  # it was used in between
    scene.open()
    assert (first.closed, second.closed) == (False, True)
    assert len(scene.connections) == 2


def test_a_new_connection_is_rejected_while_all_others_are_used_or_were_just_now() -> None:
    scene = Scene(limit=2)
    busy, waiting = scene.open(waits=False), scene.open()
    scene.now += IDLE_AFTER_S / 2
    assert not scene.connections.admit(Connection())
    scene.connections.end_wait(waiting)
    scene.now += IDLE_AFTER_S
    assert not scene.connections.admit(Connection())
    assert not busy.closed and not waiting.closed
    scene.connections.remove(busy)
    scene.open()


def test_a_rejected_connection_is_not_counted() -> None:
    scene = Scene(limit=1)
    scene.open(waits=False)
    rejected = Connection()
    assert not scene.connections.admit(rejected)
    scene.connections.begin_wait(rejected)
    scene.connections.remove(rejected)
    assert len(scene.connections) == 1


@pytest.mark.parametrize("max_descriptors", [300, 712, 4100])
def test_the_listeners_leave_descriptors_for_engines_and_files(max_descriptors: int) -> None:
    shares = connection_shares(max_descriptors)
    inbound = shares.front + shares.control + shares.ready + shares.peers
    assert inbound + shares.front <= max_descriptors - RESERVED_DESCRIPTORS
    assert min(shares.front, shares.control, shares.ready, shares.peers) >= 1
