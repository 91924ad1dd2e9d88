"""Streams: whatever an engine or the network does, the client gets its own chunks in order, or an error."""

from __future__ import annotations

import itertools
import json
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springmux.control.view import AdmissionLimits
from springmux.coordination.state_machine import Event, Tick
from springmux.router import effects as out
from springmux.router import events as ev
from springmux.router.events import UpstreamCause
from support.playbook import DONE, Playbook, Scene, piece, whole_stream

VALID_STREAM = whole_stream("r1", 5)
NO_RETRY = AdmissionLimits(retry_floor=0, retry_share=0.0)
PROPERTY = settings(derandomize=True, deadline=None, max_examples=150)


def open_stream(limits: AdmissionLimits = NO_RETRY) -> Scene:
    scene = Playbook(limits=limits).open()
    scene.head()
    return scene


def play_stream(stream: bytes, cuts: list[int]) -> Scene:
    """Feed the stream, split at ``cuts``, then the proper end of the response."""
    scene = open_stream()
    edges = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    for start, stop in itertools.pairwise(edges):
        if start < stop:
            scene.data(stream[start:stop])
    scene.end()
    return scene


def forwarded_sequence(scene: Scene) -> list[int]:
    events = [event for event in scene.body.split(b"\n\n") if event.startswith(b"data: {")]
    return [json.loads(event[6:])["seq"] for event in events]


@PROPERTY
@given(st.lists(st.integers(0, 4000), max_size=40), st.booleans())
def test_client_gets_the_same_bytes_however_the_stream_is_split(cuts: list[int], crlf: bool) -> None:
    stream = VALID_STREAM.replace(b"\n\n", b"\r\n\r\n") if crlf else VALID_STREAM
    scene = play_stream(stream, cuts)

    assert scene.body == stream
    assert scene.whole
    assert scene.all(out.CloseUpstream) == [out.CloseUpstream(1, reusable=True)]


@PROPERTY
@given(st.data())
def test_damaged_stream_is_never_complete(data: st.DataObject) -> None:
    pieces = [piece("r1", seq, seq == 4) for seq in range(5)]
    kind = data.draw(
        st.sampled_from(["truncated", "dropped", "doubled", "swapped", "crossed", "early", "after"])
    )
    at = data.draw(st.integers(0, 3))
    if kind == "truncated":
        stream = VALID_STREAM[: data.draw(st.integers(0, len(VALID_STREAM) - 2))]
    else:
        if kind == "dropped":
            del pieces[at]
        elif kind == "doubled":
            pieces.insert(at, pieces[at])
        elif kind == "swapped":
            pieces[at], pieces[at + 1] = pieces[at + 1], pieces[at]
        elif kind == "crossed":
            pieces[at:] = [piece("r2", seq, seq == 4) for seq in range(at, 5)]
        elif kind == "early":
            del pieces[at + 1 :]
        else:
            pieces.append(piece("r1", 5))
        stream = b"".join(pieces) + DONE
    cuts = data.draw(st.lists(st.integers(0, 4000), max_size=10))
    if data.draw(st.booleans()):
        # Engines usually send one event at a time.
        cuts = [match.end() for match in re.finditer(b"\n\n", stream)]
    scene = play_stream(stream, cuts)

    assert not scene.whole
    assert b"[DONE]" not in scene.body
    assert forwarded_sequence(scene) == list(range(len(forwarded_sequence(scene))))
    assert b'"r2"' not in scene.body
    assert scene.over
    assert scene.all(out.ResponseError) or b"event: error" in scene.body
    assert not any(close.reusable for close in scene.all(out.CloseUpstream))


@pytest.mark.parametrize(
    "first",
    [b"data: {]\n\n", b"data: {}\n\n", b"hello\n\n", b'event: error\ndata: {"error":1}\n\n', DONE,
     piece("r1", 1), piece("r9", 0), b"data: \xff\n\n", b"x" * 300_000],
)  # fmt: skip
def test_no_byte_is_forwarded_before_the_first_valid_chunk(first: bytes) -> None:
    scene = open_stream(AdmissionLimits())
    scene.data(first)
    assert not scene.all(out.ResponseHead)
    assert len(scene.all(out.Dispatch)) == 2

    scene.head()
    scene.data(VALID_STREAM)

    assert scene.body == VALID_STREAM
    assert scene.whole


def test_events_of_an_earlier_attempt_are_ignored_after_a_retry() -> None:
    scene = open_stream(AdmissionLimits())
    scene.data(b"data: {}\n\n")
    scene.give(ev.UpstreamData(1, piece("r1", 0)))
    scene.give(ev.UpstreamFailed(1, UpstreamCause.RESET, True))

    assert not scene.all(out.ResponseHead)
    assert not scene.over
    scene.head()
    scene.data(piece("r1", 0))
    scene.give(ev.UpstreamData(1, piece("r1", 1)))
    assert scene.body == piece("r1", 0)


def test_stream_may_mix_both_line_endings() -> None:
    scene = open_stream()
    mixed = piece("r1", 0).replace(b"\n", b"\r\n") + piece("r1", 1)
    scene.data(mixed)

    assert scene.body == mixed


def test_several_chunks_read_together_are_forwarded_unchanged_in_one_effect() -> None:
    scene = open_stream()
    together = piece("r1", 0) + piece("r1", 1)
    effects = scene.data(together + b"data: {")

    assert [effect for effect in effects if isinstance(effect, out.ResponseData)] == [
        out.ResponseData(together)
    ]


def test_comments_of_a_stream_are_dropped() -> None:
    scene = open_stream()
    scene.data(b": still here\n\n" + VALID_STREAM)

    assert scene.body == VALID_STREAM


@pytest.mark.parametrize("trailing_bytes", [piece("r2", 0), b"dat"])
def test_bytes_after_the_end_are_dropped_and_the_connection_is_closed(trailing_bytes: bytes) -> None:
    scene = open_stream()
    scene.data(VALID_STREAM + trailing_bytes)

    assert scene.body == VALID_STREAM
    assert scene.all(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert scene.over


def test_connection_without_a_proper_end_after_the_stream_is_closed() -> None:
    scene = open_stream()
    scene.data(VALID_STREAM)
    assert scene.whole
    assert not scene.over
    scene.tick()

    assert scene.all(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert scene.over


@pytest.mark.parametrize(
    "late_event",
    [ev.UpstreamData(1, b"more"), ev.UpstreamFailed(1, UpstreamCause.RESET, True), ev.ClientDisconnected()],
)
def test_any_event_but_the_proper_end_after_the_stream_closes_the_connection(late_event: Event) -> None:
    scene = open_stream()
    scene.data(VALID_STREAM)
    scene.give(late_event)

    assert scene.all(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert scene.body == VALID_STREAM
    assert scene.over


def test_stalled_stream_ends_with_an_error_event() -> None:
    scene = open_stream()
    scene.data(piece("r1", 0))
    scene.data(piece("r1", 1), after=4.9)
    scene.tick()

    assert scene.playbook.now == pytest.approx(109.9)
    assert b"engine_broke_off" in scene.body
    assert scene.all(out.ResponseAborted)
    assert not scene.all(out.ResponseEnd)


def test_slow_client_does_not_time_out_the_engine() -> None:
    scene = open_stream()
    scene.data(piece("r1", 0))
    scene.give(ev.ClientBlocked(), after=1.0)
    assert scene.flow.next_deadline() == pytest.approx(130.0)

    scene.give(ev.ClientReady(), after=20.0)
    assert scene.flow.next_deadline() == pytest.approx(126.0)
    scene.data(piece("r1", 1, last=True) + DONE)

    assert scene.whole
    (outcome,) = scene.playbook.chooser.outcomes
    assert (outcome.ending, outcome.first_token_s, outcome.token_gap_s) == ("whole", None, None)


@pytest.mark.parametrize("ready_again", [False, True])
def test_deadline_used_up_by_a_slow_client_is_no_evidence_against_the_engine(ready_again: bool) -> None:
    scene = open_stream()
    scene.data(piece("r1", 0))
    scene.give(ev.ClientBlocked())
    if ready_again:
        scene.give(ev.ClientReady(), after=28.0)
    scene.tick()

    assert b"deadline_exceeded" in scene.body
    assert scene.playbook.chooser.endings() == ["caller_gone"]


def test_engine_that_stalls_after_its_client_reads_again_times_out() -> None:
    scene = open_stream()
    scene.data(piece("r1", 0))
    scene.give(ev.ClientBlocked())
    scene.give(ev.ClientReady(), after=9.0)
    scene.tick()

    assert scene.playbook.now == pytest.approx(114.0)
    assert scene.playbook.chooser.endings() == ["timed_out"]


@pytest.mark.parametrize("first_chunk_read", [False, True])
def test_resumed_node_reads_the_buffered_bytes_before_it_times_out_the_engine(first_chunk_read: bool) -> None:
    scene = open_stream()
    if first_chunk_read:
        scene.data(piece("r1", 0))
    assert scene.give(Tick(), after=20.0) == []

    scene.data(whole_stream("r1", 2)[len(piece("r1", 0)) if first_chunk_read else 0 :])

    assert scene.whole
    assert scene.playbook.chooser.outcomes[0].first_token_s is None


def test_resumed_node_ends_a_stream_that_stays_silent() -> None:
    scene = open_stream()
    scene.data(piece("r1", 0))
    scene.give(Tick(), after=20.0)
    scene.tick()

    assert scene.playbook.now == pytest.approx(125.0)
    assert b"engine_broke_off" in scene.body


def test_deadline_passed_while_the_node_was_paused_is_no_evidence_against_the_engine() -> None:
    scene = open_stream()
    scene.give(Tick(), after=60.0)

    assert scene.error.code == "deadline_exceeded"
    assert scene.playbook.chooser.endings() == ["caller_gone"]


@pytest.mark.parametrize("tokens", [-5, 1 << 40, 10**400])
def test_chunk_with_an_impossible_token_count_is_malformed(tokens: int) -> None:
    scene = open_stream()
    usage = json.dumps({"prompt_tokens": 1, "completion_tokens": tokens})
    scene.data(piece("r1", 0)[:-3] + b', "usage": ' + usage.encode() + b"}\n\n")

    assert scene.error.code == "engine_protocol"
    assert scene.playbook.quota.settled == [(67.0, 0.0)]


def test_response_to_a_stream_request_must_be_a_stream() -> None:
    scene = Playbook(limits=NO_RETRY).open()
    scene.head(content_type="application/json")

    assert scene.error.code == "engine_protocol"


def test_first_token_time_and_token_gap_are_measured() -> None:
    scene = open_stream()
    scene.data(piece("r1", 0), after=0.5)
    scene.data(piece("r1", 1), after=0.2)
    scene.data(piece("r1", 2, last=True) + DONE, after=0.4)

    (outcome,) = scene.playbook.chooser.outcomes
    assert (outcome.ending, outcome.tokens) == ("whole", 3)
    assert outcome.first_token_s == pytest.approx(0.5)
    assert outcome.token_gap_s == pytest.approx(0.3)
