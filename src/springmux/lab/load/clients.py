"""The client process of an experiment (``springmux lab callers``): its settings and its run."""

from __future__ import annotations

import contextlib
from pathlib import Path

import msgspec

from springmux.lab.load.client_pool import ClientPool
from springmux.lab.load.target_node import TargetNode
from springmux.lab.load.traffic import Surge, TrafficSource
from springmux.lab.plan import load_experiment
from springmux.lab.records import LineWriter


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one client process. ``surges`` add to the traffic of the experiment."""

    experiment: str
    targets: list[TargetNode]
    keys: dict[str, str]
    seed: int
    seconds: float
    began_at_s: float
    record_file: str
    surges: list[Surge] = []


def load_client_settings(path: Path) -> LoadSettings:
    """Read the settings file of a client process (JSON).

    :raises OSError: if it can't be read.
    :raises msgspec.DecodeError: if it is not valid.
    """
    return msgspec.json.decode(path.read_bytes(), type=LoadSettings)


async def run_clients(settings: LoadSettings) -> None:
    """Send the traffic of the experiment, wait for every response, and write the record of every attempt."""
    source = TrafficSource(load_experiment(settings.experiment), settings.seed)
    requests = source.all_requests(settings.seconds, settings.surges)
    with contextlib.closing(LineWriter(Path(settings.record_file))) as writer:
        pool = ClientPool(settings.targets, settings.keys, settings.seed, writer.write, settings.began_at_s)
        await pool.start()
        try:
            await pool.run(requests)
        finally:
            await pool.stop()
