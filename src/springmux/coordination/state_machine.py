"""The interface of every state machine: it handles events at a given time and returns effects.

The driver (the daemon's event loop, or the simulation) calls ``handle`` with one event and the current
monotonic time in seconds, and executes the returned effects in order. A state machine never sleeps, reads a
clock or does I/O; its randomness comes from a seeded :class:`random.Random` passed to its constructor.
"""

from __future__ import annotations

import enum
import functools
from typing import Any, Protocol

import msgspec

from springmux.coordination.identifiers import NodeId

NEVER = float("inf")
"""Deadline of a state machine that isn't waiting for any time."""


class Event(msgspec.Struct, frozen=True):
    """Base of the events that a state machine handles."""


class Effect(msgspec.Struct, frozen=True):
    """Base of the actions that a state machine requests from its driver."""


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Base of every message between nodes.

    Each subclass declares its wire tag (``tag="..."``), which is unique in the fleet and never changes, even
    if the class is renamed. Fields may be added at the end with a default; receivers ignore unknown ones.
    """


_NAMES_OF_SHORT_TAGS = {"use": "UsageReport", "sum": "UsageTotals", "zone-sum": "ZoneTotals"}


@functools.cache
def message_name(message: type[PeerMessage]) -> str:
    """Return the name of a message type in metrics and logs: its tag, or a full name for a short tag."""
    tag = str(message.__struct_config__.tag)
    return _NAMES_OF_SHORT_TAGS.get(tag, tag)


class Tick(Event, frozen=True):
    """The time of the state machine's ``next_deadline`` has been reached."""


class MessageReceived(Event, frozen=True):
    """A peer's message arrived. ``sender`` is the authenticated node of the connection."""

    sender: NodeId
    message: PeerMessage


class Send(Effect, frozen=True):
    """Send a message to a node; the message may be lost, delayed or reordered."""

    to: NodeId
    message: PeerMessage


class LogLevel(enum.StrEnum):
    """Severity of a :class:`LogLine`."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogLine(Effect, frozen=True):
    """Write one structured log line.

    ``name`` is stable. ``fields`` must never contain a key or the text of a prompt.
    """

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
