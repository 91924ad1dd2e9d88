"""Server-sent events of a resumable stream: only complete events are forwarded, each of them once.

An engine may fail within an event. Since only complete events are forwarded, another engine can continue
after the last one (``Last-Event-ID``, WHATWG HTML, section 9.2).
"""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
"""Largest accepted event, far above any valid one."""


class MalformedStreamError(Exception):
    """The stream is malformed: an event id was skipped, or an event does not end."""

    @classmethod
    def unterminated_event(cls) -> MalformedStreamError:
        """Return the error for an event longer than :data:`MAX_EVENT_BYTES`."""
        return cls("event has no end within the size limit")

    @classmethod
    def skipped_ids(cls, number: int, last_number: int) -> MalformedStreamError:
        """Return the error for event ``number`` directly after ``last_number``."""
        return cls(f"event {number} directly follows event {last_number}")


class EventStream:
    """Splits the bytes of one response, sent by one or more engines, into complete new events."""

    def __init__(self, last_event_id: bytes | None = None) -> None:
        """Start after ``last_event_id``, the last event that the client has from an earlier response."""
        self.last_event_id = last_event_id
        self.events = 0
        """Number of events forwarded."""
        self._pending = b""
        self._last_number = _parse_number(last_event_id)

    @property
    def at_event_end(self) -> bool:
        """Whether no part of a further event has arrived."""
        return not self._pending.strip()

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, without those already forwarded.

        :raises MalformedStreamError: if an event id was skipped or an event does not end.
        """
        pending = self._pending + data
        end = _end_of_events(pending)
        self._pending = pending[end:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise MalformedStreamError.unterminated_event()
        if end == 0:
            return b""
        return b"".join(event for event in _split(pending[:end]) if self._is_new(event))

    def discard_incomplete_event(self) -> None:
        """Drop the incomplete event; another engine sends it again from its start."""
        self._pending = b""

    def _is_new(self, event: bytes) -> bool:
        identity = _event_id(event)
        if identity is None:
            return True
        number = _parse_number(identity)
        if number is not None and self._last_number is not None:
            if number <= self._last_number:
                return False
            if number > self._last_number + 1:
                raise MalformedStreamError.skipped_ids(number, self._last_number)
        self.last_event_id = identity
        self._last_number = number
        self.events += 1
        return True


def _end_of_events(data: bytes) -> int:
    """Return the length of the complete events in ``data`` (an event ends with an empty line)."""
    end = data.rfind(b"\n\n")
    other = data.rfind(b"\r\n\r\n")
    ends = [end + 2 if end >= 0 else 0, other + 4 if other >= 0 else 0]
    return max(ends)


def _split(data: bytes) -> list[bytes]:
    """Split complete events; extra empty lines stay with the event that follows them."""
    separator = b"\r\n\r\n" if b"\r\n\r\n" in data else b"\n\n"
    events: list[bytes] = []
    blank = b""
    for chunk in data.split(separator)[:-1]:
        if chunk.strip():
            events.append(blank + chunk + separator)
            blank = b""
        else:
            blank += chunk + separator
    return [*events, blank] if blank else events


def _event_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        name, separator, value = line.partition(b":")
        if separator and name == b"id":
            return value.strip()
    return None


def _parse_number(identity: bytes | None) -> int | None:
    return int(identity) if identity is not None and identity.isdigit() else None
