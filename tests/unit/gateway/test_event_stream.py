"""Only complete events are forwarded, each of them once, also over several engines."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.gateway.event_stream import EventStream, MalformedStreamError


def _event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


ALL = b"".join(_event(number) for number in range(1, 9))


@settings(derandomize=True)
@given(st.lists(st.integers(0, len(ALL)), max_size=8))
def test_any_split_of_the_bytes_gives_the_same_events(positions: list[int]) -> None:
    """Given a stream split at any positions, its events are returned complete and in order."""
    stream = EventStream()
    boundaries = [0, *sorted(positions), len(ALL)]
    output = b"".join(stream.feed(ALL[start:end]) for start, end in pairwise(boundaries))
    assert output == ALL
    assert stream.last_event_id == b"8"
    assert stream.at_event_end


@settings(derandomize=True)
@given(st.integers(0, len(ALL) - 1), st.booleans())
def test_another_engine_continues_after_the_last_complete_event(position: int, restarts: bool) -> None:
    """Given an engine that fails at any position, another one continues or restarts, without duplicates."""
    stream = EventStream()
    output = stream.feed(ALL[:position])
    stream.discard_incomplete_event()
    last_number = int(stream.last_event_id or b"0")
    first = 1 if restarts else last_number + 1
    output += stream.feed(b"".join(_event(number) for number in range(first, 9)))
    assert output == ALL


def test_a_skipped_event_id_is_an_error() -> None:
    """Given an event that skips ids, the stream is not forwarded as if it were complete."""
    stream = EventStream()
    stream.feed(_event(1))
    with pytest.raises(MalformedStreamError):
        stream.feed(_event(3))


def test_a_stream_starts_after_the_clients_last_event_id() -> None:
    """Given a client that already has events, an engine's repetition of them is not forwarded."""
    stream = EventStream(b"2")
    assert stream.feed(_event(2) + _event(3)) == _event(3)


def test_extra_fields_and_crlf_line_ends_are_preserved() -> None:
    """Given an event with an additional field or CRLF line ends, its bytes are unchanged."""
    first = b"weight-versions: 3\nid: 1\ndata: x\n\n"
    assert EventStream().feed(first) == first
    other = b"id: 1\r\ndata: x\r\n\r\n"
    assert EventStream().feed(other) == other


def test_an_incomplete_event_is_not_forwarded_and_is_reported() -> None:
    """Given a stream that ends within an event, ``at_event_end`` is false."""
    stream = EventStream()
    assert stream.feed(_event(1) + b"id: 2\nda") == _event(1)
    assert not stream.at_event_end
