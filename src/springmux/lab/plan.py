"""Experiment files: the nodes, back ends, configuration and traffic of one deployment (TOML)."""

from __future__ import annotations

from pathlib import Path

import msgspec

from springmux.simulation.engine_model import EngineSpec
from springmux.vocabulary.errors import SpringmuxError

BUILT_IN_FOLDER = Path(__file__).parent / "experiments"


class ExperimentError(SpringmuxError):
    """An experiment file is missing or invalid; the message says where and why."""


class ZonePlan(msgspec.Struct, frozen=True, kw_only=True):
    """One zone: how many nodes, how many of them with a data folder, and its share of the clients."""

    name: str
    nodes: int
    controllers: int = 0
    traffic_share: float = 1.0


class BackEndPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equal back ends of one service and version. ``kind``: ``model`` or ``call``."""

    kind: str
    service: str
    version: str
    count: int
    lateness_s: float = 0.5
    work_s: float = 0.015
    spec: EngineSpec = EngineSpec()


class TrafficPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One stream of requests, Poisson arrivals. Sizes in bytes of prompt text.

    A prompt is one of ``prefixes`` shared prefixes of ``prefix_bytes`` (drawn by Zipf's law with
    exponent ``prefix_skew``) and ``own_bytes`` of its own. ``answer_tokens``: smallest and largest.
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
    """A tenant, its quota and its share of the traffic."""

    name: str
    tokens_per_s: float
    burst_tokens: float
    share: float


class ExperimentPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment at one size."""

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
        """Return (name, zone, is controller) of every node, controllers first in their zone."""
        return [
            (f"{self.name}-{zone.name}-{number + 1}", zone, number < zone.controllers)
            for zone in self.zones
            for number in range(zone.nodes)
        ]


def built_in_experiments() -> list[ExperimentPlan]:
    """Return the built-in experiments."""
    return [load_experiment(file.stem) for file in sorted(BUILT_IN_FOLDER.glob("*.toml"))]


def load_experiment(name_or_path: str) -> ExperimentPlan:
    """Return a built-in experiment by name, or one from a file.

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
