"""Components of the node that the handling of forwarded requests uses."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from springmux.gateway.core import GatewayCore
from springmux.node.gateway.headers import HeaderRules
from springmux.node.gateway.refusal_log import RefusalLog
from springmux.node.gateway.request_log import RequestLog
from springmux.node.gateway.startup_gate import StartupGate, open_gate
from springmux.node.http.types import EngineClient
from springmux.node.service_rates import ServiceRates


@dataclass(slots=True)
class ForwarderServices:
    """Components that all requests of one node share."""

    core: GatewayCore
    client: EngineClient
    headers: HeaderRules
    randomness: random.Random
    rates: ServiceRates
    refusals: RefusalLog
    startup_gate: StartupGate = field(default_factory=open_gate)
    request_log: RequestLog | None = None
