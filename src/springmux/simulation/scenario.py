"""Scenario of one run, sampled from its seed: deployment, traffic, rollout, faults; JSON for replay."""

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
    FaultSettings,
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
"""By this time the fleet is up and configured, and has served traffic for some seconds."""
GOOD_SHARE = 0.4
"""Share of the scenarios whose candidate is good."""
NEEDS_FULL_TRAFFIC = frozenset({"errors-on-one-route", "errors-under-load"})
"""Candidates whose faults hardly show at reduced traffic: too few long prompts, too little load."""
MIN_WIPE_GAP_S = 6.0
"""Minimum seconds between two wipes, because only one of three voters may be replaced at a time."""
MAX_WIPES = 2
LONGEST_FAULT_S = 20.0
"""Upper bound of a random fault's duration: a fault that began earlier has ended."""


class ScenarioSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Size and duration of a run.

    ``nodes_per_zone``: 0 for the deployment's own number. ``tokens_per_chunk``: tokens in one streamed chunk;
    more than 1 makes runs faster. ``by_s``: deadline of the rollout in seconds.
    """

    deployment: str = ""
    nodes_per_zone: int = 0
    traffic_share: float = 0.4
    tokens_per_chunk: int = msgspec.field(default=4, name="thinning")
    faults_s: float = 50.0
    disturbances: int = 7
    by_s: float = 45.0
    calm_s: float = 15.0
    """Seconds from the end of all faults until the fleet must be healthy; service recovers within 12 s."""


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that determines one run: the same scenario gives the same run.

    ``burst``: factor of the traffic burst, 1 for none. ``surging_tenant``: index of the tenant whose demand
    surges, -1 for none.
    """

    seed: int
    settings: ScenarioSettings = msgspec.field(name="knobs")
    deployment: str
    candidate: str
    burst: float = 1.0
    surging_tenant: int = msgspec.field(default=-1, name="swollen_tenant")
    faults: tuple[ScenarioFault, ...] = ()

    @property
    def healed_at(self) -> float:
        """Return the virtual time at which all faults have ended."""
        return FAULTS_BEGIN_S + self.settings.faults_s

    def size(self) -> Deployment:
        """Return the deployment, scaled as the settings say."""
        return DEPLOYMENTS[self.deployment].scaled(
            self.settings.traffic_share, self.settings.nodes_per_zone or None
        )

    def to_json(self) -> bytes:
        """Return the scenario as JSON, which :meth:`from_json` reads."""
        return msgspec.json.format(msgspec.json.encode(self), indent=1)

    @staticmethod
    def from_json(data: bytes) -> Scenario:
        """Read a scenario from JSON; raise ``msgspec.ValidationError`` if it is invalid."""
        return msgspec.json.decode(data, type=Scenario)


def draw_scenario(seed: int, settings: ScenarioSettings) -> Scenario:
    """Return the scenario of a seed; the same seed and settings give the same scenario."""
    source = random.Random(f"scenario {seed}")
    name = settings.deployment or source.choice(sorted(DEPLOYMENTS))
    bad = sorted(candidate.name for candidate in CANDIDATES.values() if candidate.bad)
    candidate = "good" if source.random() < GOOD_SHARE else source.choice(bad)
    if candidate in NEEDS_FULL_TRAFFIC:
        settings = msgspec.structs.replace(settings, traffic_share=max(1.0, settings.traffic_share))
    scenario = Scenario(
        seed=seed,
        settings=settings,
        deployment=name,
        candidate=candidate,
        burst=2.0 if source.random() < 0.3 else 1.0,
        surging_tenant=source.randrange(2, 5) if source.random() < 0.25 else -1,
    )
    faults = FaultSampler(scenario, source).draw()
    return msgspec.structs.replace(scenario, faults=tuple(faults))


class FaultSampler:
    """Samples the faults of one scenario: random world faults, one fault sequence, and engine faults."""

    def __init__(self, scenario: Scenario, source: random.Random) -> None:
        self._scenario = scenario
        self._random = source
        self._end = scenario.healed_at
        self._size = scenario.size()
        places = self._size.places()
        self._places: list[HollowPlace] = places
        self._disks = [place.node for place in places if place.controller]

    def draw(self) -> list[ScenarioFault]:
        """Return all faults in the order of their times, none after ``healed_at``."""
        special = self._fault_sequence()
        wipes = sum(isinstance(fault, Wipe) for fault in special)
        faults = [*self._random_faults(disks=wipes < 2), *special, *self._backend_faults()]
        faults = [self._clip(fault) for fault in faults]
        faults.sort(key=lambda fault: fault.at)
        return self._without_excess_wipes(faults)

    def _sample_time(self, margin_s: float = 0.0) -> float:
        return round(self._random.uniform(FAULTS_BEGIN_S, max(FAULTS_BEGIN_S, self._end - margin_s)), 3)

    def _random_faults(self, disks: bool) -> list[ScenarioFault]:
        """Return randomly generated faults; without ``disks`` only those of machines that have no disk."""
        settings = self._scenario.settings
        zones: dict[NodeId, ZoneName] = {place.node: place.zone for place in self._places}
        fault_settings = FaultSettings(
            start_s=FAULTS_BEGIN_S, end_s=self._end - 1.0, count=settings.disturbances, wipe=0.2
        )
        generator = ScheduleGenerator(zones, self._disks, fault_settings)
        faults = generator.generate(self._random.getrandbits(32)).faults
        if disks:
            return list(faults)
        return [f for f in faults if isinstance(f, NodeFault) and f.node not in self._disks]

    def _fault_sequence(self) -> list[ScenarioFault]:
        kinds = ["replaced twice", "power cut", "long cut", "restart of all", "moved", "frozen long", "none"]
        kind = self._random.choice(kinds)
        disk, other = self._random.sample(self._disks, 2)
        at = self._sample_time(25.0)
        match kind:
            case "replaced twice":
                gap_s = self._random.uniform(MIN_WIPE_GAP_S, 2 * MIN_WIPE_GAP_S)
                return [*_replacement(disk, at, 1.0), *_replacement(other, at + gap_s, 1.0)]
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
                return [*_replacement(disk, at, 2.0), move]
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
            at = self._sample_time(4.0)
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

    def _clip(self, fault: ScenarioFault) -> ScenarioFault:
        return msgspec.structs.replace(fault, at=round(min(fault.at, self._end), 3))

    def _without_excess_wipes(self, faults: list[ScenarioFault]) -> list[ScenarioFault]:
        """Remove wipes that no group of three voters could survive.

        The first lost disk must be replaced before the second is wiped, which needs both remaining voters.
        Between the wipes, and shortly before, there may be no other fault of a machine with a disk.
        """
        first: Wipe | None = None
        kept: list[ScenarioFault] = []
        for fault in faults:
            if isinstance(fault, Wipe):
                if first is not None and not self._is_calm_between(faults, first, fault):
                    continue
                first = first or fault
            kept.append(fault)
        return (
            kept
            if sum(isinstance(fault, Wipe) for fault in kept) <= MAX_WIPES
            else self._keep_first_wipe(kept)
        )

    def _is_calm_between(self, faults: list[ScenarioFault], first: Wipe, second: Wipe) -> bool:
        if first.node == second.node or second.at - first.at < MIN_WIPE_GAP_S:
            return False
        own = {first.node, second.node}
        begin, end = first.at - LONGEST_FAULT_S, second.at + 0.5
        for fault in faults:
            if not begin <= fault.at <= end or isinstance(fault, EngineCrash | EngineDark | EngineReplaced):
                continue
            node = getattr(fault, "node", None)
            part_of_replacement = node in own and isinstance(fault, Kill | Wipe | Restart)
            if not part_of_replacement and (node is None or node in self._disks):
                return False
        return True

    def _keep_first_wipe(self, faults: list[ScenarioFault]) -> list[ScenarioFault]:
        first = next(fault for fault in faults if isinstance(fault, Wipe))
        return [fault for fault in faults if fault is first or not isinstance(fault, Wipe)]


def _replacement(node: NodeId, at: float, down_s: float) -> list[ScenarioFault]:
    return [Kill(at=at, node=node), Wipe(at=at + 0.01, node=node), Restart(at=at + down_s, node=node)]
