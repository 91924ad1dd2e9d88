"""Engines leave just after seven of twelve machines were killed, and requests must stop reaching them."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

from kit2.fleet import Fleet, Node, Record, free_ports
from kit2.parties import Engine, Operator, call, configuration, ready, until
from kit2.script import TROUBLE, CouldNotRunError, run_case

ENGINES = 18
LEAVING = 9
"""A `release` replaces half of a service's engines."""
LEAVE_WITHIN_S = 1.2
LOST = 7
"""0.6 of 12 machines, as `herd_kill` has it; those with a disk run on, so the core is stable throughout."""
DOWN_S = 5.0
"""How long they are down, the default of `for_s`."""
STRIKES = 5
"""How often at most: each strike breaks the rule in about half of the cases."""
DRAIN_S = 2.0
"""The bound `drainMs`."""
CALM_S = 4.0
"""Over `contactMs`."""
HOST = "127.0.66.200"


class Load:
    """Clients that send one request after the other to the machines with a disk."""

    def __init__(self) -> None:
        self.stopped = False
        self.answers: dict[int, int] = {}

    async def send(self, node: Node, name: str) -> None:
        """Send until stopped."""
        number = 0
        while not self.stopped:
            number += 1
            answer = await call(
                node.front,
                "POST",
                "/pay/x",
                b"x",
                3.0,
                X_Springmux_Request_Id=f"{node.name}-{name}{number:06d}",
                X_Springmux_Deadline_Ms="2000",
            )
            self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
            await asyncio.sleep(0.004)


async def leave(engine: Engine, nodes: list[Node], delay_s: float, record: Record) -> float | None:
    """Send DELETE to one machine after the other, and serve on. Return when one acknowledged it."""
    await asyncio.sleep(delay_s)
    engine.end_beats()
    for node in random.sample(nodes, len(nodes)):
        answer = await call(node.control, "DELETE", f"/v1/gateway/engines/{engine.identity}", b"", 1.0)
        if 200 <= answer.status < 300:
            record.write(f"{engine.identity} leaves: acknowledged by {node.name}; it serves on")
            return time.monotonic()
    record.write(f"{engine.identity} leaves: no machine acknowledges it")
    return None


async def start_engines(fleet: Fleet, record: Record, number: int, count: int) -> list[Engine]:
    """Start engines of one generation."""
    engines = [
        Engine(fleet, record, f"i-{number}-{each:02d}", (HOST, port), work_s=0.01)
        for each, port in enumerate(free_ports([HOST], count))
    ]
    for engine in engines:
        engine.log_runs = False
        await engine.start()
    return engines


async def set_up(fleet: Fleet, record: Record) -> list[Engine]:
    """Start the fleet and its engines, and wait until all are ready."""
    fleet.start()
    operator = Operator(fleet, record)
    if await operator.put(configuration(5), 20) != 200:
        raise CouldNotRunError("the first configuration was not taken")
    engines = await start_engines(fleet, record, 0, ENGINES)
    for node in fleet.nodes:
        if not await until(lambda node=node: ready(node), 10):
            raise CouldNotRunError(f"{node.name} is not ready")
    return engines


def is_in_time(engine: Engine, at: float, record: Record) -> bool:
    """Return whether no request reached an engine later than ``DRAIN_S`` after ``at``."""
    last_s = max((when - at for when, _ in engine.runs), default=0.0)
    record.write(f"{engine.identity}: its last request came {last_s:.2f} s after the acknowledgement")
    late = [(when - at, request) for when, request in engine.runs if when > at + DRAIN_S]
    for after_s, request in late:
        record.write(f"{engine.identity} runs {request} {after_s:.2f} s after the acknowledgement")
    return not late


async def strike(fleet: Fleet, record: Record, leaving: list[Engine]) -> list[float | None]:
    """Kill machines, let engines leave, and start the machines again; return the acknowledgements' times."""
    killed = fleet.nodes[4 : 4 + LOST] if TROUBLE else []
    alive = [node for node in fleet.nodes if node not in killed]
    await asyncio.sleep(CALM_S)
    for node in killed:
        node.kill()
    record.write(f"killed at once: {', '.join(node.name for node in killed) or 'none'}")
    delays_s = [0.05 + LEAVE_WITHIN_S * number / LEAVING for number in range(len(leaving))]
    told = await asyncio.gather(
        *(leave(engine, alive, delay_s, record) for engine, delay_s in zip(leaving, delays_s, strict=True))
    )
    await asyncio.sleep(DOWN_S - LEAVE_WITHIN_S)
    for node in killed:
        node.start()
    record.write("the killed machines start again")
    await asyncio.sleep(2.0)
    return told


async def play(fleet: Fleet, record: Record) -> bool:
    """Return whether every engine that left got its last request in time."""
    engines = await set_up(fleet, record)
    load = Load()
    clients = [asyncio.create_task(load.send(node, name)) for node in fleet.nodes[:4] for name in "xy"]
    held: list[bool] = []
    for number in range(1, STRIKES + 1):
        leaving, staying = engines[:LEAVING], engines[LEAVING:]
        engines = staying + await start_engines(fleet, record, number, LEAVING)
        told = await strike(fleet, record, leaving)
        held += [is_in_time(engine, at, record) for engine, at in zip(leaving, told, strict=True) if at]
        for engine in leaving:
            await engine.stop()
        if not all(held):
            break
    load.stopped = True
    await asyncio.gather(*clients)
    record.write(f"answers by status: {load.answers}")
    if not held or 200 not in load.answers:
        raise CouldNotRunError("no engine's leaving was acknowledged, or nothing was served")
    for engine in engines:
        await engine.stop()
    return all(held)


if __name__ == "__main__":
    run_case(Path(__file__).parent, lambda: Fleet(disks=4, plain=8, subnet=66, zones="abcd"), play)
