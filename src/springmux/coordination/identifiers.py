"""Identifiers used in coordination, as distinct types for the type checker."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of a node from its settings; unique in the fleet."""

ReplicaId = NewType("ReplicaId", str)
"""Identity of a replica of the control log; stored in its data folder, and never reused after a wipe."""

GroupId = NewType("GroupId", str)
"""Identity of one replicated log, set when its group is founded."""

ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)

Term = NewType("Term", int)
"""Election term (Ongaro and Ousterhout 2014, section 5.1)."""

LogIndex = NewType("LogIndex", int)
"""Position in the replicated log; the first entry has index 1."""

Revision = NewType("Revision", int)
"""Log index of the newest command that a copy of the control state includes."""

Address = NewType("Address", str)
"""``host:port`` with an IP address as host."""
