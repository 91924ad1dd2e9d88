"""Five of nine machines go, none of them with a disk; the operator changes and reads the configuration."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from kit2.fleet import Fleet, Record
from kit2.parties import Operator, call, configuration, ready, until
from kit2.script import TROUBLE, CouldNotRunError, run_case

LOST = 5
"""0.6 of 9 machines, as `herd_kill` has it; those with a disk stay."""
CALM_S = 7.0
"""Over twice `contactMs`: the remaining machines are in touch, and their core was stable throughout."""
READ_BACK_S = 15.0
"""At least `contactMs` (3 s)."""


async def play(fleet: Fleet, record: Record) -> bool:
    """Return whether the configuration came at the end."""
    fleet.start()
    operator = Operator(fleet, record)
    if await operator.put(configuration(5), 20) != 200:
        raise CouldNotRunError("the first configuration was not taken")
    for node in fleet.nodes:
        if not await until(lambda node=node: ready(node), 10):
            raise CouldNotRunError(f"{node.name} is not ready")
    await asyncio.sleep(CALM_S)
    core = fleet.nodes[:3]
    if TROUBLE:
        for node in fleet.nodes[3 : 3 + LOST]:
            node.kill()
        record.write(f"{LOST} machines without a disk are gone; {', '.join(n.name for n in core)} run on")
    await asyncio.sleep(CALM_S)
    operator.nodes = core
    record.write("the operator changes the configuration")
    change = await operator.put(configuration(9), 10)
    record.write(f"acknowledged: {change == 200}")
    body = {"service": "pay", "address": "127.0.61.200:9", "zone": "a", "version": "v1", "slots": 1}
    for node in core:
        beat = json.dumps(body | {"state": "draining", "sequence": 1}).encode()
        answer = await call(node.control, "PUT", "/v1/gateway/engines/i-1", beat, 1.0)
        record.write(f"an engine says to {node.name} that it is leaving: {answer.status}")
    record.write("the end of the day: the operator reads back")
    shown = await operator.read_back(READ_BACK_S)
    record.write(f"read back: version {shown['version'] if shown else None}, acknowledged {operator.version}")
    return shown is not None and shown["version"] >= operator.version


if __name__ == "__main__":
    run_case(Path(__file__).parent, lambda: Fleet(disks=3, plain=6, subnet=64), play)
