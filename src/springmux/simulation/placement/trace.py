"""Generate request traces for model engines: kinds of prompts with shared prefixes and long-tailed sizes."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass

from springmux.gateway.prompt_metadata import PromptMetadata
from springmux.simulation.placement.engine import Request

_SKEW_OFFSET = 10.0
"""Flattens the popularity of the most popular segments."""


@dataclass(frozen=True)
class PartLevel:
    """Shared prefix segments of one level: their number, their tokens, and the skew of their popularity."""

    count: int
    tokens: int
    skew: float = 0.3


@dataclass(frozen=True)
class PromptKind:
    """Prompts of one kind: ``per_s`` of them, ``levels`` of shared segments, then ``own_tokens`` on average.

    ``variation``: coefficient of variation of the own tokens, log-normal, truncated at ``max_own_tokens``.
    ``target_s``: latency target of the first event. ``weight``: what a request within its target earns.
    """

    name: str
    per_s: float
    levels: tuple[PartLevel, ...]
    own_tokens: float
    variation: float
    max_own_tokens: int
    output_tokens: int
    target_s: float
    weight: float = 1.0


def mixed_trace(
    seed: int, nodes: int, seconds: float, kinds: tuple[PromptKind, ...], load: float = 1.0
) -> list[Request]:
    """Return requests of all kinds in the order of arrival, at ``load`` times their rates."""
    source = random.Random(seed)
    requests: list[Request] = []
    numbers = itertools.count()
    for index, kind in enumerate(kinds):
        sigma = math.sqrt(math.log(1.0 + kind.variation**2))
        centre = math.log(kind.own_tokens) - sigma**2 / 2
        weights = [_popularity(level) for level in kind.levels]
        at = source.expovariate(kind.per_s * load)
        while at < seconds:
            own = max(1, min(kind.max_own_tokens, int(source.lognormvariate(centre, sigma))))
            segments = []
            for number, (level, weight) in enumerate(zip(kind.levels, weights, strict=True)):
                drawn = source.choices(range(level.count), weight)[0]
                segments.append((f"{kind.name}/{number}/{drawn}", level.tokens))
            segments.append((f"own{next(numbers)}", own))
            metadata = PromptMetadata(
                tuple(segments), sum(tokens for _, tokens in segments), kind.output_tokens
            )
            long = bool(metadata.long_prefix()[1])
            requests.append(Request(at, source.randrange(nodes), metadata, long, index))
            at += source.expovariate(kind.per_s * load)
    return sorted(requests, key=lambda request: request.at)


def _popularity(level: PartLevel) -> list[float]:
    return [1.0 / (number + _SKEW_OFFSET) ** level.skew for number in range(level.count)]


def dossier_trace(
    seed: int, nodes: int, seconds: float, longs_per_s: float, shorts_per_s: float, hot_share: float = 0.0
) -> list[Request]:
    """Return long prompts over 134 dossiers and short ones over 1,300 sessions, in the order of arrival.

    :param hot_share: fraction of the long prompts that share one hot dossier, 0..1.
    """
    source = random.Random(seed)
    dossiers = [(f"d{n}", max(2000, int(source.gauss(13_300, 4000)))) for n in range(134)]
    skew = [1.0 / (n + 10.0) ** 0.7 for n in range(134)]
    requests: list[Request] = []
    numbers = itertools.count()
    at = 0.0
    while at < seconds:
        at += source.expovariate(longs_per_s)
        dossier = source.choices(dossiers, skew)[0]
        if hot_share and source.random() < hot_share:
            dossier = dossiers[-1]
        segments = (dossier, (f"own{next(numbers)}", 3720))
        requests.append(
            Request(at, source.randrange(nodes), PromptMetadata(segments, dossier[1] + 3720, 200), True)
        )
    at = 0.0
    while at < seconds:
        at += source.expovariate(shorts_per_s)
        session = source.randrange(1300)
        own = f"own{next(numbers)}"
        metadata = PromptMetadata(((f"c{session % 40}", 55), (f"s{session}", 37), (own, 291)), 383, 60)
        requests.append(Request(at, source.randrange(nodes), metadata, False, 1))
    return sorted(requests, key=lambda request: request.at)
