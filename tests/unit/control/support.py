"""Builders for tests of the control state."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from springmux.control.commands import (
    AnyCommand,
    ApplyConfiguration,
    CommandResult,
    FinishRollout,
    Outcome,
    PromoteRollout,
    PutKey,
    PutTenant,
    SetRolloutStep,
    encode_command,
)
from springmux.control.state import ControlState
from springmux.control.view import Tenant
from springmux.coordination.identifiers import Revision
from springmux.rollout.plan import RolloutPhase, RolloutPlan
from springmux.vocabulary.names import (
    KeyDigest,
    KeyId,
    OrderId,
    RolloutId,
    ServiceName,
    TenantName,
    VersionName,
)

DOCUMENT = {
    "services": {"text": {"stable": "v1"}, "pages": {"stable": "p1"}},
    "routes": {"draft": {"kind": "prompt", "service": "text", "class": "bulk"}},
}


class Log:
    """Applies commands to a state at increasing indexes, with gaps as other kinds of entries leave them."""

    def __init__(self, state: ControlState | None = None) -> None:
        self.state = state or ControlState()
        self.index = 0
        self.applied: list[tuple[Revision, bytes]] = []

    def run(self, command: AnyCommand) -> CommandResult:
        self.index += 1 + self.index % 3
        data = encode_command(command)
        self.applied.append((Revision(self.index), data))
        result = self.state.apply(Revision(self.index), data)
        assert result is not None
        return result

    def outcome(self, command: AnyCommand) -> Outcome:
        return self.run(command).outcome


def configure(order: str, version: int, document: Any, partial: bool = False) -> ApplyConfiguration:
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    return ApplyConfiguration(order=OrderId(order), version=version, document=data, partial=partial)


def put_tenant(order: str, name: str = "acme", tokens_per_s: float = 10.0) -> PutTenant:
    return PutTenant(order=OrderId(order), tenant=Tenant(TenantName(name), tokens_per_s, 100.0))


def put_key(order: str, key: str = "k1", secret: str = "s1", tenant: str = "acme") -> PutKey:
    digest = KeyDigest(hashlib.sha256(secret.encode()).hexdigest())
    return PutKey(order=OrderId(order), key=KeyId(key), digest=digest, tenant=TenantName(tenant))


def promote(order: str, rollout: str = "r1", service: str = "text", candidate: str = "v2") -> PromoteRollout:
    plan = RolloutPlan(ServiceName(service), VersionName(candidate), steps=(0.5, 1.0))
    return PromoteRollout(order=OrderId(order), rollout=RolloutId(rollout), plan=plan)


def step(number: int, weight: float, rollout: str = "r1") -> SetRolloutStep:
    return SetRolloutStep(
        order=OrderId(f"{rollout}/step/{number}"),
        issued_by="system",
        service=ServiceName("text"),
        rollout=RolloutId(rollout),
        phase=RolloutPhase.SHIFTING,
        step=number,
        weight=weight,
        elapsed_s=10.0 * number,
    )


def finish(rollout: str = "r1") -> FinishRollout:
    return FinishRollout(
        order=OrderId(f"{rollout}/finish"),
        issued_by="system",
        service=ServiceName("text"),
        rollout=RolloutId(rollout),
        elapsed_s=50.0,
    )


def configured() -> Log:
    log = Log()
    assert log.outcome(configure("c1", 1, DOCUMENT)) is Outcome.ACCEPTED
    return log
