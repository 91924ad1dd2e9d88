"""A service goes to a new version, back, and to the new version again; the third order must exist."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path

from kit2.fleet import Fleet, Node, Record, free_ports
from kit2.parties import Engine, Operator, call, configuration, ready, until
from kit2.script import TROUBLE, CouldNotRunError, run_case

BY_S = 12
"""`durationS` of the example in PROTOCOL.md."""
LAST_BY_S = 12 if TROUBLE else 13
"""That of the third order: the same as of the first, or another one, so that the orders differ."""
ENGINES = 3
HOST = "127.0.70.200"


async def traffic(node: Node, name: str) -> None:
    """Send one request after the other until cancelled."""
    number = 0
    while True:
        number += 1
        identity = f"{node.name}-{name}{number:06d}"
        await call(
            node.front,
            "POST",
            "/pay/x",
            b"x",
            3.0,
            X_Springmux_Request_Id=identity,
            X_Springmux_Deadline_Ms="2000",
        )
        await asyncio.sleep(0.01)


class Rollouts:
    """Engines of several versions, and the operator's orders to move between them."""

    def __init__(self, fleet: Fleet, record: Record, operator: Operator) -> None:
        self.fleet, self.record, self.operator = fleet, record, operator
        self.ports = free_ports([HOST], 4 * ENGINES)
        self.engines: dict[str, list[Engine]] = {}

    async def start_engines(self, version: str, generation: str) -> None:
        """Start the engines of a version."""
        started = [
            Engine(
                self.fleet, self.record, f"i-{version}{generation}{n}", (HOST, self.ports.pop()), work_s=0.01
            )
            for n in range(ENGINES)
        ]
        for engine in started:
            engine.version = version
            engine.log_runs = False
            await engine.start()
        self.engines[version] = started

    async def stop_engines(self, version: str) -> None:
        """Stop the engines of a version at once."""
        for engine in self.engines.pop(version):
            await engine.stop()

    async def state(self, node: Node) -> dict[str, str]:
        """Return a node's answer about the service's rollout."""
        answer = await call(node.control, "GET", "/v1/gateway/rollouts/pay", timeout_s=1.0)
        return json.loads(answer.body) if answer.status == 200 else {"state": str(answer.status)}

    async def order(self, version: str, generation: str, by_s: int = BY_S) -> dict[str, str]:
        """Order a rollout, start its engines, and return its state once it has ended or is overdue."""
        body = {"service": "pay", "candidate": version, "by_s": by_s}
        status, _ = await self.operator.order("POST", "/v1/gateway/rollouts", body, 4.0)
        if status != 200:
            raise CouldNotRunError(f"the order of {version} got {status}")
        await self.start_engines(version, generation)
        began, seen = time.monotonic(), {}
        while time.monotonic() - began < by_s + 4:
            state = await self.state(random.choice(self.fleet.nodes))
            if state != seen:
                self.record.write(f"state of the rollout: {state}")
                seen = state
            if state == {"state": "done", "candidate": version}:
                break
            await asyncio.sleep(0.2)
        return seen


async def play(fleet: Fleet, record: Record) -> bool:
    """Return whether the rollout that was acknowledged last exists after all processes were killed."""
    fleet.start()
    operator = Operator(fleet, record)
    if await operator.put(configuration(5), 20) != 200:
        raise CouldNotRunError("the first configuration was not taken")
    rollouts = Rollouts(fleet, record, operator)
    await rollouts.start_engines("v1", "a")
    for node in fleet.nodes:
        if not await until(lambda node=node: ready(node), 10):
            raise CouldNotRunError(f"{node.name} is not ready")
    clients = [asyncio.create_task(traffic(node, name)) for node in fleet.nodes for name in "xy"]
    await asyncio.sleep(4.0)
    for version, old, generation in (("v2", "v1", "a"), ("v1", "v2", "b")):
        if await rollouts.order(version, generation) != {"state": "done", "candidate": version}:
            raise CouldNotRunError(f"the rollout of {version} was not done in time")
        await rollouts.stop_engines(old)
        await asyncio.sleep(1.0)
    await rollouts.order("v2", "b", LAST_BY_S)
    for task in clients:
        task.cancel()
    for node in fleet.nodes:
        node.kill()
    record.write("the final fault: all processes are killed")
    await asyncio.sleep(1.0)
    for node in fleet.nodes:
        node.start()
    await asyncio.sleep(6.0)
    states = [await rollouts.state(node) for node in fleet.nodes]
    record.write(f"acknowledged last: v2; read back at each machine: {states}")
    return any(state.get("candidate") == "v2" for state in states)


if __name__ == "__main__":
    run_case(Path(__file__).parent, lambda: Fleet(disks=3, plain=0, subnet=70), play)
