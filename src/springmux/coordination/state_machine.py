"""The contract that every coordination part keeps: events in, effects out, time handed in.

A *part* is a pure state machine. Its driver (the daemon's event loop, or the simulation) calls
``handle`` with one event and the present monotonic time in seconds, and carries out the effects
that come back, in their order. A part never sleeps, reads a clock, or does I/O; randomness is
handed to its constructor as a seeded :class:`random.Random`.
"""

from __future__ import annotations

import enum
from typing import Any, Protocol

import msgspec

from springmux.coordination.identifiers import NodeId

NEVER = float("inf")
"""Deadline of a part that waits for nothing."""


class Event(msgspec.Struct, frozen=True):
    """Something that happened, given to a part. Subclasses carry the facts."""


class Effect(msgspec.Struct, frozen=True):
    """Something that a part asks its driver to do."""


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Base of every message between nodes. The class name is the wire tag, so it is unique in the fleet.

    Fields may be added at the end with a default; readers ignore what they don't know.
    """


_NAMES_OF_SHORT_TAGS = {"use": "UsageReport", "sum": "UsageTotals", "zone-sum": "ZoneTotals"}


def message_name(message: type[PeerMessage]) -> str:
    """Return the name of a message type in metrics and logs: its tag, spelled out where that is short."""
    tag = str(message.__struct_config__.tag)
    return _NAMES_OF_SHORT_TAGS.get(tag, tag)


class Tick(Event, frozen=True):
    """The part's ``next_deadline`` has come (or passed)."""


class MessageReceived(Event, frozen=True):
    """A peer's message arrived. ``sender`` is the node that the connection was authenticated as."""

    sender: NodeId
    message: PeerMessage


class Send(Effect, frozen=True):
    """Send a message to a node; it may be lost, late, or arrive out of order."""

    to: NodeId
    message: PeerMessage


class LogLevel(enum.StrEnum):
    """Severity of a :class:`LogLine`."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogLine(Effect, frozen=True):
    """Write one structured log line. ``name`` is stable; never a key or a prompt's text in ``fields``."""

    name: str
    level: LogLevel = LogLevel.INFO
    fields: dict[str, Any] = {}


class StateMachine(Protocol):
    """A pure state machine that a driver runs."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event at monotonic time ``now`` (seconds) and return what is to be done."""
        ...

    def next_deadline(self) -> float:
        """Return the monotonic time at which the part wants a :class:`Tick`, or :data:`NEVER`."""
        ...
