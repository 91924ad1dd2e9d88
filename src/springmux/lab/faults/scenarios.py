"""Fault scenarios: each is a coroutine that injects one fault and returns after the recovery from it."""

from __future__ import annotations

import asyncio
import time

from springmux.lab.admin.operator_client import AdminNode
from springmux.lab.faults.fault_injector import DeploymentFaultInjector
from springmux.lab.faults.operators import OperatorScenarios
from springmux.lab.faults.surges import QUOTA_SURGE_S, SURGE_S
from springmux.lab.records import QuotaWindow, Recovery
from springmux.node.fault_injection import NodeFaults

PARTITION_S = 22.0
"""Longer than the minimum duration of a partition, 20 s."""
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


async def node_killed(injector: DeploymentFaultInjector) -> None:
    """Kill a router and restart it."""
    await injector.kill(injector.pick_node(controller=False), DOWNTIME_S)


async def node_frozen(injector: DeploymentFaultInjector) -> None:
    """Freeze a router."""
    await injector.freeze(injector.pick_node(controller=False), FREEZE_S)


async def leader_killed(injector: DeploymentFaultInjector) -> None:
    """Kill the leading controller and restart it."""
    await injector.kill(await injector.find_leader(), DOWNTIME_S)


async def leader_frozen(injector: DeploymentFaultInjector) -> None:
    """Freeze the leading controller."""
    await injector.freeze(await injector.find_leader(), FREEZE_S)


async def restart_in_turn(injector: DeploymentFaultInjector) -> None:
    """Restart every node, one after another."""
    for node in injector.deployment.nodes:
        await injector.restart(node)


async def restart_everything(injector: DeploymentFaultInjector) -> None:
    """Submit hundreds of changes, kill and restart all nodes together, record the recovered state."""
    operators = OperatorScenarios(injector)
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
    back_at_s = await _wait_until_ready(injector, began_at_s + RECOVERY_TIMEOUT_S)
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


async def _wait_until_ready(injector: DeploymentFaultInjector, until_s: float) -> float:
    """Return the time at which every node was ready again; 0 if some are not by ``until_s``."""
    waiting = [AdminNode(node.node, node.admin_address) for node in injector.deployment.nodes]
    while waiting and time.monotonic() < until_s:
        responses = await asyncio.gather(*(injector.operators.ready(node) for node in waiting))
        waiting = [node for node, ready in zip(waiting, responses, strict=True) if not ready]
        await asyncio.sleep(POLL_S)
    return 0.0 if waiting else time.monotonic()


async def disk_wiped(injector: DeploymentFaultInjector) -> None:
    """Wipe the disk of the leading controller right after a change."""
    await OperatorScenarios(injector).patch("queue_length", 260)
    # The wipe follows the acknowledgement immediately: the change must already be durable on other disks.
    await injector.wipe(await injector.find_leader(), new_addresses=False)


async def restarted_empty_at_new_addresses(injector: DeploymentFaultInjector) -> None:
    """Restart a controller with an empty disk at other addresses."""
    await OperatorScenarios(injector).patch("queue_length", 261)
    await injector.wipe(injector.pick_node(controller=True), new_addresses=True)


async def controller_partitioned(injector: DeploymentFaultInjector) -> None:
    """Partition the leading controller from all peers; change the configuration meanwhile."""
    leader = await injector.find_leader()
    operators = OperatorScenarios(injector)
    partition = asyncio.create_task(injector.inject(leader, "cut_off", NodeFaults(cut=True), PARTITION_S))
    try:
        await asyncio.sleep(PARTITION_S / 4)
        # The remaining majority must still commit changes.
        await operators.patch("queue_length", 262)
        await operators.race()
    finally:
        await partition


async def disk_slow(injector: DeploymentFaultInjector) -> None:
    """Slow down the disk of the leading controller."""
    leader = await injector.find_leader()
    await _submit_changes_during(injector, leader.node, "disk_slow", NodeFaults(disk_delay_s=DISK_SLOW_S))


async def disk_stalled(injector: DeploymentFaultInjector) -> None:
    """Stall the disk of the leading controller."""
    leader = await injector.find_leader()
    await _submit_changes_during(injector, leader.node, "disk_stalled", NodeFaults(disk_delay_s=DISK_STALL_S))


async def disk_full(injector: DeploymentFaultInjector) -> None:
    """Fill the disk of the leading controller."""
    leader = await injector.find_leader()
    await _submit_changes_during(injector, leader.node, "disk_full", NodeFaults(disk_full=True))


async def _submit_changes_during(
    injector: DeploymentFaultInjector, node_name: str, fault: str, faults: NodeFaults
) -> None:
    """Inject faults into a node and submit changes while they last."""
    node = injector.deployment.supervisor.layout.find(node_name)
    injected = asyncio.create_task(injector.inject(node, fault, faults, DISK_FAULT_S))
    try:
        for number in range(4):
            await OperatorScenarios(injector).patch("queue_length", 270 + number)
    finally:
        await injected


async def clock_jump(injector: DeploymentFaultInjector) -> None:
    """Set the wall clock of the leading controller back."""
    faults = NodeFaults(clock_offset_s=CLOCK_JUMP_S)
    await injector.inject(await injector.find_leader(), "clock_jump", faults, DISK_FAULT_S)


async def engine_crash(injector: DeploymentFaultInjector) -> None:
    """Crash a model engine and restart it."""
    await injector.crash_engine(injector.pick_engine("model"), DOWNTIME_S)


async def engine_hung(injector: DeploymentFaultInjector) -> None:
    """Make a model engine hang."""
    await injector.hang_engine(injector.pick_engine("model"), HANG_S)


async def service_crash(injector: DeploymentFaultInjector) -> None:
    """Crash a call service and restart it."""
    await injector.crash_engine(injector.pick_engine("call"), DOWNTIME_S)


async def engine_drained(injector: DeploymentFaultInjector) -> None:
    """Drain a model engine and restart it."""
    await injector.replace_engine(injector.pick_engine("model"))


async def engines_replaced(injector: DeploymentFaultInjector) -> None:
    """Replace every unreserved engine of the rollout's service, one after another."""
    for engine in injector.unreserved_engines():
        await injector.replace_engine(engine)


async def second_engine_crash(injector: DeploymentFaultInjector) -> None:
    """Crash one engine; as soon as it has restarted with an empty cache, crash another."""
    first, second = injector.random.sample(injector.unreserved_engines(), 2)
    await injector.crash_engine(first, DOWNTIME_S)
    await injector.crash_engine(second, DOWNTIME_S)


async def operators_race(injector: DeploymentFaultInjector) -> None:
    """Submit pairs of concurrent changes, each pair under one version number."""
    operators = OperatorScenarios(injector)
    for _ in range(5):
        await operators.race()


async def responses_lost(injector: DeploymentFaultInjector) -> None:
    """Resend orders whose responses were lost."""
    operators = OperatorScenarios(injector)
    for _ in range(3):
        await operators.lose_response()


async def wrong_configurations(injector: DeploymentFaultInjector) -> None:
    """Submit invalid and too large configurations."""
    await OperatorScenarios(injector).send_invalid()


async def huge_configuration(injector: DeploymentFaultInjector) -> None:
    """Submit a valid configuration near the size limit."""
    await OperatorScenarios(injector).send_huge()


async def key_revoked(injector: DeploymentFaultInjector) -> None:
    """Revoke a key in use."""
    await OperatorScenarios(injector).revoke_while_streaming()


async def route_burst(injector: DeploymentFaultInjector) -> None:
    """Record the interval of a burst on one route."""
    await _record_surge(injector, "route_burst", SURGE_S)


async def hot_prefix(injector: DeploymentFaultInjector) -> None:
    """Record the interval of a surge with one prefix."""
    await _record_surge(injector, "hot_prefix", SURGE_S)


async def hot_tenant(injector: DeploymentFaultInjector) -> None:
    """Record the interval in which a tenant requests more than its quota."""
    tenant = injector.deployment.plan.tenants[-1]
    from_s, to_s = injector.slot_began_at_s, injector.slot_began_at_s + QUOTA_SURGE_S
    await _record_surge(injector, "hot_tenant", QUOTA_SURGE_S)
    injector.records.quotas.append(
        QuotaWindow(tenant.name, from_s, to_s, tenant.tokens_per_s, tenant.burst_tokens)
    )


async def _record_surge(injector: DeploymentFaultInjector, fault: str, for_s: float) -> None:
    injector.record_fault(fault, "callers", began=True)
    await asyncio.sleep(for_s)
    injector.record_fault(fault, "callers", began=False)
