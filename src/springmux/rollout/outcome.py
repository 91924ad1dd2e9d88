"""Interface of the rollout to the data plane: version choices, and the outcome of each prompt."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from springmux.vocabulary.names import EngineId, RouteName, ServiceName, VersionName


class VersionChoice(msgspec.Struct, frozen=True):
    """Versions that may serve one prompt, in order of preference, chosen before any engine is.

    ``candidate``: the first version is a rollout's candidate, and one exposure credit was spent.
    ``engines_limit``: number of ready engines of the first version to use, the first by rendezvous hash of
    the service's name (0: all), so that at a small weight each carries the load of a stable engine.
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
    """The engine's whole answer was a client error (4xx). Clients send both versions the same requests, so a
    candidate that rejects more of them is worse. A rejection is no evidence against the engine's health."""
    BROKEN = "broken"
    """The stream was cut short, spliced, or malformed while the engine stayed reachable."""
    TIMED_OUT = "timed_out"
    """The first or the next piece of the answer did not arrive within the route's limits."""
    ENGINE_LOST = "engine_lost"
    """Connection refused, reset or unresponsive: a fault of that engine, not of its version."""
    CALLER_GONE = "caller_gone"
    """The client disconnected, which is no evidence about the engine."""


BAD_ENDINGS = frozenset({Ending.ERROR_STATUS, Ending.REJECTED, Ending.BROKEN, Ending.TIMED_OUT})


class PromptOutcome(msgspec.Struct, frozen=True):
    """One dispatched prompt's measurements. Times in seconds; ``None`` where not reached.

    ``expected_hit``: share of the prompt that this node's index expected in the engine's cache, 0..1.
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
    """One candidate prompt under way, with the stable first-token times that it is compared with.

    ``references``: those times in seconds, chosen at dispatch. ``overdue_after_s``: age without a first
    token, in seconds, at which the prompt exceeds the limit against all references, so the node can record
    that before the prompt ends. ``recorded``: whether the comparison, which is made once, is in the evidence.
    """

    service: ServiceName
    route: RouteName
    references: tuple[float, ...]
    overdue_after_s: float
    recorded: bool = False


class VersionChooser(Protocol):
    """Interface of the version filter to the router. Calls are synchronous and take microseconds."""

    def choose(
        self, service: ServiceName, prefix_key: int, now: float, route: RouteName | None = None
    ) -> VersionChoice:
        """Decide which versions may serve a prompt whose prefix hashes to ``prefix_key`` (64 bits).

        ``route``: lets a short rollout give low-traffic routes enough candidate prompts to be judged.

        Counts the prompt in the service's total. Never returns an empty tuple for a known service.
        """
        ...

    def return_credit(self, service: ServiceName, version: VersionName, now: float) -> None:
        """Return the credit of a chosen candidate prompt that was never dispatched (no byte was sent)."""
        ...

    def recheck(self, service: ServiceName, version: VersionName, now: float) -> bool:
        """Return at dispatch whether prompts may still be sent to ``version`` (lease and abort)."""
        ...

    def watch(
        self, service: ServiceName, route: RouteName, prompt_bytes: int, expected_hit: float, now: float
    ) -> FirstTokenWatch | None:
        """Start watching a candidate prompt at its dispatch; ``None`` if there is nothing to compare with."""
        ...

    def overdue(self, watch: FirstTokenWatch, now: float) -> None:
        """Record that no first token arrived within the watch's ``overdue_after_s``."""
        ...

    def observe(self, outcome: PromptOutcome, now: float, watch: FirstTokenWatch | None = None) -> None:
        """Record one prompt's outcome as evidence; ``watch`` is what :meth:`watch` returned for it."""
        ...
