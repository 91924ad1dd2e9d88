"""Probe rounds: selection of targets, the probe in flight, and probes relayed for other nodes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from springmux.coordination.identifiers import NodeId
from springmux.coordination.membership.messages import MemberAck, MemberNack, MemberPing, MemberPingRequest
from springmux.coordination.membership.settings import MembershipSettings
from springmux.coordination.membership.suspicion import LocalHealth
from springmux.coordination.state_machine import NEVER, Effect, Send

MakePing = Callable[[NodeId, int], MemberPing]
_MAX_RELAYED_PROBES = 64
"""Limit of concurrently relayed probes; far above the number of helpers times the probes that can fail
together."""


@dataclass
class _Probe:
    target: NodeId
    sequence: int
    indirect_at: float
    ends_at: float
    indirect: bool = False
    helpers: int = 0
    nacks: int = 0


@dataclass
class _RelayedProbe:
    origin: NodeId
    origin_sequence: int
    nack_at: float


class Prober:
    """Probes the targets one at a time, in shuffled rounds (SWIM, section 4.3)."""

    def __init__(self, settings: MembershipSettings, health: LocalHealth, rng: random.Random) -> None:
        self._settings = settings
        self._health = health
        self._random = rng
        self._sequence = rng.randrange(1 << 30)
        self._round: list[NodeId] = []
        self._urgent: list[NodeId] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}
        self._next_probe_at = 0.0

    def next_deadline(self) -> float:
        """Return when the own or a relayed probe times out, or when the next probe starts."""
        deadline = min((relay.nack_at for relay in self._relayed.values()), default=NEVER)
        if self._probe is None:
            return min(deadline, self._next_probe_at)
        return min(deadline, self._probe.ends_at if self._probe.indirect else self._probe.indirect_at)

    def restart(self, now: float) -> None:
        """Cancel all probes in flight: after a pause of the process, a missing reply proves nothing."""
        self._probe = None
        self._relayed.clear()
        self._next_probe_at = now

    def probe_soon(self, node: NodeId, now: float) -> None:
        """Make ``node`` the next target, with its probe due within a quarter of a probe period."""
        if node not in self._urgent:
            self._urgent.append(node)
        soon = now + self._settings.probe_period_s / 4 * self._random.random()
        self._next_probe_at = min(self._next_probe_at, soon)

    def next_sequence(self) -> int:
        """Return a new sequence number for a probe."""
        self._sequence += 1
        return self._sequence

    def start_probe(self, targets: tuple[NodeId, ...], make_ping: MakePing, now: float) -> list[Effect]:
        """Start the next probe if it is due and none is in flight."""
        if self._probe is not None or now < self._next_probe_at:
            return []
        self._next_probe_at = now + self._settings.probe_period_s * self._random.uniform(0.9, 1.1)
        target = self._choose_target(targets)
        if target is None:
            return []
        factor = self._health.factor
        sequence = self.next_sequence()
        self._probe = _Probe(
            target=target,
            sequence=sequence,
            indirect_at=now + self._settings.direct_timeout_s * factor,
            ends_at=now + self._settings.probe_period_s * factor,
        )
        return [Send(to=target, message=make_ping(target, sequence))]

    def _choose_target(self, targets: tuple[NodeId, ...]) -> NodeId | None:
        present = set(targets)
        while self._urgent:
            node = self._urgent.pop(0)
            if node in present:
                return node
        while True:
            if not self._round:
                self._round = list(targets)
                self._random.shuffle(self._round)
            if not self._round:
                return None
            node = self._round.pop()
            if node in present:
                return node

    def request_helpers(self, targets: tuple[NodeId, ...], now: float) -> list[Effect]:
        """Request indirect probes if the direct probe wasn't acknowledged in time."""
        probe = self._probe
        if probe is None or probe.indirect or now < probe.indirect_at:
            return []
        candidates = [node for node in targets if node != probe.target]
        helpers = self._random.sample(candidates, min(self._settings.helpers, len(candidates)))
        probe.indirect = True
        probe.helpers = len(helpers)
        request = MemberPingRequest(sequence=probe.sequence, target=probe.target)
        return [Send(to=helper, message=request) for helper in helpers]

    def pop_failed_target(self, now: float) -> NodeId | None:
        """End the probe if it has timed out; return its target, which must be suspected."""
        probe = self._probe
        if probe is None or now < probe.ends_at:
            return None
        self._probe = None
        self._health.record_probe(False, now)
        # Lifeguard, section III-A: helpers' nacks prove that this node receives messages.
        missing = probe.helpers - probe.nacks if probe.helpers else 1
        self._health.adjust_score(max(0, missing))
        return probe.target

    def receive_ack(self, message: MemberAck, now: float) -> list[Effect]:
        """Finish the own probe, or forward the acknowledgement to the node that requested the probe."""
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            ack = MemberAck(relayed.origin_sequence, message.incarnation)
            return [Send(to=relayed.origin, message=ack)]
        if self._probe is not None and self._probe.sequence == message.sequence:
            self._probe = None
            self._health.record_probe(True, now)
            self._health.adjust_score(-1)
        return []

    def receive_nack(self, message: MemberNack) -> None:
        """Count a helper that works, although it got no acknowledgement from the target."""
        if self._probe is not None and self._probe.sequence == message.sequence:
            self._probe.nacks += 1

    def relay(
        self, origin: NodeId, request: MemberPingRequest, make_ping: MakePing, now: float
    ) -> list[Effect]:
        """Probe a target on behalf of ``origin``; too many concurrent requests are ignored."""
        if len(self._relayed) >= _MAX_RELAYED_PROBES:
            return []
        sequence = self.next_sequence()
        nack_at = now + self._settings.direct_timeout_s
        self._relayed[sequence] = _RelayedProbe(origin, request.sequence, nack_at)
        return [Send(to=request.target, message=make_ping(request.target, sequence))]

    def send_nacks(self, now: float) -> list[Effect]:
        """Send nacks to the origins of relayed probes whose target didn't acknowledge in time."""
        due = [sequence for sequence, relay in self._relayed.items() if relay.nack_at <= now]
        effects: list[Effect] = []
        for sequence in due:
            relay = self._relayed.pop(sequence)
            effects.append(Send(to=relay.origin, message=MemberNack(relay.origin_sequence)))
        return effects
