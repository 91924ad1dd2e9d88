"""Simulated operators: send orders to any node, resend them after lost replies, and send conflicting ones."""

from __future__ import annotations

import hashlib
import itertools
import json
import random

import msgspec

from springmux.agent.effects import OrderAnswered
from springmux.control.commands import (
    AnyCommand,
    ApplyConfiguration,
    CommandResult,
    PauseRollout,
    PromoteRollout,
    PutKey,
    PutTenant,
    ResumeRollout,
    RevokeKey,
)
from springmux.control.view import Tenant
from springmux.coordination.identifiers import NodeId
from springmux.rollout.plan import RolloutPlan
from springmux.simulation.deployments import Deployment
from springmux.simulation.history import History, OrderReply, OrderSent
from springmux.simulation.hollow_fleet import FleetObserver, HollowFleet
from springmux.vocabulary.names import KeyDigest, KeyId, OrderId, RolloutId, ServiceName, TenantName

REPLY_TIMEOUT_S = 7.0
"""Seconds that an operator waits for a reply, a little longer than a node does."""
MAX_SENDS = 12
LOST_REPLIES = 0.25
"""Fraction of the replies that never reach their operator, 0..1."""
RESEND_AFTER_S = 0.4


class PendingOrder(msgspec.Struct):
    """One order until its operator has the reply. ``result`` is set once the reply has arrived."""

    command: AnyCommand
    result: CommandResult | None = None
    sends: int = 0
    abandoned: bool = False
    correlation_id: str = ""


def key_text(tenant: TenantName, number: int) -> str:
    """Return the secret key that clients of a tenant send."""
    return f"key-{tenant}-{number}"


def key_id(tenant: TenantName, number: int) -> KeyId:
    """Return the key's public identifier."""
    return KeyId(f"{tenant}-{number}")


class Operators(FleetObserver):
    """All operators of a fleet. Each order is resent until it has a reply or ``MAX_SENDS`` is reached."""

    def __init__(
        self,
        fleet: HollowFleet,
        deployment: Deployment,
        history: History,
        seed: int,
        lost_replies: float = LOST_REPLIES,
    ) -> None:
        self._fleet = fleet
        self._deployment = deployment
        self._history = history
        self._random = random.Random(f"operators {seed}")
        self._lost_replies = lost_replies
        self._order_numbers = itertools.count(1)
        self._by_correlation_id: dict[str, PendingOrder] = {}
        self._work_until = 0.0
        fleet.observers.append(self)

    def order(self, command: AnyCommand, node: NodeId | None = None) -> PendingOrder:
        """Send an order, and resend it until it has a reply."""
        pending = PendingOrder(command)
        self._send(pending, node)
        return pending

    def new_order(self) -> OrderId:
        """Return a fresh order id."""
        return OrderId(f"o{next(self._order_numbers)}")

    def set_up(self) -> list[PendingOrder]:
        """Send the deployment's configuration and tenants."""
        orders = [
            self.order(
                ApplyConfiguration(order=self.new_order(), version=1, document=self._deployment.document())
            )
        ]
        for size in self._deployment.tenants:
            tenant = Tenant(size.tenant, size.tokens_per_s, size.burst_tokens)
            orders.append(self.order(PutTenant(order=self.new_order(), tenant=tenant)))
        return orders

    def set_up_keys(self) -> list[PendingOrder]:
        """Register the clients' keys; the tenants must exist."""
        return [
            self.order(self._put_key(size.tenant, number))
            for size in self._deployment.tenants
            for number in (1, 2)
        ]

    def promote(self, plan: RolloutPlan) -> PendingOrder:
        """Begin a rollout."""
        order = self.new_order()
        return self.order(PromoteRollout(order=order, rollout=RolloutId(f"rollout-{order}"), plan=plan))

    def work(self, until: float, every_s: float = 2.5) -> None:
        """Make random changes until a given time, one every ``every_s`` seconds on average."""
        self._work_until = until
        self._schedule_change(every_s)

    def _schedule_change(self, every_s: float) -> None:
        delay_s = self._random.expovariate(1.0 / every_s)
        self._fleet.world.scheduler.after(delay_s, lambda: self._make_change(every_s))

    def _make_change(self, every_s: float) -> None:
        if self._fleet.world.now >= self._work_until:
            return
        change = self._random.random()
        if change < 0.4:
            self._race()
        elif change < 0.6:
            self.order(self._configuration(partial=False))
        elif change < 0.8:
            self._change_tenant()
        elif change < 0.9:
            self._revoke_key()
        else:
            self.order(self._invalid_configuration())
        self._schedule_change(every_s)

    def pause_and_resume(self, service: ServiceName, pause_s: float) -> None:
        """Pause a rollout, and resume it ``pause_s`` seconds later."""
        self.order(PauseRollout(order=self.new_order(), service=service))
        resume = ResumeRollout(order=self.new_order(), service=service)

        def send_resume() -> None:
            self.order(resume)

        self._fleet.world.scheduler.after(pause_s, send_resume)

    def _race(self) -> None:
        """Send two different changes under the same version number to different nodes."""
        first, second = self._configuration(partial=True), self._configuration(partial=True)
        nodes = self._random.sample(self._fleet.world.nodes(), 2)
        self.order(first, nodes[0])
        self.order(second, nodes[1])

    def _configuration(self, partial: bool) -> ApplyConfiguration:
        version = self._newest_version() + 1
        limits = {"queue_timeout_s": round(self._random.uniform(0.8, 1.2), 4)}
        document = {"limits": limits} if partial else json.loads(self._deployment.document())
        if not partial:
            document["limits"] = limits
        data = json.dumps(document).encode()
        return ApplyConfiguration(order=self.new_order(), version=version, document=data, partial=partial)

    def _invalid_configuration(self) -> ApplyConfiguration:
        version = self._newest_version() + 1
        document = b'{"services": {"text": {"stable": 7}}, "routes": {"broken": {}}}'
        return ApplyConfiguration(order=self.new_order(), version=version, document=document)

    def _change_tenant(self) -> None:
        size = self._random.choice(self._deployment.tenants)
        weight = round(self._random.uniform(0.9, 1.1), 3)
        tenant = Tenant(size.tenant, size.tokens_per_s, size.burst_tokens, weight)
        self.order(PutTenant(order=self.new_order(), tenant=tenant))

    def _revoke_key(self) -> None:
        """Revoke the second key of a tenant; its clients continue with the first."""
        size = self._random.choice(self._deployment.tenants)
        self.order(RevokeKey(order=self.new_order(), key=key_id(size.tenant, 2)))

    def _put_key(self, tenant: TenantName, number: int) -> PutKey:
        digest = KeyDigest(hashlib.sha256(key_text(tenant, number).encode()).hexdigest())
        return PutKey(order=self.new_order(), key=key_id(tenant, number), digest=digest, tenant=tenant)

    def _newest_version(self) -> int:
        """Return the newest configuration version that any running node has, as an operator would read it."""
        agents = self._fleet.agents().values()
        return max((agent.view.configuration.version for agent in agents), default=0)

    # Orders and replies

    def _send(self, pending: PendingOrder, node: NodeId | None = None) -> None:
        if pending.result is not None or pending.abandoned:
            return
        if pending.sends >= MAX_SENDS:
            pending.abandoned = True
            return
        world = self._fleet.world
        target = node or self._random.choice(world.nodes())
        pending.sends += 1
        sent = pending.sends
        if world.process(target) is None:
            world.scheduler.after(RESEND_AFTER_S, lambda: self._send(pending))
            return
        # Submitted in an event of its own, so that the correlation id is known before the reply.
        world.scheduler.at(world.now, lambda: self._submit(pending, target))
        world.scheduler.after(REPLY_TIMEOUT_S, lambda: self._send(pending) if pending.sends == sent else None)

    def _submit(self, pending: PendingOrder, target: NodeId) -> None:
        correlation_id = self._fleet.next_correlation_id()
        self._by_correlation_id[correlation_id] = pending
        pending.correlation_id = correlation_id
        self._history.ordered.append(
            OrderSent(self._fleet.world.now, target, correlation_id, pending.command)
        )
        self._fleet.submit_as(correlation_id, target, pending.command)

    def order_answered(self, node: NodeId, answer: OrderAnswered, now: float) -> None:
        """Handle a reply: store it, or lose it at random and resend the order elsewhere."""
        pending = self._by_correlation_id.pop(answer.correlation_id, None)
        if pending is None:
            return
        lost = self._random.random() < self._lost_replies
        reply = OrderReply(
            now, node, answer.correlation_id, pending.command.order, answer.result, answer.error, lost
        )
        self._history.orders.append(reply)
        if answer.result is not None and not lost:
            pending.result = pending.result or answer.result
            return
        wait_s = RESEND_AFTER_S
        if answer.error is not None and answer.error.retry_after_s is not None:
            wait_s = answer.error.retry_after_s
        self._fleet.world.scheduler.after(wait_s, lambda: self._send(pending))
