"""The nodes that load clients send requests to."""

from __future__ import annotations

import msgspec


class TargetNode(msgspec.Struct, frozen=True, kw_only=True):
    """One node as clients see it: its zone and its listeners."""

    node: str
    zone: str
    client_address: str
    admin_address: str
