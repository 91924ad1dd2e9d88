"""The settings of engine choice that a model or an ablation may change; the defaults are what nodes use."""

from __future__ import annotations

import msgspec


class PlacementPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How a node chooses engines.

    ``by_prefix``: long shared prefixes have engines of their own. ``fallbacks``: engines beyond those that it
    may go to. ``bound_factor``, ``bound_capacity_share``: an engine keeps its prefixes until it has this many
    times the mean of all nodes' requests on an engine, and this part of its places besides; where all are
    full, moving only drives other prefixes out of the caches (docs/notes/routing.md has the trials).
    ``choices``: engines of which the better one is taken.
    ``short_homes``, ``draws_beside_homes``: for a short prompt with a shared part, engines that keep it, and
    engines drawn at random beside them. ``calm_load``: load of a plain service below which the own zone
    decides between equals; above it every node's leaning to its zone could overload its engines unseen.
    ``others_count``: other nodes' loads, as reported, count.
    """

    by_prefix: bool = True
    fallbacks: int = 2
    bound_factor: float = 1.5
    bound_capacity_share: float = 0.25
    choices: int = 2
    calm_load: float = 0.25
    others_count: bool = True
    short_homes: int = 2
    draws_beside_homes: int = 1


DEFAULT_POLICY = PlacementPolicy()
