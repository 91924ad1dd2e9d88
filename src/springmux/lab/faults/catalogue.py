"""Catalogue of the fault scenarios: name, description, duration and additional traffic of each."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import msgspec

from springmux.lab.faults import scenarios
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.faults.surges import burst_surge, prefix_surge, tenant_surge
from springmux.lab.load.traffic import Surge
from springmux.lab.plan import ExperimentError, ExperimentPlan


class FaultScenario(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the catalogue.

    ``duration_s`` is the time that a run reserves for the scenario, recovery included. ``surge`` returns the
    additional traffic of the scenario (``None``: there is none).
    """

    name: str
    description: str
    duration_s: float
    run: Callable[[DeploymentFaultInjector], Awaitable[None]]
    surge: Callable[[ExperimentPlan, float], Surge] | None = None


def _scenario(
    name: str,
    description: str,
    duration_s: float,
    run: Callable[[DeploymentFaultInjector], Awaitable[None]],
    surge: Callable[[ExperimentPlan, float], Surge] | None = None,
) -> FaultScenario:
    return FaultScenario(name=name, description=description, duration_s=duration_s, run=run, surge=surge)


_ALL = (
    _scenario("node-killed", "a router is killed and restarted", 15, scenarios.node_killed),
    _scenario("node-frozen", "a router is frozen for 6 s", 12, scenarios.node_frozen),
    _scenario("leader-killed", "the leading controller is killed", 15, scenarios.leader_killed),
    _scenario("leader-frozen", "the leading controller is frozen for 6 s", 12, scenarios.leader_frozen),
    _scenario(
        "controller-cut-off",
        "the leader is partitioned from all peers for 22 s",
        30,
        scenarios.controller_partitioned,
    ),
    _scenario("disk-slow", "each disk write of the leader takes 0.2 s", 15, scenarios.disk_slow),
    _scenario("disk-stalled", "the leader's disk stalls", 15, scenarios.disk_stalled),
    _scenario("disk-full", "the leader's disk is full", 15, scenarios.disk_full),
    _scenario("disk-wiped", "the leader restarts with an empty disk", 18, scenarios.disk_wiped),
    _scenario(
        "back-empty-elsewhere",
        "a controller restarts with an empty disk at other addresses",
        18,
        scenarios.restarted_empty_at_new_addresses,
    ),
    _scenario("clock-jump", "the leader's wall clock jumps an hour back", 12, scenarios.clock_jump),
    _scenario("engine-crash", "a model engine crashes", 8, scenarios.engine_crash),
    _scenario("engine-dark", "a model engine hangs for 8 s", 12, scenarios.engine_hung),
    _scenario("service-crash", "a service for pages or sales crashes", 8, scenarios.service_crash),
    _scenario(
        "engine-drained", "a model engine drains, deregisters and restarts", 15, scenarios.engine_drained
    ),
    _scenario("engines-replaced", "engines are replaced one after another", 90, scenarios.engines_replaced),
    _scenario(
        "second-loss",
        "an engine crashes right after the restart of another",
        12,
        scenarios.second_engine_crash,
    ),
    _scenario(
        "operators-race", "two operators submit changes under one version number", 6, scenarios.operators_race
    ),
    _scenario(
        "answers-lost", "orders are resent after their responses were lost", 6, scenarios.responses_lost
    ),
    _scenario(
        "wrong-configurations",
        "invalid and too large configurations are submitted",
        6,
        scenarios.wrong_configurations,
    ),
    _scenario(
        "huge-configuration",
        "a valid configuration near the size limit is submitted",
        25,
        scenarios.huge_configuration,
    ),
    _scenario("key-revoked", "a key is revoked while in use", 12, scenarios.key_revoked),
    _scenario("route-burst", "the traffic of one route triples", 15, scenarios.route_burst, burst_surge),
    _scenario(
        "hot-prefix", "the traffic with one prompt prefix surges", 15, scenarios.hot_prefix, prefix_surge
    ),
    _scenario("hot-tenant", "a tenant requests 2.5 times its quota", 25, scenarios.hot_tenant, tenant_surge),
    _scenario("restart-in-turn", "every node is restarted in turn", 90, scenarios.restart_in_turn),
    _scenario(
        "restart-everything",
        "all nodes are killed and restarted after hundreds of changes",
        60,
        scenarios.restart_everything,
    ),
)
FAULTS: Mapping[str, FaultScenario] = {scenario.name: scenario for scenario in _ALL}


def choose_faults(names: str) -> list[FaultScenario]:
    """Return the scenarios in a comma-separated list of names, or all of them for ``all``.

    :raises ExperimentError: if a name is unknown; the message contains every unknown name.
    """
    if names == "all":
        return list(FAULTS.values())
    wanted = [name.strip() for name in names.split(",") if name.strip()]
    unknown = sorted(set(wanted) - set(FAULTS))
    if unknown:
        raise ExperimentError(f"no fault named {', '.join(unknown)}; there are {', '.join(FAULTS)}")
    return [FAULTS[name] for name in wanted]
