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
from support.playbook import DONE, DrivenFlow, Playbook, complete_stream, stream_chunk

VALID_STREAM = complete_stream("r1", 5)
NO_RETRY = AdmissionLimits(retry_floor=0, retry_share=0.0)
PROPERTY = settings(derandomize=True, deadline=None, max_examples=150)


def open_stream(limits: AdmissionLimits = NO_RETRY) -> DrivenFlow:
    flow = Playbook(limits=limits).open()
    flow.receive_head()
    return flow


def play_stream(stream: bytes, cuts: list[int]) -> DrivenFlow:
    """Feed the stream, split at ``cuts``, then the proper end of the response."""
    flow = open_stream()
    edges = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    for start, stop in itertools.pairwise(edges):
        if start < stop:
            flow.receive_data(stream[start:stop])
    flow.receive_end()
    return flow


def forwarded_sequence(flow: DrivenFlow) -> list[int]:
    events = [event for event in flow.body.split(b"\n\n") if event.startswith(b"data: {")]
    return [json.loads(event[6:])["seq"] for event in events]


@PROPERTY
@given(st.lists(st.integers(0, 4000), max_size=40), st.booleans())
def test_client_gets_the_same_bytes_however_the_stream_is_split(cuts: list[int], crlf: bool) -> None:
    stream = VALID_STREAM.replace(b"\n\n", b"\r\n\r\n") if crlf else VALID_STREAM
    flow = play_stream(stream, cuts)

    assert flow.body == stream
    assert flow.is_complete
    assert flow.effects_of(out.CloseUpstream) == [out.CloseUpstream(1, reusable=True)]


@PROPERTY
@given(st.data())
def test_damaged_stream_is_never_complete(data: st.DataObject) -> None:
    chunks = [stream_chunk("r1", seq, seq == 4) for seq in range(5)]
    kind = data.draw(
        st.sampled_from(["truncated", "dropped", "doubled", "swapped", "crossed", "early", "after"])
    )
    at = data.draw(st.integers(0, 3))
    if kind == "truncated":
        stream = VALID_STREAM[: data.draw(st.integers(0, len(VALID_STREAM) - 2))]
    else:
        if kind == "dropped":
            del chunks[at]
        elif kind == "doubled":
            chunks.insert(at, chunks[at])
        elif kind == "swapped":
            chunks[at], chunks[at + 1] = chunks[at + 1], chunks[at]
        elif kind == "crossed":
            chunks[at:] = [stream_chunk("r2", seq, seq == 4) for seq in range(at, 5)]
        elif kind == "early":
            del chunks[at + 1 :]
        else:
            chunks.append(stream_chunk("r1", 5))
        stream = b"".join(chunks) + DONE
    cuts = data.draw(st.lists(st.integers(0, 4000), max_size=10))
    if data.draw(st.booleans()):
        # Engines usually send one event at a time.
        cuts = [match.end() for match in re.finditer(b"\n\n", stream)]
    flow = play_stream(stream, cuts)

    assert not flow.is_complete
    assert b"[DONE]" not in flow.body
    assert forwarded_sequence(flow) == list(range(len(forwarded_sequence(flow))))
    assert b'"r2"' not in flow.body
    assert flow.is_done
    assert flow.effects_of(out.ResponseError) or b"event: error" in flow.body
    assert not any(close.reusable for close in flow.effects_of(out.CloseUpstream))


@pytest.mark.parametrize(
    "first",
    [b"data: {]\n\n", b"data: {}\n\n", b"hello\n\n", b'event: error\ndata: {"error":1}\n\n', DONE,
     stream_chunk("r1", 1), stream_chunk("r9", 0), b"data: \xff\n\n", b"x" * 300_000],
)  # fmt: skip
def test_no_byte_is_forwarded_before_the_first_valid_chunk(first: bytes) -> None:
    flow = open_stream(AdmissionLimits())
    flow.receive_data(first)
    assert not flow.effects_of(out.ResponseHead)
    assert len(flow.effects_of(out.Dispatch)) == 2

    flow.receive_head()
    flow.receive_data(VALID_STREAM)

    assert flow.body == VALID_STREAM
    assert flow.is_complete


def test_events_of_an_earlier_attempt_are_ignored_after_a_retry() -> None:
    flow = open_stream(AdmissionLimits())
    flow.receive_data(b"data: {}\n\n")
    flow.deliver(ev.UpstreamData(1, stream_chunk("r1", 0)))
    flow.deliver(ev.UpstreamFailed(1, UpstreamCause.RESET, True))

    assert not flow.effects_of(out.ResponseHead)
    assert not flow.is_done
    flow.receive_head()
    flow.receive_data(stream_chunk("r1", 0))
    flow.deliver(ev.UpstreamData(1, stream_chunk("r1", 1)))
    assert flow.body == stream_chunk("r1", 0)


def test_stream_may_mix_both_line_endings() -> None:
    flow = open_stream()
    mixed = stream_chunk("r1", 0).replace(b"\n", b"\r\n") + stream_chunk("r1", 1)
    flow.receive_data(mixed)

    assert flow.body == mixed


def test_several_chunks_read_together_are_forwarded_unchanged_in_one_effect() -> None:
    flow = open_stream()
    together = stream_chunk("r1", 0) + stream_chunk("r1", 1)
    effects = flow.receive_data(together + b"data: {")

    assert [effect for effect in effects if isinstance(effect, out.ResponseData)] == [
        out.ResponseData(together)
    ]


def test_comments_of_a_stream_are_dropped() -> None:
    flow = open_stream()
    flow.receive_data(b": still here\n\n" + VALID_STREAM)

    assert flow.body == VALID_STREAM


@pytest.mark.parametrize("trailing_bytes", [stream_chunk("r2", 0), b"dat"])
def test_bytes_after_the_end_are_dropped_and_the_connection_is_closed(trailing_bytes: bytes) -> None:
    flow = open_stream()
    flow.receive_data(VALID_STREAM + trailing_bytes)

    assert flow.body == VALID_STREAM
    assert flow.effects_of(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert flow.is_done


def test_connection_without_a_proper_end_after_the_stream_is_closed() -> None:
    flow = open_stream()
    flow.receive_data(VALID_STREAM)
    assert flow.is_complete
    assert not flow.is_done
    flow.tick()

    assert flow.effects_of(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert flow.is_done


@pytest.mark.parametrize(
    "late_event",
    [ev.UpstreamData(1, b"more"), ev.UpstreamFailed(1, UpstreamCause.RESET, True), ev.ClientDisconnected()],
)
def test_any_event_but_the_proper_end_after_the_stream_closes_the_connection(late_event: Event) -> None:
    flow = open_stream()
    flow.receive_data(VALID_STREAM)
    flow.deliver(late_event)

    assert flow.effects_of(out.CloseUpstream) == [out.CloseUpstream(1, reusable=False)]
    assert flow.body == VALID_STREAM
    assert flow.is_done


def test_stalled_stream_ends_with_an_error_event() -> None:
    flow = open_stream()
    flow.receive_data(stream_chunk("r1", 0))
    flow.receive_data(stream_chunk("r1", 1), after=4.9)
    flow.tick()

    assert flow.playbook.now == pytest.approx(109.9)
    assert b"engine_broke_off" in flow.body
    assert flow.effects_of(out.ResponseAborted)
    assert not flow.effects_of(out.ResponseEnd)


def test_slow_client_does_not_time_out_the_engine() -> None:
    flow = open_stream()
    flow.receive_data(stream_chunk("r1", 0))
    flow.deliver(ev.ClientBlocked(), after=1.0)
    assert flow.router_flow.next_deadline() == pytest.approx(130.0)

    flow.deliver(ev.ClientReady(), after=20.0)
    assert flow.router_flow.next_deadline() == pytest.approx(126.0)
    flow.receive_data(stream_chunk("r1", 1, last=True) + DONE)

    assert flow.is_complete
    (outcome,) = flow.playbook.version_filter.outcomes
    assert (outcome.ending, outcome.first_token_s, outcome.token_gap_s) == ("whole", None, None)


@pytest.mark.parametrize("ready_again", [False, True])
def test_deadline_used_up_by_a_slow_client_is_no_evidence_against_the_engine(ready_again: bool) -> None:
    flow = open_stream()
    flow.receive_data(stream_chunk("r1", 0))
    flow.deliver(ev.ClientBlocked())
    if ready_again:
        flow.deliver(ev.ClientReady(), after=28.0)
    flow.tick()

    assert b"deadline_exceeded" in flow.body
    assert flow.playbook.version_filter.endings() == ["caller_gone"]


def test_engine_that_stalls_after_its_client_reads_again_times_out() -> None:
    flow = open_stream()
    flow.receive_data(stream_chunk("r1", 0))
    flow.deliver(ev.ClientBlocked())
    flow.deliver(ev.ClientReady(), after=9.0)
    flow.tick()

    assert flow.playbook.now == pytest.approx(114.0)
    assert flow.playbook.version_filter.endings() == ["timed_out"]


@pytest.mark.parametrize("first_chunk_read", [False, True])
def test_resumed_node_reads_the_buffered_bytes_before_it_times_out_the_engine(first_chunk_read: bool) -> None:
    flow = open_stream()
    if first_chunk_read:
        flow.receive_data(stream_chunk("r1", 0))
    assert flow.deliver(Tick(), after=20.0) == []

    flow.receive_data(complete_stream("r1", 2)[len(stream_chunk("r1", 0)) if first_chunk_read else 0 :])

    assert flow.is_complete
    assert flow.playbook.version_filter.outcomes[0].first_token_s is None


def test_resumed_node_ends_a_stream_that_stays_silent() -> None:
    flow = open_stream()
    flow.receive_data(stream_chunk("r1", 0))
    flow.deliver(Tick(), after=20.0)
    flow.tick()

    assert flow.playbook.now == pytest.approx(125.0)
    assert b"engine_broke_off" in flow.body


def test_deadline_passed_while_the_node_was_paused_is_no_evidence_against_the_engine() -> None:
    flow = open_stream()
    flow.deliver(Tick(), after=60.0)

    assert flow.error.code == "deadline_exceeded"
    assert flow.playbook.version_filter.endings() == ["caller_gone"]


@pytest.mark.parametrize("tokens", [-5, 1 << 40, 10**400])
def test_chunk_with_an_impossible_token_count_is_malformed(tokens: int) -> None:
    flow = open_stream()
    usage = json.dumps({"prompt_tokens": 1, "completion_tokens": tokens})
    flow.receive_data(stream_chunk("r1", 0)[:-3] + b', "usage": ' + usage.encode() + b"}\n\n")

    assert flow.error.code == "engine_protocol"
    assert flow.playbook.quota.settled == [(67.0, 0.0)]


def test_response_to_a_stream_request_must_be_a_stream() -> None:
    flow = Playbook(limits=NO_RETRY).open()
    flow.receive_head(content_type="application/json")

    assert flow.error.code == "engine_protocol"


def test_first_token_time_and_token_gap_are_measured() -> None:
    flow = open_stream()
    flow.receive_data(stream_chunk("r1", 0), after=0.5)
    flow.receive_data(stream_chunk("r1", 1), after=0.2)
    flow.receive_data(stream_chunk("r1", 2, last=True) + DONE, after=0.4)

    (outcome,) = flow.playbook.version_filter.outcomes
    assert (outcome.ending, outcome.tokens) == ("whole", 3)
    assert outcome.first_token_s == pytest.approx(0.5)
    assert outcome.token_gap_s == pytest.approx(0.3)
