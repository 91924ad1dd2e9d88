"""Server-sent events of a resumable stream: only complete events are forwarded, each of them once.

An engine may fail within an event. Since only complete events are forwarded, another engine can continue
after the last one (``Last-Event-ID``, WHATWG HTML, section 9.2).

Ids that are numbers rise by any step: an event may hold several tokens, and its id counts them. Nothing of an
engine's run is lost on the way, so that a run has no gaps. Where another engine continues, two things are
checked. An engine that continues after the last event may not skip one: its first step is at most the largest
one of the stream so far. In the run of an engine that starts over, an event must end where the last forwarded
one does, or the next one would repeat a part of it.
"""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
"""Largest accepted event, far above any valid one."""


class MalformedStreamError(Exception):
    """The stream is malformed: an engine doesn't continue where another ended, or an event does not end."""

    @classmethod
    def unterminated_event(cls) -> MalformedStreamError:
        """Return the error for an event longer than :data:`MAX_EVENT_BYTES`."""
        return cls("event has no end within the size limit")

    @classmethod
    def gap(cls, number: int, last_number: int) -> MalformedStreamError:
        """Return the error for a run that begins with ``number`` after ``last_number`` was forwarded."""
        return cls(f"events are missing between event {last_number} and event {number}")

    @classmethod
    def overlap(cls, number: int, previous: int, last_number: int) -> MalformedStreamError:
        """Return the error for event ``number`` of a run in which it follows ``previous``."""
        return cls(f"event {number} follows event {previous}, but event {last_number} was forwarded")


class EventStream:
    """Splits the bytes of one response, sent by one or more engines, into complete new events.

    Call :meth:`begin_run` before the bytes of each engine.
    """

    def __init__(self, last_event_id: bytes | None = None) -> None:
        """Start after ``last_event_id``, the last event that the client has from an earlier response."""
        self.last_event_id = last_event_id
        self.events = 0
        """Number of events forwarded."""
        self._pending = b""
        self._last_number = _parse_number(last_event_id)
        self._previous_of_run: int | None = None
        self._first_step = 0
        """Id of the stream's first event, which counts as a step while no other one is known."""
        self._largest_step = 0

    @property
    def at_event_end(self) -> bool:
        """Whether no part of a further event has arrived."""
        return not self._pending.strip()

    def begin_run(self) -> None:
        """Start over with the bytes of another engine, which continues after :attr:`last_event_id`."""
        self._previous_of_run = None

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, without those already forwarded.

        :raises MalformedStreamError: if an engine doesn't continue where another ended, or an event does not
            end.
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
        previous, self._previous_of_run = self._previous_of_run, number
        if number is not None and self._last_number is not None:
            if number <= self._last_number:
                return False
            self._check_step(number, previous, self._last_number)
        elif number is not None:
            self._first_step = number
        self.last_event_id = identity
        self._last_number = number
        self.events += 1
        return True

    def _check_step(self, number: int, previous: int | None, last_number: int) -> None:
        """Check that a new event directly follows the last forwarded one.

        :param previous: number of the event before it in the same run, or ``None`` if it is the first one.
        """
        step = number - last_number
        if previous is None:
            largest = self._largest_step or self._first_step
            if largest and step > largest:
                raise MalformedStreamError.gap(number, last_number)
        elif previous != last_number:
            raise MalformedStreamError.overlap(number, previous, last_number)
        self._largest_step = max(self._largest_step, step)


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
