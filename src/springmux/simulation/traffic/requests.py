"""Seeded generation of a deployment's requests: Poisson arrivals, shared prefixes, tenants, zones."""

from __future__ import annotations

import itertools
import random

import msgspec

from springmux.coordination.identifiers import ZoneName
from springmux.simulation.deployments import Deployment, StreamSize
from springmux.vocabulary.names import TenantName

PREFIX_SKEW = 1.1
"""Exponent of the Zipf distribution of the prefixes' popularity, as in the lab's experiments."""


class PlannedRequest(msgspec.Struct, frozen=True):
    """One generated request. ``action``: the client's name for it, the same in every retry."""

    stream: StreamSize
    tenant: TenantName
    zone: ZoneName
    action: str
    body: bytes
    answer_tokens: int


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """Period in which the rate of a stream is multiplied by ``factor``.

    ``route``: route of the stream, empty for all streams. ``tenant``: tenant of all additional requests.
    """

    begin: float
    end: float
    factor: float
    route: str = ""
    tenant: TenantName | None = None


class RequestSource:
    """Generates the requests of one run, the same for the same seed."""

    def __init__(self, deployment: Deployment, seed: int, bursts: tuple[Burst, ...] = ()) -> None:
        self._deployment = deployment
        self._random = random.Random(f"requests {seed}")
        self._bursts = bursts
        self._numbers = itertools.count(1)
        self._tenants = [size.tenant for size in deployment.tenants]
        self._tenant_shares = list(itertools.accumulate(size.share for size in deployment.tenants))
        self._zones = [size.zone for size in deployment.zones]
        self._zone_shares = list(itertools.accumulate(size.traffic_share for size in deployment.zones))
        self._prefix_shares = {size.route: _zipf(size.prefixes) for size in deployment.streams}

    def gap_s(self, stream: StreamSize, now: float) -> float:
        """Return the seconds to the stream's next request."""
        return self._random.expovariate(stream.rate_per_s * self._factor(stream, now))

    def request(self, stream: StreamSize, now: float) -> PlannedRequest:
        """Return the next request of a stream."""
        number = next(self._numbers)
        tokens = self._random.randint(*stream.answer_tokens)
        action = f"{stream.route}-{number}"
        return PlannedRequest(
            stream,
            self._tenant(stream, now),
            self._random.choices(self._zones, cum_weights=self._zone_shares)[0],
            action,
            self._prompt(stream, number, tokens) if stream.prompt else b'{"action": "%b"}' % action.encode(),
            tokens,
        )

    def _prompt(self, stream: StreamSize, number: int, tokens: int) -> bytes:
        shares = self._prefix_shares[stream.route]
        prefix = self._random.choices(range(stream.prefixes), cum_weights=shares)[0]
        name = f"{stream.route} {prefix} "
        shared = (name * (stream.prefix_bytes // len(name) + 1))[: stream.prefix_bytes]
        own = f"own {number} ".ljust(stream.own_bytes, "x")
        text = (
            f'{{"model":"{stream.route}","stream":true,"max_tokens":{tokens},"messages":'
            f'[{{"role":"system","content":"{shared}"}},{{"role":"user","content":"{own}"}}]}}'
        )
        return text.encode()

    def _tenant(self, stream: StreamSize, now: float) -> TenantName:
        for burst in self._bursts:
            if burst.tenant is not None and self._applies(burst, stream, now):
                excess = (burst.factor - 1.0) / burst.factor
                if self._random.random() < excess:
                    return burst.tenant
        return self._random.choices(self._tenants, cum_weights=self._tenant_shares)[0]

    def _factor(self, stream: StreamSize, now: float) -> float:
        factor = 1.0
        for burst in self._bursts:
            if self._applies(burst, stream, now):
                factor *= burst.factor
        return factor

    def _applies(self, burst: Burst, stream: StreamSize, now: float) -> bool:
        return burst.begin <= now < burst.end and burst.route in ("", stream.route)


def _zipf(count: int) -> list[float]:
    return list(itertools.accumulate(1.0 / (rank + 1) ** PREFIX_SKEW for rank in range(count)))
