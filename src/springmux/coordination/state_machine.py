"""The interface of every state machine: events in, effects out, time passed in.

The driver (the daemon's event loop, or the simulation) calls ``handle`` with one event and the present
monotonic time in seconds, and executes the returned effects in their order. A state machine never
sleeps, reads a clock, or does I/O; randomness comes from a seeded :class:`random.Random` that its
constructor gets.
"""

from __future__ import annotations

import enum
import functools
from typing import Any, Protocol

import msgspec

from springmux.coordination.identifiers import NodeId

NEVER = float("inf")
"""Deadline of a state machine that waits for nothing."""


class Event(msgspec.Struct, frozen=True):
    """Something that happened; subclasses carry its data."""


class Effect(msgspec.Struct, frozen=True):
    """Something that a state machine requests of its driver."""


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Base of every message between nodes.

    Each subclass states its wire tag (``tag="..."``), unique in the fleet; the tag never changes, whatever
    the class is called. Fields may be added at the end with a default; readers ignore unknown ones.
    """


_NAMES_OF_SHORT_TAGS = {"use": "UsageReport", "sum": "UsageTotals", "zone-sum": "ZoneTotals"}


@functools.cache
def message_name(message: type[PeerMessage]) -> str:
    """Return the name of a message type in metrics and logs: its tag, spelled out where that is short."""
    tag = str(message.__struct_config__.tag)
    return _NAMES_OF_SHORT_TAGS.get(tag, tag)


class Tick(Event, frozen=True):
    """The ``next_deadline`` of the state machine has come or passed."""


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
        """Handle one event at monotonic time ``now`` (seconds); return the effects to execute."""
        ...

    def next_deadline(self) -> float:
        """Return the monotonic time at which a :class:`Tick` is due, or :data:`NEVER`."""
        ...
