"""Evidence as it is sent between nodes: sums of counts and log bets that add up across nodes.

A node's digest is cumulative since its table was created. All numbers are integers, so merging is exact in
any order, and :func:`subtract` undoes :func:`merge`. Log bets are in thousandths of a nat.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

MILLINATS = 1000
"""Fixed-point scale of log bets. Rounding (down, by at most 0.001 nat) only reduces the tests' power."""


class EpochEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Sums over one epoch of one route.

    The ``error_*`` sums are log bets that the candidate's odds of a bad answer are 4, 16 and 100 times
    those of the stable version. The latency sums are a mild and a steep log bet that the candidate is slower
    than the limit allows, and one that it is within the limit.
    """

    epoch: int
    candidate_bad: int = 0
    candidate_total: int = 0
    stable_bad: int = 0
    stable_total: int = 0
    error_4: int = 0
    error_16: int = 0
    error_100: int = 0
    first_token_mild: int = 0
    first_token_steep: int = 0
    first_token_within: int = 0
    token_gap_mild: int = 0
    token_gap_steep: int = 0
    token_gap_within: int = 0


class EngineEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one candidate engine on one route in one epoch. ``slot`` is a hash of the engine's name."""

    epoch: int
    slot: int
    bad: int = 0
    total: int = 0


class RouteEvidence(msgspec.Struct, frozen=True, array_like=True):
    """All evidence about one route, in canonical order (by epoch, then slot)."""

    route: str
    epochs: tuple[EpochEvidence, ...] = ()
    engines: tuple[EngineEvidence, ...] = ()


class EngineUse(msgspec.Struct, frozen=True, array_like=True):
    """One engine of either version: number of answered prompts, and of loss events that nodes reported."""

    slot: int
    candidate: bool
    answers: int = 0
    losses: int = 0


class EvidenceDigest(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Cumulative evidence of one node, or the merged evidence of many."""

    routes: tuple[RouteEvidence, ...] = ()
    engines: tuple[EngineUse, ...] = ()

    @property
    def candidate_bad(self) -> int:
        """Bad answers of the candidate; lost engines and disconnected clients do not count."""
        return sum(epoch.candidate_bad for route in self.routes for epoch in route.epochs)

    @property
    def candidate_total(self) -> int:
        """Judged answers of the candidate."""
        return sum(epoch.candidate_total for route in self.routes for epoch in route.epochs)

    @property
    def stable_bad(self) -> int:
        """Bad answers of the stable version."""
        return sum(epoch.stable_bad for route in self.routes for epoch in route.epochs)

    @property
    def stable_total(self) -> int:
        """Judged answers of the stable version."""
        return sum(epoch.stable_total for route in self.routes for epoch in route.epochs)


EMPTY_DIGEST = EvidenceDigest()

_Key = tuple[str, int, int]
_NO_SLOT = -1
_Sums = dict[_Key, list[int]]


class _Accumulator:
    """Mutable sums behind :func:`merge` and :func:`subtract`."""

    def __init__(self) -> None:
        self._epochs: _Sums = {}
        self._engines: _Sums = {}
        self._engine_counts: Counter[tuple[int, bool, int]] = Counter()

    def add(self, digest: EvidenceDigest, sign: int) -> None:
        for route in digest.routes:
            for epoch in route.epochs:
                _, *numbers = msgspec.structs.astuple(epoch)
                _add_to(self._epochs, (route.route, epoch.epoch, _NO_SLOT), numbers, sign)
            for engine in route.engines:
                key = (route.route, engine.epoch, engine.slot)
                _add_to(self._engines, key, [engine.bad, engine.total], sign)
        for use in digest.engines:
            self._engine_counts[use.slot, use.candidate, 0] += sign * use.answers
            self._engine_counts[use.slot, use.candidate, 1] += sign * use.losses

    def digest(self) -> EvidenceDigest:
        epochs = {key: numbers for key, numbers in self._epochs.items() if any(numbers)}
        engines = {key: numbers for key, numbers in self._engines.items() if any(numbers)}
        names = sorted({key[0] for key in (*epochs, *engines)})
        routes = tuple(
            RouteEvidence(
                name,
                tuple(EpochEvidence(key[1], *epochs[key]) for key in sorted(epochs) if key[0] == name),
                tuple(EngineEvidence(*key[1:], *engines[key]) for key in sorted(engines) if key[0] == name),
            )
            for name in names
        )
        return EvidenceDigest(routes, self._engine_uses())

    def _engine_uses(self) -> tuple[EngineUse, ...]:
        keys = sorted({(slot, candidate) for slot, candidate, _ in self._engine_counts})
        uses = (EngineUse(*key, self._engine_counts[*key, 0], self._engine_counts[*key, 1]) for key in keys)
        return tuple(use for use in uses if use.answers or use.losses)


def _add_to(sums: _Sums, key: _Key, numbers: list[int], sign: int) -> None:
    present = sums.get(key)
    if present is None:
        sums[key] = [sign * number for number in numbers]
        return
    for index, number in enumerate(numbers):
        present[index] += sign * number


def merge_all(digests: Iterable[EvidenceDigest]) -> EvidenceDigest:
    """Return the sum of all ``digests``; cheaper than repeated :func:`merge`."""
    sums = _Accumulator()
    for digest in digests:
        sums.add(digest, 1)
    return sums.digest()


def merge(first: EvidenceDigest, second: EvidenceDigest) -> EvidenceDigest:
    """Return the sum of two digests; associative and commutative."""
    return merge_all((first, second))


def subtract(newer: EvidenceDigest, older: EvidenceDigest) -> EvidenceDigest:
    """Return the difference of two digests, so that merging it with ``older`` gives ``newer`` again."""
    sums = _Accumulator()
    sums.add(newer, 1)
    sums.add(older, -1)
    return sums.digest()
