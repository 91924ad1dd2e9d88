"""Rendezvous (highest random weight) hashing: assignment of keys to members, with few moves on changes.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T", bound=str)


def rendezvous_score(key: str, member: str) -> int:
    """Return the 64-bit weight of ``member`` for ``key``; the member of highest weight holds the key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def ranked_members(key: str, members: Iterable[T]) -> list[T]:
    """Return ``members`` in order of preference as holders of ``key``; ties are broken by name."""
    return sorted(members, key=lambda member: (-rendezvous_score(key, member), member))


def first_holders(key: str, members: Iterable[T], count: int) -> list[T]:
    """Return the first ``count`` holders of ``key``, or all members if there are fewer."""
    return ranked_members(key, members)[:count]


def spread_holders(key: str, members: Iterable[T], count: int, zone_of: Callable[[T], str]) -> list[T]:
    """Return ``count`` holders of ``key``, first from distinct zones, then from any if zones don't suffice.

    :param zone_of: returns the failure domain of a member.
    """
    ranked = ranked_members(key, members)
    chosen: list[T] = []
    zones: set[str] = set()
    for member in ranked:
        if len(chosen) < count and zone_of(member) not in zones:
            chosen.append(member)
            zones.add(zone_of(member))
    for member in ranked:
        if len(chosen) < count and member not in chosen:
            chosen.append(member)
    return chosen
