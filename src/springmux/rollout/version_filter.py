"""The version filter: which versions may serve a prompt, decided before any engine is chosen.

It implements the paper's per-request routing (section V.D) with the traffic share of section V.C. The filter
runs for every prompt, so everything possible is computed in advance: a choice takes a dictionary lookup, two
comparisons and a multiplication.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from springmux.coordination.state_machine import NEVER
from springmux.rollout.outcome import FirstTokenWatch, PromptOutcome, VersionChoice
from springmux.rollout.token import Account
from springmux.vocabulary.names import RolloutId, RouteName, ServiceName, VersionName

LEASE_S = 2.0
"""A node sends prompts to a candidate only within this time after a token's visit, by its monotonic clock."""

_HASH_RANGE = 1 << 64
_HASH_MASK = _HASH_RANGE - 1
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
"""Odd multiplier of Fibonacci hashing (Knuth, The Art of Computer Programming, volume 3, section 6.4)."""

LOW_TRAFFIC_ROUTE_WEIGHT = 0.30
"""Largest candidate share of a low-traffic route's prompts. A larger share leaves fewer stable answers to
compare with; at about a third, a fault in half of the answers is detected with the fewest prompts."""
EVEN_LAST_WEIGHT = 0.25
"""Weight that is used for each route's share at full weight. Credits are scarce then, and without the limit
the route with most traffic would use them up."""
MAX_ROUTES = 8
"""Number of routes whose candidate prompts are evened out; further routes get the weight itself. The evidence
digest has the same number."""

NO_VERSIONS = VersionChoice(versions=())
"""Choice for a service that is not configured."""


class EvidenceSink(Protocol):
    """Receives the outcomes of a rollout's prompts as evidence."""

    def record(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        """Record one outcome."""
        ...

    def watch(
        self, route: RouteName, prompt_bytes: int, expected_hit: float, now: float
    ) -> FirstTokenWatch | None:
        """Choose the first tokens to compare a candidate prompt's with; ``None`` if there are none."""
        ...

    def record_overdue(self, watch: FirstTokenWatch, now: float) -> None:
        """Record that a watched prompt has no first token within its limit."""
        ...


class ServiceGate:
    """The filter's state for one service: precomputed choices, the lease, and this node's counters.

    Counters only grow within one account (see :class:`springmux.rollout.token.Account`).
    """

    __slots__ = (
        "_route_prompts",
        "_route_thresholds",
        "_salt",
        "_threshold",
        "aborted_candidate",
        "available",
        "candidate",
        "candidate_choice",
        "default_choice",
        "even_routes",
        "evidence",
        "expired",
        "given_back",
        "granted",
        "lease_until",
        "prompts",
        "rollout",
        "spent",
        "stable",
    )

    def __init__(self, stable: VersionName) -> None:
        self.stable = stable
        self.candidate: VersionName | None = None
        self.aborted_candidate: VersionName | None = None
        """Candidate of the last aborted rollout; a prompt that chose it before the abort isn't sent to it."""
        self.rollout: RolloutId | None = None
        self.default_choice = VersionChoice(versions=(stable,))
        self.candidate_choice = self.default_choice
        self.lease_until = -NEVER
        self.evidence: EvidenceSink | None = None
        self.even_routes = False
        self._threshold = 0
        self._salt = 0
        self._route_prompts: dict[RouteName, int] = {}
        self._route_thresholds: dict[RouteName, int] = {}
        self.open_account()

    def open_account(self) -> None:
        """Reset all counters for a new writer; the old one's outstanding credits can't be spent."""
        self.prompts = 0
        self.granted = 0
        self.spent = 0
        self.expired = 0
        self.given_back = 0
        self.available = 0

    def begin(
        self,
        rollout: RolloutId,
        candidate: VersionName,
        salt: int,
        evidence: EvidenceSink,
        even_routes: bool = False,
    ) -> None:
        """Begin a rollout; no prompt goes to the candidate before the first :meth:`renew`.

        :param even_routes: whether all routes get about the same number of candidate prompts.
        """
        self.even_routes = even_routes
        self._route_prompts = {}
        self._route_thresholds = {}
        self.rollout = rollout
        self.candidate = candidate
        self.aborted_candidate = None if self.aborted_candidate == candidate else self.aborted_candidate
        self.evidence = evidence
        self._salt = salt & _HASH_MASK
        self._threshold = 0
        self.lease_until = -NEVER
        self.set_default_choice(False)
        self.open_account()

    def release(self, stable: VersionName) -> None:
        """End the rollout: all prompts go to ``stable``."""
        self.close()
        self.aborted_candidate = self.candidate or self.aborted_candidate
        if self.aborted_candidate == stable:
            self.aborted_candidate = None
        self.stable = stable
        self.candidate = None
        self.evidence = None
        self.set_default_choice(False)

    def close(self) -> None:
        """Send no prompts to the candidate (paused or aborted) until the next :meth:`renew`."""
        self.lease_until = -NEVER

    def set_default_choice(self, candidate_too: bool) -> None:
        """Set the versions for prompts outside the candidate's share, without a credit or without a lease.

        :param candidate_too: allow the candidate as second version, since the stable one has no engines left.
        """
        versions: tuple[VersionName, ...] = (self.stable,)
        if candidate_too and self.candidate is not None:
            versions = (self.stable, self.candidate)
        self.default_choice = VersionChoice(versions=versions)

    def expire_credits(self, now: float) -> None:
        """Count the unspent credits of a lease that has ended as expired."""
        if now > self.lease_until and self.available > 0:
            self.expired += self.available
            self.available = 0

    def renew(
        self, weight: float, engines_limit: int, now: float, until: float = NEVER, last_step: bool = False
    ) -> None:
        """Renew the lease: send ``weight`` of the prefixes to ``engines_limit`` candidate engines.

        :param until: latest end of the lease, if that is earlier than :data:`LEASE_S` from ``now``.
        :param last_step: whether the committed weight is 1; a widened ``weight`` may reach 1 earlier.
        """
        assert self.candidate is not None
        self._threshold = _HASH_RANGE if weight >= 1.0 else int(weight * _HASH_RANGE)
        self._route_thresholds = {}
        if self.even_routes:
            shares = route_weights(self._route_prompts, EVEN_LAST_WEIGHT if last_step else weight)
            self._route_thresholds = {route: int(w * _HASH_RANGE) for route, w in shares.items()}
        self.candidate_choice = VersionChoice(
            versions=(self.candidate, self.stable), candidate=True, engines_limit=engines_limit
        )
        self.lease_until = min(until, now + LEASE_S)

    def accept_granted(self, granted: int) -> None:
        """Set the total number of credits that the issuer has granted, unless a larger one is known."""
        self.granted = max(self.granted, granted)
        self.available = self.granted - self.spent - self.expired

    def account(self, writer: int, zone: int, visits: int) -> Account:
        """Return this node's counters as an account of the token."""
        return Account(
            writer=writer,
            zone=zone,
            prompts=self.prompts,
            visits=visits,
            granted=self.granted,
            spent=self.spent,
            expired=self.expired,
            given_back=self.given_back,
        )

    def choose(self, prefix_key: int, now: float, route: RouteName | None = None) -> VersionChoice:
        """Choose the versions for one prompt (see :class:`VersionFilter`)."""
        self.prompts += 1
        threshold = self._threshold
        if self.even_routes and route is not None:
            known = self._route_prompts.get(route)
            if known is not None or len(self._route_prompts) < MAX_ROUTES:
                self._route_prompts[route] = (known or 0) + 1
            threshold = self._route_thresholds.get(route, threshold)
        if now > self.lease_until or self.available <= 0:
            return self.default_choice
        if ((prefix_key ^ self._salt) * _HASH_MULTIPLIER) & _HASH_MASK >= threshold:
            return self.default_choice
        self.available -= 1
        self.spent += 1
        return self.candidate_choice


def route_weights(prompts: Mapping[RouteName, int], weight: float) -> dict[RouteName, float]:
    """Return route weights that add up to ``weight`` overall and give routes about equal candidate prompts.

    Routes are processed by ascending traffic: each gets an equal part of the remaining prompts, at most
    :data:`LOW_TRAFFIC_ROUTE_WEIGHT` of its own unless ``weight`` is larger.
    """
    remaining = weight * sum(prompts.values())
    cap = max(weight, LOW_TRAFFIC_ROUTE_WEIGHT)
    weights: dict[RouteName, float] = {}
    for number, route in enumerate(sorted(prompts, key=lambda name: (prompts[name], name))):
        prompt_share = min(remaining / (len(prompts) - number), cap * prompts[route])
        weights[route] = prompt_share / prompts[route]
        remaining -= prompt_share
    return weights


class VersionFilter:
    """Implements :class:`springmux.rollout.outcome.VersionChooser` over the gates of all services."""

    def __init__(self) -> None:
        self.gates: dict[ServiceName, ServiceGate] = {}

    def choose(
        self, service: ServiceName, prefix_key: int, now: float, route: RouteName | None = None
    ) -> VersionChoice:
        """Return the versions for a prompt (see the protocol), none for an unknown service."""
        gate = self.gates.get(service)
        return gate.choose(prefix_key, now, route) if gate is not None else NO_VERSIONS

    def return_credit(self, service: ServiceName, version: VersionName, now: float) -> None:
        """Return the credit of a candidate prompt that was never dispatched; it goes back to the pool."""
        gate = self.gates.get(service)
        if gate is not None and version == gate.candidate and gate.given_back < gate.spent:
            gate.given_back += 1

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        """Return whether prompts may still be sent to ``version``; a candidate needs a valid lease."""
        gate = self.gates.get(service)
        if gate is None or version == gate.stable:
            return True
        if version != gate.candidate:
            return version != gate.aborted_candidate
        return now <= gate.lease_until or version in gate.default_choice.versions

    def watch(
        self, service: ServiceName, route: RouteName, prompt_bytes: int, expected_hit: float, now: float
    ) -> FirstTokenWatch | None:
        """Start watching the first token of a candidate prompt; see the protocol."""
        gate = self.gates.get(service)
        if gate is None or gate.evidence is None:
            return None
        return gate.evidence.watch(route, prompt_bytes, expected_hit, now)

    def overdue(self, watch: FirstTokenWatch, now: float) -> None:
        """Record as evidence that a first token exceeds the limit, before it arrives."""
        gate = self.gates.get(watch.service)
        if gate is not None and gate.evidence is not None:
            gate.evidence.record_overdue(watch, now)

    def observe(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        """Record an outcome of one of the rollout's two versions as evidence; ignore other versions."""
        gate = self.gates.get(outcome.service)
        if gate is None or gate.evidence is None:
            return
        if outcome.version == gate.stable or outcome.version == gate.candidate:
            gate.evidence.record(outcome, now, watch)
