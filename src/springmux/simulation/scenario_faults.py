"""Faults of back ends, and faults that hang on what the fleet does, beside the world's own."""

from __future__ import annotations

from springmux.simulation.world.faults import AnyFault, Fault, NodeFault


class EngineFault(Fault, frozen=True, kw_only=True):
    """A fault of one back end: the ``index``-th (modulo their number) running one of ``version``."""

    version: str
    index: int


class EngineCrash(EngineFault, frozen=True, kw_only=True, tag="EngineCrash"):
    """It vanishes, and comes back under its name with a cold cache after ``back_after_s`` (0: never)."""

    back_after_s: float = 0.0


class EngineDark(EngineFault, frozen=True, kw_only=True, tag="EngineDark"):
    """It accepts connections and says nothing for ``dark_s``, then works again."""

    dark_s: float


class EngineReplaced(EngineFault, frozen=True, kw_only=True, tag="EngineReplaced"):
    """It drains, leaves after ``grace_s``, and a new one takes its address."""

    grace_s: float


class MoveNode(NodeFault, frozen=True, kw_only=True, tag="MoveNode"):
    """The machine has another address from its next start on."""

    address: str


class PowerCutAfterAnswer(Fault, frozen=True, kw_only=True, tag="PowerCutAfterAnswer"):
    """The leader loses power at the moment of the next accepted order, and is back after ``back_after_s``."""

    back_after_s: float


ScenarioFault = AnyFault | EngineCrash | EngineDark | EngineReplaced | MoveNode | PowerCutAfterAnswer
"""Everything that a scenario's schedule may hold."""
