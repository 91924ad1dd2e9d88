"""Names of services, engines, tenants and requests as distinct types."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
VersionName = NewType("VersionName", str)
EngineId = NewType("EngineId", str)
RouteName = NewType("RouteName", str)
TenantName = NewType("TenantName", str)
KeyId = NewType("KeyId", str)
KeyDigest = NewType("KeyDigest", str)
"""Hex SHA-256 digest of a caller's key; the key itself is never stored."""
RequestId = NewType("RequestId", str)
OrderId = NewType("OrderId", str)
RolloutId = NewType("RolloutId", str)
