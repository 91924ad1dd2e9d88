"""Who gets memory and who yields it.

Guards against stalled clients that keep a process's memory, and against large requests that shut out small
ones.
"""

from __future__ import annotations

import random

from springmux.node.resources.memory_budget import (
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALLED_AFTER_S,
    MemoryAccount,
    MemoryBudget,
    MemoryClass,
)

CAPACITY = 100 * SMALL_BYTES
LARGE_LIMIT = int(CAPACITY * MemoryClass.CLIENT.value)


class Scene:
    """A budget and the connections that use it, with a clock that the test moves."""

    def __init__(self) -> None:
        self.now = 100.0
        self.budget = MemoryBudget(CAPACITY, lambda: self.now)
        self.yielded: list[str] = []

    def open(
        self, name: str, waits: bool = True, memory_class: MemoryClass = MemoryClass.CLIENT
    ) -> MemoryAccount:
        account = self.budget.open(Connection(self, name), memory_class)
        if waits:
            account.begin_wait()
        return account


class Connection:
    def __init__(self, scene: Scene, name: str) -> None:
        self._scene = scene
        self._name = name

    def yield_memory(self) -> None:
        self._scene.yielded.append(self._name)


def test_bytes_are_refused_at_the_limit_while_nobody_stalls() -> None:
    scene = Scene()
    first, second = scene.open("first"), scene.open("second")
    assert first.try_hold(LARGE_LIMIT)
    assert not second.try_hold(SMALL_BYTES + 1)
    assert scene.budget.held_bytes == LARGE_LIMIT and scene.yielded == []
    first.release(SMALL_BYTES + 1)
    assert second.try_hold(SMALL_BYTES + 1)


def test_the_client_that_stalls_longest_yields() -> None:
    scene = Scene()
    first, second = scene.open("first"), scene.open("second")
    assert first.try_hold(LARGE_LIMIT // 2) and second.try_hold(LARGE_LIMIT // 2)
    scene.now += STALLED_AFTER_S / 2
    first.record_progress(PROGRESS_BYTES)
    scene.now += STALLED_AFTER_S / 2
    assert scene.open("third").try_hold(LARGE_LIMIT // 2)
    assert scene.yielded == ["second"] and second.held_bytes == 0


def test_single_bytes_are_no_progress() -> None:
    scene = Scene()
    dripping = scene.open("dripping")
    assert dripping.try_hold(LARGE_LIMIT)
    for _ in range(10):
        scene.now += STALLED_AFTER_S / 5
        dripping.record_progress(1)
    assert scene.open("other").try_hold(LARGE_LIMIT)
    assert scene.yielded == ["dripping"]


def test_large_unfinished_bodies_yield_to_a_small_request_at_once() -> None:
    scene = Scene()
    large = scene.open("large")
    assert large.try_hold(LARGE_LIMIT)
    small = [scene.open(f"small {number}") for number in range(60)]
    assert all(account.try_hold(SMALL_BYTES) for account in small)
    assert scene.yielded == ["large"]


def test_complete_large_requests_never_yield_and_leave_the_reserve_to_small_ones() -> None:
    scene = Scene()
    complete = scene.open("complete", waits=False)
    assert complete.try_hold(LARGE_LIMIT)
    scene.now += 100.0
    assert not scene.open("large").try_hold(SMALL_BYTES + 1)
    assert scene.open("small").try_hold(SMALL_BYTES)
    assert not scene.open("not reserved").try_hold(SMALL_BYTES, reserved=False)
    assert scene.yielded == []


def test_large_clients_leave_room_to_the_fleet_and_the_fleet_to_small_clients() -> None:
    scene = Scene()
    assert scene.open("client", waits=False).try_hold(LARGE_LIMIT)
    peer = scene.open("peer", waits=False, memory_class=MemoryClass.FLEET)
    assert peer.try_hold(int(CAPACITY * MemoryClass.FLEET.value) - LARGE_LIMIT)
    assert not peer.try_hold(SMALL_BYTES)
    assert scene.open("small").try_hold(SMALL_BYTES)
    assert scene.yielded == []


def test_a_connection_that_alone_holds_bytes_may_pass_the_limit() -> None:
    scene = Scene()
    alone = scene.open("alone", waits=False)
    assert alone.try_hold(1) and alone.try_hold(2 * CAPACITY)
    assert not scene.open("second", waits=False).try_hold(1)


def test_the_sum_of_the_accounts_is_counted_whatever_happens() -> None:
    randomness = random.Random(7)
    scene = Scene()
    accounts = [scene.open(str(number)) for number in range(40)]
    for _ in range(5000):
        scene.now += randomness.random() * STALLED_AFTER_S
        account = randomness.choice(accounts)
        step = randomness.randrange(6)
        if step < 2:
            account.try_hold(randomness.randrange(8 * SMALL_BYTES), reserved=randomness.random() < 0.5)
        elif step == 2:
            account.release(randomness.randrange(8 * SMALL_BYTES))
        elif step == 3:
            account.end_wait()
        elif step == 4:
            account.begin_wait()
        else:
            account.record_progress(randomness.randrange(2 * PROGRESS_BYTES))
        held = [account.held_bytes for account in accounts]
        assert scene.budget.held_bytes == sum(held) and min(held) >= 0
        assert sum(held) <= CAPACITY or max(held) == sum(held)
    for account in accounts:
        account.release_all()
    assert scene.budget.held_bytes == 0
