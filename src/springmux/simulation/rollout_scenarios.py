"""Table of docs/ROLLOUT.md: named rollout scenarios over many seeds, compared with the baselines."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from springmux.simulation.candidates import LONG_ROUTE
from springmux.simulation.engine_model import VersionBehaviour
from springmux.simulation.exploration import MAX_WORKERS
from springmux.simulation.rollout_baselines import Variant
from springmux.simulation.rollout_trial import BY_S, Disturbance, RolloutScenario, TrialResult, run_trial

_LATE = VersionBehaviour(error_share=0.4)

SCENARIOS: tuple[RolloutScenario, ...] = (
    RolloutScenario(name="bad at once: errors", behaviour=VersionBehaviour(error_share=0.3)),
    RolloutScenario(name="bad at once: slow first token", behaviour=VersionBehaviour(first_token_factor=4.0)),
    RolloutScenario(name="bad at once: slow tokens", behaviour=VersionBehaviour(gap_factor=2.5)),
    RolloutScenario(name="bad at once: cut streams", behaviour=VersionBehaviour(cut_share=0.3)),
    RolloutScenario(name="bad after 25%", behaviour=_LATE, after_share=0.25),
    RolloutScenario(name="bad after 50%", behaviour=_LATE, after_share=0.50),
    RolloutScenario(name="bad after 75%", behaviour=_LATE, after_share=0.75),
    RolloutScenario(name="bad after 90%", behaviour=_LATE, after_share=0.90),
    RolloutScenario(name="bad above a load", behaviour=VersionBehaviour(error_share=0.5, above_running=3)),
    RolloutScenario(name="bad on one route", behaviour=VersionBehaviour(error_share=0.6, route=LONG_ROUTE)),
    RolloutScenario(name="good, cold caches"),
    RolloutScenario(name="good, engines crash", disturbance=Disturbance.CRASHES),
    RolloutScenario(name="good, burst and swelling tenant", disturbance=Disturbance.BURST),
    RolloutScenario(
        name="bad after 50%, node frozen", behaviour=_LATE, after_share=0.5, disturbance=Disturbance.FROZEN
    ),
    RolloutScenario(name="good, leader cut off", disturbance=Disturbance.LEADER_CUT),
    RolloutScenario(
        name="bad after 90%, leader cut off",
        behaviour=_LATE,
        after_share=0.9,
        disturbance=Disturbance.LEADER_CUT,
    ),
    RolloutScenario(name="good, unreliable token", disturbance=Disturbance.TOKEN),
    RolloutScenario(
        name="bad after 75%, unreliable token",
        behaviour=_LATE,
        after_share=0.75,
        disturbance=Disturbance.TOKEN,
    ),
    RolloutScenario(name="good, operators race", disturbance=Disturbance.RACE),
    RolloutScenario(name="good, order resent", disturbance=Disturbance.RESENT),
    RolloutScenario(name="good, restart of everything", disturbance=Disturbance.RESTART),
    RolloutScenario(
        name="bad after 75%, restart of everything",
        behaviour=_LATE,
        after_share=0.75,
        disturbance=Disturbance.RESTART,
    ),
    RolloutScenario(name="good, pause and resume", disturbance=Disturbance.PAUSE),
    RolloutScenario(name="good, abort at the last step", disturbance=Disturbance.ABORT),
)


class Cell(msgspec.Struct, frozen=True):
    """Deployment, variant and scenario of one row of the table."""

    deployment: str
    variant: Variant
    scenario: RolloutScenario


class Row(msgspec.Struct, frozen=True):
    """Results of all runs of one cell."""

    cell: Cell
    results: tuple[TrialResult, ...]

    @property
    def largest_share(self) -> float:
        """Largest share of the service's prompts, 0..1, that the candidate got before the rollout's end."""
        return max(result.sent / max(1, result.prompts) for result in self.results)

    @property
    def largest_excess(self) -> float:
        """Largest number of prompts beyond 10% and the allowance in any run; negative within the bound."""
        return max(result.excess for result in self.results)

    @property
    def slowest_rollback_s(self) -> float | None:
        """Longest time in seconds from the fiftieth bad response to the last prompt sent."""
        return max((r.rollback_s for r in self.results if r.rollback_s is not None), default=None)

    @property
    def done_by_deadline(self) -> int:
        """Number of runs whose rollout was done by its deadline."""
        return sum(
            result.phase == "done" and result.finished_s is not None and result.finished_s <= BY_S
            for result in self.results
        )

    @property
    def false_aborts(self) -> int:
        """Number of runs in which a good version was aborted, other than by an operator."""
        by_order = self.cell.scenario.disturbance is Disturbance.ABORT
        return 0 if self.cell.scenario.bad or by_order else self._count("aborted")

    @property
    def missed(self) -> int:
        """Number of runs in which a bad version was released."""
        return self._count("done") if self.cell.scenario.bad else 0

    @property
    def wrong_orders(self) -> int:
        """Number of runs in which an order got a wrong reply."""
        return sum(not result.orders_ok for result in self.results)

    def _count(self, phase: str) -> int:
        return sum(result.phase == phase for result in self.results)


def run_cell(cell: Cell, seed: int) -> TrialResult:
    """Run one cell with one seed."""
    return run_trial(cell.scenario, cell.deployment, seed, cell.variant)


def measure(
    cells: Sequence[Cell], seeds: int, first_seed: int = 1, workers: int = 1, limit_s: float = 0.0
) -> tuple[Row, ...]:
    """Run every cell with each seed; start no new seed after ``limit_s`` seconds, 0 for no limit."""
    results: list[list[TrialResult]] = [[] for _ in cells]
    began = time.monotonic()
    with ProcessPoolExecutor(min(workers, MAX_WORKERS)) as pool:
        for seed in range(first_seed, first_seed + seeds):
            if limit_s and time.monotonic() - began > limit_s:
                break
            for cell_results, result in zip(
                results, pool.map(run_cell, cells, [seed] * len(cells)), strict=True
            ):
                cell_results.append(result)
    return tuple(Row(cell, tuple(cell_results)) for cell, cell_results in zip(cells, results, strict=True))


HEADER = (
    "deployment",
    "way",
    "scenario",
    "runs",
    "largest share",
    "prompts beyond the bound",
    "fiftieth bad answer to last prompt, s",
    "done by the term",
    "slowest end, s",
    "false aborts",
    "missed",
    "wrong order answers",
)


def markdown(rows: Sequence[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| " + " | ".join(HEADER) + " |", "|" + "---|" * len(HEADER)]
    lines += ["| " + " | ".join(_row_text(row)) + " |" for row in rows if row.results]
    return "\n".join(lines)


def _row_text(row: Row) -> Iterator[str]:
    scenario = row.cell.scenario
    rollback_s = row.slowest_rollback_s
    ends = [result.finished_s for result in row.results if result.finished_s is not None]
    yield row.cell.deployment
    yield row.cell.variant.value
    yield scenario.name
    yield str(len(row.results))
    yield f"{row.largest_share:.3f}"
    yield f"{row.largest_excess:+.0f}"
    yield f"{rollback_s:.1f}" if rollback_s is not None and scenario.bad else "-"
    yield "-" if scenario.bad or scenario.disturbance is Disturbance.ABORT else f"{row.done_by_deadline}"
    yield f"{max(ends):.1f}" if ends else "never"
    yield "-" if scenario.bad else str(row.false_aborts)
    yield str(row.missed) if scenario.bad else "-"
    yield str(row.wrong_orders)
