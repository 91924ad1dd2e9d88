"""What one explored run does, drawn from its seed: deployment, traffic, rollout, faults. JSON for replay."""

from __future__ import annotations

import random

import msgspec

from springmux.coordination.identifiers import NodeId, ZoneName
from springmux.simulation.candidates import CANDIDATES
from springmux.simulation.deployments import DEPLOYMENTS, Deployment
from springmux.simulation.hollow_fleet import HollowPlace
from springmux.simulation.scenario_faults import (
    EngineCrash,
    EngineDark,
    EngineReplaced,
    MoveNode,
    PowerCutAfterAnswer,
    ScenarioFault,
)
from springmux.simulation.world.faults import (
    CutNode,
    FaultKnobs,
    Freeze,
    Heal,
    Kill,
    NodeFault,
    Restart,
    ScheduleGenerator,
    Thaw,
    Wipe,
)

FAULTS_BEGIN_S = 12.0
"""By then the fleet is up, configured, and has had traffic for some seconds."""
GOOD_SHARE = 0.4
"""Share of the scenarios whose candidate is good."""
NEED_FULL_RATE = frozenset({"errors-on-one-route", "errors-under-load"})
"""At a part of the deployments' traffic these hardly show before the term: few long prompts, no load."""
WIPES_APART_S = 6.0
"""Of three voters one may be replaced at a time; the next one may go this soon after."""
MAX_WIPES = 2
LONGEST_FAULT_S = 20.0
"""No random fault lasts longer, so an older one is over."""


class ScenarioKnobs(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of explored runs.

    ``nodes_per_zone``: 0 for the deployment's own. ``thinning``: tokens in one piece of a stream.
    """

    deployment: str = ""
    nodes_per_zone: int = 0
    traffic_share: float = 0.4
    thinning: int = 4
    faults_s: float = 50.0
    disturbances: int = 7
    by_s: float = 45.0
    calm_s: float = 15.0
    """From healing to the time at which everything must be whole; service is back within 12 s."""


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One run. The same scenario gives the same run."""

    seed: int
    knobs: ScenarioKnobs
    deployment: str
    candidate: str
    burst: float = 1.0
    swollen_tenant: int = -1
    faults: tuple[ScenarioFault, ...] = ()

    @property
    def healed_at(self) -> float:
        """Return when the last fault is over."""
        return FAULTS_BEGIN_S + self.knobs.faults_s

    def size(self) -> Deployment:
        """Return the deployment at the knobs' size."""
        return DEPLOYMENTS[self.deployment].scaled(
            self.knobs.traffic_share, self.knobs.nodes_per_zone or None
        )

    def to_json(self) -> bytes:
        """Return the scenario for replay."""
        return msgspec.json.format(msgspec.json.encode(self), indent=1)

    @staticmethod
    def from_json(data: bytes) -> Scenario:
        """Read a scenario; raises ``msgspec.ValidationError`` for one that is not well formed."""
        return msgspec.json.decode(data, type=Scenario)


def draw_scenario(seed: int, knobs: ScenarioKnobs) -> Scenario:
    """Return the scenario of a seed."""
    source = random.Random(f"scenario {seed}")
    name = knobs.deployment or source.choice(sorted(DEPLOYMENTS))
    bad = sorted(candidate.name for candidate in CANDIDATES.values() if candidate.bad)
    candidate = "good" if source.random() < GOOD_SHARE else source.choice(bad)
    if candidate in NEED_FULL_RATE:
        knobs = msgspec.structs.replace(knobs, traffic_share=max(1.0, knobs.traffic_share))
    scenario = Scenario(
        seed=seed,
        knobs=knobs,
        deployment=name,
        candidate=candidate,
        burst=2.0 if source.random() < 0.3 else 1.0,
        swollen_tenant=source.randrange(2, 5) if source.random() < 0.25 else -1,
    )
    faults = FaultDrawer(scenario, source).draw()
    return msgspec.structs.replace(scenario, faults=tuple(faults))


class FaultDrawer:
    """Draws the faults of one scenario: the world's random ones, special sequences, and back ends'."""

    def __init__(self, scenario: Scenario, source: random.Random) -> None:
        self._scenario = scenario
        self._random = source
        self._end = scenario.healed_at
        self._size = scenario.size()
        places = self._size.places()
        self._places: list[HollowPlace] = places
        self._disks = [place.node for place in places if place.controller]

    def draw(self) -> list[ScenarioFault]:
        """Return all faults in the order of their times, none after the healing."""
        special = self._special()
        wipes = sum(isinstance(fault, Wipe) for fault in special)
        faults = [*self._random_faults(disks=wipes < 2), *special, *self._backend_faults()]
        faults = [self._clipped(fault) for fault in faults]
        faults.sort(key=lambda fault: fault.at)
        return self._without_many_wipes(faults)

    def _at(self, margin_s: float = 0.0) -> float:
        return round(self._random.uniform(FAULTS_BEGIN_S, max(FAULTS_BEGIN_S, self._end - margin_s)), 3)

    def _random_faults(self, disks: bool) -> list[ScenarioFault]:
        """Return the generator's faults; without ``disks`` only those of machines that have none."""
        knobs = self._scenario.knobs
        zones: dict[NodeId, ZoneName] = {place.node: place.zone for place in self._places}
        fault_knobs = FaultKnobs(
            start_s=FAULTS_BEGIN_S, end_s=self._end - 1.0, count=knobs.disturbances, wipe=0.2
        )
        generator = ScheduleGenerator(zones, self._disks, fault_knobs)
        faults = generator.generate(self._random.getrandbits(32)).faults
        if disks:
            return list(faults)
        return [f for f in faults if isinstance(f, NodeFault) and f.node not in self._disks]

    def _special(self) -> list[ScenarioFault]:
        kinds = ["replaced twice", "power cut", "long cut", "restart of all", "moved", "frozen long", "none"]
        kind = self._random.choice(kinds)
        disk, other = self._random.sample(self._disks, 2)
        at = self._at(25.0)
        match kind:
            case "replaced twice":
                gap_s = self._random.uniform(WIPES_APART_S, 2 * WIPES_APART_S)
                return [*_replaced(disk, at, 1.0), *_replaced(other, at + gap_s, 1.0)]
            case "power cut":
                return [
                    PowerCutAfterAnswer(at=at, back_after_s=1.0),
                    PowerCutAfterAnswer(at=at, back_after_s=2.0),
                ]
            case "long cut":
                return [CutNode(at=at, node=disk), Heal(at=at + self._random.uniform(20.0, 25.0))]
            case "restart of all":
                nodes = [place.node for place in self._places]
                kills: list[ScenarioFault] = [Kill(at=at, node=node) for node in nodes]
                return [*kills, *(Restart(at=at + 1.0 + 0.01 * i, node=n) for i, n in enumerate(nodes))]
            case "moved":
                move = MoveNode(at=at + 0.5, node=disk, address="10.9.9.9:7000")
                return [*_replaced(disk, at, 2.0), move]
            case "frozen long":
                return [Freeze(at=at, node=disk), Thaw(at=at + 15.0, node=disk)]
            case _:
                return []

    def _backend_faults(self) -> list[ScenarioFault]:
        versions = [self._size.models().version, "v2"]
        versions += [size.version for size in self._size.backends if not size.model]
        found: list[ScenarioFault] = []
        for _ in range(self._random.randint(0, 4)):
            version, index = self._random.choice(versions), self._random.randrange(12)
            at = self._at(4.0)
            match self._random.choice(["crash", "dark", "replaced"]):
                case "crash":
                    back_s = self._random.uniform(0.5, 6.0)
                    found.append(EngineCrash(at=at, version=version, index=index, back_after_s=back_s))
                    if self._random.random() < 0.4:
                        later = EngineCrash(
                            at=at + back_s + 0.5, version=version, index=index + 1, back_after_s=3.0
                        )
                        found.append(later)
                case "dark":
                    dark_s = self._random.uniform(1.0, 8.0)
                    found.append(EngineDark(at=at, version=version, index=index, dark_s=dark_s))
                case _:
                    grace_s = self._random.uniform(2.5, 4.0)
                    found.append(EngineReplaced(at=at, version=version, index=index, grace_s=grace_s))
        return found

    def _clipped(self, fault: ScenarioFault) -> ScenarioFault:
        return msgspec.structs.replace(fault, at=round(min(fault.at, self._end), 3))

    def _without_many_wipes(self, faults: list[ScenarioFault]) -> list[ScenarioFault]:
        """Leave out wipes that no group of three could survive.

        The first lost disk must be replaced before the second goes, and that takes the two that are left:
        between them (and shortly before) nothing else may befall a machine with a disk.
        """
        first: Wipe | None = None
        kept: list[ScenarioFault] = []
        for fault in faults:
            if isinstance(fault, Wipe):
                if first is not None and not self._calm_between(faults, first, fault):
                    continue
                first = first or fault
            kept.append(fault)
        return kept if sum(isinstance(fault, Wipe) for fault in kept) <= MAX_WIPES else self._one_wipe(kept)

    def _calm_between(self, faults: list[ScenarioFault], first: Wipe, second: Wipe) -> bool:
        if first.node == second.node or second.at - first.at < WIPES_APART_S:
            return False
        own = {first.node, second.node}
        begin, end = first.at - LONGEST_FAULT_S, second.at + 0.5
        for fault in faults:
            if not begin <= fault.at <= end or isinstance(fault, EngineCrash | EngineDark | EngineReplaced):
                continue
            node = getattr(fault, "node", None)
            their_own = node in own and isinstance(fault, Kill | Wipe | Restart)
            if not their_own and (node is None or node in self._disks):
                return False
        return True

    def _one_wipe(self, faults: list[ScenarioFault]) -> list[ScenarioFault]:
        first = next(fault for fault in faults if isinstance(fault, Wipe))
        return [fault for fault in faults if fault is first or not isinstance(fault, Wipe)]


def _replaced(node: NodeId, at: float, down_s: float) -> list[ScenarioFault]:
    return [Kill(at=at, node=node), Wipe(at=at + 0.01, node=node), Restart(at=at + down_s, node=node)]
