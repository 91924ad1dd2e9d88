"""Server-sent events of a resumable stream: whole events only, and no event twice.

An engine may break off inside an event. What is passed on is cut at the ends of events, so that another
engine can go on after the last one (the ``Last-Event-ID`` of the HTML standard, section 9.2).
"""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
"""Far above any event; a longer one is a fault of the engine."""


class MalformedStreamError(Exception):
    """The stream breaks the format: ids that don't rise, or an endless event."""


class EventStream:
    """Splits the bytes of one answer, over several engines, into whole new events."""

    def __init__(self, last_event_id: bytes | None = None) -> None:
        """:param last_event_id: the last event that the caller has from an earlier answer, if any."""
        self.last_event_id = last_event_id
        self.events = 0
        """Events passed on."""
        self._pending = b""
        self._last_number = _number(last_event_id)

    @property
    def at_event_end(self) -> bool:
        """Whether nothing of a further event has come."""
        return not self._pending.strip()

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes, without those that were passed on before.

        :raises MalformedStreamError: if an event skips ids or doesn't end.
        """
        pending = self._pending + data
        end = _end_of_events(pending)
        self._pending = pending[end:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise MalformedStreamError("an event does not end")
        if end == 0:
            return b""
        return b"".join(event for event in _split(pending[:end]) if self._is_new(event))

    def break_off(self) -> None:
        """Drop the unfinished event: its engine is gone, and another one begins it anew."""
        self._pending = b""

    def _is_new(self, event: bytes) -> bool:
        identity = _id_of(event)
        if identity is None:
            return True
        number = _number(identity)
        if number is not None and self._last_number is not None:
            if number <= self._last_number:
                return False
            if number > self._last_number + 1:
                raise MalformedStreamError(f"event {number} follows {self._last_number}")
        self.last_event_id = identity
        self._last_number = number
        self.events += 1
        return True


def _end_of_events(data: bytes) -> int:
    """Return the length of the whole events at the start of ``data`` (an event ends with an empty line)."""
    end = data.rfind(b"\n\n")
    other = data.rfind(b"\r\n\r\n")
    ends = [end + 2 if end >= 0 else 0, other + 4 if other >= 0 else 0]
    return max(ends)


def _split(data: bytes) -> list[bytes]:
    """Split whole events; further empty lines stay with the event after them."""
    separator = b"\r\n\r\n" if b"\r\n\r\n" in data else b"\n\n"
    events: list[bytes] = []
    blank = b""
    for piece in data.split(separator)[:-1]:
        if piece.strip():
            events.append(blank + piece + separator)
            blank = b""
        else:
            blank += piece + separator
    return [*events, blank] if blank else events


def _id_of(event: bytes) -> bytes | None:
    for line in event.splitlines():
        name, separator, value = line.partition(b":")
        if separator and name == b"id":
            return value.strip()
    return None


def _number(identity: bytes | None) -> int | None:
    return int(identity) if identity is not None and identity.isdigit() else None
