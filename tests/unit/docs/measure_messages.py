"""Prints sizes and rates of peer messages for docs/DESIGN.md; not a test.

Run ``PYTHONPATH=tests python -m unit.docs.measure_messages``: 12 nodes in virtual time join, are quiet for
20 s, take changes, and lose and regain their leader.
"""

from __future__ import annotations

import sys
from collections import Counter

from springmux.lab.bench.metered_fleet import add_engines, make_fleet, schedule_changes
from springmux.simulation.world.faults import Kill, Restart

NODES = 12
ZONES = 4
CONTROLLERS = 4
ENGINES = 10
SEED = 1
QUIET_S = 20.0


def main() -> None:
    """Print for each message type its mean bytes over the run, and how many a quiet node sends a second."""
    fleet = make_fleet(NODES, ZONES, CONTROLLERS, SEED)
    meter = fleet.meter
    fleet.world.start_all()
    fleet.run_until(fleet.all_ready, 60.0)
    add_engines(fleet, ENGINES)
    fleet.world.run_for(25.0)
    messages, size_bytes = Counter(meter.messages), Counter(meter.bytes)
    meter.clear()
    fleet.world.run_for(QUIET_S)
    quiet = Counter(meter.messages)
    quiet_bytes = sum(meter.bytes.values())
    schedule_changes(fleet, 20, 0.5)
    fleet.world.run_for(12.0)
    leader = fleet.leader()
    assert leader is not None
    fleet.world.apply(Kill(at=fleet.world.now, node=leader))
    fleet.world.run_for(5.0)
    fleet.world.apply(Restart(at=fleet.world.now, node=leader))
    fleet.world.run_for(8.0)
    messages += meter.messages
    size_bytes += meter.bytes
    lines = [f"quiet: {quiet_bytes / NODES / QUIET_S:.0f} B/s a node"]
    for name in sorted(messages):
        mean = size_bytes[name] / messages[name]
        lines.append(f"{name:<24} {mean:7.0f} B {quiet[name] / NODES / QUIET_S:8.2f} /s")
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
