"""The catalogue of faults: each scenario with its name, description, duration and extra traffic."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import msgspec

from springmux.lab.faults import scenarios
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.faults.surges import burst_surge, prefix_surge, tenant_surge
from springmux.lab.load.traffic import Surge
from springmux.lab.plan import ExperimentError, ExperimentPlan


class FaultScenario(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the catalogue. ``lasts_s``: time to reserve for it in a run, recovery included."""

    name: str
    description: str
    lasts_s: float
    play: Callable[[DeploymentFaultInjector], Awaitable[None]]
    surge: Callable[[ExperimentPlan, float], Surge] | None = None


def _scenario(
    name: str,
    description: str,
    lasts_s: float,
    play: Callable[[DeploymentFaultInjector], Awaitable[None]],
    surge: Callable[[ExperimentPlan, float], Surge] | None = None,
) -> FaultScenario:
    return FaultScenario(name=name, description=description, lasts_s=lasts_s, play=play, surge=surge)


_ALL = (
    _scenario("node-killed", "a router is killed and comes back", 15, scenarios.node_killed),
    _scenario("node-frozen", "a router freezes for 6 s", 12, scenarios.node_frozen),
    _scenario("leader-killed", "the leading controller is killed", 15, scenarios.leader_killed),
    _scenario("leader-frozen", "the leading controller freezes for 6 s", 12, scenarios.leader_frozen),
    _scenario("controller-cut-off", "the leader hears no peer for 22 s", 30, scenarios.controller_cut_off),
    _scenario("disk-slow", "each write of the leader takes 0.2 s", 15, scenarios.disk_slow),
    _scenario("disk-stalled", "the leader's disk stalls", 15, scenarios.disk_stalled),
    _scenario("disk-full", "the leader's disk is full", 15, scenarios.disk_full),
    _scenario("disk-wiped", "the leader comes back with an empty disk", 18, scenarios.disk_wiped),
    _scenario(
        "back-empty-elsewhere", "a controller returns empty elsewhere", 18, scenarios.back_empty_elsewhere
    ),
    _scenario("clock-jump", "the leader's wall clock jumps an hour back", 12, scenarios.clock_jump),
    _scenario("engine-crash", "a model engine crashes", 8, scenarios.engine_crash),
    _scenario("engine-dark", "a model engine hangs for 8 s", 12, scenarios.engine_hung),
    _scenario("service-crash", "a page or sale service crashes", 8, scenarios.service_crash),
    _scenario("engine-drained", "a model engine drains and leaves", 15, scenarios.engine_drained),
    _scenario("engines-replaced", "engines are replaced one after another", 90, scenarios.engines_replaced),
    _scenario("second-loss", "an engine is lost right after a replacement", 12, scenarios.second_loss),
    _scenario("operators-race", "two operators under one version number", 6, scenarios.operators_race),
    _scenario("answers-lost", "orders are resent after lost answers", 6, scenarios.responses_lost),
    _scenario("wrong-configurations", "invalid and too large ones", 6, scenarios.wrong_configurations),
    _scenario("huge-configuration", "a valid one near the limit", 25, scenarios.huge_configuration),
    _scenario("key-revoked", "a key is revoked while in use", 12, scenarios.key_revoked),
    _scenario("route-burst", "a route triples", 15, scenarios.route_burst, burst_surge),
    _scenario("hot-prefix", "one prefix swells", 15, scenarios.hot_prefix, prefix_surge),
    _scenario("hot-tenant", "a tenant asks for 2.5 times its quota", 25, scenarios.hot_tenant, tenant_surge),
    _scenario("restart-in-turn", "every node is restarted in turn", 90, scenarios.restart_in_turn),
    _scenario("restart-everything", "all die after hundreds of changes", 60, scenarios.restart_everything),
)
FAULTS: Mapping[str, FaultScenario] = {scenario.name: scenario for scenario in _ALL}


def choose_faults(names: str) -> list[FaultScenario]:
    """Return the scenarios named, separated by commas, or all of them.

    :raises ExperimentError: naming each unknown one.
    """
    if names == "all":
        return list(FAULTS.values())
    wanted = [name.strip() for name in names.split(",") if name.strip()]
    unknown = sorted(set(wanted) - set(FAULTS))
    if unknown:
        raise ExperimentError(f"no fault named {', '.join(unknown)}; there are {', '.join(FAULTS)}")
    return [FAULTS[name] for name in wanted]
