"""The catalogue of faults: each a named scenario on the bench, and the traffic that goes with it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from springmux.lab.admin.operator_client import AdminNode
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.faults.operators import Operators
from springmux.lab.faults.surges import QUOTA_SURGE_S, SURGE_S, burst_surge, prefix_surge, tenant_surge
from springmux.lab.load.traffic import Surge
from springmux.lab.plan import ExperimentError, ExperimentPlan
from springmux.lab.records import QuotaWindow, Recovery
from springmux.node.fault_injection import NodeFaults

PARTITION_S = 22.0
"""The brief: twenty seconds or more."""
DISK_FAULT_S = 8.0
DISK_SLOW_S = 0.2
DISK_STALL_S = 60.0
CLOCK_JUMP_S = -3600.0
HANG_S = 8.0
FREEZE_S = 6.0
DOWNTIME_S = 3.0
MANY_CHANGES = 200
RECOVERY_TIMEOUT_S = 40.0
POLL_S = 0.05


class FaultScenario(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of the brief. ``lasts_s``: time to leave for it in a run, its healing included."""

    name: str
    description: str
    lasts_s: float
    play: Callable[[DeploymentFaultInjector], Awaitable[None]]
    surge: Callable[[ExperimentPlan, float], Surge] | None = None


async def _node_killed(injector: DeploymentFaultInjector) -> None:
    await injector.kill(injector.pick_node(controller=False), DOWNTIME_S)


async def _node_frozen(injector: DeploymentFaultInjector) -> None:
    await injector.freeze(injector.pick_node(controller=False), FREEZE_S)


async def _leader_killed(injector: DeploymentFaultInjector) -> None:
    await injector.kill(await injector.find_leader(), DOWNTIME_S)


async def _leader_frozen(injector: DeploymentFaultInjector) -> None:
    await injector.freeze(await injector.find_leader(), FREEZE_S)


async def _restart_in_turn(injector: DeploymentFaultInjector) -> None:
    for node in injector.deployment.nodes:
        await injector.restart(node)


async def _restart_everything(injector: DeploymentFaultInjector) -> None:
    """Acknowledge hundreds of changes, kill every node at once, start all, see what is there."""
    operators = Operators(injector)
    await operators.submit_changes(MANY_CHANGES)
    service = injector.deployment.plan.rollout_service
    expected_version = await operators.next_version() - 1
    before = await injector.operators.rollout(service)
    supervisor = injector.deployment.supervisor
    for node in injector.deployment.nodes:
        injector.record_fault("restart_everything", node.node, began=True)
    await asyncio.to_thread(supervisor.kill_all)
    began_at_s = time.monotonic()
    await asyncio.to_thread(supervisor.start_all)
    back_at_s = await _all_ready(injector, began_at_s + RECOVERY_TIMEOUT_S)
    for node in injector.deployment.nodes:
        injector.record_fault("restart_everything", node.node, began=False)
    after = await injector.operators.rollout(service)
    found = await injector.operators.configuration()
    injector.records.recoveries.append(
        Recovery(
            began_at_s=began_at_s,
            back_at_s=back_at_s,
            changes_before=sum(order.accepted for order in injector.records.orders),
            expected_version=expected_version,
            found_version=found.version if found is not None else 0,
            rollouts_kept=before is None or (after is not None and after.rollout == before.rollout),
        )
    )


async def _all_ready(injector: DeploymentFaultInjector, until_s: float) -> float:
    """Return when every node was ready again, 0 if not in time."""
    waiting = [AdminNode(node.node, node.admin_address) for node in injector.deployment.nodes]
    while waiting and time.monotonic() < until_s:
        responses = await asyncio.gather(*(injector.operators.ready(node) for node in waiting))
        waiting = [node for node, ready in zip(waiting, responses, strict=True) if not ready]
        await asyncio.sleep(POLL_S)
    return 0.0 if waiting else time.monotonic()


async def _disk_wiped(injector: DeploymentFaultInjector) -> None:
    await Operators(injector).patch("queue_length", 260)
    # Right after the acknowledgement: what only this disk had must not be needed.
    await injector.wipe(await injector.find_leader(), new_addresses=False)


async def _back_empty_elsewhere(injector: DeploymentFaultInjector) -> None:
    await Operators(injector).patch("queue_length", 261)
    await injector.wipe(injector.pick_node(controller=True), new_addresses=True)


async def _controller_cut_off(injector: DeploymentFaultInjector) -> None:
    leader = await injector.find_leader()
    operators = Operators(injector)
    cut = asyncio.create_task(injector.inject(leader, "cut_off", NodeFaults(cut=True), PARTITION_S))
    try:
        await asyncio.sleep(PARTITION_S / 4)
        # The others go on deciding.
        await operators.patch("queue_length", 262)
        await operators.race()
    finally:
        await cut


async def _disk_slow(injector: DeploymentFaultInjector) -> None:
    leader = await injector.find_leader()
    await _with_changes(injector, leader.node, "disk_slow", NodeFaults(disk_delay_s=DISK_SLOW_S))


async def _disk_stalled(injector: DeploymentFaultInjector) -> None:
    leader = await injector.find_leader()
    await _with_changes(injector, leader.node, "disk_stalled", NodeFaults(disk_delay_s=DISK_STALL_S))


async def _disk_full(injector: DeploymentFaultInjector) -> None:
    leader = await injector.find_leader()
    await _with_changes(injector, leader.node, "disk_full", NodeFaults(disk_full=True))


async def _with_changes(injector: DeploymentFaultInjector, name: str, fault: str, faults: NodeFaults) -> None:
    node = injector.deployment.supervisor.layout.find(name)
    injected = asyncio.create_task(injector.inject(node, fault, faults, DISK_FAULT_S))
    try:
        for number in range(4):
            await Operators(injector).patch("queue_length", 270 + number)
    finally:
        await injected


async def _clock_jump(injector: DeploymentFaultInjector) -> None:
    faults = NodeFaults(clock_offset_s=CLOCK_JUMP_S)
    await injector.inject(await injector.find_leader(), "clock_jump", faults, DISK_FAULT_S)


async def _engine_crash(injector: DeploymentFaultInjector) -> None:
    await injector.crash_engine(injector.pick_engine("model"), DOWNTIME_S)


async def _engine_hung(injector: DeploymentFaultInjector) -> None:
    await injector.hang_engine(injector.pick_engine("model"), HANG_S)


async def _service_crash(injector: DeploymentFaultInjector) -> None:
    await injector.crash_engine(injector.pick_engine("call"), DOWNTIME_S)


async def _engine_drained(injector: DeploymentFaultInjector) -> None:
    await injector.replace_engine(injector.pick_engine("model"))


async def _engines_replaced(injector: DeploymentFaultInjector) -> None:
    """Replace every engine of the stable version, one after another."""
    for engine in injector.idle_engines():
        await injector.replace_engine(engine)


async def _second_loss(injector: DeploymentFaultInjector) -> None:
    """Lose one engine; as soon as its replacement has announced itself cold, lose another."""
    first, second = injector.random.sample(injector.idle_engines(), 2)
    await injector.crash_engine(first, DOWNTIME_S)
    await injector.crash_engine(second, DOWNTIME_S)


async def _operators_race(injector: DeploymentFaultInjector) -> None:
    operators = Operators(injector)
    for _ in range(5):
        await operators.race()


async def _responses_lost(injector: DeploymentFaultInjector) -> None:
    operators = Operators(injector)
    for _ in range(3):
        await operators.lose_response()


async def _wrong_configurations(injector: DeploymentFaultInjector) -> None:
    await Operators(injector).send_invalid()


async def _huge_configuration(injector: DeploymentFaultInjector) -> None:
    await Operators(injector).send_huge()


async def _key_revoked(injector: DeploymentFaultInjector) -> None:
    await Operators(injector).revoke_while_streaming()


async def _route_burst(injector: DeploymentFaultInjector) -> None:
    await _record_span(injector, "route_burst", SURGE_S)


async def _hot_prefix(injector: DeploymentFaultInjector) -> None:
    await _record_span(injector, "hot_prefix", SURGE_S)


async def _hot_tenant(injector: DeploymentFaultInjector) -> None:
    tenant = injector.deployment.plan.tenants[-1]
    from_s, to_s = injector.slot_began_at_s, injector.slot_began_at_s + QUOTA_SURGE_S
    await _record_span(injector, "hot_tenant", QUOTA_SURGE_S)
    injector.records.quotas.append(
        QuotaWindow(tenant.name, from_s, to_s, tenant.tokens_per_s, tenant.burst_tokens)
    )


async def _record_span(injector: DeploymentFaultInjector, fault: str, for_s: float) -> None:
    injector.record_fault(fault, "callers", began=True)
    await asyncio.sleep(for_s)
    injector.record_fault(fault, "callers", began=False)


def _scenario(
    name: str,
    description: str,
    lasts_s: float,
    play: Callable[[DeploymentFaultInjector], Awaitable[None]],
    surge: Callable[[ExperimentPlan, float], Surge] | None = None,
) -> FaultScenario:
    return FaultScenario(name=name, description=description, lasts_s=lasts_s, play=play, surge=surge)


_ALL = (
    _scenario("node-killed", "a router is killed and comes back", 15, _node_killed),
    _scenario("node-frozen", "a router freezes for 6 s", 12, _node_frozen),
    _scenario("leader-killed", "the leading controller is killed", 15, _leader_killed),
    _scenario("leader-frozen", "the leading controller freezes for 6 s", 12, _leader_frozen),
    _scenario("controller-cut-off", "the leader hears no peer for 22 s", 30, _controller_cut_off),
    _scenario("disk-slow", "each write of the leader takes 0.2 s", 15, _disk_slow),
    _scenario("disk-stalled", "the leader's disk stalls", 15, _disk_stalled),
    _scenario("disk-full", "the leader's disk is full", 15, _disk_full),
    _scenario("disk-wiped", "the leader comes back with an empty disk", 18, _disk_wiped),
    _scenario("back-empty-elsewhere", "a controller returns empty elsewhere", 18, _back_empty_elsewhere),
    _scenario("clock-jump", "the leader's wall clock jumps an hour back", 12, _clock_jump),
    _scenario("engine-crash", "a model engine crashes", 8, _engine_crash),
    _scenario("engine-dark", "a model engine hangs for 8 s", 12, _engine_hung),
    _scenario("service-crash", "a page or sale service crashes", 8, _service_crash),
    _scenario("engine-drained", "a model engine drains and leaves", 15, _engine_drained),
    _scenario("engines-replaced", "engines are replaced one after another", 90, _engines_replaced),
    _scenario("second-loss", "an engine is lost right after a replacement", 12, _second_loss),
    _scenario("operators-race", "two operators under one version number", 6, _operators_race),
    _scenario("answers-lost", "orders are resent after lost answers", 6, _responses_lost),
    _scenario("wrong-configurations", "invalid and too large ones", 6, _wrong_configurations),
    _scenario("huge-configuration", "a valid one near the limit", 25, _huge_configuration),
    _scenario("key-revoked", "a key is revoked while in use", 12, _key_revoked),
    _scenario("route-burst", "a route triples", 15, _route_burst, burst_surge),
    _scenario("hot-prefix", "one prefix swells", 15, _hot_prefix, prefix_surge),
    _scenario("hot-tenant", "a tenant asks for 2.5 times its quota", 25, _hot_tenant, tenant_surge),
    _scenario("restart-in-turn", "every node is restarted in turn", 90, _restart_in_turn),
    _scenario("restart-everything", "all die after hundreds of changes", 60, _restart_everything),
)
FAULTS: Mapping[str, FaultScenario] = {scenario.name: scenario for scenario in _ALL}


def choose_faults(names: str) -> list[FaultScenario]:
    """Return the scenarios named, separated by commas, or all of them.

    :raises ExperimentError: naming what is unknown.
    """
    if names == "all":
        return list(FAULTS.values())
    wanted = [name.strip() for name in names.split(",") if name.strip()]
    unknown = sorted(set(wanted) - set(FAULTS))
    if unknown:
        raise ExperimentError(f"no fault named {', '.join(unknown)}; there are {', '.join(FAULTS)}")
    return [FAULTS[name] for name in wanted]
