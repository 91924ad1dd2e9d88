"""The demonstration: a whole deployment under traffic, a good and a bad rollout, a kill and a freeze."""

from __future__ import annotations

import asyncio

from springmux.lab.experiment.script import attempt
from springmux.lab.faults.injection import FaultBench
from springmux.lab.faults.operators import Operators
from springmux.simulation.engine_model import GOOD, VersionBehaviour

DEMO_EXPERIMENT = "anuario"
DEMO_SECONDS = 110.0
"""Traffic; with start and end the demonstration stays under three minutes."""
WARM_UP_S = 5.0
BY_S = 40.0
BAD_VERSION = VersionBehaviour(error_share=0.3)
"""Three of ten answers fail."""
KILL_AFTER_S = 8.0
KILL_DOWN_S = 4.0
FREEZE_S = 6.0
TERM_MARGIN_S = 5.0
STABLE, GOOD_CANDIDATE, BAD_CANDIDATE = "v1", "v2", "v3"


async def demonstrate(bench: FaultBench) -> None:
    """Play the demonstration's script; a part that fails is recorded and the rest goes on."""
    await asyncio.sleep(WARM_UP_S)
    await asyncio.gather(
        attempt(bench, "good rollout", _release_good(bench)), attempt(bench, "faults", _kill_and_race(bench))
    )
    await asyncio.gather(
        attempt(bench, "bad rollout", _release_bad(bench)), attempt(bench, "faults", _freeze(bench))
    )


async def _release_good(bench: FaultBench) -> None:
    await bench.load_version(GOOD_CANDIDATE, GOOD)
    await asyncio.sleep(WARM_UP_S)
    run = await bench.roll_out(STABLE, GOOD_CANDIDATE, bad=False, by_s=BY_S)
    await bench.wait_rollout(run, BY_S + TERM_MARGIN_S)
    if run.phase == "done":
        await bench.retire_version(STABLE)


async def _kill_and_race(bench: FaultBench) -> None:
    operators = Operators(bench)
    await asyncio.sleep(WARM_UP_S + KILL_AFTER_S)
    await bench.kill(bench.pick_node(controller=False), KILL_DOWN_S)
    await operators.race()
    await operators.lose_answer()
    await operators.revoke_while_streaming()


async def _release_bad(bench: FaultBench) -> None:
    released = any(run.phase == "done" for run in bench.records.rollouts)
    await bench.abort_unfinished()
    await bench.load_version(BAD_CANDIDATE, BAD_VERSION)
    await asyncio.sleep(WARM_UP_S)
    stable = GOOD_CANDIDATE if released else STABLE
    run = await bench.roll_out(stable, BAD_CANDIDATE, bad=True, by_s=BY_S)
    await bench.wait_rollout(run, BY_S + TERM_MARGIN_S)


async def _freeze(bench: FaultBench) -> None:
    await asyncio.sleep(WARM_UP_S)
    await bench.freeze(bench.pick_node(controller=True), FREEZE_S)
