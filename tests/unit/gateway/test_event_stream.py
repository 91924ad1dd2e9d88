"""Whole events only, and none twice, over several engines."""

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
def test_any_cut_gives_the_same_events(cuts: list[int]) -> None:
    """Given a stream cut anywhere, its events come out whole and in order."""
    stream = EventStream()
    places = [0, *sorted(cuts), len(ALL)]
    out = b"".join(stream.feed(ALL[start:end]) for start, end in pairwise(places))
    assert out == ALL
    assert stream.last_event_id == b"8"
    assert stream.at_event_end


@settings(derandomize=True)
@given(st.integers(0, len(ALL) - 1), st.booleans())
def test_a_stream_is_taken_up_after_its_last_whole_event(cut: int, from_the_start: bool) -> None:
    """Given an engine that breaks off anywhere, another one goes on, or begins anew, and nothing doubles."""
    stream = EventStream()
    out = stream.feed(ALL[:cut])
    stream.discard_incomplete_event()
    reached = int(stream.last_event_id or b"0")
    first = 1 if from_the_start else reached + 1
    out += stream.feed(b"".join(_event(number) for number in range(first, 9)))
    assert out == ALL


def test_a_gap_is_a_fault() -> None:
    """Given an event that skips ids, the stream is not passed on as if it were whole."""
    stream = EventStream()
    stream.feed(_event(1))
    with pytest.raises(MalformedStreamError):
        stream.feed(_event(3))


def test_a_clients_own_last_event_id_is_where_the_stream_begins() -> None:
    """Given a client that has events already, an engine's repetition of them is left out."""
    stream = EventStream(b"2")
    assert stream.feed(_event(2) + _event(3)) == _event(3)


def test_version_lines_and_windows_line_ends_are_kept() -> None:
    """Given an event with a first line of its own or other line ends, its bytes are unchanged."""
    first = b"weight-versions: 3\nid: 1\ndata: x\n\n"
    assert EventStream().feed(first) == first
    other = b"id: 1\r\ndata: x\r\n\r\n"
    assert EventStream().feed(other) == other


def test_an_unfinished_event_shows() -> None:
    """Given an end inside an event, the stream says so."""
    stream = EventStream()
    assert stream.feed(_event(1) + b"id: 2\nda") == _event(1)
    assert not stream.at_event_end
