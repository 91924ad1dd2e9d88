"""An engine that said ``draining`` gets requests again once its heartbeats are late and another crashes."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import (  # noqa: E402
    Engine,
    Fleet,
    Record,
    client_request,
    every,
    run_case,
    small_configuration,
)

REQUESTS_PER_S = 30
DRAIN_S = 2.0
"""``drainMs`` of the small sites."""
LATE_S = 5.0
"""By how much the next heartbeat of the draining engine is late."""
CRASH_AFTER_S = 3.5
CRASH_S = 4.5
"""The largest ``for_s`` of ``srv_crash`` in the small sites."""


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet.start_all()
    await fleet.configure(small_configuration("vend"), 0)
    leaving, staying = Engine(fleet, "vend", "zone-a"), Engine(fleet, "vend", "zone-b")
    for engine in (leaving, staying):
        await engine.start()
    await fleet.wait_ready()
    await asyncio.sleep(4.0)  # longer than contactMs: all machines are in touch

    async def send() -> None:
        await client_request(random.choice(fleet.nodes), record)

    traffic = asyncio.create_task(every(1 / REQUESTS_PER_S, record.now() + 14.0, send, record))
    await asyncio.sleep(2.0)
    drained_at = await leaving.drain()
    if trouble:
        leaving.delay_heartbeats(LATE_S)
    await asyncio.sleep(CRASH_AFTER_S)
    if trouble:
        await staying.crash(CRASH_S)
    await traffic
    late = [at - drained_at for at, _ in leaving.ran if at > drained_at + DRAIN_S]
    record.write(f"requests that reached the draining engine later than drainMs: {len(late)}")
    record.write("seconds after its acknowledgement: " + " ".join(f"{at:.2f}" for at in late))
    for engine in (leaving, staying):
        await engine.stop()
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(HERE, play, os.environ.get("TROUBLE", "1") != "0"))
