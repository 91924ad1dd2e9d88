"""Parameters of the engine choice, which simulations may vary; nodes use the defaults."""

from __future__ import annotations

import msgspec


class PlacementPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How a node chooses engines.

    ``by_prefix``: long shared prefixes are routed by hash. ``fallbacks``: further engines that such a prefix
    may go to. ``bound_factor``, ``bound_capacity_share``: an engine keeps its prefixes until it has this many
    times the mean number of requests, plus this share of its capacity; where all engines are full, moving
    prefixes only evicts others from the caches (docs/notes/routing.md). ``choices``: engines of which the
    better one is taken. ``hashed_engines``, ``random_draws``: for a short prompt with a shared part, engines
    chosen by hash, and engines drawn at random beside them. ``low_load``: load of a plain service below which
    this node's zone breaks ties; above it the zone's engines could be overloaded unnoticed.
    ``others_count``: whether other nodes' reported loads count.
    """

    by_prefix: bool = True
    fallbacks: int = 2
    bound_factor: float = 1.5
    bound_capacity_share: float = 0.25
    choices: int = 2
    low_load: float = 0.25
    others_count: bool = True
    hashed_engines: int = 2
    random_draws: int = 1


DEFAULT_POLICY = PlacementPolicy()
