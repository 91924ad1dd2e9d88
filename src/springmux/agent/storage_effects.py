"""Union of the effects that a node's storage executes, in the order in which the agent returns them."""

from __future__ import annotations

from springmux.agent.effects import WriteSnapshot
from springmux.coordination.claims.events import PersistClaims
from springmux.coordination.consensus.effects import CompactLog, InstallSnapshot, Persist
from springmux.coordination.membership.remembered import RememberPeers

StorageEffect = Persist | WriteSnapshot | InstallSnapshot | CompactLog | PersistClaims | RememberPeers
