"""What the data plane tells the rollout: the choice it was given and how each prompt ended."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName


class VersionChoice(msgspec.Struct, frozen=True):
    """Versions that may serve one prompt, the first preferred, made before any engine is chosen.

    ``candidate``: the first version is a rollout's candidate and one exposure credit was spent.
    ``engines_limit``: use only the first that many ready engines of the first version, by rendezvous hash
    of the service's name (0: all), so that at a small weight they carry the load that a stable engine has.
    """

    versions: tuple[VersionName, ...]
    candidate: bool = False
    engines_limit: int = 0


class Ending(enum.StrEnum):
    """How a dispatched prompt ended, seen from the node's own stream."""

    WHOLE = "whole"
    ERROR_STATUS = "error_status"
    """The engine answered with a server error."""
    REJECTED = "rejected"
    """The engine's whole answer was a client error (4xx). Callers send both versions the same requests, so a
    candidate that rejects more of them is worse; it says nothing against the engine's health."""
    BROKEN = "broken"
    """The stream was cut short, spliced, or malformed while the engine stayed reachable."""
    TIMED_OUT = "timed_out"
    """No first piece, or no next piece, within the route's limits."""
    ENGINE_LOST = "engine_lost"
    """Refused, reset or dark: one event of that engine, not of its version."""
    CALLER_GONE = "caller_gone"
    """Says nothing about the engine."""


BAD_ENDINGS = frozenset({Ending.ERROR_STATUS, Ending.REJECTED, Ending.BROKEN, Ending.TIMED_OUT})


class PromptOutcome(msgspec.Struct, frozen=True):
    """One dispatched prompt's measurements. Times in seconds; ``None`` where not reached.

    ``expected_hit``: share of the prompt that our own index expected in the engine's cache, 0..1.
    ``engine_in_flight``: this node's requests on the engine at dispatch.
    """

    service: ServiceName
    version: VersionName
    engine: EngineId
    route: RouteName
    ending: Ending
    prompt_bytes: int
    expected_hit: float
    first_token_s: float | None
    token_gap_s: float | None
    tokens: int
    engine_in_flight: int = 0


class FirstTokenWatch(msgspec.Struct):
    """One candidate prompt under way, beside the stable ones that it is compared with, chosen at dispatch.

    ``overdue_after_s``: age without a first token at which it is slower than all of them beyond the limit;
    the node need not wait for its end to tell. ``recorded``: the comparison, made once, is in the evidence.
    """

    service: ServiceName
    route: RouteName
    references: tuple[float, ...]
    overdue_after_s: float
    recorded: bool = False


class VersionChooser(Protocol):
    """The version filter as the router sees it. Calls are synchronous and take microseconds."""

    def choose(
        self, service: ServiceName, prefix_key: int, now: float, route: RouteName | None = None
    ) -> VersionChoice:
        """Decide which versions may serve a prompt whose prefix hashes to ``prefix_key`` (64 bits).

        ``route``: with it a short rollout gives thin routes enough candidate prompts to be judged.

        Counts the prompt in the service's total. Never returns an empty tuple for a known service.
        """
        ...

    def give_back(self, service: ServiceName, version: VersionName, now: float) -> None:
        """Return the credit of a chosen candidate prompt that was never dispatched (no byte was sent)."""
        ...

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        """Return, at dispatch itself, whether ``version`` may still be sent to (lease and abort)."""
        ...

    def watch(
        self, service: ServiceName, route: RouteName, prompt_bytes: int, expected_hit: float, now: float
    ) -> FirstTokenWatch | None:
        """Begin to watch a candidate prompt at its dispatch; ``None`` if there is nothing to compare with."""
        ...

    def overdue(self, watch: FirstTokenWatch, now: float) -> None:
        """Record that no first token came within the watch's ``overdue_after_s``."""
        ...

    def observe(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        """Record one prompt's outcome as evidence; ``watch`` is what :meth:`watch` returned for it."""
        ...
