"""Traces for the comparison of routing policies: prompts as in both deployments, with Poisson arrivals."""

from __future__ import annotations

import random

import msgspec
import numpy

DOSSIER_PREFIX_BYTES = 24_576
CAPTION_PREFIX_BYTES = 2_048
"""Prefix sizes of the experiment files."""
_ZIPF_EXPONENT = 1.1


class TracedRequest(msgspec.Struct, frozen=True):
    """One request. ``at``: arrival time in seconds. ``kind``: ``dossier`` or ``caption``."""

    number: int
    at: float
    prompt: bytes
    answer_tokens: int
    kind: str


class TraceCase(msgspec.Struct, frozen=True, kw_only=True):
    """Traffic of one case. Rates are requests per second.

    ``hot_share``: fraction of the dossiers that have the same prefix. ``burst_factor``: factor of the
    captions' rate during the last 5 s of every 20 s. ``replacements``: times at which an engine is lost and
    replaced by one with an empty cache. ``counted_s``: begin and end of the interval whose arrivals are
    evaluated; it excludes the start, as every policy begins with empty caches.
    """

    name: str
    dossiers_per_s: float = 40.0
    captions_per_s: float = 100.0
    prefixes: int = 120
    hot_share: float = 0.0
    burst_factor: float = 1.0
    replacements: tuple[float, ...] = ()
    seconds: float = 60.0
    counted_s: tuple[float, float] = (10.0, 60.0)


CASES = (
    TraceCase(name="steady"),
    TraceCase(name="hot prefix", hot_share=0.6),
    TraceCase(name="bursts of captions", burst_factor=4.0),
    TraceCase(name="second loss after a replacement", replacements=(25.0, 28.0), counted_s=(25.0, 40.0)),
)

_BURST_PERIOD_S, _BURST_S = 20.0, 5.0


def make_trace(case: TraceCase, seed: int) -> list[TracedRequest]:
    """Return the requests of a case, numbered in the order of their arrival times."""
    source = random.Random(f"{case.name} {seed}")
    rank_weights = numpy.arange(1, case.prefixes + 1, dtype=float) ** -_ZIPF_EXPONENT
    prefix_weights = [float(weight) for weight in rank_weights]
    prefixes = [_text(f"dossier {number}", DOSSIER_PREFIX_BYTES) for number in range(case.prefixes)]
    captions = [_text(f"caption {number}", CAPTION_PREFIX_BYTES) for number in range(case.prefixes)]
    requests: list[TracedRequest] = []
    for at in _arrivals(source, case, case.dossiers_per_s, 1.0):
        hot = source.random() < case.hot_share
        prefix = prefixes[0] if hot else source.choices(prefixes, prefix_weights)[0]
        prompt = prefix + _text(f"{at}", source.randint(400, 2000))
        requests.append(TracedRequest(0, at, prompt, source.randint(60, 180), "dossier"))
    for at in _arrivals(source, case, case.captions_per_s, case.burst_factor):
        prompt = source.choices(captions, prefix_weights)[0] + _text(f"{at}", source.randint(60, 300))
        requests.append(TracedRequest(0, at, prompt, source.randint(8, 24), "caption"))
    requests.sort(key=lambda request: request.at)
    return [msgspec.structs.replace(request, number=number) for number, request in enumerate(requests)]


def _text(label: str, size_bytes: int) -> bytes:
    word = label.encode() + b" "
    return (word * (size_bytes // len(word) + 1))[:size_bytes]


def _arrivals(source: random.Random, case: TraceCase, rate: float, burst_factor: float) -> list[float]:
    times: list[float] = []
    now = 0.0
    while True:
        in_burst = now % _BURST_PERIOD_S >= _BURST_PERIOD_S - _BURST_S
        now += source.expovariate(rate * (burst_factor if in_burst else 1.0))
        if now >= case.seconds:
            return times
        times.append(now)
