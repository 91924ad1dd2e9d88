"""Experiment files: the nodes, back ends, configuration and traffic of one deployment (TOML)."""

from __future__ import annotations

from pathlib import Path

import msgspec

from springmux.simulation.engine_model import EngineSpec
from springmux.vocabulary.errors import SpringmuxError

BUILT_IN_FOLDER = Path(__file__).parent / "experiments"


class ExperimentError(SpringmuxError):
    """An experiment file is missing or invalid; the message contains its path and the reason."""


class ZonePlan(msgspec.Struct, frozen=True, kw_only=True):
    """One zone of the deployment.

    ``nodes``: number of nodes; ``controllers``: number of them with a data folder. ``traffic_share``: the
    zone's share of the client traffic, relative to the other zones.
    """

    name: str
    nodes: int
    controllers: int = 0
    traffic_share: float = 1.0


class BackEndPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A group of identical back ends of one service and version.

    ``kind``: ``model`` or ``call``. ``lateness_s``: upper bound of the random delay of each heartbeat, in
    seconds. ``work_s``: mean processing time of a call, in seconds. ``spec``: speed and size of an engine.
    """

    kind: str
    service: str
    version: str
    count: int
    lateness_s: float = 0.5
    work_s: float = 0.015
    spec: EngineSpec = EngineSpec()


class TrafficPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One stream of requests with Poisson arrivals; sizes are bytes of prompt text.

    A prompt consists of one of ``prefixes`` shared prefixes of ``prefix_bytes`` each (drawn by Zipf's law
    with exponent ``prefix_skew``), followed by text of its own. ``own_bytes`` and ``answer_tokens``: smallest
    and largest value. ``first_piece_goal_s``: target of the time to the first chunk. ``give_up_s``: total
    timeout of a request at the client.
    """

    route: str
    kind: str
    rate_per_s: float
    prefix_bytes: int = 0
    prefixes: int = 1
    prefix_skew: float = 1.1
    own_bytes: tuple[int, int] = (100, 400)
    answer_tokens: tuple[int, int] = (8, 24)
    first_piece_goal_s: float = 1.2
    give_up_s: float = 30.0


class TenantPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant, its quota, and its share of the traffic relative to the other tenants."""

    name: str
    tokens_per_s: float
    burst_tokens: float
    share: float


class ExperimentPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of an experiment file: one deployment and its traffic.

    ``configuration``: the document that the fleet applies first. ``rollout_service``: service whose versions
    are rolled out. ``rollout_by_s``: time within which a rollout must be complete.
    """

    name: str
    title: str
    zones: list[ZonePlan]
    back_ends: list[BackEndPlan]
    traffic: list[TrafficPlan]
    tenants: list[TenantPlan]
    configuration: dict[str, object]
    rollout_service: str
    rollout_by_s: float = 60.0

    def node_names(self) -> list[tuple[str, ZonePlan, bool]]:
        """Return (name, zone, is controller) of every node; the controllers come first in each zone."""
        return [
            (f"{self.name}-{zone.name}-{number + 1}", zone, number < zone.controllers)
            for zone in self.zones
            for number in range(zone.nodes)
        ]


def built_in_experiments() -> list[ExperimentPlan]:
    """Return the built-in experiments, sorted by name."""
    return [load_experiment(file.stem) for file in sorted(BUILT_IN_FOLDER.glob("*.toml"))]


def load_experiment(name_or_path: str) -> ExperimentPlan:
    """Return a built-in experiment by its name, or the experiment in a file (a path with a suffix).

    :raises ExperimentError: if there is no such file, or it is not a valid experiment.
    """
    path = Path(name_or_path)
    if not path.suffix:
        path = BUILT_IN_FOLDER / f"{name_or_path}.toml"
    try:
        return msgspec.toml.decode(path.read_bytes(), type=ExperimentPlan)
    except OSError as error:
        known = ", ".join(sorted(file.stem for file in BUILT_IN_FOLDER.glob("*.toml")))
        raise ExperimentError(f"{name_or_path}: {error.strerror}; built-in experiments: {known}") from error
    except msgspec.DecodeError as error:
        raise ExperimentError(f"{path}: {error}") from error
