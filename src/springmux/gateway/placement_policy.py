"""Parameters of the engine choice, which simulations may vary; nodes use the defaults."""

from __future__ import annotations

import msgspec


class PlacementPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How a node chooses engines.

    ``hash_long_prefixes``: whether long shared prefixes are routed by hash. ``fallbacks``: number of further
    engines to which such a prefix may go. ``bound_factor``, ``bound_capacity_share``: an engine keeps its
    prefixes until it has this multiple of the mean number of requests, plus this share of its capacity; if
    all engines are full, moving prefixes only evicts others from the caches (docs/notes/routing.md).
    ``choices``: number of engines of which the best is chosen. ``hashed_engines``, ``random_draws``: for a
    short prompt with a shared part, number of engines chosen by hash, and of those drawn at random beside
    them. ``low_load``: load (fraction of capacity) of a plain service below which this node's zone breaks
    ties; above it, the zone's engines could be overloaded without this node's knowledge. ``use_other_loads``:
    whether other nodes' reported loads count.
    """

    hash_long_prefixes: bool = True
    fallbacks: int = 2
    bound_factor: float = 1.5
    bound_capacity_share: float = 0.25
    choices: int = 2
    low_load: float = 0.25
    use_other_loads: bool = True
    hashed_engines: int = 2
    random_draws: int = 1


DEFAULT_POLICY = PlacementPolicy()
