"""Long work leaves room in each iteration of the event loop for others."""

from __future__ import annotations

import asyncio

from springmux.node.resources.deferred_work import ITERATION_S, DeferredWork


async def test_steps_run_in_order_over_several_iterations() -> None:
    loop = asyncio.get_running_loop()
    work, done = DeferredWork(), list[int]()

    def step(number: int) -> None:
        done.append(number)
        ends_at = loop.time() + ITERATION_S
        while loop.time() < ends_at:
            pass

    for number in range(4):
        work.add(lambda number=number: step(number))
    assert done == []
    seen = []
    while len(done) < 4:
        await asyncio.sleep(0)
        seen.append(len(done))
    assert done == [0, 1, 2, 3]
    assert all(after - before <= 1 for before, after in zip([0, *seen], seen, strict=False))


async def test_a_step_may_add_another() -> None:
    work, done = DeferredWork(), list[str]()
    work.add(lambda: (done.append("first"), work.add(lambda: done.append("second"))))
    while len(done) < 2:
        await asyncio.sleep(0)
    assert done == ["first", "second"]
