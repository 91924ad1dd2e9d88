"""Headers as a block of bytes are the same as those that were sent, and take about as many bytes."""

from __future__ import annotations

import sys

from hypothesis import given
from hypothesis import strategies as st

from springmux.node.http.framing import encode_request
from springmux.node.http.header_block import HeaderBlock
from springmux.node.http.heads import RequestHeadReader

NAMES = st.sampled_from([b"a", b"ab", b"b", b"x-a", b"host", b"content-length"])
VALUES = st.sampled_from([b"", b"1", b"a: 2", b"x  y", b": ", b"ab"])
HEADERS = st.lists(st.tuples(NAMES, VALUES))


@given(HEADERS, NAMES)
def test_headers_are_found_as_in_a_list(headers: list[tuple[bytes, bytes]], name: bytes) -> None:
    block = HeaderBlock(headers)
    assert list(block) == headers and block == headers and block == HeaderBlock.from_lines(block.lines)
    assert block.first(name) == next((value for known, value in headers if known == name), None)
    assert block.all(name) == [value for known, value in headers if known == name]
    kept = [header for header in headers if header[0] != name]
    assert block.without(frozenset({name})) == kept
    assert block.plus(kept) == [*headers, *kept]


@given(HEADERS)
def test_a_request_is_forwarded_with_its_headers_and_new_framing(headers: list[tuple[bytes, bytes]]) -> None:
    lines = b"".join(b"%b: %b\r\n" % header for header in headers)
    reader = RequestHeadReader()
    head_bytes = b"GET /x HTTP/1.1\r\n" + lines.replace(b"content-length", b"x-length") + b"\r\n"
    assert reader.feed(head_bytes) == len(head_bytes)
    head = reader.head()
    sent = encode_request(head, b"body")
    head_sent, _, body = sent.partition(b"\r\n\r\n")
    assert body == b"body"
    received = [(name.replace(b"content-length", b"x-length"), value.lstrip()) for name, value in headers]
    pairs = [tuple(line.split(b": ", 1)) for line in head_sent.split(b"\r\n")[1:]]
    assert pairs == [*received, (b"content-length", b"4")]


def test_a_head_of_very_short_lines_takes_few_bytes() -> None:
    reader = RequestHeadReader()
    head_bytes = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 4000 + b"\r\n"
    assert reader.feed(head_bytes) == len(head_bytes)
    headers = reader.head().headers
    assert isinstance(headers, HeaderBlock) and len(list(headers)) == 4000
    assert sys.getsizeof(headers.lines) < 2 * len(head_bytes)
