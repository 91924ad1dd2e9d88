"""Requests for model engines: kinds of prompts with shared parts and sizes with a long tail."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass

from springmux.gateway.prompt_metadata import PromptMetadata
from springmux.simulation.placement.engine import Request

_SKEW_OFFSET = 10.0
"""Flattens the most popular parts."""


@dataclass(frozen=True)
class PartLevel:
    """Shared parts of one level: how many there are, their mean tokens, and the skew of their popularity."""

    count: int
    tokens: int
    skew: float = 0.3


@dataclass(frozen=True)
class PromptKind:
    """Prompts of one kind: ``per_s`` of them, ``levels`` of shared parts, then ``own_tokens`` on average.

    ``spread``: standard deviation of the own tokens over their mean, log-normal, cut off at ``most_tokens``.
    ``target_s``: time within which the first event is in time. ``worth``: what a request in time earns.
    """

    name: str
    per_s: float
    levels: tuple[PartLevel, ...]
    own_tokens: float
    spread: float
    most_tokens: int
    output_tokens: int
    target_s: float
    worth: float = 1.0


def mixed_trace(
    seed: int, nodes: int, seconds: float, kinds: tuple[PromptKind, ...], load: float = 1.0
) -> list[Request]:
    """Return requests of all kinds in order of time, at ``load`` times their rates."""
    source = random.Random(seed)
    found: list[Request] = []
    numbers = itertools.count()
    for index, kind in enumerate(kinds):
        sigma = math.sqrt(math.log(1.0 + kind.spread**2))
        centre = math.log(kind.own_tokens) - sigma**2 / 2
        weights = [_popularity(level) for level in kind.levels]
        at = source.expovariate(kind.per_s * load)
        while at < seconds:
            own = max(1, min(kind.most_tokens, int(source.lognormvariate(centre, sigma))))
            parts = []
            for number, (level, weight) in enumerate(zip(kind.levels, weights, strict=True)):
                drawn = source.choices(range(level.count), weight)[0]
                parts.append((f"{kind.name}/{number}/{drawn}", level.tokens))
            parts.append((f"own{next(numbers)}", own))
            facts = PromptMetadata(tuple(parts), sum(tokens for _, tokens in parts), kind.output_tokens)
            found.append(Request(at, source.randrange(nodes), facts, bool(facts.long_prefix()[1]), index))
            at += source.expovariate(kind.per_s * load)
    return sorted(found, key=lambda request: request.at)


def _popularity(level: PartLevel) -> list[float]:
    return [1.0 / (number + _SKEW_OFFSET) ** level.skew for number in range(level.count)]


def dossier_trace(
    seed: int, nodes: int, seconds: float, longs_per_s: float, shorts_per_s: float, hot_share: float = 0.0
) -> list[Request]:
    """Return long prompts over 134 dossiers and short ones over 1,300 sessions, in order of time.

    :param hot_share: part of the long ones that have one dossier.
    """
    source = random.Random(seed)
    dossiers = [(f"d{n}", max(2000, int(source.gauss(13_300, 4000)))) for n in range(134)]
    skew = [1.0 / (n + 10.0) ** 0.7 for n in range(134)]
    found: list[Request] = []
    numbers = itertools.count()
    at = 0.0
    while at < seconds:
        at += source.expovariate(longs_per_s)
        dossier = source.choices(dossiers, skew)[0]
        if hot_share and source.random() < hot_share:
            dossier = dossiers[-1]
        parts = (dossier, (f"own{next(numbers)}", 3720))
        found.append(
            Request(at, source.randrange(nodes), PromptMetadata(parts, dossier[1] + 3720, 200), True)
        )
    at = 0.0
    while at < seconds:
        at += source.expovariate(shorts_per_s)
        session = source.randrange(1300)
        own = f"own{next(numbers)}"
        facts = PromptMetadata(((f"c{session % 40}", 55), (f"s{session}", 37), (own, 291)), 383, 60)
        found.append(Request(at, source.randrange(nodes), facts, False, 1))
    return sorted(found, key=lambda request: request.at)
