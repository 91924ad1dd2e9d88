"""Faults of a scenario beside the world's own: faults of engines, and faults triggered by the fleet."""

from __future__ import annotations

from springmux.simulation.world.faults import AnyFault, Fault, NodeFault


class EngineFault(Fault, frozen=True, kw_only=True):
    """A fault of one engine: the running one of ``version`` at ``index``, modulo their number."""

    version: str
    index: int


class EngineCrash(EngineFault, frozen=True, kw_only=True, tag="EngineCrash"):
    """The engine crashes.

    It restarts under its name, with a cold cache, ``back_after_s`` seconds later; 0 for never.
    """

    back_after_s: float = 0.0


class EngineDark(EngineFault, frozen=True, kw_only=True, tag="EngineDark"):
    """The engine accepts connections but does not respond for ``dark_s`` seconds, then works again."""

    dark_s: float


class EngineReplaced(EngineFault, frozen=True, kw_only=True, tag="EngineReplaced"):
    """The engine drains, leaves after ``grace_s`` seconds, and a new one starts at its address."""

    grace_s: float


class MoveNode(NodeFault, frozen=True, kw_only=True, tag="MoveNode"):
    """The machine gets another address, which takes effect at its next start."""

    address: str


class PowerCutAfterAnswer(Fault, frozen=True, kw_only=True, tag="PowerCutAfterAnswer"):
    """The leader loses power when the next order is accepted, and restarts ``back_after_s`` s later."""

    back_after_s: float


ScenarioFault = AnyFault | EngineCrash | EngineDark | EngineReplaced | MoveNode | PowerCutAfterAnswer
"""Any fault of a scenario's schedule."""
