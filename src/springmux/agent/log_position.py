"""Position of a node in the control log, sent in the envelope of every peer message."""

from __future__ import annotations

import msgspec

from springmux.coordination.identifiers import NodeId, Revision, Term


class LogPosition(msgspec.Struct, frozen=True):
    """Newest known term, its leader (``None`` if unknown), and the revision of the control state."""

    term: Term
    leader: NodeId | None
    revision: Revision
