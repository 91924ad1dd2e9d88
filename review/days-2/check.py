"""Prints the rules that the days here broke, from the bench's reports beside them."""

from __future__ import annotations

import json
import sys
from pathlib import Path

HERE = Path(__file__).parent


def broken(day: str) -> dict[str, dict[str, int]]:
    """Return the broken rules of each report of a day, with their counts."""
    reports = sorted(HERE.glob(f"{day}-*.json"))
    return {report.name: json.loads(report.read_text())["breaks"] for report in reports}


def shed_keeps_the_budget() -> bool:
    """Return whether no report of ``shed.toml`` breaks BUDGET."""
    return not any("BUDGET" in rules for rules in broken("shed").values())


def slow_keeps_the_exposure() -> bool:
    """Return whether no report of ``slow.toml`` breaks EXPOSURE."""
    return not any("EXPOSURE" in rules for rules in broken("slow").values())


if __name__ == "__main__":
    for name in ("shed", "slow"):
        sys.stdout.write(f"{name}: {broken(name)}\n")
    sys.exit(0 if shed_keeps_the_budget() and slow_keeps_the_exposure() else 1)
