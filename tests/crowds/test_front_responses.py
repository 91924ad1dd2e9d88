"""Crowds at the front listener that do not read their responses, or only connect.

Guards against unread responses, pipelined bytes and idle connections without a bound.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.crowds.crowd import crowd
from tests.crowds.engine import HELD_PATH
from tests.crowds.gateway import BODY_BYTES, SITE, request_head, running_gateway
from tests.crowds.requests import CONNECTIONS, END, LARGE_REQUEST, MAX_DESCRIPTORS

UNREAD = 300
PIPELINES = 8
PIPELINED_REQUESTS = 128


async def test_responses_that_nobody_reads(tmp_path: Path) -> None:
    async with running_gateway(tmp_path) as gateway:
        async with crowd(gateway.system, gateway.ports.front, UNREAD, [LARGE_REQUEST]):
            await gateway.check_ordinary_caller()
        await gateway.check_ordinary_caller(BODY_BYTES)


async def test_pipelined_requests_whose_responses_nobody_reads(tmp_path: Path) -> None:
    requests = LARGE_REQUEST * PIPELINED_REQUESTS
    async with running_gateway(tmp_path) as gateway:
        async with crowd(gateway.system, gateway.ports.front, PIPELINES, [requests]):
            await gateway.check_ordinary_caller()
        await gateway.check_ordinary_caller(BODY_BYTES)


async def test_bytes_pipelined_behind_requests_that_wait_for_an_engine(tmp_path: Path) -> None:
    head = request_head(HELD_PATH, b"GET") + END
    async with running_gateway(tmp_path) as gateway:
        async with crowd(gateway.system, gateway.ports.front, UNREAD, [head, b"y" * (4 << 20)]):
            await gateway.check_ordinary_caller()
        await gateway.check_ordinary_caller(BODY_BYTES)


@pytest.mark.parametrize("sent", [b"G", f"GET /none HTTP/1.1\r\nhost: {SITE}\r\n\r\n".encode()])
async def test_more_connections_than_descriptors(sent: bytes, tmp_path: Path) -> None:
    async with running_gateway(tmp_path, MAX_DESCRIPTORS) as gateway:
        async with crowd(gateway.system, gateway.ports.front, CONNECTIONS, [sent]):
            gateway.check_descriptors(MAX_DESCRIPTORS)
            await gateway.check_ordinary_caller()
            gateway.check_descriptors(MAX_DESCRIPTORS)
        await gateway.check_ordinary_caller(BODY_BYTES)
