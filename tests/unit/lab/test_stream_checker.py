"""The stream checker detects every kind of faulty stream."""

from __future__ import annotations

import pytest

from springmux.lab.load.stream_checker import StreamChecker
from tests.unit.lab.support import DONE, chunk

STREAM = "request-000001"
ERROR = b'event: error\ndata: {"error": {"code": "engine_broke_off", "fate": "failed"}}\n\n'


def check_stream(*parts: bytes, expected_chunks: int = 3, request: str = STREAM) -> StreamChecker:
    checker = StreamChecker(expected_chunks, request)
    for part in parts:
        checker.feed(part)
    checker.close()
    return checker


def test_a_complete_stream_has_no_fault_and_its_token_count() -> None:
    checker = check_stream(chunk(STREAM, 0), chunk(STREAM, 1), chunk(STREAM, 2, last=True), DONE)
    assert (checker.fault, checker.complete(), checker.chunks, checker.tokens) == ("", True, 3, 42)


def test_a_stream_may_be_split_at_any_byte() -> None:
    data = b"".join([chunk(STREAM, 0), chunk(STREAM, 1), chunk(STREAM, 2, last=True), DONE])
    checker = check_stream(*(data[at : at + 1] for at in range(len(data))))
    assert (checker.fault, checker.chunks) == ("", 3)


def test_a_stream_that_ends_in_a_typed_error_is_incomplete_but_not_faulty() -> None:
    checker = check_stream(chunk(STREAM, 0), ERROR)
    assert (checker.fault, checker.complete(), checker.error["code"]) == ("", False, "engine_broke_off")


@pytest.mark.parametrize(
    ("parts", "fault"),
    [
        ((chunk(STREAM, 0), chunk(STREAM, 2, last=True), DONE), "piece 2 where 1 was due"),
        ((chunk(STREAM, 0), chunk(STREAM, 0)), "piece 0 where 1 was due"),
        ((chunk(STREAM, 0), chunk("request-000002", 1)), "piece of another answer"),
        ((chunk("request-000002", 0),), "piece of another answer"),
        ((chunk(STREAM, 0, text="xxxxxx.0 "),), "piece with another answer's text"),
        ((chunk(STREAM, 0), DONE), "done marker without a last piece"),
        ((chunk(STREAM, 0, last=True), DONE), "complete with 1 of 3 pieces"),
        ((chunk(STREAM, 0, last=True), chunk(STREAM, 1)), "piece after the last piece"),
        ((DONE, chunk(STREAM, 0)), "piece after the stream's end"),
        ((chunk(STREAM, 0), ERROR, chunk(STREAM, 1)), "piece after the stream's end"),
        ((chunk(STREAM, 0), ERROR, DONE), "done marker after an error"),
        ((b"event: error\ndata: {}\n\n",), "error event without the typed shape"),
    ],
)
def test_each_violation_is_recorded_as_a_fault(parts: tuple[bytes, ...], fault: str) -> None:
    assert check_stream(*parts).fault == fault


def test_a_malformed_chunk_is_recorded_as_a_fault() -> None:
    assert check_stream(b"data: {not json\n\n").fault.startswith("malformed piece")
