"""Run the example: three replicas elect a leader, commit a text, lose the leader, elect another and recover.

Start it with ``python examples/embedding/run.py``. Its clock is virtual, so it doesn't wait.
"""

from __future__ import annotations

import sys

from local_cluster import LocalCluster

SEED = 7
NODE_NAMES = ("anna", "bert", "cleo")
CATCH_UP_LIMIT_S = 20.0


def run_scenario() -> list[str]:
    """Return the lines that describe the run, each with its virtual time."""
    lines: list[str] = []
    cluster = LocalCluster(SEED, NODE_NAMES)

    first_leader = cluster.await_leader()
    lines.append(f"{cluster.now:5.2f} s  {first_leader.node} leads")
    cluster.put("colour", "green")
    lines.append(f"{cluster.now:5.2f} s  colour is agreed on")

    cluster.power_cut(first_leader.node)
    lines.append(f"{cluster.now:5.2f} s  {first_leader.node} lost power")
    second_leader = cluster.await_leader()
    lines.append(f"{cluster.now:5.2f} s  {second_leader.node} leads")
    cluster.put("size", "large")
    lines.append(f"{cluster.now:5.2f} s  size is agreed on without {first_leader.node}")

    cluster.start(first_leader.node)
    expected = {"colour": "green", "size": "large"}
    cluster.run_until(
        lambda: all(member.texts == expected for member in cluster.members.values()), CATCH_UP_LIMIT_S
    )
    lines.append(
        f"{cluster.now:5.2f} s  {first_leader.node} is back, all {len(cluster.members)} hold {expected}"
    )
    return lines


if __name__ == "__main__":
    sys.stdout.write("\n".join(run_scenario()) + "\n")
