"""Fault schedules: typed faults with their times, a seeded generator, and JSON for replay."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from springmux.coordination.identifiers import NodeId, ZoneName


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault or repair applied to the world at virtual time ``at`` (seconds)."""

    at: float


class NodeFault(Fault, frozen=True, kw_only=True):
    """A fault of one node."""

    node: NodeId


class Kill(NodeFault, frozen=True, kw_only=True, tag="Kill"):
    """The process is killed without a shutdown and loses its memory."""


class Restart(NodeFault, frozen=True, kw_only=True, tag="Restart"):
    """The process is started; if it is running, it is killed first."""


class Freeze(NodeFault, frozen=True, kw_only=True, tag="Freeze"):
    """The process is suspended; events for it are queued."""


class Thaw(NodeFault, frozen=True, kw_only=True, tag="Thaw"):
    """The process resumes and handles all queued events at that moment."""


class Wipe(NodeFault, frozen=True, kw_only=True, tag="Wipe"):
    """The data folder is emptied by the world's hooks; usually between Kill and Restart."""


class PowerCut(NodeFault, frozen=True, kw_only=True, tag="PowerCut"):
    """The process is killed and the disk loses all data that was not synced."""


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
    """Each sync takes ``sync_s`` seconds from now on; 0 restores the usual duration."""

    sync_s: float


class StallDisk(NodeFault, frozen=True, kw_only=True, tag="StallDisk"):
    """No sync completes within the next ``stall_s`` seconds."""

    stall_s: float


class FullDisk(NodeFault, frozen=True, kw_only=True, tag="FullDisk"):
    """Writes fail because the disk is full; ``full=False`` frees the space again."""

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
    """Faults in the order of their times, with the seed of the run."""

    seed: int
    faults: tuple[AnyFault, ...] = ()

    def to_json(self) -> bytes:
        """Return the schedule as JSON, which :meth:`from_json` reads."""
        return msgspec.json.encode(self)

    @staticmethod
    def from_json(data: bytes) -> FaultSchedule:
        """Read a schedule from JSON; raise ``msgspec.ValidationError`` if it is invalid."""
        return msgspec.json.decode(data, type=FaultSchedule)


class FaultSettings(msgspec.Struct, frozen=True):
    """Number, times and kinds of generated faults; the kinds' weights are relative, 0 excludes a kind."""

    start_s: float = 5.0
    end_s: float = 60.0
    count: int = 6
    """Number of disturbances. Each consists of a fault and its repair, if it needs one."""
    shortest_s: float = 0.5
    longest_s: float = 20.0
    """Longest disturbance in seconds, because a controller may be partitioned for 20 s or more."""
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
    """Generates random schedules; the same seed, nodes and settings give the same schedule."""

    def __init__(
        self, zones: dict[NodeId, ZoneName], disks: Sequence[NodeId], settings: FaultSettings
    ) -> None:
        self._nodes = sorted(zones)
        self._zones = sorted(set(zones.values()))
        self._disks = sorted(disks)
        self._settings = settings

    def generate(self, seed: int) -> FaultSchedule:
        """Return one schedule."""
        source = random.Random(seed)
        faults: list[AnyFault] = []
        for _ in range(self._settings.count):
            faults += self._sample_disturbance(source)
        faults.sort(key=lambda fault: fault.at)
        return FaultSchedule(seed, tuple(faults))

    def _kind_weights(self) -> dict[str, float]:
        settings = self._settings
        kinds = {
            "kill": settings.kill,
            "freeze": settings.freeze,
            "partition_node": settings.partition_node,
            "partition_zone": settings.partition_zone,
            "partition_pair": settings.partition_pair if len(self._nodes) > 1 else 0.0,
            "clock_jump": settings.clock_jump,
        }
        if self._disks:
            kinds |= {
                "power_cut": settings.power_cut,
                "wipe": settings.wipe,
                "slow_disk": settings.slow_disk,
                "stall_disk": settings.stall_disk,
                "full_disk": settings.full_disk,
            }
        return kinds

    def _sample_disturbance(self, source: random.Random) -> list[AnyFault]:  # noqa: C901 - one case per kind
        settings = self._settings
        kinds = self._kind_weights()
        kind = source.choices(list(kinds), list(kinds.values()))[0]
        at = source.uniform(settings.start_s, settings.end_s)
        end = min(
            at + source.uniform(settings.shortest_s, settings.longest_s), settings.end_s + settings.longest_s
        )
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
                jump_s = source.uniform(-settings.largest_jump_s, settings.largest_jump_s)
                return [ClockJump(at=at, node=node, by_s=jump_s)]
            case "power_cut":
                return [PowerCut(at=at, node=disk), Restart(at=end, node=disk)]
            case "wipe":
                return [Kill(at=at, node=disk), Wipe(at=at, node=disk), Restart(at=end, node=disk)]
            case "slow_disk":
                slow = SlowDisk(at=at, node=disk, sync_s=settings.slow_sync_s)
                return [slow, SlowDisk(at=end, node=disk, sync_s=0.0)]
            case "stall_disk":
                return [StallDisk(at=at, node=disk, stall_s=end - at)]
            case _:
                return [FullDisk(at=at, node=disk), FullDisk(at=end, node=disk, full=False)]
