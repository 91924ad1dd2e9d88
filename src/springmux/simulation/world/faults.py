"""The fault schedule: typed faults with their times, a seeded generator, and JSON for replay."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from springmux.coordination.identifiers import NodeId, ZoneName


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """Something that happens to the world at virtual time ``at`` (seconds)."""

    at: float


class NodeFault(Fault, frozen=True, kw_only=True):
    """A fault of one node."""

    node: NodeId


class Kill(NodeFault, frozen=True, kw_only=True, tag="Kill"):
    """The process ends at once; what it had in memory is gone."""


class Restart(NodeFault, frozen=True, kw_only=True, tag="Restart"):
    """The process starts again (ended first if it runs)."""


class Freeze(NodeFault, frozen=True, kw_only=True, tag="Freeze"):
    """The process is suspended; its events are queued."""


class Thaw(NodeFault, frozen=True, kw_only=True, tag="Thaw"):
    """The process resumes, and all queued events reach it at once."""


class Wipe(NodeFault, frozen=True, kw_only=True, tag="Wipe"):
    """The data folder is emptied (the driver's disk does it); mostly between Kill and Restart."""


class PowerCut(NodeFault, frozen=True, kw_only=True, tag="PowerCut"):
    """The process ends at once and the disk loses what was not synced."""


class CutNode(NodeFault, frozen=True, kw_only=True, tag="CutNode"):
    """Partition the node from all others, in one direction or both."""

    outward: bool = True
    inward: bool = True


class CutZone(Fault, frozen=True, kw_only=True, tag="CutZone"):
    """Partition the zone from all others, in one direction or both."""

    zone: ZoneName
    outward: bool = True
    inward: bool = True


class CutPair(Fault, frozen=True, kw_only=True, tag="CutPair"):
    """Partition one direction, from ``source`` to ``target``."""

    source: NodeId
    target: NodeId


class Heal(Fault, frozen=True, kw_only=True, tag="Heal"):
    """Every partition is healed."""


class SlowDisk(NodeFault, frozen=True, kw_only=True, tag="SlowDisk"):
    """Each sync takes ``sync_s`` from now on (0: as usual)."""

    sync_s: float


class StallDisk(NodeFault, frozen=True, kw_only=True, tag="StallDisk"):
    """No sync ends before ``stall_s`` have passed."""

    stall_s: float


class FullDisk(NodeFault, frozen=True, kw_only=True, tag="FullDisk"):
    """Writes fail for want of space, or again have it."""

    full: bool = True


class ClockJump(NodeFault, frozen=True, kw_only=True, tag="ClockJump"):
    """The wall clock jumps by ``by_s``; monotonic time does not."""

    by_s: float


AnyFault = (
    Kill
    | Restart
    | Freeze
    | Thaw
    | Wipe
    | PowerCut
    | CutNode
    | CutZone
    | CutPair
    | Heal
    | SlowDisk
    | StallDisk
    | FullDisk
    | ClockJump
)


class FaultSchedule(msgspec.Struct, frozen=True):
    """Faults in the order of their times, with the seed that the run used."""

    seed: int
    faults: tuple[AnyFault, ...] = ()

    def to_json(self) -> bytes:
        """Return the schedule as JSON, to be replayed by :meth:`from_json`."""
        return msgspec.json.encode(self)

    @staticmethod
    def from_json(data: bytes) -> FaultSchedule:
        """Read a schedule; raises ``msgspec.ValidationError`` for one that is not well formed."""
        return msgspec.json.decode(data, type=FaultSchedule)


class FaultKnobs(msgspec.Struct, frozen=True):
    """How many faults of which kind the generator makes; weights are relative, 0 leaves a kind out."""

    start_s: float = 5.0
    end_s: float = 60.0
    count: int = 6
    """Disturbances; each brings its own repair."""
    shortest_s: float = 0.5
    longest_s: float = 20.0
    """A controller may be partitioned for twenty seconds or more."""
    kill: float = 1.0
    freeze: float = 1.0
    partition_node: float = 1.0
    partition_zone: float = 0.3
    partition_pair: float = 0.3
    power_cut: float = 0.5
    wipe: float = 0.3
    slow_disk: float = 0.3
    stall_disk: float = 0.3
    full_disk: float = 0.2
    clock_jump: float = 0.3
    slow_sync_s: float = 0.2
    largest_jump_s: float = 86_400.0


class ScheduleGenerator:
    """Makes random schedules; the same seed, nodes and knobs give the same schedule."""

    def __init__(self, zones: dict[NodeId, ZoneName], disks: Sequence[NodeId], knobs: FaultKnobs) -> None:
        self._nodes = sorted(zones)
        self._zones = sorted(set(zones.values()))
        self._disks = sorted(disks)
        self._knobs = knobs

    def generate(self, seed: int) -> FaultSchedule:
        """Return one schedule."""
        source = random.Random(seed)
        faults: list[AnyFault] = []
        for _ in range(self._knobs.count):
            faults += self._disturbance(source)
        faults.sort(key=lambda fault: fault.at)
        return FaultSchedule(seed, tuple(faults))

    def _kinds(self) -> dict[str, float]:
        knobs = self._knobs
        kinds = {
            "kill": knobs.kill,
            "freeze": knobs.freeze,
            "partition_node": knobs.partition_node,
            "partition_zone": knobs.partition_zone,
            "partition_pair": knobs.partition_pair if len(self._nodes) > 1 else 0.0,
            "clock_jump": knobs.clock_jump,
        }
        if self._disks:
            kinds |= {
                "power_cut": knobs.power_cut,
                "wipe": knobs.wipe,
                "slow_disk": knobs.slow_disk,
                "stall_disk": knobs.stall_disk,
                "full_disk": knobs.full_disk,
            }
        return kinds

    def _disturbance(self, source: random.Random) -> list[AnyFault]:  # noqa: C901 - one case a kind
        knobs = self._knobs
        kinds = self._kinds()
        kind = source.choices(list(kinds), list(kinds.values()))[0]
        at = source.uniform(knobs.start_s, knobs.end_s)
        end = min(at + source.uniform(knobs.shortest_s, knobs.longest_s), knobs.end_s + knobs.longest_s)
        node = source.choice(self._nodes)
        disk = source.choice(self._disks) if self._disks else node
        match kind:
            case "kill":
                return [Kill(at=at, node=node), Restart(at=end, node=node)]
            case "freeze":
                return [Freeze(at=at, node=node), Thaw(at=end, node=node)]
            case "partition_node":
                outward = source.random() < 0.8
                inward = not outward or source.random() < 0.8
                return [CutNode(at=at, node=node, outward=outward, inward=inward), Heal(at=end)]
            case "partition_zone":
                return [CutZone(at=at, zone=source.choice(self._zones)), Heal(at=end)]
            case "partition_pair":
                first, second = source.sample(self._nodes, 2)
                return [CutPair(at=at, source=first, target=second), Heal(at=end)]
            case "clock_jump":
                jump_s = source.uniform(-knobs.largest_jump_s, knobs.largest_jump_s)
                return [ClockJump(at=at, node=node, by_s=jump_s)]
            case "power_cut":
                return [PowerCut(at=at, node=disk), Restart(at=end, node=disk)]
            case "wipe":
                return [Kill(at=at, node=disk), Wipe(at=at, node=disk), Restart(at=end, node=disk)]
            case "slow_disk":
                slow = SlowDisk(at=at, node=disk, sync_s=knobs.slow_sync_s)
                return [slow, SlowDisk(at=end, node=disk, sync_s=0.0)]
            case "stall_disk":
                return [StallDisk(at=at, node=disk, stall_s=end - at)]
            case _:
                return [FullDisk(at=at, node=disk), FullDisk(at=end, node=disk, full=False)]
