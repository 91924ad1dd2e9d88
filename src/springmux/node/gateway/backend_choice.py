"""Choice of a request's service among the weighted backends of its route."""

from __future__ import annotations

import random

import xxhash

from springmux.control.gateway_configuration import GatewayRoute
from springmux.gateway.prompt_metadata import PromptMetadata
from springmux.vocabulary.names import ServiceName

HASH_RANGE = float(1 << 64)


def prefix_key(prompt: PromptMetadata, randomness: random.Random) -> int:
    """Return a 64-bit hash of the prompt's last shared prefix part, or a random key if there is none."""
    prefix = prompt.prefix
    if len(prefix) >= 2:
        return xxhash.xxh3_64_intdigest(prefix[-2][0].encode("latin-1"))
    if prefix:
        return xxhash.xxh3_64_intdigest(prefix[0][0].encode("latin-1"))
    return randomness.getrandbits(64)


def choose_service(route: GatewayRoute, prompt: PromptMetadata, randomness: random.Random) -> ServiceName:
    """Choose one of the route's services by weight; on a sticky route, the same for a shared prefix."""
    backends = route.backends
    if len(backends) == 1:
        return backends[0].service
    fraction = randomness.random()
    if route.sticky and prompt.prefix:
        fraction = prefix_key(prompt, randomness) / HASH_RANGE
    remaining_weight = fraction * sum(backend.weight for backend in backends)
    for backend in backends:
        remaining_weight -= backend.weight
        if remaining_weight < 0:
            return backend.service
    return next(backend.service for backend in reversed(backends) if backend.weight > 0)
