"""Only complete events are forwarded, each of them once, also over several engines."""

from __future__ import annotations

from itertools import accumulate, pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.gateway.event_stream import EventStream, MalformedStreamError


def _event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


ALL = b"".join(_event(number) for number in range(1, 9))
STEPS = st.lists(st.integers(1, 40), min_size=1, max_size=8)


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
@given(st.integers(1, 40), st.integers(1, 8), st.data(), st.booleans())
def test_another_engine_continues_after_the_last_complete_event(
    step: int, count: int, data: st.DataObject, restarts: bool
) -> None:
    """Given engines that fail at any position, others continue or restart, without gaps or duplicates."""
    numbers = [step * (index + 1) for index in range(count)]
    whole = b"".join(_event(number) for number in numbers)
    stream = EventStream()
    output = b""
    for _ in range(data.draw(st.integers(1, 3))):
        last_number = int(stream.last_event_id or b"0")
        run = whole if restarts else b"".join(_event(n) for n in numbers if n > last_number)
        stream.begin_run()
        output += stream.feed(run[: data.draw(st.integers(0, len(run)))])
        stream.discard_incomplete_event()
    last_number = int(stream.last_event_id or b"0")
    stream.begin_run()
    output += stream.feed(b"".join(_event(n) for n in numbers if restarts or n > last_number))
    assert output == whole


@settings(derandomize=True)
@given(STEPS, st.data(), st.booleans())
def test_uneven_steps_give_no_gaps_and_no_duplicates(
    steps: list[int], data: st.DataObject, restarts: bool
) -> None:
    """Given uneven steps, an engine that continues may be refused, but what is forwarded is in order."""
    numbers = list(accumulate(steps))
    whole = b"".join(_event(number) for number in numbers)
    stream = EventStream()
    stream.begin_run()
    output = stream.feed(whole[: data.draw(st.integers(0, len(whole)))])
    stream.discard_incomplete_event()
    last_number = int(stream.last_event_id or b"0")
    stream.begin_run()
    try:
        output += stream.feed(b"".join(_event(n) for n in numbers if restarts or n > last_number))
    except MalformedStreamError:
        assert not restarts
        assert whole.startswith(output)
    else:
        assert output == whole


@pytest.mark.parametrize("step", [1, 6, 40])
@pytest.mark.parametrize("forwarded", [1, 3])
def test_an_engine_that_continues_after_a_gap_is_an_error(step: int, forwarded: int) -> None:
    """Given events of even steps, an engine that skips one is not taken for one that continues."""
    stream = EventStream()
    stream.begin_run()
    for number in range(1, forwarded + 1):
        stream.feed(_event(number * step))
    stream.begin_run()
    with pytest.raises(MalformedStreamError):
        stream.feed(_event((forwarded + 2) * step))


@pytest.mark.parametrize("step", [1, 6, 40])
def test_ids_may_rise_by_any_step(step: int) -> None:
    """Guards against a sound engine that is cut off because its ids count tokens, several an event."""
    stream = EventStream()
    events = [_event(number) for number in range(step, 9 * step, step)]
    stream.begin_run()
    assert [stream.feed(event) for event in events] == events


def test_an_engine_that_starts_over_with_other_events_is_an_error() -> None:
    """Given events that end elsewhere, the first new one would repeat a part of the last forwarded one."""
    stream = EventStream()
    stream.begin_run()
    stream.feed(_event(6) + _event(12))
    stream.begin_run()
    with pytest.raises(MalformedStreamError):
        stream.feed(_event(5) + _event(10) + _event(15))


def test_an_engine_that_starts_over_may_use_other_steps_if_an_event_ends_at_the_last_one() -> None:
    stream = EventStream()
    stream.begin_run()
    stream.feed(_event(6) + _event(12))
    stream.begin_run()
    assert stream.feed(_event(4) + _event(8) + _event(12) + _event(16)) == _event(16)


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
