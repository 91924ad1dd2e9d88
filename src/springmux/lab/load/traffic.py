"""Seeded generation of requests: arrival times, prompts with shared prefixes, tenants."""

from __future__ import annotations

import heapq
import json
from collections.abc import Iterator, Sequence

import msgspec
import numpy as np

from springmux.lab.plan import ExperimentPlan, TrafficPlan
from springmux.simulation.engine_model import BYTES_PER_TOKEN

_WORDS = np.array(
    ["press", "photo", "class", "spring", "motor", "stock", "page", "fault", "lens", "coin", "year"]
)
_SHORTEST_WORD_AND_SPACE = 5
"""Shortest word with its space, which bounds the number of words that a text needs."""


class PlannedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One planned request. ``at_s`` counts from the beginning of the run.

    ``tokens``: the tokens of prompt and complete response, which count against the quota (0 for calls).
    """

    at_s: float
    traffic: TrafficPlan
    tenant: str
    zone: str
    body: bytes
    action: str
    answer_tokens: int
    tokens: int = 0


class Surge(msgspec.Struct, frozen=True, kw_only=True):
    """Additional requests of one route for a limited time, ``extra_per_s`` beside the ordinary ones.

    ``tenant``: the tenant of all its requests (empty: drawn). ``prefix``: the index of the shared prefix of
    all its requests (``None``: drawn).
    """

    route: str
    from_s: float
    for_s: float
    extra_per_s: float
    tenant: str = ""
    prefix: int | None = None


class TrafficSource:
    """Generates the requests of one experiment, the same ones for the same seed.

    Each stream has its own random generator, so a surge does not change the ordinary requests.
    """

    def __init__(self, plan: ExperimentPlan, seed: int) -> None:
        self._plan = plan
        self._seed = seed
        self._tenants = [tenant.name for tenant in plan.tenants]
        self._tenant_shares = _normalized([tenant.share for tenant in plan.tenants])
        self._zones = [zone.name for zone in plan.zones]
        self._zone_shares = _normalized([zone.traffic_share for zone in plan.zones])
        generator = np.random.default_rng(seed)
        self._prefixes = {
            traffic.route: [_text(generator, traffic.prefix_bytes) for _ in range(max(1, traffic.prefixes))]
            for traffic in plan.traffic
        }
        self._prefix_shares = {
            traffic.route: _zipf_shares(traffic.prefixes, traffic.prefix_skew) for traffic in plan.traffic
        }

    def all_requests(self, seconds: float, surges: Sequence[Surge] = ()) -> Iterator[PlannedRequest]:
        """Generate the requests of the whole run lazily, in the order of their times."""
        ordinary = [
            Surge(route=traffic.route, from_s=0.0, for_s=seconds, extra_per_s=traffic.rate_per_s)
            for traffic in self._plan.traffic
        ]
        streams = [self.stream(surge, number) for number, surge in enumerate([*ordinary, *surges])]
        return heapq.merge(*streams, key=lambda request: request.at_s)

    def stream(self, surge: Surge, number: int) -> Iterator[PlannedRequest]:
        """Yield the Poisson arrivals of one stream; ``number`` is its unique number within the run."""
        generator = np.random.default_rng([self._seed, number])
        traffic = next(traffic for traffic in self._plan.traffic if traffic.route == surge.route)
        at_s = surge.from_s
        count = 0
        while True:
            at_s += float(generator.exponential(1.0 / surge.extra_per_s))
            if at_s >= surge.from_s + surge.for_s:
                return
            count += 1
            action = f"{traffic.route}-{self._seed}-{number}-{count}"
            yield self._request(generator, traffic, surge, at_s, action)

    def _request(
        self, generator: np.random.Generator, traffic: TrafficPlan, surge: Surge, at_s: float, action: str
    ) -> PlannedRequest:
        low, high = traffic.answer_tokens
        answer_tokens = int(generator.integers(low, high + 1))
        tokens = 0
        own = _text(generator, int(generator.integers(traffic.own_bytes[0], traffic.own_bytes[1] + 1)))
        if traffic.kind == "prompt":
            prefixes = self._prefixes[traffic.route]
            prefix = surge.prefix
            if prefix is None:
                prefix = int(generator.choice(len(prefixes), p=self._prefix_shares[traffic.route]))
            body = _prompt_body(traffic.route, prefixes[prefix], own, answer_tokens)
            tokens = (len(prefixes[prefix]) + len(own)) // BYTES_PER_TOKEN + 1 + answer_tokens
        else:
            body = json.dumps({"action": action, "note": own}).encode()
        return PlannedRequest(
            at_s=at_s,
            traffic=traffic,
            tenant=surge.tenant or str(generator.choice(self._tenants, p=self._tenant_shares)),
            zone=str(generator.choice(self._zones, p=self._zone_shares)),
            body=body,
            action=action,
            answer_tokens=answer_tokens,
            tokens=tokens,
        )


def _text(generator: np.random.Generator, size_bytes: int) -> str:
    if size_bytes <= 0:
        return ""
    words = generator.choice(_WORDS, size=size_bytes // _SHORTEST_WORD_AND_SPACE + 1)
    return " ".join(words)[:size_bytes]


def _prompt_body(route: str, prefix: str, own: str, answer_tokens: int) -> bytes:
    messages = [{"role": "system", "content": prefix}, {"role": "user", "content": own}]
    return json.dumps(
        {"model": route, "messages": messages, "stream": True, "max_tokens": answer_tokens}
    ).encode()


def _normalized(shares: list[float]) -> list[float]:
    total = sum(shares)
    return [share / total for share in shares]


def _zipf_shares(count: int, skew: float) -> list[float]:
    return _normalized([1.0 / (rank + 1) ** skew for rank in range(max(1, count))])
