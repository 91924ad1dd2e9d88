"""Crowds that send heads of legal size with odd lines to the front listener.

Guards against heads that take many times the memory of their bytes.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.crowds.crowd import crowd
from tests.crowds.engine import HELD_PATH, ORDINARY_PATH
from tests.crowds.gateway import BODY_BYTES, HEAD_BYTES, request_head, running_gateway
from tests.crowds.requests import END, SHORT_LINES

HEADS = 600
ODD_HEADS = {
    "short lines": SHORT_LINES,
    "empty and repeated names": b"x-b: \r\nx-b:\t\r\n" * 1050,
    "one long name": b"n" * 15_000 + b": v\r\n",
    "names in Connection": b"connection: " + b"a," * 7500 + b"b\r\n",
    "parts in a prompt's prefix": b"x-prompt-prefix: "
    + b",".join(b"%x:1" % part for part in range(0x1000, 0x1000 + 2100))
    + END,
}


@pytest.mark.parametrize("name", ODD_HEADS)
async def test_requests_of_legal_size_with_odd_heads_wait_for_an_engine(name: str, tmp_path: Path) -> None:
    head = request_head(HELD_PATH, b"GET", ODD_HEADS[name]) + END
    assert len(head) <= HEAD_BYTES
    async with running_gateway(tmp_path) as gateway:
        async with crowd(gateway.system, gateway.ports.front, HEADS, [head]):
            await gateway.check_ordinary_caller()
        await gateway.check_ordinary_caller(BODY_BYTES)


async def test_heads_of_short_lines_stop_before_their_end(tmp_path: Path) -> None:
    async with running_gateway(tmp_path) as gateway:
        async with crowd(
            gateway.system, gateway.ports.front, HEADS, [request_head(HELD_PATH, b"GET", SHORT_LINES)]
        ):
            await gateway.check_ordinary_caller()
        await gateway.check_ordinary_caller(BODY_BYTES)


async def test_a_single_head_of_short_lines_at_the_limit_is_served(tmp_path: Path) -> None:
    async with running_gateway(tmp_path) as gateway:
        head = request_head(ORDINARY_PATH, b"GET", b"x-request-id: one\r\n" + SHORT_LINES) + END
        assert len(head) <= HEAD_BYTES
        assert (await gateway.first_bytes(head)).startswith(b"HTTP/1.1 200 ")
